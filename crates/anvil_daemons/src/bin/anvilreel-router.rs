//! The router daemon.

use std::process::ExitCode;

use anvil_daemons::{
    Args, StartError, exit_code, read_settings, runtime, start_with_retries, stop_signal,
};
use anvil_world::settings::RouterSettings;
use anvilreel::logs;
use anvilreel::metrics::Metrics;
use anvilreel::router::Router;

fn main() -> ExitCode {
    exit_code(run(&argh::from_env()))
}

fn run(args: &Args) -> Result<(), StartError> {
    let settings: RouterSettings = read_settings(&args.settings)?;
    runtime(settings.threads)?.block_on(async {
        let log = logs::logger(settings.log_json);
        let metrics = Metrics::new("router", settings.statsd)?;
        loop {
            let start = || Router::start(&settings, log.clone(), metrics.clone());
            let router = start_with_retries(start).await?;
            tokio::select! {
                stopped = stop_signal() => {
                    stopped?;
                    router.stop().await;
                    return Ok(());
                }
                () = router.incarnation_over() => router.retire(),
            }
        }
    })
}
