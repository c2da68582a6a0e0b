//! Gateways of one availability zone that read the list for each other.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvil_gateway::dialect::{ListPage, ListSource};
use anvil_gateway::{Gateway, GatewaySettings, discovery, siblings};
use anvil_policy::list_turn::reader_rank;
use anvil_world::prelude::*;
use anvilreel::metrics::Metrics;
use bytes::Bytes;
use slog::{Discard, Logger, o};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::endpoint::{Endpoint, Step};
use crate::fleet::{listed, settings};

/// Port at which the gateways of one test answer each other, each at an address of its own.
const PORTS: std::ops::Range<u16> = 7_900..7_950;
/// Oldest that a list may grow.
const WITHIN: Duration = Duration::from_millis(600);
/// Time that a busy machine may take beyond it.
const SLACK: Duration = Duration::from_millis(700);

/// A list of one endpoint that tests change, and how often it was read.
struct List {
    source: ListSource,
    leaving: Arc<Mutex<bool>>,
    reads: Arc<AtomicUsize>,
}

fn page(bytes: &Bytes) -> Result<ListPage, String> {
    let mut one = listed("one", ([127, 0, 0, 1], 9).into());
    one.leaving = match &bytes[..] {
        b"leaving" => true,
        b"staying" => false,
        _ => return Err("no word on the endpoint".into()),
    };
    Ok(ListPage {
        listed: vec![one],
        ..ListPage::default()
    })
}

impl List {
    async fn serve() -> Self {
        let leaving = Arc::new(Mutex::new(false));
        let reads = Arc::new(AtomicUsize::new(0));
        let (said, counted) = (leaving.clone(), reads.clone());
        let list = Endpoint::start(move |_, _| {
            counted.fetch_add(1, Ordering::Relaxed);
            let leaves = *said.lock().expect("a word");
            let body = if leaves { "leaving" } else { "staying" };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            vec![Step::Send((head + body).into_bytes())]
        })
        .await;
        let source = ListSource {
            addr: list.addr,
            path: "/".into(),
            lag: Duration::from_millis(100),
            calls_per_second: 50.0,
            page,
        };
        Self {
            source,
            leaving,
            reads,
        }
    }

    fn leave(&self) {
        *self.leaving.lock().expect("a word") = true;
    }
}

struct Running {
    gw: Arc<Gateway>,
    tasks: Vec<JoinHandle<()>>,
}

impl Running {
    /// Ends it without a word.
    fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }

    fn knows_it_leaves(&self) -> bool {
        let group = self.gw.directory.service_endpoints(crate::fleet::SERVICE);
        group.iter().all(|endpoint| endpoint.is_leaving())
    }
}

/// Gateways that know each other, in the order in which they read.
async fn zone(list: &List, third: u8, count: u8) -> Vec<Running> {
    zone_within(WITHIN, list, third, count).await
}

/// The same with lists that may grow older.
async fn zone_within(within: Duration, list: &List, third: u8, count: u8) -> Vec<Running> {
    let port = PORTS.start + u16::from(third);
    let mut running = Vec::new();
    for number in 1..=count {
        let addr = SocketAddr::from((Ipv4Addr::new(127, 77, third, number), port));
        let cfg = GatewaySettings {
            id: format!("gateway-{number}").into(),
            listen: addr,
            siblings: addr,
            list: list.source.clone(),
            list_within: within,
            ..settings()
        };
        let log = Logger::root(Discard, o!());
        let gw = Arc::new(Gateway::new(cfg, log, Metrics::silent("gateway")));
        let server = siblings::listen(&gw).await.expect("an address");
        let answering = tokio::spawn(siblings::serve_siblings(gw.clone(), server));
        let tasks = vec![answering];
        running.push(Running { gw, tasks });
    }
    let instances: Vec<Instance> = running.iter().map(|r| r.gw.instance()).collect();
    for one in &mut running {
        one.gw.siblings.update_members(instances.iter());
        let gw = one.gw.clone();
        one.tasks
            .push(tokio::spawn(async move { discovery::run(&gw).await }));
    }
    running.sort_by_key(|r| reader_rank(&r.gw.cfg.id));
    running
}

