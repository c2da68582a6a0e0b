//! The documented events and metrics match the code.

use std::collections::BTreeMap;
use std::path::PathBuf;

use anvil_gateway::log_events;
use anvil_gateway::reply::Cause;

/// Number of the gateway's first event.
const FIRST_EVENT_NUMBER: u16 = 6_000;

#[test]
fn documented_events_match_the_code() {
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
        if number < FIRST_EVENT_NUMBER {
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

#[test]
fn documented_metrics_match_the_code() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(path).expect("a page");
    let rows = page
        .lines()
        .filter_map(|line| line.strip_prefix("| gateway `"));
    let listed: BTreeMap<_, _> = rows
        .map(|row| {
            let (name, rest) = row.split_once("` | ").expect("a name");
            let (unit, _) = rest.split_once(" | ").expect("a unit");
            (name.to_owned(), unit.to_owned())
        })
        .collect();
    let code: BTreeMap<_, _> = anvil_gateway::metrics::ALL
        .iter()
        .map(|(name, unit)| ((*name).to_owned(), (*unit).to_owned()))
        .collect();
    assert_eq!(listed, code);
    for cause in Cause::ALL {
        assert!(page.contains(&format!("`{}`", cause.text())), "{cause:?}");
    }
}
