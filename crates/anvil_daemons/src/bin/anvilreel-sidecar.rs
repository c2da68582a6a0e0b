//! The sidecar daemon.

use std::process::ExitCode;

use anvil_daemons::{Args, StartError, exit_of, read_settings, runtime, start_again, stop_signal};
use anvil_world::settings::SidecarSettings;
use anvilreel::logs;
use anvilreel::metrics::Metrics;
use anvilreel::sidecar::Sidecar;

/// Threads of a sidecar: it has a small slot beside its endpoint.
const THREADS: usize = 1;

fn main() -> ExitCode {
    exit_of(run(&argh::from_env()))
}

fn run(args: &Args) -> Result<(), StartError> {
    let settings: SidecarSettings = read_settings(&args.settings)?;
    runtime(THREADS)?.block_on(async {
        let log = logs::logger(settings.log_json);
        let metrics = Metrics::new("sidecar", settings.statsd)?;
        loop {
            let start = || Sidecar::start(&settings, log.clone(), metrics.clone());
            let sidecar = start_again(start).await?;
            tokio::select! {
                stopped = stop_signal() => {
                    stopped?;
                    sidecar.stop().await;
                    return Ok(());
                }
                () = sidecar.incarnation_over() => sidecar.kill(),
            }
        }
    })
}
