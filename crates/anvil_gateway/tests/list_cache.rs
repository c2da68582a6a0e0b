//! Lists sent from gateway to gateway are complete and never older than stated.

use std::time::Duration;

use anvil_gateway::list::cache::ListCache;
use anvil_wire::msg::{ListReply, ListRequest, ListUpdate, ListedEndpoint};
use anvilreel::moment::Moment;

const MAX_AGE: Duration = Duration::from_secs(1);

fn listed(id: &str, leaving: bool) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        service: "desk".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 8,
        leaving,
        warming_up: false,
    }
}

fn request(have: u64, read_within: Duration) -> ListRequest {
    ListRequest {
        have,
        read_within,
        wait: Duration::from_millis(50),
    }
}

/// The cache of a gateway that has just read this list.
fn cache_with(listed: Vec<ListedEndpoint>) -> ListCache {
    let cache = ListCache::default();
    cache.store_reading(Moment::now(), listed);
    cache
}

fn endpoints(cache: &ListCache) -> Vec<(String, bool)> {
    let newest = cache.newest().expect("a list");
    let entries = newest.endpoints();
    entries.map(|l| (l.id.to_string(), l.leaving)).collect()
}

async fn reply(cache: &ListCache, have: u64) -> ListReply {
    cache
        .answer_when_fresh(&request(have, MAX_AGE), MAX_AGE)
        .await
}

#[tokio::test]
async fn applying_changes_yields_the_same_list() {
    let reader = cache_with(vec![listed("a", false), listed("b", false)]);
    let requester = ListCache::default();
    assert!(requester.apply_reply(Moment::now(), reply(&reader, 0).await));
    reader.store_reading(Moment::now(), vec![listed("b", true), listed("c", false)]);
    let received = reply(&reader, requester.version()).await;
    assert!(
        matches!(&received.news, ListUpdate::Changes { listed, gone, .. } if listed.len() == 2 && gone.len() == 1)
    );
    assert!(requester.apply_reply(Moment::now(), received));
    assert_eq!(endpoints(&requester), endpoints(&reader));
    assert_eq!(requester.version(), reader.version());
    let same = reply(&reader, requester.version()).await;
    assert_eq!(same.news, ListUpdate::Same);
}

/// Guards against an outdated list, held by a suspended sibling, being accepted as a newer one.
#[tokio::test]
async fn outdated_list_is_rejected() {
    let reader = cache_with(vec![listed("a", false)]);
    tokio::time::sleep(Duration::from_millis(30)).await;
    let requester = cache_with(vec![listed("a", true)]);
    let received = reply(&reader, requester.version()).await;
    assert!(received.age >= Duration::from_millis(30));
    assert!(!requester.apply_reply(Moment::now(), received));
    assert_eq!(endpoints(&requester), [("a".to_owned(), true)]);
}

/// Guards against changes being applied to a list other than the one they were computed from.
#[tokio::test]
async fn changes_to_another_list_are_rejected() {
    let reader = cache_with(vec![listed("a", false), listed("b", false)]);
    let version = reader.version();
    reader.store_reading(Moment::now(), vec![listed("b", false)]);
    let received = reply(&reader, version).await;
    let requester = cache_with(vec![listed("c", false)]);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let requested_at = Moment::now();
    let altered = ListReply {
        age: Duration::ZERO,
        held_for: Duration::ZERO,
        ..received
    };
    assert!(!requester.apply_reply(requested_at, altered));
    assert_eq!(endpoints(&requester), [("c".to_owned(), false)]);
}

/// Guards against an incomplete received when the requester's version is no longer kept.
#[tokio::test]
async fn requester_with_an_unknown_version_receives_the_complete_list() {
    let reader = cache_with(vec![listed("first", false)]);
    let requester = ListCache::default();
    assert!(requester.apply_reply(Moment::now(), reply(&reader, 0).await));
    for number in 0..10 {
        reader.store_reading(Moment::now(), vec![listed(&format!("e-{number}"), false)]);
    }
    let received = reply(&reader, requester.version()).await;
    assert!(matches!(received.news, ListUpdate::Whole { .. }));
    assert!(requester.apply_reply(Moment::now(), received));
    assert_eq!(endpoints(&requester), endpoints(&reader));
}

/// Guards against a request being answered with the list that the requester has found wrong.
#[tokio::test]
async fn request_after_a_mismatch_waits_for_a_newer_reading() {
    let reader = cache_with(vec![listed("before", false)]);
    let reread_request = request(reader.version(), Duration::ZERO);
    let (received, ()) = tokio::join!(reader.answer_when_fresh(&reread_request, MAX_AGE), async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        reader.store_reading(Moment::now(), vec![listed("after", false)]);
    });
    assert!(matches!(received.news, ListUpdate::Changes { .. }));
}

/// Guards against a duplicate entry that hides that an endpoint is leaving.
#[test]
fn duplicate_entry_is_leaving_if_either_entry_is() {
    let cache = cache_with(vec![listed("a", true), listed("a", false)]);
    assert_eq!(endpoints(&cache), [("a".to_owned(), true)]);
    let cache = cache_with(vec![listed("a", false), listed("a", true)]);
    assert_eq!(endpoints(&cache), [("a".to_owned(), true)]);
}
