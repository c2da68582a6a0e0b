//! The interface between this crate and a platform's HTTP conventions.
//!
//! A [`Dialect`] holds the functions of one adapter. They translate names and formats and take no
//! decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::ListedEndpoint;
use anvil_world::prelude::*;
use anvilreel::retry_after::RetryAfter;
use bytes::Bytes;
use http::{HeaderMap, StatusCode, request};
use snafu::Snafu;

use crate::table::RouteTable;

/// Id of a part of a prompt; equal parts have equal ids.
pub type PartId = u64;

/// One part of a prompt, in the order in which the model processes the parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part.
    pub id: PartId,
    /// Its length.
    pub tokens: Tokens,
}

/// The work that a request means for a model engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelWork {
    /// Tokens of the whole prompt.
    pub prompt: Tokens,
    /// Maximum tokens of output.
    pub max_output: Tokens,
    /// Parts of the prompt; the last one is specific to the request, the others are shared.
    pub parts: Vec<PromptPart>,
}

/// The parsed head of a client's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of this attempt of the client; unique.
    pub id: AttemptId,
    /// The client's timeout.
    pub timeout: Duration,
    /// Bearer key.
    pub bearer_key: Option<Arc<str>>,
    /// Set only for requests to a model engine.
    pub model_work: Option<ModelWork>,
    /// Id of the last event of the stream that the client already has.
    pub resume_after: Option<u64>,
    /// The client's attempt that brought the stream's first event, if the client names it.
    pub first_attempt: Option<AttemptId>,
}

impl RequestHead {
    /// Whether it takes up a stream that its client has in part.
    pub fn takes_up(&self) -> bool {
        self.resume_after.is_some() || self.first_attempt.is_some()
    }

    /// Maximum tokens of output that it states; 0 if it states none.
    pub fn max_output(&self) -> Tokens {
        self.model_work.as_ref().map_or(0, |work| work.max_output)
    }
}

/// A request head that can't be served.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{what} is missing or can't be read"))]
pub struct RequestHeadError {
    /// The missing or invalid part of the head.
    pub what: &'static str,
}

/// What is added to the client's headers for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedHead<'a> {
    /// The endpoint incarnation that is meant; any other one must refuse the request.
    pub endpoint: &'a str,
    /// The organisation that sent the request.
    pub organisation: Option<&'a str>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Priority class at the endpoint; 0 is the most urgent.
    pub priority_class: u8,
    /// Resume the stream after this event.
    pub resume_after: Option<u64>,
    /// The engine to copy the prompt's cached prefix from.
    pub copy_from: Option<SocketAddr>,
}

/// The load that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// How long work takes there at the moment, in percent of usual, if it says so.
    pub work_percent: Option<u32>,
}

/// The parsed head of an endpoint's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request, if the response names it.
    pub id: Option<Arc<str>>,
    /// The endpoint states that it did not run the request and never will.
    pub not_run: bool,
    /// The response carries the endpoint's signature.
    pub signed: bool,
    /// The endpoint's load.
    pub load: Option<ReportedLoad>,
    /// For how long the endpoint keeps this connection open without a request.
    pub idle_timeout: Option<Duration>,
    /// The body has a content encoding that was not requested.
    pub unexpected_encoding: bool,
    /// The rate limit that the endpoint announces to all callers together.
    pub limit: AnnouncedLimit,
    /// Whether the endpoint takes further requests.
    pub notice: AvailabilityNotice,
}

/// Whether an endpoint takes further requests, as it states in a response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AvailabilityNotice {
    /// After which time it wants the next request.
    pub retry_after: RetryAfter,
    /// It is leaving and takes no new work.
    pub leaving: bool,
}

/// A rate limit in a response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncedLimit {
    /// No limit is announced.
    None,
    /// This limit.
    Rate(RateLimit),
    /// The value can't be parsed.
    Unreadable,
}

/// An invalid routing table.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{place}: found {found}; allowed is {allowed}"))]
pub struct InvalidTable {
    /// Position in the text.
    pub place: String,
    /// What is there.
    pub found: String,
    /// What is allowed there.
    pub allowed: &'static str,
}

/// The functions that translate one platform's formats.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Parses the head of a client's request.
    pub parse_request: fn(&request::Parts) -> Result<RequestHead, RequestHeadError>,
    /// Makes the headers for an endpoint from the client's.
    pub forward_headers: fn(&HeaderMap, &ForwardedHead<'_>) -> HeaderMap,
    /// Parses the head of an endpoint's response.
    pub parse_response: fn(StatusCode, &HeaderMap) -> ResponseHead,
    /// Parses and checks a routing table.
    pub parse_table: fn(&str) -> Result<RouteTable, InvalidTable>,
}

/// One page of the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListPage {
    /// Valid entries.
    pub listed: Vec<ListedEndpoint>,
    /// Number of entries that can't be parsed and are skipped.
    pub unreadable: u32,
    /// Path of the next page.
    pub next_path: Option<String>,
}

/// Location and format of the platform's list.
#[derive(Debug, Clone)]
pub struct ListSource {
    /// Address.
    pub addr: SocketAddr,
    /// Path of the first page.
    pub first_page_path: String,
    /// Maximum lag of the list.
    pub max_lag: Duration,
    /// Calls per second that the platform accepts from all processes together.
    pub calls_per_second: f64,
    /// Parses a page.
    pub parse_page: fn(&Bytes) -> Result<ListPage, String>,
}
