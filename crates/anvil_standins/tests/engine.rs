//! Tests of the engine's chat and order endpoints over HTTP.

use anvil_standins::client::{Client, FullResponse};
use anvil_standins::engine::{self, Message, expected_answer};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

async fn send(method: Method, url: String, body: Value) -> FullResponse {
    let req = Request::builder().method(method).uri(&url);
    let req = req.body(Full::new(Bytes::from(body.to_string())));
    Client::default().fetch(&url, req.unwrap()).await.unwrap()
}

async fn chat(engine: &engine::Handle, body: Value) -> FullResponse {
    let url = format!("http://{}/v1/chat/completions", engine.addr());
    send(Method::POST, url, body).await
}

fn events(response: &FullResponse) -> Vec<Value> {
    let text = std::str::from_utf8(&response.body).unwrap();
    let data = text.split("\n\n").filter_map(|e| e.strip_prefix("data: "));
    let (mut chunks, mut done) = (Vec::new(), 0);
    for data in data {
        if data == "[DONE]" {
            done += 1;
        } else {
            chunks.push(serde_json::from_str(data).unwrap());
        }
    }
    assert_eq!(done, 1);
    chunks
}

fn text(chunks: &[Value]) -> String {
    let deltas = chunks.iter().map(|c| &c["choices"][0]["delta"]["content"]);
    deltas.filter_map(Value::as_str).collect()
}

#[tokio::test]
async fn streamed_and_complete_responses_contain_the_expected_answer() {
    let engine = engine::start(engine::Config::default()).await.unwrap();
    let messages = [Message::user("grade of the card, please")];
    let expected = expected_answer("demo-chat", &messages, 20);
    let mut body = json!({"model": "demo-chat", "messages": messages, "max_tokens": 20});
    let complete = chat(&engine, body.clone()).await;
    let complete: Value = serde_json::from_slice(&complete.body).unwrap();
    assert_eq!(complete["choices"][0]["message"]["content"], expected);
    body["stream"] = true.into();
    body["stream_options"] = json!({"include_usage": true});
    let chunks = events(&chat(&engine, body).await);
    assert_eq!(text(&chunks), expected);
    let usage = &chunks.last().unwrap()["usage"];
    assert_eq!(*usage, complete["usage"]);
    assert_eq!(usage["prompt_tokens"], 7);
    assert_eq!(engine.runs_started(), 2);
}

#[tokio::test]
async fn a_continued_answer_equals_the_uninterrupted_one() {
    let cfg = engine::Config::default().without_delays();
    let engine = engine::start(cfg).await.unwrap();
    let messages = [Message::user("tokens=40 of history")];
    let expected = expected_answer("demo-chat", &messages, 100);
    for (cut, _) in expected.char_indices() {
        let body = json!({"model": "demo-chat", "messages": messages, "stream": true,
            "continue_from": expected[..cut], "stream_options": {"include_usage": true}});
        let chunks = events(&chat(&engine, body).await);
        assert_eq!(text(&chunks), expected[cut..], "cut at {cut}");
        assert_eq!(chunks.last().unwrap()["usage"]["completion_tokens"], 40);
    }
}

#[tokio::test]
async fn a_run_with_an_id_can_be_resumed_and_cancelled() {
    let engine = engine::start(engine::Config::default()).await.unwrap();
    let messages = [Message::user("tokens=30")];
    let body = json!({"model": "demo-chat", "messages": messages, "run_id": "r1"});
    chat(&engine, body).await;
    let url = format!("http://{}/v1/streams/r1", engine.addr());
    let rest = send(Method::GET, format!("{url}?from=25"), Value::Null).await;
    let expected = expected_answer("demo-chat", &messages, 100);
    assert_eq!(text(&events(&rest)), expected[25..]);
    let cancelled = send(Method::DELETE, url, Value::Null).await;
    assert_eq!(cancelled.status, StatusCode::OK);
    assert_eq!(engine.run_counts()["r1"], 1);
}

#[tokio::test]
async fn a_stale_order_is_refused_only_when_fencing_is_checked() {
    let engine = engine::start(engine::Config::default()).await.unwrap();
    let url = format!("http://{}/orders", engine.addr());
    let order = |index: u64| json!({"term": 1, "index": index, "order": {"load_model": "m2"}});
    let first = send(Method::POST, url.clone(), order(5)).await;
    let stale = send(Method::POST, url.clone(), order(4)).await;
    engine.set_checks_fencing(false);
    let ignored = send(Method::POST, url, order(4)).await;
    let statuses = [first.status, stale.status, ignored.status];
    assert_eq!(
        statuses,
        [StatusCode::OK, StatusCode::CONFLICT, StatusCode::OK]
    );
    assert!(engine.models().contains("m2"));
}

#[tokio::test]
async fn a_crash_breaks_the_stream() {
    let engine = engine::start(engine::Config::default()).await.unwrap();
    engine.set_crash_after(5);
    let messages = [Message::user("tokens=30")];
    let body = json!({"model": "demo-chat", "messages": messages, "stream": true});
    let url = format!("http://{}/v1/chat/completions", engine.addr());
    let req = Request::post(&url).body(Full::new(Bytes::from(body.to_string())));
    let response = Client::default().fetch(&url, req.unwrap()).await;
    assert!(response.is_err());
}
