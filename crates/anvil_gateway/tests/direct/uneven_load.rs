//! Most new connections arrive at one of several gateways.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::crashing_endpoints::CrashingEndpoints;
use crate::endpoint::{ReceivedRequest, Step, chunk, event, stream_end, stream_head};
use crate::processes::{GATEWAYS, Processes, TestRequest};

/// Time to process a prompt.
const PROMPT_TIME: Duration = Duration::from_millis(40);
/// Pause between two prompts in calm times, and while one gateway receives all of them.
const CALM_PAUSE: Duration = Duration::from_millis(20);
const UNEVEN_PAUSE: Duration = Duration::from_millis(12);
/// How long each load lasts.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Minimum share of prompts that are answered at the first attempt, relative to calm times.
const MIN_SHARE: f64 = 0.75;

fn write(req: &ReceivedRequest) -> Vec<Step> {
    vec![
        Step::Pause(PROMPT_TIME),
        Step::Send([stream_head(req), chunk(&event(1)), stream_end()].concat()),
    ]
}

/// Sends paid prompts to these gateways in turn, each on a new connection. Returns the share that is
/// answered.
async fn share_answered(processes: &Arc<Processes>, gateways: &[u8], pause: Duration) -> f64 {
    let started_at = Instant::now();
    let mut sending = Vec::new();
    for gateway in gateways.iter().copied().cycle() {
        if started_at.elapsed() > LOAD_TIME {
            break;
        }
        let processes = processes.clone();
        sending.push(tokio::spawn(async move {
            let parts = format!("1:100,{}:100", rand::random::<u64>());
            let req = TestRequest::prompt("/stream/", &parts).paid();
            let response = processes.send(gateway, &req).await;
            response.status == 200 && response.complete
        }));
        sleep(pause).await;
    }
    let sent = u32::try_from(sending.len()).expect("few prompts");
    let mut answered = 0;
    for response in sending {
        answered += u32::from(response.await.expect("a response"));
    }
    f64::from(answered) / f64::from(sent)
}

/// Guards against a gateway that refuses what is more than its equal part of something, when it
/// receives nearly all connections.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_that_receives_all_connections_serves_as_before() {
    let endpoints = CrashingEndpoints::new(write);
    let processes = Arc::new(endpoints.start_processes().await);
    let all: Vec<u8> = (0..GATEWAYS).collect();
    let calm = share_answered(&processes, &all, CALM_PAUSE).await;
    for gateway in [0, 1] {
        let uneven = share_answered(&processes, &[gateway], UNEVEN_PAUSE).await;
        assert!(uneven >= MIN_SHARE * calm, "{uneven} after {calm}");
    }
}
