//! Tests of the driver, with a stand-in engine or a fixed response in place of the routers.

use std::net::SocketAddr;

use anvil_standins::engine;
use anvil_standins::load::{Report, Scenario, Target, drive};
use anvil_standins::server::Server;
use viz::{Request, Response, ResponseExt, Router};

const SCENARIO: &str = r#"
name = "small"
seed = 3
run_for = "1s"
[fleet]
region = "ke-central"
zones = ["ke-central-a"]
[callers]
retries = 0
[[endpoints]]
service = "runners"
count = 1
[[load]]
name = "short question"
service = "runners"
model = "demo-chat"
rate = 100
deadline = "5s"
"#;

async fn drive_against(router: SocketAddr) -> Report {
    let scenario: Scenario = toml::from_str(SCENARIO).unwrap();
    let target = Target {
        routers: vec![router],
        keys: vec!["key".into()],
        rule: "engine alone".into(),
        run_name: "test".into(),
    };
    drive(&scenario, target).await.recorder.report()
}

async fn server_with_body(body: &'static str) -> Server {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let respond = move |_: Request| async move { viz::Result::Ok(Response::text(body)) };
    let router = Router::new().post("/v1/chat/completions", respond);
    Server::start(listen, router).await.unwrap()
}

#[tokio::test]
async fn complete_responses_are_counted() {
    let engine = engine::start(engine::Config::default().with_slots(100))
        .await
        .unwrap();
    let report = drive_against(engine.addr()).await;
    assert!(report.offered > 50);
    assert_eq!(report.in_deadline, report.offered);
    assert!(report.first_token.p95 < 500.0, "{:?}", report.first_token);
    assert!(report.between.p50 > 1.0, "{:?}", report.between);
}

/// A response ends with usage and the end mark, but part of its text is missing. It must not be
/// counted as complete.
#[tokio::test]
async fn a_response_with_missing_text_is_broken() {
    let server = server_with_body(concat!(
        "data: {\"choices\":[{\"delta\":{\"content\":\"card \"}}]}\n\n",
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\n",
        "data: [DONE]\n\n",
    ))
    .await;
    let report = drive_against(server.addr()).await;
    assert_eq!(report.broken, report.offered);
}

/// A stream ends without its end mark, as when a router crashes. It is counted as lost, not as
/// broken, because no caller would take it for complete.
#[tokio::test]
async fn a_stream_without_its_end_mark_is_lost() {
    let server =
        server_with_body("data: {\"choices\":[{\"delta\":{\"content\":\"card \"}}]}\n\n").await;
    let report = drive_against(server.addr()).await;
    assert_eq!(report.lost, report.offered);
}

/// An error without `"outcome": "not_run"` may follow work that has run. It must not be counted as
/// a refusal.
#[tokio::test]
async fn an_error_without_an_outcome_is_not_a_refusal() {
    let engine = engine::start(engine::Config::default()).await.unwrap();
    engine.set_failing(true);
    let report = drive_against(engine.addr()).await;
    assert_eq!((report.lost, report.refusals()), (report.offered, 0));
}
