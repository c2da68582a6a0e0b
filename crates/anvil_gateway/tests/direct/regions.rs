//! Requests that may run in some regions only. The gateway is in the region `local`.

use std::sync::Arc;
use std::time::Duration;

use anvil_gateway::regions::AllowedRegions;
use anvil_gateway::table::RouteTable;
use tokio::time::Instant;

use crate::client::{Client, ClientResponse};
use crate::endpoint::{Step, TestEndpoint, chunk, event, stream_end, stream_head};
use crate::gateway::{TestGateway, listed, routes, table};

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::only(regions.iter().map(|region| (*region).into()))
}

/// A table in which all routes are restricted to these regions.
fn restricted(regions: &[&str]) -> RouteTable {
    let mut routes = routes();
    for route in &mut routes {
        route.regions = only(regions);
    }
    table(1, routes)
}

/// A gateway with endpoints in `local-a`, `away-a` and a zone whose region is unknown.
async fn start_gateway(endpoints: &[&TestEndpoint; 3], table: RouteTable) -> TestGateway {
    let gateway = TestGateway::start_empty().await;
    let zones = ["local-a", "away-a", "elsewhere-a"];
    let list: Vec<_> = endpoints
        .iter()
        .zip(zones)
        .map(|(endpoint, zone)| {
            let mut listed = listed(zone, endpoint.addr);
            listed.zone = zone.into();
            listed
        })
        .collect();
    gateway.gw.directory.apply_list(&list);
    gateway.gw.table.store(Some(Arc::new(table)));
    gateway
}

async fn send(gateway: &TestGateway, path: &str) -> ClientResponse {
    let mut client = Client::connect(gateway.addr).await;
    client.request(path, "id", "").await
}

/// Guards against a request that runs in a region which its route does not allow, because the
/// endpoint there is nearer or the only one left.
#[tokio::test]
async fn restricted_request_runs_only_in_its_regions() {
    let endpoints = [
        TestEndpoint::answering().await,
        TestEndpoint::answering().await,
        TestEndpoint::answering().await,
    ];
    let [local, away, unknown] = &endpoints;
    let gateway = start_gateway(&[local, away, unknown], restricted(&["away"])).await;
    for _ in 0..10 {
        assert_eq!(send(&gateway, "/once/x").await.status, 200);
    }
    assert_eq!(away.received().len(), 10);
    assert!(local.received().is_empty() && unknown.received().is_empty());
}

/// Guards against a request that waits, or runs elsewhere, if no endpoint is in its regions.
#[tokio::test]
async fn request_without_endpoints_in_its_regions_is_refused_at_once() {
    let endpoint = TestEndpoint::answering().await;
    let table = restricted(&["nowhere"]);
    let gateway = start_gateway(&[&endpoint, &endpoint, &endpoint], table).await;
    let sent_at = Instant::now();
    let response = send(&gateway, "/idempotent/x").await;
    assert_eq!(response.status, 503);
    assert!(sent_at.elapsed() < Duration::from_millis(200));
    assert!(response.retry_after().is_some());
    assert!(endpoint.received().is_empty());
}

/// Guards against a stream that is resumed outside its regions.
#[tokio::test]
async fn stream_is_resumed_only_in_its_regions() {
    let breaking = TestEndpoint::start(|_, req| {
        vec![
            Step::Send(stream_head(req)),
            Step::Send(chunk(&event(1))),
            Step::Reset,
        ]
    })
    .await;
    let resuming = TestEndpoint::start(|_, req| {
        let rest = [stream_head(req), chunk(&event(2)), stream_end()];
        vec![Step::Send(rest.concat())]
    })
    .await;
    let table = restricted(&["local"]);
    let gateway = start_gateway(&[&breaking, &resuming, &resuming], table).await;
    assert!(!send(&gateway, "/resumed/x").await.complete);
    assert!(resuming.received().is_empty());
}

/// Guards against one restriction that overrides the other: where a route and an organisation both
/// name regions, both bind.
#[test]
fn restrictions_of_route_and_organisation_both_bind() {
    let (any, home) = (AllowedRegions::default(), only(&["a", "b"]));
    let region = |name: &str| Some(anvil_world::prelude::RegionId::from(name));
    for (restriction, name, allowed) in [
        (any.and(&any), "a", true),
        (any.and(&home), "b", true),
        (home.and(&any), "c", false),
        (home.and(&only(&["b", "c"])), "b", true),
        (home.and(&only(&["b", "c"])), "a", false),
        (home.and(&only(&["c"])), "c", false),
    ] {
        assert_eq!(restriction.allows(region(name).as_ref()), allowed, "{name}");
    }
    assert!(any.allows(None) && !home.allows(None));
}
