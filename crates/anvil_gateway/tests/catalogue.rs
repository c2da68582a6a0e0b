//! Code and catalogue hold together.

use std::collections::BTreeMap;
use std::path::PathBuf;

use anvil_gateway::log_events;

/// Number of the gateway's first event.
const FIRST: u16 = 6_000;

#[test]
fn every_event_stands_in_the_catalogue_and_the_other_way_round() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let page = std::fs::read_to_string(path).expect("a page");
    let mut listed = BTreeMap::new();
    for row in page.lines().filter_map(|line| line.strip_prefix("| ")) {
        let cells: Vec<_> = row
            .split(" | ")
            .map(|c| c.trim_matches([' ', '|']))
            .collect();
        let Ok(number) = cells[0].parse::<u16>() else {
            continue;
        };
        if number < FIRST {
            continue;
        }
        assert_eq!(cells.len(), 5, "number, name, level, meaning, what to do");
        assert!(!cells[3].is_empty() && !cells[4].is_empty(), "{row}");
        let known = listed.insert(number, (cells[1].to_owned(), cells[2].to_owned()));
        assert_eq!(known, None, "event {number} is listed twice");
    }
    let code: BTreeMap<_, _> = log_events::ALL
        .iter()
        .map(|e| {
            let level = e.level.as_str().to_lowercase();
            (e.number, (format!("`{}`", e.name), level))
        })
        .collect();
    assert_eq!(listed, code);
}
