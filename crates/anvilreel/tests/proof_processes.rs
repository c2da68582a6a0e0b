//! The real shells over TCP on loopback, under load and faults. What ran is counted at the
//! stand-ins and compared with the bill and with what every caller got.

#[allow(dead_code)]
#[path = "path_fleet/fleet.rs"]
mod fleet;
#[path = "support/ports.rs"]
mod ports;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvil_standins::client::Client;
use anvil_standins::engine;
use anvil_world::prelude::*;
use tokio::time::{sleep, timeout};

use fleet::{Fleet, chat_body, expected, request, streamed_text};

const CHAT: &str = "/v1/chat/completions";
const ORDER: &str = "/services/swatches/orders";
/// Longest time for one try of a caller.
const TRY: Duration = Duration::from_secs(5);
/// How often a caller comes back.
const TRIES: u32 = 60;

/// What all callers got.
#[derive(Default)]
struct Got {
    answers: AtomicU64,
    orders: AtomicU64,
    retries: AtomicU64,
}

/// Where callers reach the routers: they change as routers come and go.
type Addresses = Arc<std::sync::Mutex<Vec<String>>>;

fn slow() -> engine::Config {
    engine::Config {
        token_time: Duration::from_millis(4),
        ..engine::Config::default()
    }
}

fn addresses(fleet: &Fleet) -> Vec<String> {
    let routers = fleet.routers.iter().flatten();
    routers.map(|r| format!("http://{}", r.addr())).collect()
}

fn prompt(number: usize) -> String {
    format!("tokens={} ledger of member {number}", 20 + number % 40)
}

/// One caller that wants one whole answer, and comes back with its key until it has it.
async fn ask(number: usize, to: Addresses, got: Arc<Got>) {
    let (client, key) = (Client::default(), format!("ask-{number}"));
    let headers = [("idempotency-key", key.as_str())];
    let body = chat_body(&prompt(number), true);
    for attempt in 0..TRIES {
        let Some(base) = pick(&to, number + attempt as usize) else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let url = format!("{base}{CHAT}");
        let sent = client.whole(&url, request(&url, &headers, body.clone()));
        if let Ok(Ok(answer)) = timeout(TRY, sent).await
            && answer.status.is_success()
        {
            let (text, done) = streamed_text(&answer.body);
            assert!(
                expected(&prompt(number)).starts_with(&text),
                "{number}: {text}"
            );
            if done {
                assert_eq!(text, expected(&prompt(number)), "whole, but it is not");
                got.answers.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
        got.retries.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(150)).await;
    }
}

/// One member that wants one order placed, and sends it again until it is answered.
async fn order(number: usize, to: Addresses, got: Arc<Got>) {
    let (client, key) = (Client::default(), format!("order-{number}"));
    let headers = [
        ("idempotency-key", key.as_str()),
        ("order-id", key.as_str()),
    ];
    for attempt in 0..TRIES {
        let Some(base) = pick(&to, number + attempt as usize) else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let url = format!("{base}{ORDER}");
        let sent = client.whole(&url, request(&url, &headers, "{}"));
        if let Ok(Ok(answer)) = timeout(2 * TRY, sent).await
            && answer.status.is_success()
        {
            got.orders.fetch_add(1, Ordering::Relaxed);
            return;
        }
        got.retries.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(150)).await;
    }
}

fn pick(to: &Addresses, number: usize) -> Option<String> {
    let to = to.lock().expect("no panic holds it");
    (!to.is_empty()).then(|| to[number % to.len()].clone())
}

/// Compares what ran with what was billed and with what callers got.
async fn compare(fleet: &Fleet, got: &Got, asks: usize, orders: usize, cost: Tokens) {
    let runs: BTreeMap<_, _> = fleet.plain.runs();
    let doubled: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
    assert!(doubled.is_empty(), "orders that ran twice: {doubled:?}");
    let (answers, placed) = (
        got.answers.load(Ordering::Relaxed),
        got.orders.load(Ordering::Relaxed),
    );
    let retries = got.retries.load(Ordering::Relaxed);
    let started = fleet.started();
    let budget = fleet.budget().await;
    println!(
        "{answers} answers of {asks}, {placed} orders of {orders}, {retries} retries, {started} \
         runs started, {} orders ran, billed {}, whole answers and orders cost {cost}",
        runs.len(),
        budget.billed
    );
    assert_eq!((answers, placed), (asks as u64, orders as u64));
    assert!(budget.billed <= budget.credited, "overspent");
}

