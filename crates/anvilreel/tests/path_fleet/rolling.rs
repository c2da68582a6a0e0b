//! Everything is replaced, one after the other, while callers go on calling.

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

const CLERKS: usize = 6;
const QUESTIONS: usize = 30;
const TRIES: usize = 200;
const RETRY: Duration = Duration::from_millis(25);

type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

/// A clerk that asks one question after the other, each under its own key, through any router.
struct Clerk {
    number: usize,
    client: Client,
    routers: Addresses,
}

impl Clerk {
    /// Retries through the next router until there is an answer.
    async fn send(&self, path: &str, headers: &[(&str, &str)], body: &str) -> serde_json::Value {
        let mut refusals = Vec::new();
        for turn in 0..TRIES {
            let addr = {
                let routers = self.routers.lock().expect("not poisoned");
                routers[(self.number + turn) % routers.len()]
            };
            let url = format!("http://{addr}{path}");
            let sent = self
                .client
                .whole(&url, request(&url, headers, body.to_owned()));
            match sent.await {
                Ok(answer) if answer.status == 200 && path.starts_with("/v1") => {
                    let json = json(&answer);
                    assert!(!text(&answer).is_empty());
                    return json;
                }
                Ok(answer) if answer.status == 200 => return json(&answer),
                Ok(answer) => {
                    let error = json(&answer)["error"].clone();
                    let mends = error["retry_after_ms"].is_u64();
                    assert!(mends || error["outcome"] == "not_run", "{error}");
                    refusals.push(error["type"].to_string());
                }
                // A connection that was closed between two requests.
                Err(_) => refusals.push("closed".into()),
            }
            sleep(RETRY).await;
        }
        refusals.dedup();
        panic!("no answer for clerk {}: {refusals:?}", self.number);
    }

    /// Returns what the answers cost by their own word.
    async fn work(self) -> u64 {
        let mut cost = 0;
        for number in 0..QUESTIONS {
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

/// A fleet with clerks at work.
struct Noon {
    fleet: Fleet,
    routers: Addresses,
    clerks: JoinSet<u64>,
}

impl Noon {
    async fn start() -> Self {
        let fleet = Fleet::start_with(2, 2, slow()).await;
        let addrs = fleet.routers.iter().flatten().map(Router::addr).collect();
        let routers: Addresses = Arc::new(Mutex::new(addrs));
        let mut clerks = JoinSet::new();
        for number in 0..CLERKS {
            let (client, routers) = (fleet.client.clone(), routers.clone());
            let clerk = Clerk {
                number,
                client,
                routers,
            };
            clerks.spawn(clerk.work());
        }
        Self {
            fleet,
            routers,
            clerks,
        }
    }

    async fn replace_router(&mut self, number: usize) {
        let router = self.fleet.router(number).await;
        self.routers.lock().expect("not poisoned")[number] = router.addr();
        self.fleet.routers[number] = Some(router);
    }

    /// Every answer was whole, everything ran once, and the bill is what the answers said.
    async fn check(mut self) {
        let mut cost = 0;
        while let Some(worked) = self.clerks.join_next().await {
            cost += worked.expect("every answer was whole");
        }
        let runs = u64::try_from(CLERKS * QUESTIONS).expect("a small number");
        assert_eq!(self.fleet.started(), runs, "each question ran once");
        let orders = self.fleet.plain.runs();
        assert!(orders.values().all(|ran| *ran == 1), "{orders:?}");
        assert_eq!(orders.len(), CLERKS * QUESTIONS / 5);
        self.fleet.billed(cost).await;
    }
}

/// A new version is rolled out at noon. Every router and every engine's sidecar is replaced
/// while clerks ask and order. None may see a cut answer or a refusal that a retry does not
/// mend, nothing may run twice, and the bill must be what the answers said.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_nothing_short_and_bills_once() {
    let mut noon = Noon::start().await;
    for number in 0..2 {
        let router = noon.fleet.routers[number].take().expect("it runs");
        router.stop().await;
        noon.replace_router(number).await;
        sleep(Duration::from_millis(300)).await;
    }
    for number in 0..2 {
        let fleet = &mut noon.fleet;
        let beside = &mut fleet.engines[number];
        beside.sidecar.take().expect("it runs").stop().await;
        let engine = beside.engine.addr();
        let settings =
            sidecar_settings(number + 1, fleet.ledger_addr, engine, EndpointKind::Engine);
        fleet.engines[number].sidecar = Some(start_sidecar(&settings).await);
        sleep(Duration::from_millis(300)).await;
    }
    noon.check().await;
}

/// Routers die one after the other with answers half out and come back empty, and clients retry.
/// Without claims and evidence, questions would run twice, and what the dead routers had charged
/// would be billed twice or never.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_die_under_load_leave_one_run_and_one_bill() {
    let mut noon = Noon::start().await;
    for round in 0..4 {
        sleep(Duration::from_millis(200)).await;
        let number = round % 2;
        noon.fleet.routers[number].take().expect("it runs").kill();
        sleep(Duration::from_millis(100)).await;
        noon.replace_router(number).await;
    }
    noon.check().await;
}
