//! The ledger daemon.

use std::process::ExitCode;

use anvil_daemons::{Args, StartError, exit_of, read_settings, runtime, stop_signal};
use anvil_world::settings::LedgerSettings;
use anvilreel::ledger_service::{Tuning, start};
use anvilreel::logs;

/// Threads of a replica: the node's task, the sockets, and the disk's own thread beside them.
const THREADS: usize = 2;

fn main() -> ExitCode {
    exit_of(run(&argh::from_env()))
}

fn run(args: &Args) -> Result<(), StartError> {
    let settings: LedgerSettings = read_settings(&args.settings)?;
    runtime(THREADS)?.block_on(async {
        let log = logs::logger(settings.log_json);
        let stop = async {
            // Without a signal handler the process is stopped by the signal itself.
            let _ = stop_signal().await;
        };
        let running = start(settings, Tuning::default(), log, stop).await?;
        running.stopped().await;
        Ok(())
    })
}
