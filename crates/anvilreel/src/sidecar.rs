//! A sidecar as a process.
