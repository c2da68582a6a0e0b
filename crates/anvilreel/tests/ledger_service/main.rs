//! Replicas over real TCP and real folders.

mod cluster;
mod following;
mod newcomers;
mod presence;
mod replicas;
mod restart;
mod trouble;
