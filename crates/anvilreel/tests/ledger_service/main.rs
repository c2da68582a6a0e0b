//! Replicas over real TCP and real folders.

mod cluster;
mod following;
mod newcomers;
#[path = "../support/ports.rs"]
mod ports;
mod presence;
mod replicas;
mod restart;
mod trouble;
