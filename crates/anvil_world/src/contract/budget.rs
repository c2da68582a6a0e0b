//! A prepaid budget, as the ledger stores it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ContractError, Grant, GrantState};
use crate::ids::{BudgetId, GrantId, Tokens};

/// A prepaid budget: tokens paid in, tokens charged, and open grants that routers may spend.
///
/// Invariant: `billed + outstanding part of open grants <= credited`. It is checked whenever a command
/// is applied. `billed` includes the settled tokens of open grants, so an open grant adds only its
/// outstanding part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Tokens paid in.
    pub credited: Tokens,
    /// Tokens charged.
    pub billed: Tokens,
    /// Grants not closed yet.
    pub open: BTreeMap<GrantId, Grant>,
}

impl Budget {
    /// Tokens in open grants that are neither settled nor returned.
    pub fn outstanding(&self) -> Tokens {
        self.open.values().map(Grant::outstanding).sum()
    }

    /// Tokens that can still be granted.
    pub fn left(&self) -> Tokens {
        self.credited
            .saturating_sub(self.billed)
            .saturating_sub(self.outstanding())
    }

    /// Whether the invariant holds: no more is granted and charged than was paid in.
    pub fn invariant_holds(&self) -> bool {
        self.billed
            .checked_add(self.outstanding())
            .is_some_and(|used| used <= self.credited)
    }

    /// Adds prepaid tokens.
    pub fn credit(&mut self, amount: Tokens) -> Result<(), ContractError> {
        let credited = self.credited.checked_add(amount);
        self.credited = credited.ok_or(ContractError::Overflow)?;
        Ok(())
    }

    /// Opens a grant if enough tokens are left.
    pub fn open(&mut self, budget: &BudgetId, grant: Grant) -> Result<(), ContractError> {
        let left = self.left();
        if grant.amount > left {
            return Err(ContractError::Exhausted {
                budget: budget.clone(),
                left,
                asked: grant.amount,
            });
        }
        self.open.insert(grant.id, grant);
        Ok(())
    }

    /// Records the cumulative charge of a grant; one below the recorded charge changes nothing.
    pub fn settle(&mut self, id: GrantId, charged: Tokens) -> Result<(), ContractError> {
        let grant = self.open.get_mut(&id);
        let grant = grant.ok_or(ContractError::NoGrant { grant: id })?;
        if charged > grant.amount - grant.returned {
            return Err(ContractError::OverGrant {
                grant: id,
                amount: grant.amount,
                charged,
            });
        }
        let added = charged.saturating_sub(grant.settled);
        grant.settled += added;
        self.billed += added;
        Ok(())
    }

    /// Records the cumulative amount returned from an open grant; one below the recorded amount
    /// changes nothing.
    pub fn return_tokens(&mut self, id: GrantId, returned: Tokens) -> Result<(), ContractError> {
        let grant = self.open.get_mut(&id);
        let grant = grant.ok_or(ContractError::NoGrant { grant: id })?;
        let returned = returned.max(grant.returned);
        if returned > grant.amount - grant.settled {
            return Err(ContractError::OverGrant {
                grant: id,
                amount: grant.amount,
                charged: grant.settled.saturating_add(returned),
            });
        }
        grant.returned = returned;
        Ok(())
    }

    /// Closes a grant at its settled charge; the remainder can be granted again.
    pub fn close(&mut self, id: GrantId) -> Result<Grant, ContractError> {
        self.open
            .remove(&id)
            .ok_or(ContractError::NoGrant { grant: id })
    }

    /// Sets a grant's state to recalled or fenced. A fenced grant stays fenced.
    pub fn set_state(&mut self, id: GrantId, state: GrantState) -> Result<(), ContractError> {
        let grant = self.open.get_mut(&id);
        let grant = grant.ok_or(ContractError::NoGrant { grant: id })?;
        if grant.state != GrantState::Fenced {
            grant.state = state;
        }
        Ok(())
    }
}
