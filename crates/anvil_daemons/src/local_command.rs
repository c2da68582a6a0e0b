//! `anvilreel local`: all roles in one process, with stand-in endpoints.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use anvil_standins::{engine, plain};
use anvilreel::local::{BEARER_KEY, BUDGET, LocalError, LocalFleet, LocalSettings, MODEL, SERVICE};
use anvilreel::logs;
use argh::FromArgs;
use snafu::{ResultExt, Snafu};

use crate::daemon::{StartError, runtime, stop_signal};

/// run all roles in one process on loopback, with stand-in endpoints and a demo team
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "local")]
pub struct LocalCommand {
    /// where callers connect; 127.0.0.1:8787 unless given
    #[argh(option, default = "loopback(8787)")]
    pub listen: SocketAddr,
    /// where operators reach the ledger; 127.0.0.1:8788 unless given
    #[argh(option, default = "loopback(8788)")]
    pub ledger_listen: SocketAddr,
    /// the data folder; a temporary one unless given
    #[argh(option)]
    pub data: Option<PathBuf>,
}

/// Why the quick start failed.
#[derive(Debug, Snafu)]
pub enum LocalCommandError {
    /// The process could not start.
    #[snafu(display("{source}"))]
    Process {
        /// The cause.
        source: StartError,
    },
    /// The temporary folder could not be created.
    #[snafu(display("creating the temporary folder failed: {source}"))]
    Folder {
        /// The cause.
        source: std::io::Error,
    },
    /// A stand-in endpoint could not start.
    #[snafu(display("starting a stand-in endpoint failed: {source}"))]
    Standin {
        /// The cause.
        source: anvil_standins::Error,
    },
    /// A role could not start.
    #[snafu(display("{source}"))]
    Role {
        /// The cause.
        source: LocalError,
    },
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Runs until the process is asked to stop.
pub fn local(command: &LocalCommand) -> Result<(), LocalCommandError> {
    runtime(0).context(ProcessSnafu)?.block_on(run(command))
}

async fn run(command: &LocalCommand) -> Result<(), LocalCommandError> {
    let data = match &command.data {
        Some(data) => data.clone(),
        None => tempfile::tempdir().context(FolderSnafu)?.keep(),
    };
    let engine = engine::start(engine::Config::default().with_models([MODEL])).await;
    let engine = engine.context(StandinSnafu)?;
    let plain = plain::start(plain::Config::default())
        .await
        .context(StandinSnafu)?;
    let settings = LocalSettings {
        listen: command.listen,
        ledger_listen: command.ledger_listen,
        data,
        engine: engine.addr(),
        plain: plain.addr(),
    };
    let local = LocalFleet::start(&settings, &logs::logger(false))
        .await
        .context(RoleSnafu)?;
    print_help(&settings, &local);
    stop_signal().await.context(ProcessSnafu)?;
    local.stop().await;
    Ok(())
}

fn print_help(settings: &LocalSettings, local: &LocalFleet) {
    let (callers, ledger) = (local.addr(), local.ledger);
    let data = settings.data.display();
    println!(
        "anvilreel is ready on http://{callers}; state in {data}

Ask a question:
  curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {BEARER_KEY}' \\
    -H 'Content-Type: application/json' \\
    -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Which card for a swatch book?\"}}]}}'

Place an order, which runs at most once (send it twice: it is still one):
  curl http://{callers}/services/{SERVICE}/orders -H 'Authorization: Bearer {BEARER_KEY}' \\
    -H 'Idempotency-Key: order-1' -H 'order-id: order-1' -d '{{\"books\":2}}'

See the bill (another terminal):
  cargo run --release --bin anvilreel -- --ledger {ledger} budget {BUDGET}

Stop with Ctrl-C."
    );
}
