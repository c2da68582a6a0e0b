//! Start of a daemon. Settings are read and validated completely before anything is opened.

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

/// Exit code if the settings are not accepted; nothing was started.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Maximum number of attempts to start.
const START_ATTEMPTS: u32 = 10;
/// Pause between two attempts.
const START_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Exit code if the process could not start for another reason.
const EXIT_NOT_STARTED: u8 = 1;

/// A process of the anvilreel router fleet.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// the settings file, in TOML
    #[argh(option)]
    pub settings: PathBuf,
}

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// The settings file could not be read.
    #[snafu(display("reading settings failed: {}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings are not accepted.
    #[snafu(display("{source}"))]
    Settings {
        /// The problem and where it is.
        source: SettingsError,
    },
    /// The runtime or a signal handler could not be set up.
    #[snafu(display("starting the process failed: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// The cause.
        source: anvilreel::metrics::MetricsError,
    },
    /// The router could not start.
    #[snafu(display("{source}"), context(false))]
    Router {
        /// The cause.
        source: anvilreel::router::RouterError,
    },
    /// The ledger could not start.
    #[snafu(display("{source}"), context(false))]
    Ledger {
        /// The cause.
        source: anvilreel::ledger_service::ServiceError,
    },
    /// The sidecar could not start.
    #[snafu(display("{source}"), context(false))]
    Sidecar {
        /// The cause.
        source: anvil_wire::WireError,
    },
}

/// Reads and validates a settings file.
pub fn read_settings<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, StartError> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    parse_settings(&path.display().to_string(), &text).context(SettingsSnafu)
}

/// A runtime with this many threads; 0 means one for each core.
pub fn runtime(threads: usize) -> Result<Runtime, StartError> {
    let mut builder = Builder::new_multi_thread();
    if threads > 0 {
        builder.worker_threads(threads);
    }
    builder.enable_all().build().context(RuntimeSnafu)
}

/// Returns when the process receives SIGTERM or is interrupted from the terminal.
pub async fn stop_signal() -> Result<(), StartError> {
    let mut term = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    tokio::select! {
        _ = term.recv() => Ok(()),
        stopped = tokio::signal::ctrl_c() => stopped.context(RuntimeSnafu),
    }
}

/// Tries to start several times within about a second, because the previous incarnation may still
/// hold the addresses.
pub async fn start_with_retries<T, E, F>(start: impl Fn() -> F) -> Result<T, StartError>
where
    F: Future<Output = Result<T, E>>,
    StartError: From<E>,
{
    for _ in 1..START_ATTEMPTS {
        if let Ok(started) = start().await {
            return Ok(started);
        }
        tokio::time::sleep(START_RETRY_PAUSE).await;
    }
    Ok(start().await?)
}

/// Prints why a daemon did not start; returns its exit code.
pub fn exit_code(result: Result<(), StartError>) -> ExitCode {
    let Err(e) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("{e}");
    match e {
        StartError::File { .. } | StartError::Settings { .. } => ExitCode::from(EXIT_BAD_SETTINGS),
        _ => ExitCode::from(EXIT_NOT_STARTED),
    }
}
