//! Answers that are lost on their way from an endpoint, and retries at another gateway.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use anvil_world::prelude::*;
use tokio::time::{Instant, sleep};

use crate::endpoint::{
    ReceivedRequest, Step, TestEndpoint, chunk, event, response, stream_end, stream_head,
};
use crate::processes::{Processes, TestRequest, new_id};

/// Tokens of each prompt.
const PROMPT: Tokens = 200;
/// Longest time for which these clients' attempts are held.
const CLIENT_TIME: Duration = Duration::from_secs(2);
/// Time until the ledger has the routers' reports.
const REPORT_TIME: Duration = Duration::from_millis(700);
/// A client's pause before its retry.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

fn path(req: &ReceivedRequest) -> String {
    let path = req.head.split(' ').nth(1);
    path.expect("a path").to_owned()
}

/// Three gateways before an endpoint that loses the first answer to each paid request.
async fn start(
    answer: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
) -> Processes {
    let seen = Mutex::new(BTreeSet::new());
    let endpoint = TestEndpoint::start(move |_, req| {
        let is_paid = req.header("x-organisation").is_some();
        let is_first = seen.lock().expect("paths").insert(path(req));
        if is_paid && is_first {
            return vec![Step::Reset];
        }
        answer(req)
    })
    .await;
    let processes = Processes::start(move || format!("a {}", endpoint.addr)).await;
    processes.wait_until_siblings_are_known().await;
    processes
}

fn request(route: &str) -> TestRequest {
    request_of(&format!("{route}{}", new_id()), CLIENT_TIME)
}

/// A request to a path by a client that waits this long.
fn request_of(path: &str, wait: Duration) -> TestRequest {
    TestRequest {
        path: path.to_owned(),
        headers: format!("x-tokens: {PROMPT},30\r\nx-wait: {}\r\n", wait.as_millis()),
    }
    .paid()
}

/// The request that its client sends again, up to the deadline that it had `since` on.
fn retry_of(request: &TestRequest, since: Instant) -> TestRequest {
    request_of(&request.path, CLIENT_TIME.saturating_sub(since.elapsed()))
}

/// Sends a request whose answer is lost.
async fn lose(processes: &Processes, gateway: u8, request: &TestRequest) {
    let lost = processes.send(gateway, request).await;
    assert!(lost.status >= 500, "{lost:?}");
}

/// Guards against prompts that are charged for the lost attempt and for the retry at another
/// gateway.
#[tokio::test(flavor = "multi_thread")]
async fn prompt_of_a_retried_request_is_charged_once() {
    let processes = start(|req| vec![Step::Send(response(req, "ran"))]).await;
    for number in 0..6 {
        let request = request("/once/");
        let since = Instant::now();
        lose(&processes, number % 3, &request).await;
        sleep(RETRY_PAUSE).await;
        let retry = retry_of(&request, since);
        let served = processes.send((number + 1) % 3, &retry).await;
        assert_eq!(served.status, 200, "{served:?}");
    }
    sleep(CLIENT_TIME + REPORT_TIME).await;
    assert_eq!(processes.billed().await, 6 * PROMPT);
}

/// Guards against a request that counts as the retry of another one, because only the parts of its
/// prompt differ, which are stated in a header.
#[tokio::test(flavor = "multi_thread")]
async fn request_with_another_prompt_releases_nothing() {
    let processes = start(|req| vec![Step::Send(response(req, "ran"))]).await;
    let with_parts = |request: TestRequest, parts: &str| TestRequest {
        headers: format!("{}x-parts: {parts}\r\n", request.headers),
        ..request
    };
    let first = with_parts(request("/once/"), "1:150,2:50");
    let since = Instant::now();
    lose(&processes, 0, &first).await;
    sleep(RETRY_PAUSE).await;
    let other = with_parts(retry_of(&first, since), "1:150,3:50");
    let served = processes.send(1, &other).await;
    assert_eq!(served.status, 200, "{served:?}");
    sleep(CLIENT_TIME + REPORT_TIME).await;
    assert_eq!(processes.billed().await, 2 * PROMPT);
}

/// Guards against more being used than was prepaid: another caller of the organisation sends an equal
/// request, and its charge stands for that of the lost one.
#[tokio::test(flavor = "multi_thread")]
async fn equal_request_of_another_caller_is_charged_beside_a_lost_one() {
    let processes = start(|req| vec![Step::Send(response(req, "ran"))]).await;
    for gateway in [0, 1] {
        let request = request("/once/");
        lose(&processes, 0, &request).await;
        sleep(RETRY_PAUSE).await;
        let served = processes.send(gateway, &request).await;
        assert_eq!(served.status, 200, "{served:?}");
    }
    sleep(CLIENT_TIME + REPORT_TIME).await;
    assert_eq!(processes.billed().await, 4 * PROMPT);
}

/// Guards against prompts of streams that are charged twice, and against output that isn't charged.
#[tokio::test(flavor = "multi_thread")]
async fn prompt_of_a_retried_stream_is_charged_once() {
    let stream = |req: &ReceivedRequest| {
        let mut steps = vec![Step::Send(stream_head(req))];
        steps.extend((1..=3).map(|id| Step::Send(chunk(&event(id)))));
        steps.push(Step::Send(stream_end()));
        steps
    };
    let processes = start(stream).await;
    let request = request("/stream/");
    let since = Instant::now();
    lose(&processes, 0, &request).await;
    sleep(RETRY_PAUSE).await;
    let retry = retry_of(&request, since);
    assert!(processes.send(1, &retry).await.complete);
    sleep(CLIENT_TIME + REPORT_TIME).await;
    // Three events of three tokens.
    assert_eq!(processes.billed().await, PROMPT + 9);
}

/// Guards against a lost attempt without a retry that nobody pays for, and that is charged before
/// its client could retry it.
#[tokio::test(flavor = "multi_thread")]
async fn lost_request_without_a_retry_is_charged_after_the_wait() {
    let processes = start(|req| vec![Step::Send(response(req, "ran"))]).await;
    let lost = request("/once/");
    lose(&processes, 0, &lost).await;
    let lost_at = Instant::now();
    sleep(REPORT_TIME).await;
    let billed = processes.billed().await;
    if lost_at.elapsed() < CLIENT_TIME {
        assert_eq!(billed, 0, "charged before the client's time was over");
    }
    sleep(CLIENT_TIME + REPORT_TIME).await;
    assert_eq!(processes.billed().await, PROMPT);
}

/// Guards against a retry that is refused or not charged because the gateway that held the lost
/// attempt was killed and started again.
#[tokio::test(flavor = "multi_thread")]
async fn retry_after_a_restart_of_the_origin_is_served() {
    let mut processes = start(|req| vec![Step::Send(response(req, "ran"))]).await;
    let request = request("/once/");
    lose(&processes, 0, &request).await;
    processes.restart_gateway(0).await;
    let served = processes.send(1, &request).await;
    assert_eq!(served.status, 200, "{served:?}");
    sleep(REPORT_TIME).await;
    assert_eq!(processes.billed().await, PROMPT);
}
