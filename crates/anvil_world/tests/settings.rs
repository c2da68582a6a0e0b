//! Tests of the validation of settings files and documents, and of its error messages.

use anvil_world::document::{ServiceDocument, key_hash};
use anvil_world::prelude::*;
use anvil_world::settings::{LedgerSettings, RouterSettings, parse_settings};

const ROUTER: &str = r#"
id = "router-1"
zone = { region = "ke-central", id = "ke-central-a" }
listen = "127.0.0.1:8787"
wire_listen = "127.0.0.1:9001"
ledgers = ["127.0.0.1:9100"]
"#;

fn router_error(text: &str) -> String {
    let result = parse_settings::<RouterSettings>("router.toml", text);
    result.expect_err("invalid settings").to_string()
}

#[test]
fn valid_settings_are_accepted() {
    assert!(parse_settings::<RouterSettings>("router.toml", ROUTER).is_ok());
}

#[test]
fn error_for_an_unknown_key_names_key_and_line() {
    let e = router_error(&format!("{ROUTER}lisen = 3\n"));
    assert!(e.starts_with("router.toml:7: "), "{e}");
    assert!(e.contains("lisen") && e.contains("listen"), "{e}");
}

#[test]
fn error_for_an_invalid_value_names_found_and_allowed_values() {
    let text = ROUTER.replace("router-1", "Router 1");
    let e = router_error(&text);
    assert!(
        e.starts_with("router.toml:2: id: found \"Router 1\""),
        "{e}"
    );
    assert!(e.contains("allowed is"), "{e}");
}

#[test]
fn all_invalid_values_are_reported_at_once() {
    let text = ROUTER
        .replace("router-1", "R")
        .replace("[\"127.0.0.1:9100\"]", "[]");
    assert_eq!(router_error(&text).lines().count(), 2);
}

#[test]
fn founders_without_the_replica_itself_are_rejected() {
    let text = r#"
id = "ledger-1"
zone = { region = "ke-central", id = "ke-central-a" }
wire_listen = "127.0.0.1:9100"
data = "ledger"
founders = [{ id = "ledger-2", addr = "127.0.0.1:9101" }]
"#;
    let e =
        parse_settings::<LedgerSettings>("ledger.toml", text).expect_err("not among the founders");
    assert!(e.to_string().contains("ledger.toml:6: founders"), "{e}");
}

#[test]
fn only_get_and_listed_calls_may_be_repeated() {
    let text = "kind = \"plain\"\nrepeatable = [\"search\"]\n";
    let service: ServiceDocument = parse_settings("services/orders", text).expect("valid document");
    assert!(service.may_repeat("GET", "orders/7"));
    assert!(service.may_repeat("POST", "search?q=card"));
    assert!(!service.may_repeat("POST", "orders"));
    assert!(!service.may_repeat("POST", "searching"));
}

#[test]
fn team_document_with_a_plain_text_key_is_rejected() {
    let path = TreePath::try_from("teams/counter").expect("valid path");
    let text =
        |key: &str| format!("organisation = \"paper\"\nkeys = [\"{key}\"]\n[split]\nnairobi = 1\n");
    assert!(Document::check(&path, &text(&key_hash(b"secret"))).is_ok());
    let e = Document::check(&path, &text("secret")).expect_err("plain-text key");
    assert!(e.to_string().starts_with("teams/counter:2: keys"), "{e}");
}