/// What the answers to so many callers and orders cost, in tokens: the prompt's as the engine
/// counts them, asked for once.
async fn cost_of(fleet: &Fleet, asks: usize) -> Tokens {
    let mut cost = 0;
    for number in 0..asks {
        let answer = fleet.chat(0, None, &prompt(number)).await;
        let total = fleet::json(&answer)["usage"]["total_tokens"].as_u64();
        cost += total.expect("a number");
    }
    cost
}

/// Every router is killed with streams open, one after the other, and replaced, while clients
/// retry by key. A member would see a cut stream, and on the retry its whole answer, paid once.
#[tokio::test(flavor = "multi_thread")]
async fn routers_die_while_clients_retry() {
    const ASKS: usize = 24;
    const ORDERS: usize = 12;
    let mut fleet = Fleet::start_with(3, 2, slow()).await;
    let cost = cost_of(&fleet, ASKS).await;
    fleet.billed(cost).await;
    let to: Addresses = Arc::new(std::sync::Mutex::new(addresses(&fleet)));
    let got = Arc::new(Got::default());
    let mut callers = Vec::new();
    for number in 0..ASKS {
        callers.push(tokio::spawn(ask(number, to.clone(), got.clone())));
    }
    for number in 0..ORDERS {
        callers.push(tokio::spawn(order(number, to.clone(), got.clone())));
    }
    for slot in 0..2 {
        sleep(Duration::from_millis(120)).await;
        fleet.routers[slot].take().expect("it runs").kill();
        *to.lock().expect("no panic holds it") = addresses(&fleet);
        let next = fleet.router(slot).await;
        fleet.routers[slot] = Some(next);
        *to.lock().expect("no panic holds it") = addresses(&fleet);
    }
    for caller in callers {
        caller.await.expect("what a caller got is right");
    }
    let all = 2 * cost + ORDERS as Tokens;
    compare(&fleet, &got, ASKS, ORDERS, all).await;
    // Killed routers' grants are closed by the sidecars' evidence, so the bill comes to it.
    fleet.billed(all).await;
}

/// Every router is replaced under load, one after the other, by a planned stop, and money is paid
/// in meanwhile. No answer is cut short, and everything is billed once.
#[tokio::test(flavor = "multi_thread")]
async fn routers_are_replaced_under_load() {
    const ASKS: usize = 16;
    let mut fleet = Fleet::start_with(2, 2, slow()).await;
    let cost = cost_of(&fleet, ASKS).await;
    fleet.billed(cost).await;
    let to: Addresses = Arc::new(std::sync::Mutex::new(addresses(&fleet)));
    let got = Arc::new(Got::default());
    let callers: Vec<_> = (0..ASKS)
        .map(|number| tokio::spawn(ask(number, to.clone(), got.clone())))
        .collect();
    for slot in 0..2 {
        let stopping = fleet.routers[slot].take().expect("it runs");
        *to.lock().expect("no panic holds it") = addresses(&fleet);
        let next = fleet.router(slot).await;
        // A planned stop returns when the last stream has ended.
        timeout(fleet::PATIENCE, stopping.stop())
            .await
            .expect("it ends");
        fleet.routers[slot] = Some(next);
        *to.lock().expect("no panic holds it") = addresses(&fleet);
        fleet.top_up(&format!("during-{slot}"), 1_000).await;
    }
    for caller in callers {
        caller.await.expect("what a caller got is right");
    }
    compare(&fleet, &got, ASKS, 0, 2 * cost).await;
    fleet.billed(2 * cost).await;
}
