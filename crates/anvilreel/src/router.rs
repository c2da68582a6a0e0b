//! A router as a process.
