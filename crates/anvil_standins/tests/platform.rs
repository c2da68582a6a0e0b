//! Tests of the platform's list and the weight store over HTTP.

use std::time::Duration;

use anvil_standins::client::Client;
use anvil_standins::platform::{self, ListedInstance};
use anvil_standins::weights;
use anvil_world::prelude::*;
use serde_json::Value;

#[tokio::test]
async fn readers_get_the_list_after_its_lag() {
    let lag = Duration::from_millis(200);
    let cfg = platform::Config {
        lag,
        ..platform::Config::default()
    };
    let platform = platform::start(cfg).await.unwrap();
    platform.set(ListedInstance {
        id: "runner-1".into(),
        zone: Zone::new("ke-central", "ke-central-a"),
        addr: platform.addr(),
        presence: Presence::Leaving,
    });
    let url = format!("http://{}/instances", platform.addr());
    let early = Client::default().get(&url).await.unwrap();
    tokio::time::sleep(lag).await;
    let late = Client::default().get(&url).await.unwrap();
    let (early, late): (Value, Value) = (
        serde_json::from_slice(&early.body).unwrap(),
        serde_json::from_slice(&late.body).unwrap(),
    );
    assert_eq!(early["instances"].as_array().unwrap().len(), 0);
    assert_eq!(late["instances"][0]["presence"], "leaving");
}

#[tokio::test]
async fn the_weight_store_refuses_too_many_concurrent_reads() {
    let store = weights::start(weights::Config::default()).await.unwrap();
    let url = format!("http://{}/weights/m", store.addr());
    let client = Client::default();
    let responses = (0..3).map(|_| client.get(&url));
    let responses = futures::future::join_all(responses).await;
    assert!(responses.iter().all(Result::is_ok));
    assert_eq!((store.served(), store.limited()), (2, 1));
}
