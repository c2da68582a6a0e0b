//! Requests that wait in front of endpoints without room.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_gateway::table::Route;
use anvil_gateway::wait::{ServiceQueue, WaitRequest, WaitingPlace, Wake};
use anvil_policy::waiting::Urgency;
use anvilreel::metrics::Metrics;
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep, timeout};

use crate::client::{Client, ClientResponse};
use crate::endpoint::{Step, TestEndpoint, response, response_with};
use crate::gateway::{SERVICE, TestGateway, listed, routes, table};

/// Target of the routes.
const TARGET: Duration = Duration::from_millis(800);
/// Time in which the endpoint processes a request.
const WORK: Duration = Duration::from_millis(150);
/// Longest wait for a state that follows without a timer.
const PATIENCE: Duration = Duration::from_secs(2);

/// A gateway in front of one engine with one slot.
struct Setup {
    gateway: TestGateway,
    endpoint: TestEndpoint,
    render_metrics: Box<dyn Fn() -> String>,
}

impl Setup {
    async fn start(work: Duration) -> Self {
        let respond = move |_, req: &_| vec![Step::Pause(work), Step::Send(response(req, "ran"))];
        Self::start_with(TestEndpoint::start(respond).await, 1).await
    }

    async fn start_with(endpoint: TestEndpoint, slots: u32) -> Self {
        let (metrics, registry) = Metrics::in_memory("gateway");
        let log = Logger::root(Discard, o!());
        let gateway = TestGateway::start_with(&[], log, metrics).await;
        let mut engine = listed("engine-1", endpoint.addr);
        engine.slots = slots;
        gateway.gw.directory.apply_list(&[engine]);
        let mut routes = routes();
        for route in &mut routes {
            route.target_latency = TARGET;
        }
        let urgent = Route {
            name: "urgent".into(),
            prefix: "/urgent/".into(),
            priority_class: 0,
            ..routes[1].clone()
        };
        routes.push(urgent);
        gateway.gw.table.store(Some(Arc::new(table(1, routes))));
        Self {
            gateway,
            endpoint,
            render_metrics: Box::new(move || registry.render()),
        }
    }

    /// Sends a request with a prompt, or without one to a path that ends with `plain`.
    async fn send(&self, path: &str, id: &str) -> Client {
        let mut client = Client::connect(self.gateway.addr).await;
        let tokens = if path.ends_with("plain") {
            ""
        } else {
            "x-tokens: 10,1\r\n"
        };
        let headers = format!("content-length: 0\r\n{tokens}");
        client.send(path, id, &headers).await;
        client
    }

    /// Sends a request that reaches the endpoint at once.
    async fn send_running(&self, path: &str, id: &str) -> Client {
        let received = self.endpoint.received().len();
        let client = self.send(path, id).await;
        until(|| self.endpoint.received().len() > received).await;
        client
    }

    /// Sends a request that waits.
    async fn send_waiting(&self, path: &str, id: &str) -> Client {
        let waiting = self.waiting();
        let client = self.send(path, id).await;
        until(|| self.waiting() > waiting).await;
        client
    }

    fn queue(&self) -> Arc<ServiceQueue> {
        let directory = &self.gateway.gw.directory;
        directory.queue(SERVICE).expect("listed")
    }

    fn waiting(&self) -> u64 {
        self.gateway.gw.directory.count_waiting()
    }

    fn received_ids(&self) -> Vec<String> {
        let received = self.endpoint.received();
        let ids = received.iter().filter_map(|req| req.header("x-id"));
        ids.map(String::from).collect()
    }

    fn assert_counted(&self, name: &str, count: u32) {
        let metrics = (self.render_metrics)();
        let line = format!("anvilreel_gateway_{name} {count}\n");
        assert!(metrics.contains(&line), "no {line} in {metrics}");
    }
}

/// A request that any endpoint may run.
fn wait_request(queue: &ServiceQueue) -> WaitRequest {
    WaitRequest {
        organisation: "co-op".into(),
        route: "once".into(),
        shares: Arc::default(),
        urgency: Urgency {
            class: 0,
            is_new: true,
        },
        target: Instant::now() + TARGET,
        deadline: Instant::now() + 2 * TARGET,
        min_wait: Duration::ZERO,
        is_restricted: false,
        unclaimed: queue.unclaimed(),
    }
}

