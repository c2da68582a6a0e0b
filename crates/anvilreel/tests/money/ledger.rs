//! The ledger's real state, called directly without a network.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_ledger::state::State;
use anvil_wire::msg::BudgetBalance;
use anvil_world::command::{Change, Edit, GrantBatch, GrantBatchAnswer, TopUp, change_id};
use anvil_world::prelude::*;

/// The ledger's state with some budgets.
pub struct Ledger {
    /// The state.
    pub state: State,
    index: LogIndex,
}

impl Ledger {
    /// A ledger whose budget has this much credit.
    pub fn with(credit: Tokens) -> Self {
        Self::with_budgets([("nairobi".into(), credit)])
    }

    /// A ledger with these budgets and their credits.
    pub fn with_budgets(credits: impl IntoIterator<Item = (BudgetId, Tokens)>) -> Self {
        let mut ledger = Self {
            state: State::default(),
            index: 0,
        };
        ledger.put("organisations/paper", "");
        for (budget, credit) in credits {
            ledger.put(&format!("budgets/{budget}"), "organisation = \"paper\"");
            ledger.top_up(&budget, credit, "first");
        }
        ledger
    }

    /// Credits a budget; `name` makes the top-up different from others of the budget.
    pub fn top_up(&mut self, budget: &BudgetId, amount: Tokens, name: &str) {
        self.apply(&Command::TopUp(TopUp {
            id: change_id(std::time::UNIX_EPOCH, &format!("{budget} {name}")),
            operator: "wanjiru".into(),
            budget: budget.clone(),
            amount,
            at: std::time::UNIX_EPOCH,
        }));
    }

    fn put(&mut self, path: &str, text: &str) {
        self.apply(&Command::Change(Change {
            id: change_id(std::time::UNIX_EPOCH, path),
            operator: "wanjiru".into(),
            path: TreePath::try_from(path).expect("a valid path"),
            expected: 0,
            edit: Edit::Put(text.into()),
            at: std::time::UNIX_EPOCH,
        }));
    }

    /// Applies a command and checks the invariants.
    pub fn apply(&mut self, command: &Command) -> Answer {
        self.index += 1;
        let answer = self.state.apply(self.index, 1, command);
        self.state
            .check_all()
            .expect("the invariants of the ledger hold");
        answer
    }

    /// The balances of these budgets.
    pub fn balances(&self, budgets: &[BudgetId]) -> BTreeMap<BudgetId, BudgetBalance> {
        let balance = |id: &BudgetId| {
            let budget = self.state.budget(id).expect("the budget exists");
            let (left, billed) = (budget.left(), budget.billed);
            (id.clone(), BudgetBalance { left, billed })
        };
        budgets.iter().map(balance).collect()
    }

    /// Answers a grant account's batch.
    pub fn answer(&mut self, batch: GrantBatch) -> GrantBatchAnswer {
        match self.apply(&Command::GrantBatch(batch)) {
            Answer::Grants(answer) => answer,
            other => panic!("{other:?}"),
        }
    }
}

/// A time in milliseconds.
pub fn at(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// The split with `nairobi` as the only budget that pays.
pub fn split() -> Split {
    Split::single_payer("nairobi".into())
}
