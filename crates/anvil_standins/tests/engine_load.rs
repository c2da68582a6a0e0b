//! Tests of the engine under load: slots, priorities, the prefix cache, load reports and events.

use std::time::{Duration, Instant};

use anvil_standins::client::Client;
use anvil_standins::engine::{self, Message};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::time::sleep;

async fn chat(engine: &engine::Handle, content: &str, priority: i64) -> Instant {
    let body = json!({"model": "demo-chat", "messages": [Message::user(content)],
        "priority": priority});
    let url = format!("http://{}/v1/chat/completions", engine.addr());
    let req = Request::post(&url).body(Full::new(Bytes::from(body.to_string())));
    let response = Client::default().fetch(&url, req.unwrap()).await.unwrap();
    assert!(response.status.is_success());
    Instant::now()
}

async fn get(engine: &engine::Handle, path: &str) -> Value {
    let url = format!("http://{}{path}", engine.addr());
    let response = Client::default().get(&url).await.unwrap();
    serde_json::from_slice(&response.body).unwrap()
}

#[tokio::test]
async fn the_lowest_priority_number_gets_the_next_slot() {
    let cfg = engine::Config::default().with_slots(1);
    let engine = engine::start(cfg).await.unwrap();
    let first = chat(&engine, "tokens=40", 0);
    let later = async {
        sleep(Duration::from_millis(20)).await;
        chat(&engine, "tokens=8 later", 5).await
    };
    let sooner = async {
        sleep(Duration::from_millis(40)).await;
        chat(&engine, "tokens=8 sooner", 1).await
    };
    let (_, later, sooner) = tokio::join!(first, later, sooner);
    assert!(sooner < later);
}

#[tokio::test]
async fn a_cached_prefix_needs_no_prefill() {
    let cfg = engine::Config {
        prefill: Duration::from_millis(2),
        ..engine::Config::default().without_delays()
    };
    let engine = engine::start(cfg).await.unwrap();
    let prompt = format!("{}tokens=1", "grades of card and bond ".repeat(40));
    let start = Instant::now();
    let cold = chat(&engine, &prompt, 0).await - start;
    let start = Instant::now();
    let warm = chat(&engine, &prompt, 0).await - start;
    assert!(cold > warm * 3, "{cold:?} {warm:?}");
}

#[tokio::test]
async fn the_load_report_is_refreshed_after_its_lag() {
    let cfg = engine::Config::default().with_slots(2);
    let engine = engine::start(cfg).await.unwrap();
    let two_reports = async {
        sleep(Duration::from_millis(100)).await;
        let early = get(&engine, "/load").await;
        sleep(Duration::from_millis(500)).await;
        (early, get(&engine, "/load").await)
    };
    let (_, (early, late)) = tokio::join!(chat(&engine, "tokens=400", 0), two_reports);
    assert_eq!(
        (early["running"].clone(), late["running"].clone()),
        (json!(0), json!(1))
    );
    assert!(late["tokens_per_second"].as_u64().unwrap() > 0);
}

#[tokio::test]
async fn cache_events_are_published_late_and_with_gaps() {
    let cfg = engine::Config {
        events_lag: Duration::from_millis(200),
        lost_event_interval: 3,
        ..engine::Config::default().without_delays()
    };
    let engine = engine::start(cfg).await.unwrap();
    chat(&engine, &"paper merchants of Mombasa ".repeat(20), 0).await;
    let early = get(&engine, "/events?from=1").await;
    sleep(Duration::from_millis(250)).await;
    let late = get(&engine, "/events?from=2").await;
    let seen: Vec<_> = late["events"].as_array().unwrap().iter().collect();
    assert_eq!(early["events"], json!([]));
    let numbers: Vec<_> = seen.iter().map(|e| e["seq"].as_u64().unwrap()).collect();
    assert_eq!(numbers, [2, 4, 5, 7, 8]);
}
