//! What the thin `main`s share: the operators' commands of `anvilreel`.

pub mod operate;
