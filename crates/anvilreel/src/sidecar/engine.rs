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

use super::http::{BrokenSnafu, EndpointClient, EndpointError, EventSnafu};

/// Path of chat completions.
const CHAT: &str = "/v1/chat/completions";
/// Data of the last event of a complete stream.
const DONE: &[u8] = b"[DONE]";

/// A chat request to the engine.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
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
pub enum Said {
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
    waiting: Vec<Said>,
}

/// Starts a chat.
pub async fn chat(client: &EndpointClient, ask: &Ask<'_>) -> Result<EngineStream, EndpointError> {
    let body = body_for(ask)?;
    let headers = [(
        "content-type".into(),
        Bytes::from_static(b"application/json"),
    )];
    let answer = client.send("POST", CHAT, &headers, body).await?;
    stream_of(answer)
}

/// Resumes a run's stream after the given number of bytes of its answer.
pub async fn resume(
    client: &EndpointClient,
    run_id: &str,
    from: Offset,
) -> Result<EngineStream, EndpointError> {
    let tail = format!("/v1/streams/{run_id}?from={from}");
    let answer = client.send("GET", &tail, &[], Bytes::new()).await?;
    stream_of(answer)
}

/// Cancels a run.
pub async fn cancel(client: &EndpointClient, run_id: &str) -> Result<(), EndpointError> {
    let tail = format!("/v1/streams/{run_id}");
    client.send("DELETE", &tail, &[], Bytes::new()).await?;
    Ok(())
}

fn stream_of(answer: http::Response<Incoming>) -> Result<EngineStream, EndpointError> {
    let status = answer.status();
    if status != StatusCode::OK {
        return Err(EndpointError::Status { status });
    }
    Ok(EngineStream {
        body: answer.into_body(),
        buf: BytesMut::new(),
        waiting: Vec::new(),
    })
}

/// The caller's body, with the fields that the sidecar sets.
fn body_for(ask: &Ask<'_>) -> Result<Bytes, EndpointError> {
    let mut body: Value = serde_json::from_slice(ask.body).context(EventSnafu)?;
    body["stream"] = json!(true);
    body["stream_options"] = json!({"include_usage": true});
    body["max_tokens"] = json!(ask.max_output);
    body["priority"] = json!(ask.priority);
    body["run_id"] = json!(ask.run_id);
    if !ask.prefix.is_empty() {
        body["continue_from"] = json!(String::from_utf8_lossy(ask.prefix));
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
    /// The next item. A stream that ends without [`Said::Done`] is an error.
    pub async fn next(&mut self) -> Result<Said, EndpointError> {
        loop {
            if let Some(said) = self.waiting.pop() {
                return Ok(said);
            }
            if let Some(line) = self.line() {
                self.waiting = read_line(&line)?;
                self.waiting.reverse();
                continue;
            }
            let frame = self.body.frame().await.ok_or(EndpointError::Ended)?;
            if let Ok(data) = frame.context(BrokenSnafu)?.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }

    fn line(&mut self) -> Option<BytesMut> {
        let end = self.buf.iter().position(|b| *b == b'\n')?;
        let line = self.buf.split_to(end);
        self.buf.advance(1);
        Some(line)
    }
}

fn read_line(line: &[u8]) -> Result<Vec<Said>, EndpointError> {
    let Some(data) = line.strip_prefix(b"data:") else {
        return Ok(Vec::new());
    };
    let data = data.trim_ascii();
    if data == DONE {
        return Ok(vec![Said::Done]);
    }
    let event: Event = serde_json::from_slice(data).context(EventSnafu)?;
    let mut said = Vec::new();
    for choice in event.choices {
        if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
            said.push(Said::Text(text));
        }
        said.extend(choice.finish_reason.map(Said::Finish));
    }
    said.extend(event.usage.map(|usage| {
        Said::Usage(Usage {
            prompt: usage.prompt_tokens,
            output: usage.completion_tokens,
            calls: 0,
        })
    }));
    Ok(said)
}
