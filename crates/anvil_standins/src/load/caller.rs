//! One request, as a caller's client sends it, and the check of its response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};

use super::arrivals::Arrival;
use super::prompt;
use super::scenario::{Load, RequestKind};
use crate::client::Client;
use crate::engine::prompt_tokens;
use crate::error::Error;
use crate::plain::ORDER_ID;

/// Header with the key that identifies a request across retries.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A request, which is the same in each attempt.
#[derive(Debug, Clone)]
pub(super) struct Call {
    method: Method,
    path: String,
    key: String,
    bearer: String,
    body: Bytes,
    expected: Expected,
    /// Maximum cost, in budget tokens.
    pub max_cost: u64,
    /// Whether it carries its idempotency key, so that it may be sent again.
    pub keyed: bool,
}

/// The correct response.
#[derive(Debug, Clone)]
enum Expected {
    Chat { text: String, prompt: u64 },
    Plain { order: Option<String> },
}

/// Result of one attempt.
#[derive(Debug, Clone)]
pub(super) enum Outcome {
    /// The correct response, with its cost in budget tokens and its output tokens.
    Correct { cost: u64, tokens: u64 },
    /// A response that looked complete and was not the correct one, with the defect.
    Incorrect(&'static str),
    /// The request did not run, with the type of the refusal.
    NotRun(String),
    /// The router reported that the request may have run.
    Unknown,
    /// No response, or one that ended early, with the cause.
    Lost(String),
    /// Connecting to the router failed, so nothing was sent.
    NotSent,
}

/// Times at which tokens arrived.
#[derive(Debug, Clone, Default)]
pub(super) struct TokenTimes {
    pub first: Option<Instant>,
    last: Option<Instant>,
    /// Time for each token since the text before, and the number of tokens that arrived together.
    pub token_gaps: Vec<(Duration, u64)>,
}

impl TokenTimes {
    fn record_text(&mut self, text: &str) {
        let now = Instant::now();
        // Each token of the stand-in engine ends with a space.
        let tokens = text.bytes().filter(|b| *b == b' ').count() as u64;
        if let Some(last) = self.last {
            let each = (now - last) / u32::try_from(tokens.max(1)).unwrap_or(u32::MAX);
            self.token_gaps.push((each, tokens.max(1)));
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }
}

impl Call {
    pub fn new(run_name: &str, load: &Load, arrival: &Arrival, bearer: &str) -> Self {
        let key = format!("{run_name}-{}", arrival.number);
        match load.asking {
            RequestKind::Chat => Self::chat(key, load, arrival, bearer),
            RequestKind::Lookup => Self::lookup(key, load, arrival, bearer),
            RequestKind::Order => Self::order(key, load, bearer),
        }
    }

    fn chat(key: String, load: &Load, arrival: &Arrival, bearer: &str) -> Self {
        let messages = prompt::messages(arrival);
        let text = prompt::expected_text(&load.model, &messages, arrival);
        let body = json!({
            "model": load.model,
            "messages": messages,
            "max_tokens": arrival.output,
            "stream": true,
            "stream_options": {"include_usage": true},
        });
        let body = Bytes::from(body.to_string());
        Self {
            method: Method::POST,
            path: "/v1/chat/completions".into(),
            key,
            bearer: bearer.into(),
            max_cost: body.len() as u64 + arrival.output,
            keyed: true,
            body,
            expected: Expected::Chat {
                text,
                prompt: prompt_tokens(&messages),
            },
        }
    }

    fn lookup(key: String, load: &Load, arrival: &Arrival, bearer: &str) -> Self {
        Self {
            method: Method::GET,
            path: format!("/services/{}/records/{}", load.service, arrival.number),
            key,
            bearer: bearer.into(),
            max_cost: 1,
            keyed: true,
            body: Bytes::new(),
            expected: Expected::Plain { order: None },
        }
    }

    fn order(key: String, load: &Load, bearer: &str) -> Self {
        let body = json!({"order_id": key, "copies": 1});
        Self {
            method: Method::POST,
            path: format!("/services/{}/orders", load.service),
            bearer: bearer.into(),
            max_cost: 1,
            keyed: true,
            body: Bytes::from(body.to_string()),
            expected: Expected::Plain {
                order: Some(key.clone()),
            },
            key,
        }
    }

    /// Whether it is an order, which must not run twice.
    pub fn is_order(&self) -> bool {
        matches!(self.expected, Expected::Plain { order: Some(_) })
    }

