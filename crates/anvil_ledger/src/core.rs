//! The replicated log, without I/O.
