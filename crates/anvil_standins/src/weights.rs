//! A rate-limited weight store.
