//! The data folder.
