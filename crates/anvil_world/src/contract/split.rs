//! The split of a cost among the budgets of the organisations that share it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ContractError;
use crate::ids::{BudgetId, Tokens};

/// How a team's requests are paid: the paying budgets and their weights.
///
/// The parts from [`Split::divide`] sum exactly to the cost. [`Split::bounds`] gives the amounts to
/// reserve: for any cost up to the bound, no budget's part exceeds its reserved amount.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "BTreeMap<BudgetId, u32>", into = "BTreeMap<BudgetId, u32>")]
pub struct Split {
    weights: BTreeMap<BudgetId, u32>,
}

impl Split {
    /// One budget pays everything.
    pub fn single_payer(budget: BudgetId) -> Self {
        Self {
            weights: BTreeMap::from([(budget, 1)]),
        }
    }

    /// The paying budgets, in order.
    pub fn budgets(&self) -> impl Iterator<Item = &BudgetId> {
        self.weights.keys()
    }

    fn total(&self) -> u128 {
        self.weights.values().map(|w| u128::from(*w)).sum()
    }

    /// Each budget's part of a cost, in tokens; the parts sum to the cost.
    pub fn divide(&self, cost: Tokens) -> impl Iterator<Item = (&BudgetId, Tokens)> {
        let total = self.total();
        let mut weight_so_far = 0_u128;
        self.weights.iter().map(move |(budget, weight)| {
            let before = u128::from(cost) * weight_so_far / total;
            weight_so_far += u128::from(*weight);
            let after = u128::from(cost) * weight_so_far / total;
            (budget, saturate(after - before))
        })
    }

    /// The tokens to reserve from each budget for a cost of at most `bound` tokens.
    pub fn bounds(&self, bound: Tokens) -> impl Iterator<Item = (&BudgetId, Tokens)> {
        let total = self.total();
        self.weights.iter().map(move |(budget, weight)| {
            let part = (u128::from(bound) * u128::from(*weight)).div_ceil(total);
            (budget, saturate(part))
        })
    }
}

fn saturate(tokens: u128) -> Tokens {
    Tokens::try_from(tokens).unwrap_or(Tokens::MAX)
}

impl TryFrom<BTreeMap<BudgetId, u32>> for Split {
    type Error = ContractError;

    fn try_from(weights: BTreeMap<BudgetId, u32>) -> Result<Self, Self::Error> {
        if weights.is_empty() || weights.values().any(|w| *w == 0) {
            return Err(ContractError::BadSplit);
        }
        Ok(Self { weights })
    }
}

impl TryFrom<Vec<(BudgetId, u32)>> for Split {
    type Error = ContractError;

    fn try_from(payers: Vec<(BudgetId, u32)>) -> Result<Self, Self::Error> {
        let count = payers.len();
        let weights: BTreeMap<_, _> = payers.into_iter().collect();
        if weights.len() != count {
            return Err(ContractError::BadSplit);
        }
        Self::try_from(weights)
    }
}

impl From<Split> for BTreeMap<BudgetId, u32> {
    fn from(split: Split) -> Self {
        split.weights
    }
}
