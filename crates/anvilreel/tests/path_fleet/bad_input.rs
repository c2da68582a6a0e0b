//! Invalid input is refused with a typed error; nothing runs and nothing is billed.

use anvil_standins::client::FullResponse;

use super::fleet::{Fleet, chat_body, json};

const CHAT: &str = "/v1/chat/completions";

fn check(answer: &FullResponse, status: u16, kind: &str) {
    let body = json(answer);
    assert_eq!(answer.status.as_u16(), status, "{body}");
    assert_eq!(body["error"]["type"], kind);
    assert_eq!(body["error"]["outcome"], "not_run");
    assert_eq!(body["error"]["billed"], false);
    assert!(body["error"]["message"].is_string());
}

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_invalid_request_has_its_own_error_and_costs_nothing() {
    let fleet = Fleet::start(1, 1).await;
    let good = chat_body("tokens=4 hello", false);
    let wrong_key = [("authorization", "Bearer wrong")];
    let no_key = [("authorization", "")];
    let long = "k".repeat(300);
    let long_key = [("idempotency-key", long.as_str())];
    for (headers, body, status, kind) in [
        (&[][..], "{\"model\": \n oops".to_owned(), 400, "malformed"),
        (&[][..], "[]".to_owned(), 400, "malformed"),
        (&[][..], "{}".to_owned(), 400, "malformed"),
        (
            &[][..],
            good.replace("\"stream\":false", "\"stream\":3"),
            400,
            "malformed",
        ),
        (
            &[][..],
            good.replace("\"stream\"", "\"n\":2,\"stream\""),
            400,
            "malformed",
        ),
        (
            &[][..],
            good.replace("\"stream\"", "\"max_tokens\":0,\"stream\""),
            400,
            "malformed",
        ),
        (
            &[][..],
            good.replace("demo-chat", "no-such"),
            404,
            "unknown_model",
        ),
        (&wrong_key[..], good.clone(), 401, "unauthorized"),
        (&no_key[..], good.clone(), 401, "unauthorized"),
        (&long_key[..], good.clone(), 400, "malformed"),
        (&[][..], " ".repeat(5 << 20), 413, "too_large"),
    ] {
        check(&fleet.send(0, CHAT, headers, body).await, status, kind);
    }
    let nowhere = fleet.send(0, "/services/nothing/orders", &[], "{}").await;
    check(&nowhere, 503, "no_endpoint");
    assert_eq!(fleet.started_runs(), 0);
    assert_eq!(fleet.budget().await.billed, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_json_is_reported_with_line_and_column() {
    let fleet = Fleet::start(1, 1).await;
    let answer = fleet.send(0, CHAT, &[], "{\"model\":\n  oops").await;
    let message = json(&answer)["error"]["message"].to_string();
    assert!(message.contains("line 2, column 3"), "{message}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_path_is_not_found() {
    let fleet = Fleet::start(1, 1).await;
    let answer = fleet.send(0, "/v1/nothing", &[], "{}").await;
    assert_eq!(answer.status, 404);
}
