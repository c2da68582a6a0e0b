//! Reads a data folder offline.
