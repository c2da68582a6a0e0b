//! Fixture for tests of the state: documents of a small fleet, and helpers for commands.

#![allow(dead_code, missing_docs)]

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_ledger::state::State;
use anvil_world::command::{
    Change, Denial, Edit, GrantBatch, GrantBatchAnswer, GrantReport, GrantRequest, Join, TopUp,
    change_id,
};
use anvil_world::prelude::*;

pub fn at(second: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000 + second)
}

/// A state and the position of its next command.
#[derive(Clone, Default)]
pub struct Fixture {
    pub state: State,
    next: u64,
}

impl Fixture {
    /// An organisation, two budgets with 1,000 tokens each, and a team that splits 60 to 40.
    pub fn with_team() -> Self {
        let mut f = Self::default();
        f.put("organisations/paper", "");
        for budget in ["mombasa", "nairobi"] {
            f.put(&format!("budgets/{budget}"), "organisation = \"paper\"");
            f.top_up(budget, 1_000);
        }
        f.put("teams/counter", &team("", "mombasa = 60\nnairobi = 40"));
        f
    }

    pub fn apply(&mut self, command: &Command) -> Answer {
        self.next += 1;
        let answer = self.state.apply(self.next, 1, command);
        self.state.check_all().expect("the invariants hold");
        answer
    }

    pub fn change(&self, id: &str, path: &str, expected: Revision, text: &str) -> Change {
        Change {
            id: change_id(at(0), id),
            operator: "wanjiru".into(),
            path: TreePath::try_from(path).expect("a path"),
            expected,
            edit: Edit::Put(text.into()),
            at: at(self.next),
        }
    }

    /// Writes a document, whatever its current revision.
    pub fn put(&mut self, path: &str, text: &str) {
        let tree_path = TreePath::try_from(path).expect("a path");
        let current = self.state.tree().get(&tree_path);
        let revision = current.map_or(0, |entry| entry.revision);
        let id = format!("put-{}", self.next);
        let change = self.change(&id, path, revision, text);
        let answer = self.apply(&Command::Change(change));
        assert!(matches!(answer, Answer::Changed(_)), "{answer:?}");
    }

    pub fn top_up(&mut self, budget: &str, amount: Tokens) {
        let top_up = TopUp {
            id: change_id(at(0), &format!("top-{}", self.next)),
            operator: "wanjiru".into(),
            budget: budget.into(),
            amount,
            at: at(self.next),
        };
        let answer = self.apply(&Command::TopUp(top_up));
        assert!(matches!(answer, Answer::Changed(_)), "{answer:?}");
    }

    pub fn grants(&mut self, batch: GrantBatch) -> Result<GrantBatchAnswer, Denial> {
        match self.apply(&Command::GrantBatch(batch)) {
            Answer::Grants(answer) => Ok(answer),
            Answer::Denied(denial) => Err(denial),
            other => unreachable!("{other:?}"),
        }
    }

    pub fn join(&mut self, id: &str, incarnation: Incarnation, role: Role) -> Answer {
        let instance = Instance {
            id: id.into(),
            incarnation,
            role,
            zone: Zone::default(),
            addr: ([127, 0, 0, 1], 9_000).into(),
            endpoint: None,
        };
        self.apply(&Command::Join(Join { instance }))
    }
}

pub fn team(keys: &str, split: &str) -> String {
    format!("organisation = \"paper\"\nkeys = [{keys}]\n[split]\n{split}\n")
}

pub fn batch(router: &str, incarnation: Incarnation, seq: BatchSeq) -> GrantBatch {
    GrantBatch {
        router: router.into(),
        incarnation,
        seq,
        reports: Vec::new(),
        asks: Vec::new(),
    }
}

pub fn asking(mut batch: GrantBatch, budget: &str, wanted: Tokens, least: Tokens) -> GrantBatch {
    batch.asks.push(GrantRequest {
        budget: budget.into(),
        wanted,
        least,
    });
    batch
}

pub fn reporting(
    mut batch: GrantBatch,
    grant: GrantId,
    settled: Tokens,
    close: bool,
) -> GrantBatch {
    batch.reports.push(GrantReport {
        grant,
        settled,
        returned: 0,
        close,
    });
    batch
}
