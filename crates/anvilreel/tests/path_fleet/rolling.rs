//! Processes are replaced one after the other while callers send requests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvil_standins::client::Client;
use anvil_standins::engine;
use anvil_world::settings::EndpointKind;
use anvilreel::router::Router;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::fleet::{
    Fleet, chat_body, expected, json, request, sidecar_settings, start_sidecar, text,
};

const CALLERS: usize = 6;
const CHATS_PER_CALLER: usize = 30;
const MAX_ATTEMPTS: usize = 200;
const RETRY_PAUSE: Duration = Duration::from_millis(25);

type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

/// A caller that sends one chat request after the other, each with its own key, to any router.
struct Caller {
    number: usize,
    client: Client,
    routers: Addresses,
}

impl Caller {
    /// Retries through the next router until the request succeeds.
    async fn send(&self, path: &str, headers: &[(&str, &str)], body: &str) -> serde_json::Value {
        let mut refusals = Vec::new();
        for attempt in 0..MAX_ATTEMPTS {
            let addr = {
                let routers = self.routers.lock().expect("not poisoned");
                routers[(self.number + attempt) % routers.len()]
            };
            let url = format!("http://{addr}{path}");
            let sent = self
                .client
                .fetch(&url, request(&url, headers, body.to_owned()));
            match sent.await {
                Ok(answer) if answer.status == 200 && path.starts_with("/v1") => {
                    let json = json(&answer);
                    assert!(!text(&answer).is_empty());
                    return json;
                }
                Ok(answer) if answer.status == 200 => return json(&answer),
                Ok(answer) => {
                    let error = json(&answer)["error"].clone();
                    let is_retryable = error["retry_after_ms"].is_u64();
                    assert!(is_retryable || error["outcome"] == "not_run", "{error}");
                    refusals.push(error["type"].to_string());
                }
                // The connection was closed between two requests.
                Err(_) => refusals.push("closed".into()),
            }
            sleep(RETRY_PAUSE).await;
        }
        refusals.dedup();
        panic!("no response for caller {}: {refusals:?}", self.number);
    }

    /// Sends all requests and returns their total cost according to the usage in the responses.
    async fn work(self) -> u64 {
        let mut cost = 0;
        for number in 0..CHATS_PER_CALLER {
            let key = format!("clerk-{}-{number}", self.number);
            let prompt = format!("tokens=20 {key}");
            let headers = [("idempotency-key", key.as_str())];
            let body = chat_body(&prompt, false);
            let answer = self.send("/v1/chat/completions", &headers, &body).await;
            let content = &answer["choices"][0]["message"]["content"];
            assert_eq!(*content, expected(&prompt));
            cost += answer["usage"]["total_tokens"].as_u64().expect("a number");
            if number % 5 == 0 {
                let order = format!("order-{key}");
                let headers = [("idempotency-key", &*order), ("order-id", &*order)];
                self.send("/services/swatches/orders", &headers, "{}").await;
                cost += 1;
            }
        }
        cost
    }
}

fn slow() -> engine::Config {
    engine::Config {
        token_time: Duration::from_millis(2),
        ..engine::Config::default()
    }
}

/// A fleet under load.
struct LoadedFleet {
    fleet: Fleet,
    routers: Addresses,
    callers: JoinSet<u64>,
}

impl LoadedFleet {
    async fn start() -> Self {
        let fleet = Fleet::start_with(2, 2, slow()).await;
        let addrs = fleet.routers.iter().flatten().map(Router::addr).collect();
        let routers: Addresses = Arc::new(Mutex::new(addrs));
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let (client, routers) = (fleet.client.clone(), routers.clone());
            let caller = Caller {
                number,
                client,
                routers,
            };
            callers.spawn(caller.work());
        }
        Self {
            fleet,
            routers,
            callers,
        }
    }

    async fn replace_router(&mut self, number: usize) {
        let router = self.fleet.start_router(number).await;
        self.routers.lock().expect("not poisoned")[number] = router.addr();
        self.fleet.routers[number] = Some(router);
    }

    /// Checks that every response was complete, every request ran once, and the billed tokens are
    /// those that the responses report.
    async fn check(mut self) {
        let mut cost = 0;
        while let Some(caller_cost) = self.callers.join_next().await {
            cost += caller_cost.expect("every response is complete");
        }
        let runs = u64::try_from(CALLERS * CHATS_PER_CALLER).expect("a small number");
        assert_eq!(
            self.fleet.started_runs(),
            runs,
            "each chat request ran once"
        );
        let orders = self.fleet.plain.run_counts();
        assert!(orders.values().all(|ran| *ran == 1), "{orders:?}");
        assert_eq!(orders.len(), CALLERS * CHATS_PER_CALLER / 5);
        self.fleet.wait_until_billed(cost).await;
    }
}

/// Every router and every engine's sidecar is replaced by planned stops under load. No caller may
/// see a truncated response or a refusal that can't be retried, no request may run twice, and the
/// billed tokens must be those that the responses report.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_truncates_no_response_and_bills_once() {
    let mut loaded = LoadedFleet::start().await;
    for number in 0..2 {
        let router = loaded.fleet.routers[number].take().expect("it is running");
        router.stop().await;
        loaded.replace_router(number).await;
        sleep(Duration::from_millis(300)).await;
    }
    for number in 0..2 {
        let fleet = &mut loaded.fleet;
        let engine_with_sidecar = &mut fleet.engines[number];
        engine_with_sidecar
            .sidecar
            .take()
            .expect("it is running")
            .stop()
            .await;
        let engine = engine_with_sidecar.engine.addr();
        let settings =
            sidecar_settings(number + 1, fleet.ledger_addr, engine, EndpointKind::Engine);
        fleet.engines[number].sidecar = Some(start_sidecar(&settings).await);
        sleep(Duration::from_millis(300)).await;
    }
    loaded.check().await;
}

/// Routers crash one after the other in the middle of responses and restart without state, and
/// clients retry. Without claims and evidence, requests would run twice, and the charges of the
/// crashed routers would be billed twice or never.
#[tokio::test(flavor = "multi_thread")]
async fn router_crashes_under_load_cause_no_second_run_or_charge() {
    let mut loaded = LoadedFleet::start().await;
    for round in 0..4 {
        sleep(Duration::from_millis(200)).await;
        let number = round % 2;
        loaded.fleet.routers[number]
            .take()
            .expect("it is running")
            .kill();
        sleep(Duration::from_millis(100)).await;
        loaded.replace_router(number).await;
    }
    loaded.check().await;
}
