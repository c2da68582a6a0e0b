//! Numbered log events and the loggers.
