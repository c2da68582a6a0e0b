//! Which sidecar runs a request key.
