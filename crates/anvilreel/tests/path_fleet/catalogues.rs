//! The events and metrics in the code match the pages that document them.

use std::collections::BTreeMap;
use std::path::PathBuf;

use anvilreel::{events, ledger_service, metrics};

fn page(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    std::fs::read_to_string(path).expect("a page")
}

/// Cells of the table rows whose first cell satisfies `is_row`.
fn rows(page: &str, is_row: impl Fn(&str) -> bool) -> Vec<Vec<String>> {
    let rows = page.lines().filter_map(|line| line.strip_prefix("| "));
    let cells = rows.map(|row| {
        row.split(" | ")
            .map(|cell| cell.trim_matches([' ', '|']).to_owned())
            .collect::<Vec<_>>()
    });
    cells.filter(|cells| is_row(&cells[0])).collect()
}

/// First number of the events that belong to crates which depend on this one.
const FIRST_DEPENDENT_EVENT: u16 = 6_000;

#[test]
fn events_in_code_and_docs_match() {
    let page = page("EVENTS.md");
    // Events of the dependent crates are compared with their code in their own tests.
    let own = |number: u16| number < FIRST_DEPENDENT_EVENT;
    let rows = rows(&page, |first| first.parse().is_ok_and(own));
    let mut documented = BTreeMap::new();
    for row in rows {
        assert_eq!(
            row.len(),
            5,
            "number, name, level, meaning, what to do: {row:?}"
        );
        assert!(!row[3].is_empty() && !row[4].is_empty(), "{row:?}");
        let number: u16 = row[0].parse().expect("a number");
        let twice = documented.insert(number, (row[1].clone(), row[2].clone()));
        assert_eq!(twice, None, "event {number} is listed twice");
    }
    let own = events::ALL.iter().map(|e| (e.number, e.name, e.level));
    let ledger = ledger_service::events::ALL
        .iter()
        .map(|e| (e.number, e.name, e.level));
    let in_code: BTreeMap<_, _> = own
        .chain(ledger)
        .map(|(number, name, level)| {
            let level = level.as_str().to_lowercase();
            (number, (format!("`{name}`"), level))
        })
        .collect();
    assert_eq!(documented, in_code);
}

#[test]
fn metrics_in_code_and_docs_match() {
    let page = page("METRICS.md");
    let rows = rows(&page, |first| first.starts_with('`'));
    let documented: BTreeMap<_, _> = rows
        .into_iter()
        .map(|row| (row[0].clone(), row[1].clone()))
        .collect();
    let in_code: BTreeMap<_, _> = metrics::ALL
        .iter()
        .map(|(name, unit)| (format!("`{name}`"), (*unit).to_owned()))
        .collect();
    assert_eq!(documented, in_code);
}
