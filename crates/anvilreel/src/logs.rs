//! Loggers that write terminal text or JSON. Log lines are written by a separate thread, so that
//! a request never waits for log output.

mod bounded;

use slog::{Drain, Logger, o};
use slog_async::{Async, OverflowStrategy};

pub use bounded::{LogBuffer, LogLimits};

/// Maximum number of queued lines; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// A logger on standard error, as JSON or as terminal text.
pub fn logger(json: bool) -> Logger {
    if json {
        let drain = slog_json::Json::default(std::io::stderr()).fuse();
        return async_logger(drain);
    }
    let decorator = slog_term::TermDecorator::new().stderr().build();
    async_logger(slog_term::FullFormat::new(decorator).build().fuse())
}

/// A logger that writes JSON lines to standard output within these limits, and its buffer.
///
/// A stalled reader of standard output delays no caller: a separate thread writes the lines, and
/// those that exceed its buffer are dropped and counted.
pub fn to_stdout(limits: LogLimits) -> (Logger, LogBuffer) {
    bounded::logger(std::io::stdout(), limits)
}

/// Like [`to_stdout`], for any writer.
pub fn to_writer(
    writer: impl std::io::Write + Send + 'static,
    limits: LogLimits,
) -> (Logger, LogBuffer) {
    bounded::logger(writer, limits)
}

/// A logger that discards all lines, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn async_logger<D>(drain: D) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!())
}
