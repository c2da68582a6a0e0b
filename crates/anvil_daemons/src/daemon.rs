//! A daemon's start: settings are read and checked whole before anything is opened.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use anvil_world::SettingsError;
use anvil_world::settings::{Validate, parse_settings};
use argh::FromArgs;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code when the settings are not accepted: nothing was started.
const BAD_SETTINGS: u8 = 2;
/// How often a start is tried.
const START_TRIES: u32 = 10;
/// Pause between two tries.
const START_AGAIN: Duration = Duration::from_millis(100);
/// Exit code when the process could not start for another reason.
const NOT_STARTED: u8 = 1;

/// A process of the anvilreel router fleet.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// the settings file, in TOML
    #[argh(option)]
    pub settings: PathBuf,
}

/// A daemon that did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// The settings file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Which file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The settings are not accepted.
    #[snafu(display("{source}"))]
    Settings {
        /// Where and why.
        source: SettingsError,
    },
    /// No runtime or no signal handler.
    #[snafu(display("the process can't start: {source}"))]
    Runtime {
        /// Why.
        source: std::io::Error,
    },
    /// The role can't start.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// Why.
        source: anvilreel::metrics::MetricsError,
    },
    /// The router can't start.
    #[snafu(display("{source}"), context(false))]
    Router {
        /// Why.
        source: anvilreel::router::RouterError,
    },
    /// The ledger can't start.
    #[snafu(display("{source}"), context(false))]
    Ledger {
        /// Why.
        source: anvilreel::ledger_service::ServiceError,
    },
    /// The sidecar can't start.
    #[snafu(display("{source}"), context(false))]
    Sidecar {
        /// Why.
        source: anvil_wire::WireError,
    },
}

/// Reads a settings file and checks it whole.
pub fn read_settings<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, StartError> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    parse_settings(&path.display().to_string(), &text).context(SettingsSnafu)
}

/// A runtime with so many threads; 0 means one for each core.
pub fn runtime(threads: usize) -> Result<Runtime, StartError> {
    let mut builder = Builder::new_multi_thread();
    if threads > 0 {
        builder.worker_threads(threads);
    }
    builder.enable_all().build().context(RuntimeSnafu)
}

/// Returns when the process is asked to stop, by SIGTERM or from the terminal.
pub async fn stop_signal() -> Result<(), StartError> {
    let mut term = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    tokio::select! {
        _ = term.recv() => Ok(()),
        stopped = tokio::signal::ctrl_c() => stopped.context(RuntimeSnafu),
    }
}

/// Tries to start for a little while: the life before this one may still hold the addresses.
pub async fn start_again<T, E, F>(start: impl Fn() -> F) -> Result<T, StartError>
where
    F: Future<Output = Result<T, E>>,
    StartError: From<E>,
{
    for _ in 1..START_TRIES {
        if let Ok(started) = start().await {
            return Ok(started);
        }
        tokio::time::sleep(START_AGAIN).await;
    }
    Ok(start().await?)
}

/// Prints why a daemon did not start and chooses its exit code.
pub fn exit_of(result: Result<(), StartError>) -> ExitCode {
    let Err(e) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("{e}");
    match e {
        StartError::File { .. } | StartError::Settings { .. } => ExitCode::from(BAD_SETTINGS),
        _ => ExitCode::from(NOT_STARTED),
    }
}