    /// Sends the request once and reads the complete response.
    pub async fn send(
        &self,
        client: &Client,
        router: SocketAddr,
        times: &mut TokenTimes,
    ) -> Outcome {
        let url = format!("http://{router}{}", self.path);
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(&url)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.bearer))
            .header(header::CONTENT_TYPE, "application/json");
        if self.keyed {
            req = req.header(IDEMPOTENCY_KEY, &self.key);
        }
        if let Expected::Plain { order: Some(order) } = &self.expected {
            req = req.header(ORDER_ID, order);
        }
        let Ok(req) = req.body(Full::new(self.body.clone())) else {
            return lost("no request");
        };
        let response = match client.send(&url, req).await {
            Ok(response) => response,
            Err(Error::Request { source, .. }) if source.is_connect() => return Outcome::NotSent,
            Err(_) => return lost("connection"),
        };
        let status = response.status();
        let body = response.into_body();
        match &self.expected {
            _ if status != StatusCode::OK => read_refusal(body).await,
            Expected::Chat { text, prompt } => read_stream(body, text, *prompt, times).await,
            Expected::Plain { order } => read_plain(body, order.as_deref(), times).await,
        }
    }
}

async fn read_refusal(body: Incoming) -> Outcome {
    let Ok(body) = body.collect().await else {
        return lost("answer broke off");
    };
    let response: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    from_error(&response["error"])
}

fn from_error(error: &Value) -> Outcome {
    match error["outcome"].as_str() {
        Some("not_run") => Outcome::NotRun(error["type"].as_str().unwrap_or("untyped").into()),
        Some("unknown") => Outcome::Unknown,
        _ => lost(error["type"].as_str().unwrap_or("error without a type")),
    }
}

fn lost(cause: &str) -> Outcome {
    Outcome::Lost(cause.into())
}

/// Reads server-sent events up to the end mark `[DONE]`; without it the response is incomplete.
async fn read_stream(
    mut body: Incoming,
    expected: &str,
    prompt: u64,
    times: &mut TokenTimes,
) -> Outcome {
    let mut buf = BytesMut::new();
    let mut response = StreamedAnswer::default();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return lost("stream broke off");
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        buf.extend_from_slice(data);
        while let Some(event) = next_event(&mut buf) {
            if let Some(result) = response.apply_event(&event, times) {
                return result;
            }
        }
    }
    if !response.done {
        return lost("stream without its end");
    }
    let completion_tokens = response.usage["completion_tokens"].as_u64();
    let (Some(tokens), Some(prompt_tokens_used)) =
        (completion_tokens, response.usage["prompt_tokens"].as_u64())
    else {
        return Outcome::Incorrect("no usage");
    };
    if response.text != expected {
        return Outcome::Incorrect(text_defect(&response.text, expected));
    }
    if prompt_tokens_used != prompt {
        return Outcome::Incorrect("prompt tokens");
    }
    if tokens != expected.bytes().filter(|b| *b == b' ').count() as u64 {
        return Outcome::Incorrect("completion tokens");
    }
    Outcome::Correct {
        cost: prompt_tokens_used + tokens,
        tokens,
    }
}

fn text_defect(text: &str, expected: &str) -> &'static str {
    if expected.starts_with(text) {
        "text that ends early"
    } else if text.starts_with(expected) {
        "text that goes on too long"
    } else {
        "other text"
    }
}

#[derive(Debug, Default)]
struct StreamedAnswer {
    text: String,
    usage: Value,
    done: bool,
}

impl StreamedAnswer {
    /// Applies one event; returns the result of the attempt when the event ends it early.
    fn apply_event(&mut self, event: &[u8], times: &mut TokenTimes) -> Option<Outcome> {
        let data = event.strip_prefix(b"data: ")?;
        if data == b"[DONE]" {
            self.done = true;
            return None;
        }
        let Ok(chunk) = serde_json::from_slice::<Value>(data) else {
            return Some(Outcome::Incorrect("an event that is no JSON"));
        };
        if !chunk["error"].is_null() {
            return Some(from_error(&chunk["error"]));
        }
        if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(text);
            times.record_text(text);
        }
        if chunk["usage"].is_object() {
            self.usage = chunk["usage"].clone();
        }
        None
    }
}

fn next_event(buf: &mut BytesMut) -> Option<Bytes> {
    let end = buf.windows(2).position(|pair| pair == b"\n\n")?;
    let event = buf.split_to(end).freeze();
    let _ = buf.split_to(2);
    Some(event)
}

async fn read_plain(body: Incoming, order: Option<&str>, times: &mut TokenTimes) -> Outcome {
    let Ok(body) = body.collect().await else {
        return lost("answer broke off");
    };
    times.record_text("");
    let Ok(response) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
        return Outcome::Incorrect("an answer that is no JSON");
    };
    if response["order_id"].as_str() != order {
        return Outcome::Incorrect("another order's answer");
    }
    Outcome::Correct { cost: 1, tokens: 0 }
}