async fn woken(place: &mut WaitingPlace) {
    let woken = timeout(TARGET / 2, place.woken()).await;
    assert_eq!(woken.expect("a wake-up"), Ok(()));
}

async fn until(reached: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !reached() {
        assert!(started_at.elapsed() < PATIENCE, "not reached");
        sleep(Duration::from_millis(1)).await;
    }
}

async fn responses(clients: Vec<Client>) -> Vec<ClientResponse> {
    let mut responses = Vec::new();
    for mut client in clients {
        responses.push(client.read_response().await);
    }
    responses
}

async fn assert_served(clients: Vec<Client>) {
    let responses = responses(clients).await;
    assert!(responses.iter().all(|r| r.status == 200), "{responses:?}");
}

/// Guards against a request that is refused, or sent to a full engine, although a slot becomes free
/// before its target; and against waking more requests than slots become free.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_for_the_next_free_slot() {
    let setup = Setup::start(WORK).await;
    let clients = vec![
        setup.send_running("/once/x", "1").await,
        setup.send_waiting("/once/x", "2").await,
        setup.send_waiting("/once/x", "3").await,
    ];
    assert_served(clients).await;
    let arrivals = setup.endpoint.arrivals();
    assert!(arrivals.windows(2).all(|pair| pair[1] - pair[0] >= WORK));
    assert_eq!(setup.waiting(), 0);
    setup.assert_counted("queue_joined", 2);
    setup.assert_counted("queue_wake_ups", 2);
}

/// Guards against waiting requests that are started in order of arrival.
#[tokio::test(flavor = "multi_thread")]
async fn most_urgent_request_is_started_first() {
    let setup = Setup::start(WORK).await;
    let clients = vec![
        setup.send_running("/once/x", "1").await,
        setup.send_waiting("/once/x", "usual").await,
        setup.send_waiting("/urgent/x", "urgent").await,
    ];
    assert_served(clients).await;
    assert_eq!(setup.received_ids(), ["1", "urgent", "usual"]);
}

/// Guards against a request that keeps its place, and reaches an endpoint, after its client has
/// left.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_a_client_that_leaves_is_removed() {
    let setup = Setup::start(WORK).await;
    let first = setup.send_running("/once/x", "1").await;
    let leaving = setup.send_waiting("/once/x", "left").await;
    drop(leaving);
    until(|| setup.waiting() == 0).await;
    let last = setup.send_waiting("/once/x", "2").await;
    assert_served(vec![first, last]).await;
    assert_eq!(setup.received_ids(), ["1", "2"]);
}

/// Guards against a new request overtaking those that wait, and against a place that is lost
/// because the request woken for it has left.
#[tokio::test(flavor = "multi_thread")]
async fn new_request_waits_behind_others_and_takes_the_place_of_one_that_left() {
    let setup = Setup::start(WORK).await;
    let queue = setup.queue();
    let place = queue.join(&wait_request(&queue)).expect("a place");
    let client = setup.send_waiting("/once/x", "1").await;
    assert_eq!(setup.endpoint.received().len(), 0);
    queue.free_place(Wake::Place);
    drop(place);
    assert_served(vec![client]).await;
    assert_eq!(setup.waiting(), 0);
}

/// Guards against a free place that only others can use staying unused, because the request whose
/// turn it is may not run there.
#[tokio::test(flavor = "multi_thread")]
async fn place_that_a_request_can_not_use_goes_to_the_next_one() {
    let setup = Setup::start(WORK).await;
    let queue = setup.queue();
    let restricted = WaitRequest {
        is_restricted: true,
        ..wait_request(&queue)
    };
    let mut restricted = queue.join(&restricted).expect("a place");
    let mut next = queue.join(&wait_request(&queue)).expect("a place");
    queue.free_place(Wake::Place);
    woken(&mut restricted).await;
    restricted.put_back(queue.unclaimed(), Duration::ZERO);
    woken(&mut next).await;
    next.started(false);
    queue.free_place(Wake::Place);
    woken(&mut restricted).await;
}

