//! Gateways that read the list for each other.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvil_gateway::dialect::{ListPage, ListSource};
use anvil_gateway::list::{discovery, siblings};
use anvil_gateway::{Gateway, GatewaySettings};
use anvil_policy::list_turn::reader_rank;
use anvil_world::prelude::*;
use anvilreel::metrics::Metrics;
use bytes::Bytes;
use slog::{Discard, Logger, o};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::endpoint::{Step, TestEndpoint};
use crate::gateway::{listed, settings};

/// Ports for the gateways' requests to each other, one per test; each gateway has an address of its
/// own.
const PORTS: std::ops::Range<u16> = 7_900..7_950;
/// Maximum age of a list.
const MAX_LIST_AGE: Duration = Duration::from_millis(600);
/// Additional time allowed for a busy machine.
const SLACK: Duration = Duration::from_millis(700);
/// Longest pause of a gateway that reads the list, after failed readings.
const MAX_READER_PAUSE: Duration = Duration::from_millis(4_800);

/// A list of one endpoint that tests can change, and how often it was read.
struct TestList {
    source: ListSource,
    leaving: Arc<Mutex<bool>>,
    /// Whether all readings are refused.
    refuses: Arc<AtomicBool>,
    reads: Arc<AtomicUsize>,
}

fn parse_page(bytes: &Bytes) -> Result<ListPage, String> {
    let mut entry = listed("one", ([127, 0, 0, 1], 9).into());
    entry.leaving = match &bytes[..] {
        b"leaving" => true,
        b"staying" => false,
        _ => return Err("unknown state of the endpoint".into()),
    };
    Ok(ListPage {
        listed: vec![entry],
        ..ListPage::default()
    })
}

impl TestList {
    async fn serve() -> Self {
        let leaving = Arc::new(Mutex::new(false));
        let reads = Arc::new(AtomicUsize::new(0));
        let refuses = Arc::new(AtomicBool::new(false));
        let (leaving_flag, counted) = (leaving.clone(), reads.clone());
        let refuses_flag = refuses.clone();
        let list = TestEndpoint::start(move |_, _| {
            counted.fetch_add(1, Ordering::Relaxed);
            if refuses_flag.load(Ordering::Relaxed) {
                let refusal = "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n";
                return vec![Step::Send(refusal.into())];
            }
            let leaving = *leaving_flag.lock().expect("the leaving flag");
            let body = if leaving { "leaving" } else { "staying" };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            vec![Step::Send((head + body).into_bytes())]
        })
        .await;
        let source = ListSource {
            addr: list.addr,
            first_page_path: "/".into(),
            max_lag: Duration::from_millis(100),
            calls_per_second: 50.0,
            parse_page,
        };
        Self {
            source,
            leaving,
            refuses,
            reads,
        }
    }

    fn mark_leaving(&self) {
        *self.leaving.lock().expect("the leaving flag") = true;
    }
}

struct RunningGateway {
    gw: Arc<Gateway>,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningGateway {
    /// Ends it without notifying the others.
    fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }

    fn knows_endpoint_is_leaving(&self) -> bool {
        let group = self.gw.directory.service_endpoints(crate::gateway::SERVICE);
        group.iter().all(|endpoint| endpoint.is_leaving())
    }
}

/// Gateways that know each other, in the order in which they read the list.
async fn start_zone(platform_list: &TestList, subnet: u8, count: u8) -> Vec<RunningGateway> {
    start_zone_with_max_age(MAX_LIST_AGE, platform_list, subnet, count).await
}

/// The same with another maximum age of the list.
async fn start_zone_with_max_age(
    max_age: Duration,
    platform_list: &TestList,
    subnet: u8,
    count: u8,
) -> Vec<RunningGateway> {
    let port = PORTS.start + u16::from(subnet);
    let mut running = Vec::new();
    for number in 1..=count {
        let addr = SocketAddr::from((Ipv4Addr::new(127, 77, subnet, number), port));
        let cfg = GatewaySettings {
            id: format!("gateway-{number}").into(),
            listen: addr,
            siblings_addr: addr,
            list: platform_list.source.clone(),
            max_list_age: max_age,
            ..settings()
        };
        let log = Logger::root(Discard, o!());
        let gw = Arc::new(Gateway::new(cfg, log, Metrics::disabled("gateway")));
        let server = siblings::listen(&gw).await.expect("an address");
        let answering = tokio::spawn(siblings::serve_siblings(gw.clone(), server));
        let tasks = vec![answering];
        running.push(RunningGateway { gw, tasks });
    }
    let instances: Vec<Instance> = running.iter().map(|r| r.gw.instance()).collect();
    for gateway in &mut running {
        gateway.gw.siblings.update_members(instances.iter());
        let gw = gateway.gw.clone();
        gateway
            .tasks
            .push(tokio::spawn(async move { discovery::run(&gw).await }));
    }
    running.sort_by_key(|r| reader_rank(&r.gw.cfg.id));
    running
}

