//! Settings files and documents are checked whole, and errors say where and what is allowed.

use anvil_world::document::{ServiceDocument, key_hash};
use anvil_world::prelude::*;
use anvil_world::settings::{LedgerSettings, RouterSettings, read};

const ROUTER: &str = r#"
id = "router-1"
zone = { region = "ke-central", id = "ke-central-a" }
listen = "127.0.0.1:8787"
wire_listen = "127.0.0.1:9001"
ledgers = ["127.0.0.1:9100"]
"#;

fn router_error(text: &str) -> String {
    let read = read::<RouterSettings>("router.toml", text);
    read.expect_err("wrong settings").to_string()
}

#[test]
fn whole_settings_are_taken() {
    assert!(read::<RouterSettings>("router.toml", ROUTER).is_ok());
}

#[test]
fn an_unknown_key_is_named_with_its_line() {
    let e = router_error(&format!("{ROUTER}lisen = 3\n"));
    assert!(e.starts_with("router.toml:7: "), "{e}");
    assert!(e.contains("lisen") && e.contains("listen"), "{e}");
}

#[test]
fn a_wrong_value_is_named_with_what_was_found_and_what_is_allowed() {
    let text = ROUTER.replace("router-1", "Router 1");
    let e = router_error(&text);
    assert!(
        e.starts_with("router.toml:2: id: found \"Router 1\""),
        "{e}"
    );
    assert!(e.contains("allowed is"), "{e}");
}

#[test]
fn every_wrong_value_is_named_at_once() {
    let text = ROUTER
        .replace("router-1", "R")
        .replace("[\"127.0.0.1:9100\"]", "[]");
    assert_eq!(router_error(&text).lines().count(), 2);
}

#[test]
fn a_founder_must_know_itself() {
    let text = r#"
id = "ledger-1"
zone = { region = "ke-central", id = "ke-central-a" }
wire_listen = "127.0.0.1:9100"
data = "ledger"
founders = [{ id = "ledger-2", addr = "127.0.0.1:9101" }]
"#;
    let e = read::<LedgerSettings>("ledger.toml", text).expect_err("not among the founders");
    assert!(e.to_string().contains("ledger.toml:6: founders"), "{e}");
}

#[test]
fn only_what_is_said_to_be_repeatable_may_be_repeated() {
    let text = "kind = \"plain\"\nrepeatable = [\"search\"]\n";
    let service: ServiceDocument = read("services/orders", text).expect("well-formed");
    assert!(service.may_repeat("GET", "orders/7"));
    assert!(service.may_repeat("POST", "search?q=card"));
    assert!(!service.may_repeat("POST", "orders"));
    assert!(!service.may_repeat("POST", "searching"));
}

#[test]
fn a_team_stores_only_digests_of_its_keys() {
    let path = TreePath::try_from("teams/counter").expect("a path");
    let text =
        |key: &str| format!("organisation = \"paper\"\nkeys = [\"{key}\"]\n[split]\nnairobi = 1\n");
    assert!(Document::check(&path, &text(&key_hash(b"secret"))).is_ok());
    let e = Document::check(&path, &text("secret")).expect_err("a bare key");
    assert!(e.to_string().starts_with("teams/counter:2: keys"), "{e}");
}