/// Guards against streams that clients take up waiting behind new requests.
#[tokio::test(flavor = "multi_thread")]
async fn taken_up_stream_is_woken_before_new_requests() {
    let setup = Setup::start(WORK).await;
    let queue = setup.queue();
    let taken_up = WaitRequest {
        urgency: Urgency::first_of(0),
        ..wait_request(&queue)
    };
    let mut new = queue.join(&wait_request(&queue)).expect("a place");
    let mut taken_up = queue.join(&taken_up).expect("a place");
    queue.free_place(Wake::Place);
    woken(&mut taken_up).await;
    taken_up.started(false);
    queue.free_place(Wake::Place);
    woken(&mut new).await;
}

/// Guards against a request that waits although a place became free just before it began to wait.
#[tokio::test(flavor = "multi_thread")]
async fn place_that_becomes_free_before_the_wait_is_noticed() {
    let setup = Setup::start(WORK).await;
    let queue = setup.queue();
    let req = wait_request(&queue);
    queue.free_place(Wake::Place);
    let mut place = queue.join(&req).expect("a place");
    woken(&mut place).await;
}

/// Guards against a request that waits although a place became free just before it began to wait,
/// while another one was found not to be free.
#[tokio::test]
async fn place_that_becomes_free_beside_one_that_is_in_use_is_noticed() {
    let queue = Arc::new(ServiceQueue::new(SERVICE.into()));
    let mut other = queue.join(&wait_request(&queue)).expect("a place");
    queue.free_place(Wake::Place);
    woken(&mut other).await;
    let mut req = wait_request(&queue);
    queue.free_place_if(Wake::Place, || {
        req = wait_request(&queue);
        queue.free_place(Wake::Place);
        false
    });
    let mut place = queue.join(&req).expect("a place");
    woken(&mut place).await;
}

/// Guards against a free place that stays unused, because the request woken for it leaves while the
/// next one has found others waiting and does not wait itself yet.
#[tokio::test]
async fn place_of_a_request_that_leaves_is_noticed_by_one_that_begins_to_wait() {
    let queue = Arc::new(ServiceQueue::new(SERVICE.into()));
    let mut leaving = queue.join(&wait_request(&queue)).expect("a place");
    queue.free_place(Wake::Place);
    woken(&mut leaving).await;
    let req = wait_request(&queue);
    drop(leaving);
    let mut place = queue.join(&req).expect("a place");
    woken(&mut place).await;
}

/// Guards against a free place that stays unused, because it became free while the only request
/// that waited was already woken for another one.
#[tokio::test]
async fn second_place_beside_a_woken_request_goes_to_the_next_one() {
    let queue = Arc::new(ServiceQueue::new(SERVICE.into()));
    let mut first = queue.join(&wait_request(&queue)).expect("a place");
    queue.free_place(Wake::Place);
    woken(&mut first).await;
    queue.free_place(Wake::Place);
    let mut next = queue.join(&wait_request(&queue)).expect("a place");
    first.started(false);
    woken(&mut next).await;
}

/// Guards against a request that waits although the window has grown just before it began to wait.
#[tokio::test(start_paused = true)]
async fn window_that_grows_before_the_wait_is_noticed() {
    let queue = Arc::new(ServiceQueue::new(SERVICE.into()));
    queue.record_sent();
    sleep(2 * WORK).await;
    queue.record_report(9, 1);
    assert!(!queue.has_window_room());
    let req = wait_request(&queue);
    for _ in 0..100 {
        queue.record_offer();
    }
    sleep(2 * WORK).await;
    queue.record_report(0, 1);
    assert!(queue.has_window_room());
    let mut place = queue.join(&req).expect("a place");
    woken(&mut place).await;
}

