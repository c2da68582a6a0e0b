//! The list as it is told from gateway to gateway: never older than it says, and whole.

use std::time::Duration;

use anvil_gateway::list_cache::{ListCache, Moment};
use anvil_wire::msg::{ListAsk, ListNews, ListReply, Listed};

const SECOND: Duration = Duration::from_secs(1);

fn listed(id: &str, leaving: bool) -> Listed {
    Listed {
        id: id.into(),
        service: "desk".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 8,
        leaving,
    }
}

fn ask(have: u64, read_within: Duration) -> ListAsk {
    ListAsk {
        have,
        read_within,
        wait: Duration::from_millis(50),
    }
}

/// A gateway that has read this list now.
fn having(listed: Vec<Listed>) -> ListCache {
    let listings = ListCache::default();
    listings.store_reading(Moment::now(), listed);
    listings
}

fn endpoints(listings: &ListCache) -> Vec<(String, bool)> {
    let newest = listings.newest().expect("a list");
    let told = newest.endpoints();
    told.map(|l| (l.id.to_string(), l.leaving)).collect()
}

async fn reply(from: &ListCache, have: u64) -> ListReply {
    from.answer_when_fresh(&ask(have, SECOND), SECOND).await
}

#[tokio::test]
async fn changes_lead_to_the_same_list() {
    let reader = having(vec![listed("a", false), listed("b", false)]);
    let other = ListCache::default();
    assert!(other.apply_reply(Moment::now(), reply(&reader, 0).await));
    reader.store_reading(Moment::now(), vec![listed("b", true), listed("c", false)]);
    let told = reply(&reader, other.version()).await;
    assert!(
        matches!(&told.news, ListNews::Changes { listed, gone, .. } if listed.len() == 2 && gone.len() == 1)
    );
    assert!(other.apply_reply(Moment::now(), told));
    assert_eq!(endpoints(&other), endpoints(&reader));
    assert_eq!(other.version(), reader.version());
    let same = reply(&reader, other.version()).await;
    assert_eq!(same.news, ListNews::Same);
}

/// Guards against a list of before a sibling's freeze that is taken for a new one.
#[tokio::test]
async fn an_old_list_is_not_taken_for_a_new_one() {
    let reader = having(vec![listed("a", false)]);
    tokio::time::sleep(Duration::from_millis(30)).await;
    let other = having(vec![listed("a", true)]);
    let told = reply(&reader, other.version()).await;
    assert!(told.age >= Duration::from_millis(30));
    assert!(!other.apply_reply(Moment::now(), told));
    assert_eq!(endpoints(&other), [("a".to_owned(), true)]);
}

/// Guards against changes that are laid over another list than they were made from.
#[tokio::test]
async fn changes_of_another_list_are_refused() {
    let reader = having(vec![listed("a", false), listed("b", false)]);
    let before = reader.version();
    reader.store_reading(Moment::now(), vec![listed("b", false)]);
    let told = reply(&reader, before).await;
    let other = having(vec![listed("c", false)]);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let asked = Moment::now();
    let told = ListReply {
        age: Duration::ZERO,
        held_for: Duration::ZERO,
        ..told
    };
    assert!(!other.apply_reply(asked, told));
    assert_eq!(endpoints(&other), [("c".to_owned(), false)]);
}

/// Guards against a gateway that has forgotten the asker's list and tells nothing of it.
#[tokio::test]
async fn an_asker_that_is_far_behind_is_sent_the_whole_list() {
    let reader = having(vec![listed("first", false)]);
    let other = ListCache::default();
    assert!(other.apply_reply(Moment::now(), reply(&reader, 0).await));
    for number in 0..10 {
        reader.store_reading(Moment::now(), vec![listed(&format!("e-{number}"), false)]);
    }
    let told = reply(&reader, other.version()).await;
    assert!(matches!(told.news, ListNews::Whole { .. }));
    assert!(other.apply_reply(Moment::now(), told));
    assert_eq!(endpoints(&other), endpoints(&reader));
}

/// Guards against a question that is answered with the list that the asker has found wrong.
#[tokio::test]
async fn a_doubted_list_is_answered_by_a_newer_reading_only() {
    let reader = having(vec![listed("before", false)]);
    let doubt = ask(reader.version(), Duration::ZERO);
    let (told, ()) = tokio::join!(reader.answer_when_fresh(&doubt, SECOND), async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        reader.store_reading(Moment::now(), vec![listed("after", false)]);
    });
    assert!(matches!(told.news, ListNews::Changes { .. }));
}

/// Guards against an entry that another writer repeats and that hides an endpoint's leaving.
#[test]
fn an_endpoint_that_is_listed_twice_leaves_if_either_says_so() {
    let listings = having(vec![listed("a", true), listed("a", false)]);
    assert_eq!(endpoints(&listings), [("a".to_owned(), true)]);
    let listings = having(vec![listed("a", false), listed("a", true)]);
    assert_eq!(endpoints(&listings), [("a".to_owned(), true)]);
}
