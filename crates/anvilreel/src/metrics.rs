//! Names and units of all metrics.
