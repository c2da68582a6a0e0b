//! Responses are complete and billed once.

use super::fleet::{Fleet, chat_body, expected, json, streamed_text, text};

#[tokio::test(flavor = "multi_thread")]
async fn responses_are_complete_and_billed_by_usage_streamed_or_not() {
    let fleet = Fleet::start(1, 1).await;
    let prompt = "tokens=40 grades of bond";
    let whole = fleet.chat(0, None, prompt).await;
    assert_eq!(text(&whole), expected(prompt));
    let usage = json(&whole)["usage"].clone();
    assert_eq!(usage["completion_tokens"], 40);
    let cost = usage["total_tokens"].as_u64().expect("a number");

    let body = chat_body(prompt, true);
    let streamed = fleet.send(0, "/v1/chat/completions", &[], body).await;
    let (text, done) = streamed_text(&streamed.body);
    assert_eq!((text, done), (expected(prompt), true));
    let body = String::from_utf8_lossy(&streamed.body);
    let last = body
        .lines()
        .rev()
        .filter(|line| line.starts_with("data: {"));
    assert!(
        last.clone()
            .next()
            .is_some_and(|event| event.contains("\"usage\""))
    );
    fleet.wait_until_billed(2 * cost).await;
}

/// A caller's connection breaks after the response was generated, and its client retries with the
/// same key through another router. Without claims the request would run and be billed again.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_through_another_router_gets_the_same_response_and_is_billed_once() {
    let fleet = Fleet::start(2, 2).await;
    let prompt = "tokens=20 stock of March";
    let first = fleet.chat(0, Some("march"), prompt).await;
    let again = fleet.chat(1, Some("march"), prompt).await;
    assert_eq!(text(&first), expected(prompt));
    assert_eq!(text(&again), expected(prompt));
    assert_eq!(fleet.started_runs(), 1);
    let cost = json(&first)["usage"]["total_tokens"]
        .as_u64()
        .expect("a number");
    fleet.wait_until_billed(cost).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reused_key_with_another_body_is_refused_and_runs_nothing() {
    let fleet = Fleet::start(2, 1).await;
    fleet.chat(0, Some("k"), "tokens=4 one").await;
    let other = fleet.chat(1, Some("k"), "tokens=4 two").await;
    assert_eq!(other.status, 422);
    assert_eq!(json(&other)["error"]["type"], "key_reused");
    assert_eq!(fleet.started_runs(), 1);
}

/// A client sends an order twice because the first response was slow. Running it twice would place
/// two orders, which can't be undone.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_sent_twice_runs_once() {
    let fleet = Fleet::start(2, 1).await;
    let headers = [("idempotency-key", "order-7"), ("order-id", "order-7")];
    let path = "/services/swatches/orders";
    let (a, b) = tokio::join!(
        fleet.send(0, path, &headers, "{}"),
        fleet.send(1, path, &headers, "{}"),
    );
    assert_eq!((a.status.as_u16(), b.status.as_u16()), (200, 200));
    assert_eq!(a.body, b.body);
    assert_eq!(fleet.plain.run_counts().get("order-7"), Some(&1));
    fleet.wait_until_billed(1).await;
}

/// An order runs, its sidecar's instance restarts, and the client retries with the same key. The
/// router must not report the outcome as unknown: the ledger knows that the order has run, and an
/// unknown outcome would lead people to place it a second time by hand.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_response_is_lost_is_reported_as_completed() {
    let mut fleet = Fleet::start(1, 1).await;
    let headers = [("idempotency-key", "order-9"), ("order-id", "order-9")];
    let path = "/services/swatches/orders";
    let placed = fleet.send(0, path, &headers, "{}").await;
    assert_eq!(placed.status.as_u16(), 200);
    fleet.wait_until_billed(1).await;
    fleet.restart_plain_sidecar().await;
    let again = fleet.send(0, path, &headers, "{}").await;
    assert_eq!(again.status.as_u16(), 410);
    let error = &json(&again)["error"];
    assert_eq!(error["outcome"], "completed");
    assert_eq!(error["billed"], true);
    assert_eq!(fleet.plain.run_counts().get("order-9"), Some(&1));
}
