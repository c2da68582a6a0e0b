//! The driver, against a stand-in engine in place of routers.

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

async fn driven(to: SocketAddr) -> Report {
    let scenario: Scenario = toml::from_str(SCENARIO).unwrap();
    let target = Target {
        routers: vec![to],
        keys: vec!["key".into()],
        rule: "engine alone".into(),
        run: "test".into(),
    };
    drive(&scenario, target).await.recorder.report()
}

async fn answering(body: &'static str) -> Server {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = move |_: Request| async move { viz::Result::Ok(Response::text(body)) };
    let router = Router::new().post("/v1/chat/completions", answer);
    Server::start(listen, router).await.unwrap()
}

#[tokio::test]
async fn whole_answers_are_counted() {
    let engine = engine::start(engine::Config::default().with_slots(100))
        .await
        .unwrap();
    let report = driven(engine.addr()).await;
    assert!(report.offered > 50);
    assert_eq!(report.in_deadline, report.offered);
    assert!(report.first_token.p95 < 500.0, "{:?}", report.first_token);
    assert!(report.between.p50 > 1.0, "{:?}", report.between);
}

/// A caller sees an answer that ends as a whole one does and is not: some of its text is
/// missing. The checker must not take it for complete.
#[tokio::test]
async fn an_answer_with_missing_text_is_broken() {
    let server = answering(concat!(
        "data: {\"choices\":[{\"delta\":{\"content\":\"card \"}}]}\n\n",
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\n",
        "data: [DONE]\n\n",
    ))
    .await;
    let report = driven(server.addr()).await;
    assert_eq!(report.broken, report.offered);
}

/// A caller sees a stream that stops without its end mark, as when a router dies. It is a lost
/// answer, not a broken one: nobody would take it for complete.
#[tokio::test]
async fn a_stream_without_its_end_is_lost() {
    let server = answering("data: {\"choices\":[{\"delta\":{\"content\":\"card \"}}]}\n\n").await;
    let report = driven(server.addr()).await;
    assert_eq!(report.lost, report.offered);
}

/// An engine that fails is told apart from a refusal that says "not run".
#[tokio::test]
async fn an_error_without_an_outcome_is_no_refusal() {
    let engine = engine::start(engine::Config::default()).await.unwrap();
    engine.set_failing(true);
    let report = driven(engine.addr()).await;
    assert_eq!((report.lost, report.refusals()), (report.offered, 0));
}
