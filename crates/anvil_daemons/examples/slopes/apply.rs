//! Time that the ledger takes to apply a command.

use std::time::Instant;

use anvil_world::prelude::*;

use crate::fit::{Slope, point};
use crate::sample::{FilledState, claim, grant_request, report, team};

/// Number of times that each command is applied; the median is reported.
const REPETITIONS: usize = 101;

/// All slopes of this group, in nanoseconds.
pub fn slopes() -> Vec<Slope> {
    vec![
        reports(),
        shared_budget(),
        held_grants(),
        claims(),
        changes(),
    ]
}

/// The median time to apply a command, in nanoseconds.
fn median_time(
    filled: &mut FilledState,
    mut next: impl FnMut(&mut FilledState, u64) -> Command,
) -> u64 {
    let mut times: Vec<u64> = (0..REPETITIONS as u64)
        .map(|number| {
            let command = next(filled, number);
            let start = Instant::now();
            filled.apply(&command);
            u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX)
        })
        .collect();
    times.sort_unstable();
    times[REPETITIONS / 2]
}

fn reports() -> Slope {
    let sizes = [10, 50, 200, 1_000];
    let points = sizes.map(|size| {
        let mut filled = FilledState::default();
        filled.budgets(size);
        filled.grants(1, size);
        let time = median_time(&mut filled, |filled, number| {
            let reports = (1..=size).map(|grant| report(grant, number)).collect();
            filled.batch(0, reports, Vec::new())
        });
        point(size, time)
    });
    Slope {
        what: "apply a grant batch",
        unit: "ns a report",
        points: points.to_vec(),
    }
}

/// A batch with one report, on a budget of which each of `size` routers holds a grant.
fn shared_budget() -> Slope {
    let sizes = [65, 130, 260, 520, 1_040];
    let points = sizes.map(|size| {
        let mut filled = FilledState::default();
        filled.budgets(1);
        filled.grants(size, 1);
        let time = median_time(&mut filled, |filled, number| {
            filled.batch(0, vec![report(1, number)], Vec::new())
        });
        point(size, time)
    });
    Slope {
        what: "apply a report on a shared budget",
        unit: "ns a grant open on it",
        points: points.to_vec(),
    }
}

/// A batch with one request for a grant, from a router that holds `size` grants.
fn held_grants() -> Slope {
    let sizes = [100, 1_000, 4_000, 16_000];
    let points = sizes.map(|size| {
        let mut filled = FilledState::default();
        filled.budgets(size);
        filled.grants(1, size);
        let time = median_time(&mut filled, |filled, number| {
            filled.batch(0, Vec::new(), vec![grant_request(number % size, 10)])
        });
        point(size, time)
    });
    Slope {
        what: "apply one ask",
        unit: "ns a grant that its router holds",
        points: points.to_vec(),
    }
}

fn claims() -> Slope {
    let sizes = [10_000, 50_000, 200_000];
    let points = sizes.map(|size| {
        let mut filled = FilledState::default();
        filled.claims(size);
        let time = median_time(&mut filled, |_, number| claim(size + number));
        point(size, time)
    });
    Slope {
        what: "apply a claim",
        unit: "ns a claim that is kept",
        points: points.to_vec(),
    }
}

fn changes() -> Slope {
    let sizes = [1_000, 10_000, 60_000];
    let points = sizes.map(|size| {
        let mut filled = FilledState::default();
        filled.budgets(1_000);
        filled.teams(size, 1_000);
        let time = median_time(&mut filled, |filled, number| {
            let text = team(number + size, "prepaid-workshop-00001");
            filled.change("teams/workshop-team-00007", &text)
        });
        point(size, time)
    });
    Slope {
        what: "apply a change of a team",
        unit: "ns a team in the tree",
        points: points.to_vec(),
    }
}