async fn all_know(running: &[RunningGateway], within: Duration) -> bool {
    let end = Instant::now() + within;
    while Instant::now() < end {
        if running
            .iter()
            .all(RunningGateway::knows_endpoint_is_leaving)
        {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

#[tokio::test]
async fn only_one_gateway_reads_the_list() {
    let platform_list = TestList::serve().await;
    let gateways = start_zone(&platform_list, 1, 6).await;
    sleep(Duration::from_secs(3)).await;
    let reads = platform_list.reads.load(Ordering::Relaxed);
    // All six read once at the start; without sharing, each would have read five times or more.
    assert!(reads < 6 + 12, "{reads} readings");
    platform_list.mark_leaving();
    assert!(all_know(&gateways, MAX_LIST_AGE + SLACK).await);
}

/// Guards against requests to a leaving endpoint because the gateway that reads the list has died.
#[tokio::test]
async fn leaving_endpoint_is_noticed_after_the_reader_died() {
    let platform_list = TestList::serve().await;
    let gateways = start_zone(&platform_list, 2, 4).await;
    sleep(2 * MAX_LIST_AGE).await;
    gateways[0].kill();
    platform_list.mark_leaving();
    assert!(all_know(&gateways[1..], MAX_LIST_AGE + SLACK).await);
}

/// Guards against a list growing too old because a gateway that finds it wrong late starts to wait
/// anew for a sibling that answers but does not read.
#[tokio::test]
async fn list_mismatch_does_not_prolong_the_wait_for_a_sibling() {
    let max_age = Duration::from_secs(4);
    let platform_list = TestList::serve().await;
    let started_at = Instant::now();
    let gateways = start_zone_with_max_age(max_age, &platform_list, 7, 2).await;
    sleep(max_age / 8).await;
    for task in &gateways[0].tasks[1..] {
        task.abort();
    }
    platform_list.mark_leaving();
    sleep(max_age * 3 / 4).await;
    gateways[1].gw.list_mismatch.notify_one();
    let time_left = max_age.saturating_sub(started_at.elapsed());
    assert!(all_know(&gateways[1..], time_left + SLACK).await);
}

/// Guards against every gateway reading the list after the reader has died.
#[tokio::test]
async fn only_one_gateway_replaces_a_dead_reader() {
    let platform_list = TestList::serve().await;
    let gateways = start_zone(&platform_list, 6, 8).await;
    sleep(2 * MAX_LIST_AGE).await;
    gateways[0].kill();
    sleep(2 * MAX_LIST_AGE).await;
    let before = platform_list.reads.load(Ordering::Relaxed);
    sleep(4 * MAX_LIST_AGE).await;
    let reads = platform_list.reads.load(Ordering::Relaxed) - before;
    // A single reader reads five to six times in this time; seven readers would read 28 times or
    // more.
    assert!(reads <= 12, "{reads} readings");
}

/// Guards against requests to a leaving endpoint because two readers die one after the other.
#[tokio::test]
async fn leaving_endpoint_is_noticed_after_two_readers_died() {
    let platform_list = TestList::serve().await;
    let gateways = start_zone(&platform_list, 3, 4).await;
    sleep(2 * MAX_LIST_AGE).await;
    gateways[0].kill();
    sleep(MAX_LIST_AGE / 2).await;
    gateways[1].kill();
    platform_list.mark_leaving();
    assert!(all_know(&gateways[2..], MAX_LIST_AGE + SLACK).await);
}

/// Guards against requests to a leaving endpoint because the reader answers but no longer reads.
#[tokio::test]
async fn leaving_endpoint_is_noticed_when_the_reader_stops_reading() {
    let platform_list = TestList::serve().await;
    let gateways = start_zone(&platform_list, 4, 4).await;
    sleep(2 * MAX_LIST_AGE).await;
    gateways[0].tasks[1].abort();
    platform_list.mark_leaving();
    assert!(all_know(&gateways[1..], MAX_LIST_AGE + SLACK).await);
}

/// Guards against a list that one gateway has found wrong and that its reader takes for correct.
#[tokio::test]
async fn list_found_wrong_by_one_gateway_is_read_again() {
    let platform_list = TestList::serve().await;
    let gateways = start_zone_with_max_age(20 * MAX_LIST_AGE, &platform_list, 5, 3).await;
    sleep(2 * MAX_LIST_AGE).await;
    platform_list.mark_leaving();
    gateways[2].gw.list_mismatch.notify_one();
    assert!(all_know(&gateways, 3 * MAX_LIST_AGE + SLACK).await);
}

/// Guards against a list that stays old long after the platform has refused all calls: the sibling that is
/// asked in the meantime has died.
#[tokio::test]
async fn list_comes_back_after_refusals_although_the_reader_has_died() {
    let platform_list = TestList::serve().await;
    let gateways = start_zone(&platform_list, 8, 8).await;
    sleep(2 * MAX_LIST_AGE).await;
    platform_list.refuses.store(true, Ordering::Relaxed);
    gateways[0].kill();
    sleep(Duration::from_secs(6)).await;
    platform_list.mark_leaving();
    platform_list.refuses.store(false, Ordering::Relaxed);
    let within = MAX_READER_PAUSE + MAX_LIST_AGE + SLACK;
    assert!(all_know(&gateways[1..], within).await);
}
