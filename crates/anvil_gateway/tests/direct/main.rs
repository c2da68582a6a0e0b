//! A gateway over real sockets, in front of endpoints that fail in every way that can be observed.

mod charging;
mod client;
mod crashing;
mod crashing_endpoints;
mod dialect;
mod endpoint;
mod evacuating;
mod explanations;
mod gateway;
mod leaving;
mod limits;
mod missing_endpoints;
mod pausing;
mod processes;
mod prompt_parts;
mod regions;
mod responses;
mod shared_contents;
mod siblings;
mod starting;
mod streams;
mod uneven_load;
mod unframed;
mod versions;
mod waiting;
mod warming_up;
