//! The ledger daemon.

use std::process::ExitCode;

use anvil_daemons::{Args, StartError, exit_code, read_settings, runtime, stop_signal};
use anvil_world::settings::LedgerSettings;
use anvilreel::ledger_service::{Tuning, start};
use anvilreel::logs;

/// Threads of a replica: one for the replica's task and one for its sockets. The disk has a further
/// thread of its own.
const THREADS: usize = 2;

fn main() -> ExitCode {
    exit_code(run(&argh::from_env()))
}

fn run(args: &Args) -> Result<(), StartError> {
    let settings: LedgerSettings = read_settings(&args.settings)?;
    runtime(THREADS)?.block_on(async {
        let log = logs::logger(settings.log_json);
        let stop = async {
            // If no signal handler can be installed, the signal itself ends the process.
            let _ = stop_signal().await;
        };
        let running = start(settings, Tuning::default(), log, stop).await?;
        running.stopped().await;
        Ok(())
    })
}
