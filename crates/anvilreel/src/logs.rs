//! Where log lines go: a terminal or JSON, never on the path of a request.

mod bounded;

use slog::{Drain, Logger, o};
use slog_async::{Async, OverflowStrategy};

pub use bounded::{Dropped, LogLimits};

/// Lines that may wait to be written before further ones are dropped and counted.
const WAITING_LINES: usize = 4_096;

/// A logger on standard error, as JSON or as terminal text.
pub fn logger(json: bool) -> Logger {
    if json {
        let drain = slog_json::Json::default(std::io::stderr()).fuse();
        return behind_a_channel(drain);
    }
    let decorator = slog_term::TermDecorator::new().stderr().build();
    behind_a_channel(slog_term::FullFormat::new(decorator).build().fuse())
}

/// A logger on standard output, as JSON lines within these limits, and what it had to drop.
///
/// A reader of standard output that has stopped delays nobody: lines are handed to a thread of
/// their own, and what that can't get rid of is dropped and counted.
pub fn to_stdout(limits: LogLimits) -> (Logger, Dropped) {
    bounded::logger(std::io::stdout(), limits)
}

/// The same on any writer.
pub fn to_writer(
    writer: impl std::io::Write + Send + 'static,
    limits: LogLimits,
) -> (Logger, Dropped) {
    bounded::logger(writer, limits)
}

/// A logger that writes nothing, for tests.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn behind_a_channel<D>(drain: D) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = Async::new(drain)
        .chan_size(WAITING_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!())
}
