//! One request, as a caller's client sends it and reads its answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};

use super::arrivals::Arrival;
use super::prompt;
use super::scenario::{Asking, Load};
use crate::client::Client;
use crate::engine::prompt_tokens;
use crate::error::Error;
use crate::plain::ORDER_ID;

/// Header that names a request across retries.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// What is sent, each time it is tried.
#[derive(Debug, Clone)]
pub(super) struct Call {
    method: Method,
    path: String,
    key: String,
    bearer: String,
    body: Bytes,
    expected: Expected,
    /// Most that it can cost, in budget tokens.
    pub bound: u64,
    /// Whether it carries its key, so that it may be sent again.
    pub keyed: bool,
}

/// What a right answer looks like.
#[derive(Debug, Clone)]
enum Expected {
    Chat { text: String, prompt: u64 },
    Plain { order: Option<String> },
}

/// How one try went.
#[derive(Debug, Clone)]
pub(super) enum Tried {
    /// The right answer; with its cost in budget tokens and its own tokens.
    Right { cost: u64, tokens: u64 },
    /// An answer that looked complete and was not the right one; with what was wrong.
    Wrong(&'static str),
    /// It did not run, for this reason.
    NotRun(String),
    /// It may have run.
    InDoubt,
    /// No answer, or one that broke off; with how.
    Cut(String),
    /// The router could not be reached, so nothing was sent.
    Unsent,
}

/// When tokens came.
#[derive(Debug, Clone, Default)]
pub(super) struct Times {
    pub first: Option<Instant>,
    last: Option<Instant>,
    /// Time since the token before, and how many came with it.
    pub gaps: Vec<(Duration, u64)>,
}

impl Times {
    fn text(&mut self, text: &str) {
        let now = Instant::now();
        // Each token of the stand-in ends with a space.
        let tokens = text.bytes().filter(|b| *b == b' ').count() as u64;
        if let Some(last) = self.last {
            let each = (now - last) / u32::try_from(tokens.max(1)).unwrap_or(u32::MAX);
            self.gaps.push((each, tokens.max(1)));
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }
}

impl Call {
    pub fn new(run: &str, load: &Load, arrival: &Arrival, bearer: &str) -> Self {
        let key = format!("{run}-{}", arrival.number);
        match load.asking {
            Asking::Chat => Self::chat(key, load, arrival, bearer),
            Asking::Lookup => Self::lookup(key, load, arrival, bearer),
            Asking::Order => Self::order(key, load, bearer),
        }
    }

    fn chat(key: String, load: &Load, arrival: &Arrival, bearer: &str) -> Self {
        let messages = prompt::messages(arrival);
        let text = prompt::answer(&load.model, &messages, arrival);
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
            bound: body.len() as u64 + arrival.output,
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
            bound: 1,
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
            bound: 1,
            keyed: true,
            body: Bytes::from(body.to_string()),
            expected: Expected::Plain {
                order: Some(key.clone()),
            },
            key,
        }
    }

    /// Whether it may not be repeated.
    pub fn is_order(&self) -> bool {
        matches!(self.expected, Expected::Plain { order: Some(_) })
    }

    /// Sends it once and reads the answer to its end.
    pub async fn send(&self, client: &Client, to: SocketAddr, times: &mut Times) -> Tried {
        let url = format!("http://{to}{}", self.path);
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
            return cut("no request");
        };
        let response = match client.send(&url, req).await {
            Ok(response) => response,
            Err(Error::Request { source, .. }) if source.is_connect() => return Tried::Unsent,
            Err(_) => return cut("connection"),
        };
        let status = response.status();
        let body = response.into_body();
        match &self.expected {
            _ if status != StatusCode::OK => refused(body).await,
            Expected::Chat { text, prompt } => streamed(body, text, *prompt, times).await,
            Expected::Plain { order } => whole(body, order.as_deref(), times).await,
        }
    }
}

async fn refused(body: Incoming) -> Tried {
    let Ok(body) = body.collect().await else {
        return cut("answer broke off");
    };
    let answer: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    from_error(&answer["error"])
}

fn from_error(error: &Value) -> Tried {
    match error["outcome"].as_str() {
        Some("not_run") => Tried::NotRun(error["type"].as_str().unwrap_or("untyped").into()),
        Some("unknown") => Tried::InDoubt,
        _ => cut(error["type"].as_str().unwrap_or("error without a type")),
    }
}

fn cut(how: &str) -> Tried {
    Tried::Cut(how.into())
}

/// Reads server-sent events up to the end mark; without it the answer is not whole.
async fn streamed(mut body: Incoming, expected: &str, prompt: u64, times: &mut Times) -> Tried {
    let mut buf = BytesMut::new();
    let mut answer = Streamed::default();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return cut("stream broke off");
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        buf.extend_from_slice(data);
        while let Some(event) = next_event(&mut buf) {
            if let Some(tried) = answer.take(&event, times) {
                return tried;
            }
        }
    }
    if !answer.done {
        return cut("stream without its end");
    }
    let used = answer.usage["completion_tokens"].as_u64();
    let (Some(tokens), Some(asked)) = (used, answer.usage["prompt_tokens"].as_u64()) else {
        return Tried::Wrong("no usage");
    };
    if answer.text != expected {
        return Tried::Wrong(difference(&answer.text, expected));
    }
    if asked != prompt {
        return Tried::Wrong("prompt tokens");
    }
    if tokens != expected.bytes().filter(|b| *b == b' ').count() as u64 {
        return Tried::Wrong("completion tokens");
    }
    Tried::Right {
        cost: asked + tokens,
        tokens,
    }
}

fn difference(text: &str, expected: &str) -> &'static str {
    if expected.starts_with(text) {
        "text that ends early"
    } else if text.starts_with(expected) {
        "text that goes on too long"
    } else {
        "other text"
    }
}

#[derive(Debug, Default)]
struct Streamed {
    text: String,
    usage: Value,
    done: bool,
}

impl Streamed {
    /// Takes one event in; gives back how the try ended, where it ended early.
    fn take(&mut self, event: &[u8], times: &mut Times) -> Option<Tried> {
        let data = event.strip_prefix(b"data: ")?;
        if data == b"[DONE]" {
            self.done = true;
            return None;
        }
        let Ok(chunk) = serde_json::from_slice::<Value>(data) else {
            return Some(Tried::Wrong("an event that is no JSON"));
        };
        if !chunk["error"].is_null() {
            return Some(from_error(&chunk["error"]));
        }
        if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(text);
            times.text(text);
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

async fn whole(body: Incoming, order: Option<&str>, times: &mut Times) -> Tried {
    let Ok(body) = body.collect().await else {
        return cut("answer broke off");
    };
    times.text("");
    let Ok(answer) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
        return Tried::Wrong("an answer that is no JSON");
    };
    if answer["order_id"].as_str() != order {
        return Tried::Wrong("another order's answer");
    }
    Tried::Right { cost: 1, tokens: 0 }
}
