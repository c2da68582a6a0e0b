//! A ledger and several gateways in front of endpoints that crash under a part of prompts, whatever
//! else the request contains.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::client::ClientResponse;
use crate::crashing_endpoints::{CrashingEndpoints, KNOWN_WITHIN, TOLERATED_LATE_ARRIVALS};
use crate::endpoint::{ReceivedRequest, Step, chunk, event, stream_end, stream_head};
use crate::processes::{GATEWAYS, Processes};

/// Crashes after which the part must be known.
const KNOWN_CRASHES: usize = 5;
/// The part that all prompts begin with.
const FIRST_PART: u64 = 1;
/// The part that crashes endpoints.
const CRASHING_PART: u64 = 66;
/// Parts that sound prompts have in its place, and crashing prompts after it.
const SOUND_PARTS: std::ops::Range<u64> = 10..14;
/// Time before an endpoint begins to write.
const PROMPT_TIME: Duration = Duration::from_millis(40);
/// Pause between two prompts of one sender.
const CRASHING_PAUSE: Duration = Duration::from_millis(100);
const SOUND_PAUSE: Duration = Duration::from_millis(25);
/// Time in which only sound prompts are sent.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Minimum share of sound prompts that are answered at the first attempt, relative to calm times.
const MIN_SOUND_SHARE: f64 = 0.5;

fn has_part(req: &ReceivedRequest, part: u64) -> bool {
    let parts = req.header("x-parts").unwrap_or_default();
    parts
        .split(',')
        .any(|text| text.starts_with(&format!("{part}:")))
}

fn write_two_events(req: &ReceivedRequest) -> Vec<Step> {
    vec![
        Step::Pause(PROMPT_TIME),
        Step::Send([stream_head(req), chunk(&event(1))].concat()),
        Step::Pause(Duration::from_millis(10)),
        Step::Send([chunk(&event(2)), stream_end()].concat()),
    ]
}

fn crash_under_part(req: &ReceivedRequest) -> Vec<Step> {
    if has_part(req, CRASHING_PART) {
        vec![Step::Pause(PROMPT_TIME), Step::Crash]
    } else {
        write_two_events(req)
    }
}

fn draw_sound_part() -> u64 {
    rand::random_range(SOUND_PARTS)
}

/// A prompt of its own that no endpoint survives.
fn crashing_prompt() -> String {
    let (sound, own) = (draw_sound_part(), rand::random::<u64>());
    format!("{FIRST_PART}:100,{CRASHING_PART}:40,{sound}:40,{own}:20")
}

/// A prompt of its own that shares its other parts with the crashing ones.
fn sound_prompt() -> String {
    let (sound, own) = (draw_sound_part(), rand::random::<u64>());
    format!("{FIRST_PART}:100,{sound}:80,{own}:20")
}

/// Sends prompts to the gateways in turn, without waiting for their responses. Returns when they were
/// sent and the responses.
async fn send_prompts(
    processes: &Arc<Processes>,
    route: &'static str,
    prompt: fn() -> String,
    pause: Duration,
    duration: Duration,
) -> Vec<(Instant, ClientResponse)> {
    let started_at = Instant::now();
    let mut sending = Vec::new();
    for gateway in (0..GATEWAYS).cycle() {
        if started_at.elapsed() > duration {
            break;
        }
        let processes = processes.clone();
        sending.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let response = processes.send_prompt(gateway, route, &prompt()).await;
            (sent_at, response)
        }));
        sleep(pause).await;
    }
    let mut responses = Vec::new();
    for response in sending {
        responses.push(response.await.expect("a response"));
    }
    responses
}

fn share_complete(responses: &[(Instant, ClientResponse)]) -> f64 {
    let complete = responses
        .iter()
        .filter(|(_, response)| response.status == 200 && response.complete);
    let number = |count| f64::from(u32::try_from(count).expect("few responses"));
    number(complete.count()) / number(responses.len().max(1))
}

/// Guards against a part of prompts crashing one endpoint after the other in requests that are no two
/// alike, and against sound requests with its other parts being refused.
#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashes_endpoints_is_quarantined_at_all_gateways() {
    let endpoints = CrashingEndpoints::new(crash_under_part);
    let processes = Arc::new(endpoints.start_processes().await);
    for route in ["/stream/", "/resumed/"] {
        endpoints.forget_arrivals();
        let calm = send_prompts(&processes, route, sound_prompt, SOUND_PAUSE, CALM_TIME).await;
        let time = 3 * KNOWN_WITHIN;
        let crashing = send_prompts(&processes, route, crashing_prompt, CRASHING_PAUSE, time);
        let sound = send_prompts(&processes, route, sound_prompt, SOUND_PAUSE, time);
        let started_at = Instant::now();
        let (_, sound) = tokio::join!(crashing, sound);
        let late = endpoints.late_arrivals(KNOWN_CRASHES);
        assert!(
            late <= TOLERATED_LATE_ARRIVALS,
            "{route}: {late} more arrivals of {}",
            endpoints.crashing_arrivals().len()
        );
        let known_at = started_at + 2 * KNOWN_WITHIN;
        let (_, after): (Vec<_>, Vec<_>) = sound.into_iter().partition(|(at, _)| *at < known_at);
        let shares = (share_complete(&calm), share_complete(&after));
        assert!(
            shares.1 >= MIN_SOUND_SHARE * shares.0,
            "{route}: {shares:?}"
        );
    }
}

/// Guards against a power failure of all processes erasing which part crashes endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_of_a_part_survives_a_power_failure() {
    let endpoints = CrashingEndpoints::new(crash_under_part);
    let processes = Arc::new(endpoints.start_processes().await);
    let route = "/stream/";
    let send = |processes| async move {
        send_prompts(
            &processes,
            route,
            crashing_prompt,
            CRASHING_PAUSE,
            KNOWN_WITHIN,
        )
        .await;
        processes
    };
    let processes = send(processes).await;
    let mut processes = Arc::into_inner(processes).expect("no request in flight");
    processes.lose_power().await;
    send(Arc::new(processes)).await;
    let late = endpoints.late_arrivals(KNOWN_CRASHES);
    let all = endpoints.crashing_arrivals().len();
    assert!(
        late <= TOLERATED_LATE_ARRIVALS,
        "{late} more arrivals of {all}"
    );
}

/// Guards against a part that crashes endpoints being tried again with each new software version.
#[tokio::test(flavor = "multi_thread")]
async fn part_stays_quarantined_on_a_new_software_version() {
    let endpoints = CrashingEndpoints::new(crash_under_part);
    let processes = Arc::new(endpoints.start_processes().await);
    let route = "/stream/";
    send_prompts(
        &processes,
        route,
        crashing_prompt,
        CRASHING_PAUSE,
        KNOWN_WITHIN,
    )
    .await;
    endpoints.replace_all("v2").await;
    let time = 2 * KNOWN_WITHIN;
    let crashing = send_prompts(&processes, route, crashing_prompt, CRASHING_PAUSE, time);
    let sound = send_prompts(&processes, route, sound_prompt, SOUND_PAUSE, time);
    let (_, sound) = tokio::join!(crashing, sound);
    let late = endpoints.late_arrivals(KNOWN_CRASHES);
    assert!(late <= TOLERATED_LATE_ARRIVALS, "{late} more arrivals");
    let share = share_complete(&sound);
    assert!(share >= MIN_SOUND_SHARE, "{share} of sound prompts");
}
