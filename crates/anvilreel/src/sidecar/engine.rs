//! The protocol of model engines: the OpenAI chat API, always streamed as server-sent events.

use anvil_world::prelude::*;
use bytes::{Buf, Bytes, BytesMut};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::ResultExt;
use std::sync::Arc;

use super::http::{BrokenSnafu, CallPurpose, EndpointClient, EndpointError, EventSnafu};

/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Data of the last event of a complete stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// A chat request to the engine.
#[derive(Debug, Clone)]
pub struct ChatRequest<'a> {
    /// The caller's JSON body.
    pub body: &'a [u8],
    /// Maximum number of tokens of the whole answer, prefix included.
    pub max_output: Tokens,
    /// A lower value is served sooner.
    pub priority: i32,
    /// Id of the run at the engine, for resuming and cancelling it.
    pub run_id: &'a str,
    /// Answer text that was already delivered and is to be continued.
    pub prefix: &'a [u8],
}

/// One item of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamItem {
    /// Text of the answer.
    Text(String),
    /// The finish reason.
    Finish(Arc<str>),
    /// Usage of the whole answer.
    Usage(Usage),
    /// The answer is complete.
    Done,
}

/// An engine's answer, read item by item.
pub struct EngineStream {
    body: Incoming,
    buf: BytesMut,
    pending: Vec<StreamItem>,
}

/// Starts a chat.
pub async fn chat(
    client: &EndpointClient,
    request: &ChatRequest<'_>,
) -> Result<EngineStream, EndpointError> {
    let body = request_body(request)?;
    let headers = [(
        "content-type".into(),
        Bytes::from_static(b"application/json"),
    )];
    let response = client
        .send(CallPurpose::Work, "POST", CHAT_PATH, &headers, body)
        .await?;
    open_stream(response)
}

/// Resumes a run's stream after the given number of bytes of its answer.
pub async fn resume(
    client: &EndpointClient,
    run_id: &str,
    from: Offset,
) -> Result<EngineStream, EndpointError> {
    let path = format!("/v1/streams/{run_id}?from={from}");
    let response = client
        .send(CallPurpose::Other, "GET", &path, &[], Bytes::new())
        .await?;
    open_stream(response)
}

/// Cancels a run.
pub async fn cancel(client: &EndpointClient, run_id: &str) -> Result<(), EndpointError> {
    let path = format!("/v1/streams/{run_id}");
    client
        .send(CallPurpose::Relief, "DELETE", &path, &[], Bytes::new())
        .await?;
    Ok(())
}

fn open_stream(response: http::Response<Incoming>) -> Result<EngineStream, EndpointError> {
    let status = response.status();
    if status != StatusCode::OK {
        return Err(EndpointError::Status { status });
    }
    Ok(EngineStream {
        body: response.into_body(),
        buf: BytesMut::new(),
        pending: Vec::new(),
    })
}

/// The caller's body, with the fields that the sidecar sets.
fn request_body(request: &ChatRequest<'_>) -> Result<Bytes, EndpointError> {
    let mut body: Value = serde_json::from_slice(request.body).context(EventSnafu)?;
    body["stream"] = json!(true);
    body["stream_options"] = json!({"include_usage": true});
    body["max_tokens"] = json!(request.max_output);
    body["priority"] = json!(request.priority);
    body["run_id"] = json!(request.run_id);
    if !request.prefix.is_empty() {
        body["continue_from"] = json!(String::from_utf8_lossy(request.prefix));
    }
    if let Some(fields) = body.as_object_mut() {
        // With two different limits the engine would choose which one to apply.
        fields.remove("max_completion_tokens");
    }
    Ok(body.to_string().into())
}

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<EventChoice>,
    usage: Option<EventUsage>,
}

#[derive(Deserialize)]
struct EventChoice {
    #[serde(default)]
    delta: EventDelta,
    finish_reason: Option<Arc<str>>,
}

#[derive(Default, Deserialize)]
struct EventDelta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct EventUsage {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
}

impl EngineStream {
    /// The next item. A stream that ends without [`StreamItem::Done`] is an error.
    pub async fn next(&mut self) -> Result<StreamItem, EndpointError> {
        loop {
            if let Some(item) = self.pending.pop() {
                return Ok(item);
            }
            if let Some(line) = self.next_line() {
                self.pending = parse_line(&line)?;
                self.pending.reverse();
                continue;
            }
            let frame = self.body.frame().await.ok_or(EndpointError::Ended)?;
            if let Ok(data) = frame.context(BrokenSnafu)?.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }

    fn next_line(&mut self) -> Option<BytesMut> {
        let end = self.buf.iter().position(|b| *b == b'\n')?;
        let line = self.buf.split_to(end);
        self.buf.advance(1);
        Some(line)
    }
}

fn parse_line(line: &[u8]) -> Result<Vec<StreamItem>, EndpointError> {
    let Some(data) = line.strip_prefix(b"data:") else {
        return Ok(Vec::new());
    };
    let data = data.trim_ascii();
    if data == DONE_DATA {
        return Ok(vec![StreamItem::Done]);
    }
    let event: Event = serde_json::from_slice(data).context(EventSnafu)?;
    let mut items = Vec::new();
    for choice in event.choices {
        if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
            items.push(StreamItem::Text(text));
        }
        items.extend(choice.finish_reason.map(StreamItem::Finish));
    }
    items.extend(event.usage.map(|usage| {
        StreamItem::Usage(Usage {
            prompt: usage.prompt_tokens,
            output: usage.completion_tokens,
            calls: 0,
        })
    }));
    Ok(items)
}
