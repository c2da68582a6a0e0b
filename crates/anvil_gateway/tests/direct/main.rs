//! A gateway over real sockets, before endpoints that misbehave in every way that can be seen.

mod answers;
mod client;
mod crashing;
mod dialect;
mod endpoint;
mod explained;
mod fleet;
mod gone;
mod leaving;
mod limits;
mod money;
mod processes;
mod siblings;
mod starting;
mod streams;
