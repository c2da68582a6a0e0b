//! A sidecar's runs, as a state machine.
