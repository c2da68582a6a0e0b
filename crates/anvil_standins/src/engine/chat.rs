//! HTTP endpoints for chat completions and their streams.

use std::future::ready;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures::stream::unfold;
use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use viz::{Request, RequestExt, Response, ResponseExt, Router};

use super::answer::Message;
use super::run::{OutputChunk, Run, RunState};
use super::state::{ChatRequest, Engine};
use crate::reply;

/// Output limit of a request without one.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    priority: i64,
    run_id: Option<String>,
    #[serde(default)]
    continue_from: String,
}

#[derive(Debug, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Debug, Default, Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: usize,
}

pub(super) fn routes(router: Router, engine: &Arc<Engine>) -> Router {
    let (chat_engine, resume_engine, cancel_engine) =
        (engine.clone(), engine.clone(), engine.clone());
    router
        .post("/v1/chat/completions", move |req| {
            chat(chat_engine.clone(), req)
        })
        .get("/v1/streams/:run_id", move |req: Request| {
            ready(resume(&resume_engine, &req))
        })
        .delete("/v1/streams/:run_id", move |req: Request| {
            ready(cancel(&cancel_engine, &req))
        })
}

async fn chat(engine: Arc<Engine>, mut req: Request) -> viz::Result<Response> {
    let body = req.bytes().await?;
    let body: ChatBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(e) => {
            return Ok(error_response(
                StatusCode::BAD_REQUEST,
                "invalid_json",
                &e.to_string(),
            ));
        }
    };
    if engine.failing.load(Ordering::Relaxed) {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        return Ok(error_response(
            status,
            "engine_failing",
            "this engine fails",
        ));
    }
    if !engine.models().contains(body.model.as_str()) {
        let status = StatusCode::NOT_FOUND;
        return Ok(error_response(status, "model_not_found", &body.model));
    }
    let has_run_id = body.run_id.is_some();
    let from = body.continue_from.len();
    let include_usage = body.stream_options.is_some_and(|o| o.include_usage);
    let request = ChatRequest {
        model: body.model,
        messages: body.messages,
        max_tokens: body
            .max_completion_tokens
            .or(body.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS),
        priority: body.priority,
        run_id: body.run_id,
        continue_from: body.continue_from,
    };
    let Some(run) = engine.run(request) else {
        let status = StatusCode::BAD_REQUEST;
        let message = "continue_from is no beginning of the answer";
        return Ok(error_response(status, "bad_continuation", message));
    };
    let cancel_on_drop = (!has_run_id).then(|| CancelOnDrop(run.clone()));
    let reader = Reader::new(run, from, include_usage, cancel_on_drop);
    if body.stream {
        return Ok(reader.into_events());
    }
    Ok(reader.into_complete().await)
}

fn resume(engine: &Engine, req: &Request) -> viz::Result<Response> {
    let id: String = req.param("run_id")?;
    let from = req.query::<ResumeQuery>().unwrap_or_default().from;
    let Some(run) = engine.find(&id) else {
        return Ok(error_response(StatusCode::NOT_FOUND, "run_not_found", &id));
    };
    Ok(Reader::new(run, from, true, None).into_events())
}

fn cancel(engine: &Engine, req: &Request) -> viz::Result<Response> {
    let id: String = req.param("run_id")?;
    let Some(run) = engine.find(&id) else {
        return Ok(error_response(StatusCode::NOT_FOUND, "run_not_found", &id));
    };
    run.end(RunState::Cancelled);
    Ok(reply::json(StatusCode::OK, &json!({"cancelled": id})))
}

fn error_response(status: StatusCode, code: &str, message: &str) -> Response {
    let error = json!({"message": message, "type": "invalid_request_error", "code": code});
    reply::json(status, &json!({ "error": error }))
}

/// Cancels a run without a run id when its reader is dropped: no one else can resume it.
struct CancelOnDrop(Arc<Run>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.0.end(RunState::Cancelled);
    }
}

/// Reads the output of a run for one client.
struct Reader {
    run: Arc<Run>,
    position: usize,
    include_usage: bool,
    is_first: bool,
    finished: bool,
    // Held only for its `Drop`.
    _cancel_on_drop: Option<CancelOnDrop>,
}

impl Reader {
    fn new(
        run: Arc<Run>,
        position: usize,
        include_usage: bool,
        cancel_on_drop: Option<CancelOnDrop>,
    ) -> Self {
        Self {
            run,
            position,
            include_usage,
            is_first: true,
            finished: false,
            _cancel_on_drop: cancel_on_drop,
        }
    }

    fn into_events(self) -> Response {
        let events = unfold(self, |mut reader| async move {
            let event = reader.next_event().await?;
            Some((event, reader))
        });
        let mut response = Response::stream(events);
        let content_type = http::HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, content_type);
        response
    }

    async fn next_event(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.finished {
            return None;
        }
        let output = self.run.read(self.position).await;
        self.position += output.text.len();
        let mut buf = String::new();
        if !output.text.is_empty() {
            let delta = if std::mem::take(&mut self.is_first) {
                json!({"role": "assistant", "content": output.text})
            } else {
                json!({"content": output.text})
            };
            self.push_chunk(&mut buf, &delta, None);
        }
        if let RunState::Ended(finish) = output.state {
            self.finished = true;
            self.push_chunk(&mut buf, &json!({}), Some(finish));
            if self.include_usage {
                let chunk = self.envelope(&json!([]), &json!(output.usage));
                push_event(&mut buf, &chunk);
            }
            buf.push_str("data: [DONE]\n\n");
        } else if output.state != RunState::Running {
            self.finished = true;
            // Breaks the connection, as a killed process would.
            return Some(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Some(Ok(buf.into()))
    }

    fn push_chunk(&self, buf: &mut String, delta: &Value, finish: Option<&str>) {
        let choices = json!([{"index": 0, "delta": delta, "finish_reason": finish}]);
        push_event(buf, &self.envelope(&choices, &Value::Null));
    }

    fn envelope(&self, choices: &Value, usage: &Value) -> Value {
        json!({
            "id": format!("chatcmpl-{}", self.run.id),
            "object": "chat.completion.chunk",
            "created": self.run.created,
            "model": self.run.model,
            "choices": choices,
            "usage": usage,
        })
    }

    async fn into_complete(mut self) -> Response {
        let mut text = String::new();
        let final_output = loop {
            let output = self.run.read(self.position).await;
            self.position += output.text.len();
            text.push_str(&output.text);
            if output.state != RunState::Running {
                break output;
            }
        };
        let RunState::Ended(finish) = final_output.state else {
            return aborted_response();
        };
        let message = json!({"role": "assistant", "content": text});
        let choices = json!([{"index": 0, "message": message, "finish_reason": finish}]);
        reply::json(StatusCode::OK, &self.completion(&choices, &final_output))
    }

    fn completion(&self, choices: &Value, final_output: &OutputChunk) -> Value {
        json!({
            "id": format!("chatcmpl-{}", self.run.id),
            "object": "chat.completion",
            "created": self.run.created,
            "model": self.run.model,
            "choices": choices,
            "usage": final_output.usage,
        })
    }
}

fn push_event(buf: &mut String, chunk: &Value) {
    buf.push_str("data: ");
    buf.push_str(&chunk.to_string());
    buf.push_str("\n\n");
}

/// A response whose connection breaks before the first byte of its body.
fn aborted_response() -> Response {
    let aborted: Result<Bytes, io::Error> = Err(io::ErrorKind::ConnectionAborted.into());
    Response::stream(futures::stream::iter([aborted]))
}
