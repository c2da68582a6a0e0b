//! A ledger and several gateways in front of endpoints that crash under something else that requests have
//! in common than a part of their prompts.

use crate::crashing_endpoints::{PROMPT_TIME, assert_kept_from_endpoints, write_two_events};
use crate::endpoint::{ReceivedRequest, Step, response};
use crate::processes::{TestRequest, new_id};

fn crash_if(crashes: bool, req: &ReceivedRequest) -> Vec<Step> {
    if crashes {
        vec![Step::Pause(PROMPT_TIME), Step::Crash]
    } else if req.header("x-tokens").is_some() {
        write_two_events(req)
    } else {
        vec![Step::Send(response(req, "ran"))]
    }
}

fn plain(path: String) -> TestRequest {
    TestRequest {
        path,
        headers: String::new(),
    }
}

/// A prompt without shared parts.
fn prompt(tokens: u64) -> TestRequest {
    let own = rand::random::<u64>();
    let mut req = TestRequest::prompt("/stream/", &format!("{own}:{tokens}"));
    req.headers = req
        .headers
        .replace("x-tokens: 200", &format!("x-tokens: {tokens}"));
    req
}

/// Guards against a path of a plain service crashing one endpoint after the other, with another query
/// each time.
#[tokio::test(flavor = "multi_thread")]
async fn path_that_crashes_endpoints_is_quarantined() {
    let behave = |req: &ReceivedRequest| crash_if(req.head.contains("/idempotent/bad?"), req);
    let crashing = || plain(format!("/idempotent/bad?{}", new_id()));
    let sound = || plain(format!("/idempotent/{}", new_id()));
    assert_kept_from_endpoints(behave, crashing, sound).await;
}

/// Guards against all prompts of one organisation on a route crashing one endpoint after the other.
#[tokio::test(flavor = "multi_thread")]
async fn sender_that_crashes_endpoints_is_quarantined() {
    let behave = |req: &ReceivedRequest| crash_if(req.header("x-organisation").is_some(), req);
    assert_kept_from_endpoints(behave, || prompt(200).paid(), || prompt(200)).await;
}

/// Guards against long prompts crashing one endpoint after the other.
#[tokio::test(flavor = "multi_thread")]
async fn size_that_crashes_endpoints_is_quarantined() {
    let behave = |req: &ReceivedRequest| {
        let tokens = req
            .header("x-tokens")
            .and_then(|tokens| tokens.split_once(','));
        let is_long = tokens.is_some_and(|(prompt, _)| prompt.len() > 3);
        crash_if(is_long, req)
    };
    let crashing = || prompt(rand::random_range(4_200..8_000));
    let sound = || prompt(rand::random_range(100..900));
    assert_kept_from_endpoints(behave, crashing, sound).await;
}
