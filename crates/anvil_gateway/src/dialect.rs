//! What a platform's way of speaking HTTP comes down to, in the product's own words.
//!
//! A [`Dialect`] holds the functions of one adapter. They translate names and formats and decide
//! nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::Listed;
use anvil_world::prelude::*;
use bytes::Bytes;
use http::{HeaderMap, StatusCode, request};
use snafu::Snafu;

use crate::table::RouteTable;

/// Number of a part of a prompt. Equal parts have equal numbers.
pub type PartId = u64;

/// One part of a prompt, in the order in which the model reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Which.
    pub id: PartId,
    /// Its length.
    pub tokens: Tokens,
}

/// What a request asks of a model engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelWork {
    /// Tokens of the whole prompt.
    pub prompt: Tokens,
    /// Most tokens of output.
    pub most_output: Tokens,
    /// Parts of the prompt; the last one is the request's own, those before are shared.
    pub parts: Vec<PromptPart>,
}

/// A client's request, as far as its head tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Id of this try of the client's; no other try has it.
    pub id: Arc<str>,
    /// How long the client will wait, from now.
    pub patience: Duration,
    /// Bearer key.
    pub key: Option<Arc<str>>,
    /// Only for a model engine.
    pub work: Option<ModelWork>,
    /// The client has a stream's events up to this one already.
    pub after: Option<u64>,
}

/// A head that can't be served.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{what} is missing or can't be read"))]
pub struct BadAsk {
    /// Which part of the head.
    pub what: &'static str,
}

/// What an endpoint is told beside the client's own words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Onward<'a> {
    /// The endpoint that is meant, in its present life; any other one refuses.
    pub endpoint: &'a str,
    /// Who sends the request.
    pub organisation: Option<&'a str>,
    /// Time left.
    pub left: Duration,
    /// Rank among the endpoint's requests, 0 first.
    pub class: u8,
    /// Go on after this event.
    pub after: Option<u64>,
    /// The engine from which to copy what it has read of the prompt.
    pub copy_from: Option<SocketAddr>,
}

/// An endpoint's word on its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Requests that it can work on.
    pub slots: u32,
}

/// What the head of an endpoint's answer tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it answers, as far as it says.
    pub id: Option<Arc<str>>,
    /// The endpoint says that it did not run the request and never will.
    pub not_run: bool,
    /// The endpoint made this answer: it bears the endpoint's signature.
    pub sealed: bool,
    /// Load.
    pub load: Option<Load>,
    /// For how long the endpoint keeps this connection without a request.
    pub keeps: Option<Duration>,
    /// The body is in an encoding that nobody asked for.
    pub encoded: bool,
    /// What the endpoint takes from all callers together, for as long as it says so.
    pub limit: AnnouncedLimit,
}

/// An endpoint's word on what it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncedLimit {
    /// It announces no limit.
    None,
    /// So many requests.
    Rate(RateLimit),
    /// Something that is no limit.
    Unreadable,
}

/// Text that is no routing table.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{place}: found {found}; allowed is {allowed}"))]
pub struct BadTable {
    /// Where in the text.
    pub place: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: &'static str,
}

/// How one platform speaks.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Reads the head of a client's request.
    pub ask: fn(&request::Parts) -> Result<Ask, BadAsk>,
    /// Makes the head for an endpoint out of the client's.
    pub onward: fn(&HeaderMap, &Onward<'_>) -> HeaderMap,
    /// Reads the head of an endpoint's answer.
    pub answer: fn(StatusCode, &HeaderMap) -> AnswerHead,
    /// Reads and checks a routing table.
    pub table: fn(&str) -> Result<RouteTable, BadTable>,
}

/// One page of the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListPage {
    /// Entries that can be read.
    pub listed: Vec<Listed>,
    /// Entries that can't be read, and so name no endpoint to use.
    pub unreadable: u32,
    /// Path of the next page.
    pub next: Option<String>,
}

/// Where the platform's list is, and how it is read.
#[derive(Debug, Clone)]
pub struct ListSource {
    /// Its address.
    pub addr: SocketAddr,
    /// Path of the first page.
    pub path: String,
    /// By how much it may lag.
    pub lag: Duration,
    /// Calls a second that it answers, of all processes together.
    pub calls_per_second: f64,
    /// Reads a page.
    pub page: fn(&Bytes) -> Result<ListPage, String>,
}
