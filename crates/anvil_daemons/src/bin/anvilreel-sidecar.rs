//! The sidecar daemon.

use std::process::ExitCode;

use anvil_daemons::{
    Args, StartError, exit_code, read_settings, runtime, start_with_retries, stop_signal,
};
use anvil_world::settings::SidecarSettings;
use anvilreel::logs;
use anvilreel::metrics::Metrics;
use anvilreel::sidecar::Sidecar;

/// Threads of a sidecar: it gets only a small share of the resources beside its endpoint.
const THREADS: usize = 1;

fn main() -> ExitCode {
    exit_code(run(&argh::from_env()))
}

fn run(args: &Args) -> Result<(), StartError> {
    let settings: SidecarSettings = read_settings(&args.settings)?;
    runtime(THREADS)?.block_on(async {
        let log = logs::logger(settings.log_json);
        let metrics = Metrics::new("sidecar", settings.statsd)?;
        loop {
            let start = || Sidecar::start(&settings, log.clone(), metrics.clone());
            let sidecar = start_with_retries(start).await?;
            tokio::select! {
                stopped = stop_signal() => {
                    stopped?;
                    sidecar.stop().await;
                    return Ok(());
                }
                () = sidecar.incarnation_over() => sidecar.kill().await,
            }
        }
    })
}
