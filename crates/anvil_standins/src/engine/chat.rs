//! Chat completions and their streams over HTTP.

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
use super::run::{Piece, Run, RunState};
use super::state::{Ask, Engine};
use crate::reply;

/// Output limit of a request that names none, in tokens.
const DEFAULT_MAX: u64 = 1_024;

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
            return Ok(refusal(
                StatusCode::BAD_REQUEST,
                "invalid_json",
                &e.to_string(),
            ));
        }
    };
    if engine.failing.load(Ordering::Relaxed) {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        return Ok(refusal(status, "engine_failing", "this engine fails"));
    }
    if !engine.models().contains(body.model.as_str()) {
        let status = StatusCode::NOT_FOUND;
        return Ok(refusal(status, "model_not_found", &body.model));
    }
    let named = body.run_id.is_some();
    let from = body.continue_from.len();
    let usage = body.stream_options.is_some_and(|o| o.include_usage);
    let ask = Ask {
        model: body.model,
        messages: body.messages,
        max: body
            .max_completion_tokens
            .or(body.max_tokens)
            .unwrap_or(DEFAULT_MAX),
        priority: body.priority,
        run_id: body.run_id,
        continue_from: body.continue_from,
    };
    let Some(run) = engine.run(ask) else {
        let status = StatusCode::BAD_REQUEST;
        let message = "continue_from is no beginning of the answer";
        return Ok(refusal(status, "bad_continuation", message));
    };
    let owner = (!named).then(|| Owner(run.clone()));
    let reader = Reader::new(run, from, usage, owner);
    if body.stream {
        return Ok(reader.into_events());
    }
    Ok(reader.into_whole().await)
}

fn resume(engine: &Engine, req: &Request) -> viz::Result<Response> {
    let id: String = req.param("run_id")?;
    let from = req.query::<ResumeQuery>().unwrap_or_default().from;
    let Some(run) = engine.find(&id) else {
        return Ok(refusal(StatusCode::NOT_FOUND, "run_not_found", &id));
    };
    Ok(Reader::new(run, from, true, None).into_events())
}

fn cancel(engine: &Engine, req: &Request) -> viz::Result<Response> {
    let id: String = req.param("run_id")?;
    let Some(run) = engine.find(&id) else {
        return Ok(refusal(StatusCode::NOT_FOUND, "run_not_found", &id));
    };
    run.end(RunState::Cancelled);
    Ok(reply::json(StatusCode::OK, &json!({"cancelled": id})))
}

fn refusal(status: StatusCode, code: &str, message: &str) -> Response {
    let error = json!({"message": message, "type": "invalid_request_error", "code": code});
    reply::json(status, &json!({ "error": error }))
}

/// Ends an unnamed run with its reader, for nobody else can resume it.
struct Owner(Arc<Run>);

impl Drop for Owner {
    fn drop(&mut self) {
        self.0.end(RunState::Cancelled);
    }
}

/// Reads a run for one client.
struct Reader {
    run: Arc<Run>,
    at: usize,
    usage: bool,
    first: bool,
    over: bool,
    // Kept for its drop.
    _owner: Option<Owner>,
}

impl Reader {
    fn new(run: Arc<Run>, at: usize, usage: bool, owner: Option<Owner>) -> Self {
        Self {
            run,
            at,
            usage,
            first: true,
            over: false,
            _owner: owner,
        }
    }

    fn into_events(self) -> Response {
        let events = unfold(self, |mut reader| async move {
            let event = reader.next_event().await?;
            Some((event, reader))
        });
        let mut response = Response::stream(events);
        let kind = http::HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, kind);
        response
    }

    async fn next_event(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.over {
            return None;
        }
        let piece = self.run.read(self.at).await;
        self.at += piece.text.len();
        let mut out = String::new();
        if !piece.text.is_empty() {
            let delta = if std::mem::take(&mut self.first) {
                json!({"role": "assistant", "content": piece.text})
            } else {
                json!({"content": piece.text})
            };
            self.chunk(&mut out, &delta, None);
        }
        if let RunState::Ended(finish) = piece.state {
            self.over = true;
            self.chunk(&mut out, &json!({}), Some(finish));
            if self.usage {
                let chunk = self.envelope(&json!([]), &json!(piece.usage));
                event(&mut out, &chunk);
            }
            out.push_str("data: [DONE]\n\n");
        } else if piece.state != RunState::Running {
            self.over = true;
            // The connection breaks, as when the process dies.
            return Some(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Some(Ok(out.into()))
    }

    fn chunk(&self, out: &mut String, delta: &Value, finish: Option<&str>) {
        let choices = json!([{"index": 0, "delta": delta, "finish_reason": finish}]);
        event(out, &self.envelope(&choices, &Value::Null));
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

    async fn into_whole(mut self) -> Response {
        let mut text = String::new();
        let last = loop {
            let piece = self.run.read(self.at).await;
            self.at += piece.text.len();
            text.push_str(&piece.text);
            if piece.state != RunState::Running {
                break piece;
            }
        };
        let RunState::Ended(finish) = last.state else {
            return broken();
        };
        let message = json!({"role": "assistant", "content": text});
        let choices = json!([{"index": 0, "message": message, "finish_reason": finish}]);
        reply::json(StatusCode::OK, &self.completion(&choices, &last))
    }

    fn completion(&self, choices: &Value, last: &Piece) -> Value {
        json!({
            "id": format!("chatcmpl-{}", self.run.id),
            "object": "chat.completion",
            "created": self.run.created,
            "model": self.run.model,
            "choices": choices,
            "usage": last.usage,
        })
    }
}

fn event(out: &mut String, chunk: &Value) {
    out.push_str("data: ");
    out.push_str(&chunk.to_string());
    out.push_str("\n\n");
}

/// An answer whose connection breaks before its first byte of body.
fn broken() -> Response {
    let cut: Result<Bytes, io::Error> = Err(io::ErrorKind::ConnectionAborted.into());
    Response::stream(futures::stream::iter([cut]))
}
