//! Lists of several writers in a JSON document.

use anvilreel::json_items::{self, JsonItems};
use proptest::prelude::*;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct Item {
    id: u32,
    text: String,
}

#[derive(Debug, Deserialize)]
struct Beside {
    next: Option<String>,
}

fn document(items: &[&[u8]]) -> Vec<u8> {
    let items = items.join(&b',');
    [br#"{"list":["#, items.as_slice(), br#"],"next":"x"}"#].concat()
}

/// Text of each item.
const TEXT: &str = "[{,}]";

fn item(id: u32) -> String {
    format!(r#"{{"id":{id},"text":"[{{,}}]","more":[{{"a":1}},{{"b":[2]}}]}}"#)
}

/// Bytes as they occur in documents, and any others.
fn damage() -> impl Strategy<Value = Vec<u8>> {
    let byte = prop_oneof![
        4 => prop::sample::select(br#"{}[]",:\\ue9 "#.to_vec()),
        1 => any::<u8>(),
    ];
    prop::collection::vec(byte, 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against bytes of one item that end the process, or that cost the items before it.
    #[test]
    fn any_bytes_cost_no_item_before_them(damaged in damage()) {
        let (first, second, third) = (item(1), item(2), item(3));
        let text = document(&[first.as_bytes(), second.as_bytes(), &damaged, third.as_bytes()]);
        let read: JsonItems<Item, Beside> = json_items::read(&text, "list").expect("a document");
        prop_assert!(read.items.len() >= 2);
        prop_assert_eq!((read.items[0].id, read.items[1].id), (1, 2));
        let is_whole = |item: &Item| item.text == TEXT;
        prop_assert!(read.items.iter().all(is_whole));
        prop_assert_eq!(read.beside.next.as_deref(), Some("x"));
    }

    /// Guards against an item that ends in the middle, anywhere, and costs those after it.
    #[test]
    fn item_that_ends_in_the_middle_costs_no_other(ends in prop::collection::vec(1..60_usize, 1..4)) {
        let whole = item(0);
        let parts: Vec<_> = ends.iter().map(|end| &whole.as_bytes()[..*end.min(&(whole.len() - 1))]).collect();
        let (first, last) = (item(1), item(2));
        let mut items = vec![first.as_bytes()];
        items.extend(parts);
        items.push(last.as_bytes());
        let read: JsonItems<Item, Beside> = json_items::read(&document(&items), "list").expect("a document");
        let ids: Vec<_> = read.items.iter().map(|item| item.id).collect();
        prop_assert_eq!(ids, [1, 2]);
        prop_assert!(read.unreadable > 0);
    }

    /// Guards against a document of any bytes that ends the process.
    #[test]
    fn any_bytes_are_read_or_refused(text in damage()) {
        let _ = json_items::read::<Item, Beside>(&text, "list");
        let text = [br#"{"list":["#.as_slice(), &text].concat();
        let _ = json_items::read::<Item, Beside>(&text, "list");
    }
}