async fn all_know(running: &[Running], within: Duration) -> bool {
    let end = Instant::now() + within;
    while Instant::now() < end {
        if running.iter().all(Running::knows_it_leaves) {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

#[tokio::test]
async fn one_gateway_reads_for_all() {
    let list = List::serve().await;
    let zone = zone(&list, 1, 6).await;
    sleep(Duration::from_secs(3)).await;
    let reads = list.reads.load(Ordering::Relaxed);
    // All six read once at their start; alone, each would have read five times or more.
    assert!(reads < 6 + 12, "{reads} readings");
    list.leave();
    assert!(all_know(&zone, WITHIN + SLACK).await);
}

/// Guards against work for a leaving endpoint because the gateway that reads the list has died.
#[tokio::test]
async fn a_leaving_endpoint_is_heard_of_after_the_reader_died() {
    let list = List::serve().await;
    let zone = zone(&list, 2, 4).await;
    sleep(2 * WITHIN).await;
    zone[0].kill();
    list.leave();
    assert!(all_know(&zone[1..], WITHIN + SLACK).await);
}

/// Guards against a list that grows too old because its gateway doubts it late, and waits anew for a
/// sibling that answers and doesn't read.
#[tokio::test]
async fn a_doubt_does_not_prolong_the_wait_for_a_sibling() {
    let within = Duration::from_secs(4);
    let list = List::serve().await;
    let begun = Instant::now();
    let zone = zone_within(within, &list, 7, 2).await;
    sleep(within / 8).await;
    for task in &zone[0].tasks[1..] {
        task.abort();
    }
    list.leave();
    sleep(within * 3 / 4).await;
    zone[1].gw.list_mismatch.notify_one();
    let left = within.saturating_sub(begun.elapsed());
    assert!(all_know(&zone[1..], left + SLACK).await);
}

/// Guards against a dead reader in whose place every gateway reads.
#[tokio::test]
async fn one_gateway_reads_in_a_dead_readers_place() {
    let list = List::serve().await;
    let zone = zone(&list, 6, 8).await;
    sleep(2 * WITHIN).await;
    zone[0].kill();
    sleep(2 * WITHIN).await;
    let before = list.reads.load(Ordering::Relaxed);
    sleep(4 * WITHIN).await;
    let reads = list.reads.load(Ordering::Relaxed) - before;
    // One alone reads five to six times in this time, seven of them would 28 times or more.
    assert!(reads <= 12, "{reads} readings");
}

/// Guards against work for a leaving endpoint because reader after reader dies.
#[tokio::test]
async fn a_leaving_endpoint_is_heard_of_after_two_readers_died() {
    let list = List::serve().await;
    let zone = zone(&list, 3, 4).await;
    sleep(2 * WITHIN).await;
    zone[0].kill();
    sleep(WITHIN / 2).await;
    zone[1].kill();
    list.leave();
    assert!(all_know(&zone[2..], WITHIN + SLACK).await);
}

/// Guards against work for a leaving endpoint because the reader answers and doesn't read any more.
#[tokio::test]
async fn a_leaving_endpoint_is_heard_of_while_the_reader_only_answers() {
    let list = List::serve().await;
    let zone = zone(&list, 4, 4).await;
    sleep(2 * WITHIN).await;
    zone[0].tasks[1].abort();
    list.leave();
    assert!(all_know(&zone[1..], WITHIN + SLACK).await);
}

/// Guards against a list that one gateway has found wrong and that its reader takes for right.
#[tokio::test]
async fn a_gateway_that_doubts_the_list_has_it_read_again() {
    let list = List::serve().await;
    let zone = zone_within(20 * WITHIN, &list, 5, 3).await;
    sleep(2 * WITHIN).await;
    list.leave();
    zone[2].gw.list_mismatch.notify_one();
    assert!(all_know(&zone, 3 * WITHIN + SLACK).await);
}
