//! End-to-end tests over TCP on loopback, under load and faults. The stand-in endpoints count what
//! ran; the counts are compared with the billed tokens and with the responses of all callers.

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
/// Timeout of one attempt of a caller.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of attempts of a caller.
const MAX_ATTEMPTS: u32 = 60;

/// Counts over all callers.
#[derive(Default)]
struct Counts {
    answers: AtomicU64,
    orders: AtomicU64,
    retries: AtomicU64,
}

/// Base URLs of the running routers; updated as routers are stopped and started.
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

/// One caller that sends one chat request, and retries it with the same key until its response is
/// complete.
async fn chat_until_complete(number: usize, router_urls: Addresses, counts: Arc<Counts>) {
    let (client, key) = (Client::default(), format!("ask-{number}"));
    let headers = [("idempotency-key", key.as_str())];
    let body = chat_body(&prompt(number), true);
    for attempt in 0..MAX_ATTEMPTS {
        let Some(base) = pick_router(&router_urls, number + attempt as usize) else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let url = format!("{base}{CHAT}");
        let sent = client.fetch(&url, request(&url, &headers, body.clone()));
        if let Ok(Ok(answer)) = timeout(ATTEMPT_TIMEOUT, sent).await
            && answer.status.is_success()
        {
            let (text, done) = streamed_text(&answer.body);
            assert!(
                expected(&prompt(number)).starts_with(&text),
                "{number}: {text}"
            );
            if done {
                assert_eq!(text, expected(&prompt(number)), "ended, but is incomplete");
                counts.answers.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
        counts.retries.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(150)).await;
    }
}

/// One caller that places one order, and retries it with the same key until it succeeds.
async fn order_until_accepted(number: usize, router_urls: Addresses, counts: Arc<Counts>) {
    let (client, key) = (Client::default(), format!("order-{number}"));
    let headers = [
        ("idempotency-key", key.as_str()),
        ("order-id", key.as_str()),
    ];
    for attempt in 0..MAX_ATTEMPTS {
        let Some(base) = pick_router(&router_urls, number + attempt as usize) else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let url = format!("{base}{ORDER}");
        let sent = client.fetch(&url, request(&url, &headers, "{}"));
        if let Ok(Ok(answer)) = timeout(2 * ATTEMPT_TIMEOUT, sent).await
            && answer.status.is_success()
        {
            counts.orders.fetch_add(1, Ordering::Relaxed);
            return;
        }
        counts.retries.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(150)).await;
    }
}

fn pick_router(router_urls: &Addresses, number: usize) -> Option<String> {
    let router_urls = router_urls.lock().expect("not poisoned");
    (!router_urls.is_empty()).then(|| router_urls[number % router_urls.len()].clone())
}

/// Checks that no order ran twice, every caller succeeded and the budget was not overspent.
async fn check_counts(fleet: &Fleet, counts: &Counts, chats: usize, orders: usize, cost: Tokens) {
    let runs: BTreeMap<_, _> = fleet.plain.run_counts();
    let run_twice: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
    assert!(
        run_twice.is_empty(),
        "orders that ran more than once: {run_twice:?}"
    );
    let (answers, placed) = (
        counts.answers.load(Ordering::Relaxed),
        counts.orders.load(Ordering::Relaxed),
    );
    let retries = counts.retries.load(Ordering::Relaxed);
    let started = fleet.started_runs();
    let budget = fleet.budget().await;
    println!(
        "{answers} answers of {chats}, {placed} orders of {orders}, {retries} retries, {started} \
         runs started, {} orders ran, billed {}, whole answers and orders cost {cost}",
        runs.len(),
        budget.billed
    );
    assert_eq!((answers, placed), (chats as u64, orders as u64));
    assert!(budget.billed <= budget.credited, "overspent");
}

/// Total cost in tokens of the responses to this many chat requests, as the engines report it.
/// Sends each request once.
async fn cost_of(fleet: &Fleet, chats: usize) -> Tokens {
    let mut cost = 0;
    for number in 0..chats {
        let answer = fleet.chat(0, None, &prompt(number)).await;
        let total = fleet::json(&answer)["usage"]["total_tokens"].as_u64();
        cost += total.expect("a number");
    }
    cost
}

/// Routers are killed with open streams, one after the other, and replaced, while clients retry by
/// key. A caller may see a truncated stream; its retry must get the complete response, billed once.
#[tokio::test(flavor = "multi_thread")]
async fn routers_crash_while_clients_retry() {
    const CHATS: usize = 24;
    const ORDERS: usize = 12;
    let mut fleet = Fleet::start_with(3, 2, slow()).await;
    let cost = cost_of(&fleet, CHATS).await;
    fleet.wait_until_billed(cost).await;
    let router_urls: Addresses = Arc::new(std::sync::Mutex::new(addresses(&fleet)));
    let counts = Arc::new(Counts::default());
    let mut callers = Vec::new();
    for number in 0..CHATS {
        callers.push(tokio::spawn(chat_until_complete(
            number,
            router_urls.clone(),
            counts.clone(),
        )));
    }
    for number in 0..ORDERS {
        callers.push(tokio::spawn(order_until_accepted(
            number,
            router_urls.clone(),
            counts.clone(),
        )));
    }
    for slot in 0..2 {
        sleep(Duration::from_millis(120)).await;
        fleet.routers[slot].take().expect("it is running").kill();
        *router_urls.lock().expect("not poisoned") = addresses(&fleet);
        let next = fleet.start_router(slot).await;
        fleet.routers[slot] = Some(next);
        *router_urls.lock().expect("not poisoned") = addresses(&fleet);
    }
    for caller in callers {
        caller.await.expect("every response is correct");
    }
    let total_cost = 2 * cost + ORDERS as Tokens;
    check_counts(&fleet, &counts, CHATS, ORDERS, total_cost).await;
    // The grants of the killed routers are closed by the sidecars' evidence, so that all their
    // charges are billed in the end.
    fleet.wait_until_billed(total_cost).await;
}

/// Every router is replaced under load by a planned stop, one after the other, while the budget is
/// topped up. No response may be truncated, and each must be billed once.
#[tokio::test(flavor = "multi_thread")]
async fn routers_are_replaced_under_load() {
    const CHATS: usize = 16;
    let mut fleet = Fleet::start_with(2, 2, slow()).await;
    let cost = cost_of(&fleet, CHATS).await;
    fleet.wait_until_billed(cost).await;
    let router_urls: Addresses = Arc::new(std::sync::Mutex::new(addresses(&fleet)));
    let counts = Arc::new(Counts::default());
    let callers: Vec<_> = (0..CHATS)
        .map(|number| {
            tokio::spawn(chat_until_complete(
                number,
                router_urls.clone(),
                counts.clone(),
            ))
        })
        .collect();
    for slot in 0..2 {
        let stopping = fleet.routers[slot].take().expect("it is running");
        *router_urls.lock().expect("not poisoned") = addresses(&fleet);
        let next = fleet.start_router(slot).await;
        // A planned stop returns after the last stream has ended.
        timeout(fleet::WAIT_TIMEOUT, stopping.stop())
            .await
            .expect("the planned stop ends");
        fleet.routers[slot] = Some(next);
        *router_urls.lock().expect("not poisoned") = addresses(&fleet);
        fleet.top_up(&format!("during-{slot}"), 1_000).await;
    }
    for caller in callers {
        caller.await.expect("every response is correct");
    }
    check_counts(&fleet, &counts, CHATS, 0, 2 * cost).await;
    fleet.wait_until_billed(2 * cost).await;
}