/// Guards against a request being held that can't start before its target.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_can_not_start_in_time_is_refused_at_once() {
    let work = 2 * TARGET;
    let setup = Setup::start(work).await;
    // The gateway learns how long requests take.
    assert_served(vec![setup.send_running("/once/x", "1").await]).await;
    let running = setup.send_running("/once/x", "2").await;
    let started_at = Instant::now();
    let refused = vec![setup.send("/once/x", "3").await];
    let refused = responses(refused).await.remove(0);
    assert!(started_at.elapsed() < TARGET / 2);
    assert_eq!(refused.status, 503, "{refused:?}");
    let retry_after = refused.retry_after().expect("a retry time");
    assert!((0.25..4.0).contains(&retry_after.as_secs_f64()));
    assert_served(vec![running]).await;
    assert_eq!(setup.received_ids(), ["1", "2"]);
    setup.assert_counted("queue_refused", 1);
}

/// Guards against a router that has no more requests in flight than before, and lets others wait,
/// after the load of other routers has fallen.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_requests_use_all_slots_that_others_have_left() {
    // All four slots are in use as the first request ends, one of them as the next one does.
    let respond = |number, req: &_| {
        let load = if number == 0 { "4,0,4" } else { "1,0,4" };
        let lines = format!("x-load: {load}\r\n");
        vec![
            Step::Pause(WORK),
            Step::Send(response_with(req, &lines, "ran")),
        ]
    };
    let setup = Setup::start_with(TestEndpoint::start(respond).await, 4).await;
    assert_served(vec![setup.send_running("/once/x", "0").await]).await;
    let clients = vec![
        setup.send_running("/once/x", "1").await,
        setup.send_waiting("/once/x", "2").await,
        setup.send_waiting("/once/x", "3").await,
        setup.send_waiting("/once/x", "4").await,
    ];
    assert_served(clients).await;
    let arrivals = setup.endpoint.arrivals();
    assert!(arrivals[2] - arrivals[1] >= WORK);
    assert!(arrivals[4] - arrivals[2] < WORK, "{arrivals:?}");
}

/// Guards against a gateway that fills the queues of plain endpoints that report congestion, and
/// against requests that wait for good after it.
#[tokio::test(flavor = "multi_thread")]
async fn plain_requests_wait_while_endpoints_report_congestion() {
    let respond = |number, req: &_| {
        let load = if number == 0 { "4,20,4" } else { "1,0,4" };
        let lines = format!("x-load: {load}\r\n");
        vec![
            Step::Pause(WORK),
            Step::Send(response_with(req, &lines, "ran")),
        ]
    };
    let setup = Setup::start_with(TestEndpoint::start(respond).await, 4).await;
    assert_served(vec![setup.send_running("/once/plain", "0").await]).await;
    let clients = vec![
        setup.send_running("/once/plain", "1").await,
        setup.send_waiting("/once/plain", "2").await,
        setup.send_waiting("/once/plain", "3").await,
    ];
    assert_served(clients).await;
    let arrivals = setup.endpoint.arrivals();
    assert!(arrivals[2] - arrivals[1] >= WORK);
    assert_eq!(setup.waiting(), 0);
}

/// Guards against requests that are refused, or never woken, while an endpoint's limit allows
/// another one soon: no response ends at that moment.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_until_a_limit_allows_them() {
    // Ten a second.
    let respond = |_, req: &_| vec![Step::Send(response_with(req, "x-limit: 10000\r\n", "ran"))];
    let setup = Setup::start_with(TestEndpoint::start(respond).await, 8).await;
    setup.gateway.gw.gateway_count.store(1, Ordering::Relaxed);
    setup.gateway.gw.gateway_rank.store(0, Ordering::Relaxed);
    // The gateway learns the limit.
    assert_served(vec![setup.send_running("/once/x", "0").await]).await;
    let mut clients = Vec::new();
    for number in 1..=5 {
        clients.push(setup.send("/once/x", &format!("{number}")).await);
    }
    assert_served(clients).await;
    let arrivals = setup.endpoint.arrivals();
    let took = arrivals[5] - arrivals[0];
    assert!(took >= Duration::from_millis(300), "{took:?}");
    assert_eq!(setup.waiting(), 0);
}
