//! The operators' side of [`LedgerClient`]: who asks, how long, and what is known at the end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{Query, QueryAnswer};
use anvil_world::prelude::*;

use super::OperatorError;
use crate::ledger_client::{LedgerClient, LedgerError};

/// A client of the ledger's replicas.
#[derive(Clone)]
pub struct Client {
    ledger: Arc<LedgerClient>,
    tried: Vec<SocketAddr>,
    operator: OperatorId,
    within: Duration,
}

impl Client {
    /// A client of these replicas, with 10 s for each action.
    pub fn new(ledgers: &[SocketAddr]) -> Self {
        Self {
            ledger: Arc::new(LedgerClient::new(ledgers)),
            tried: ledgers.to_vec(),
            operator: "operator".into(),
            within: Duration::from_secs(10),
        }
    }

    /// Who the changes are made by.
    pub fn with_operator(mut self, operator: OperatorId) -> Self {
        self.operator = operator;
        self
    }

    /// How long an action may take.
    pub fn with_time(mut self, within: Duration) -> Self {
        self.within = within;
        self
    }

    /// Who the changes are made by.
    pub fn operator(&self) -> &OperatorId {
        &self.operator
    }

    /// How long an action may take.
    pub fn within(&self) -> Duration {
        self.within
    }

    /// Puts a command into the log, resending it under the same id while the end is in doubt.
    ///
    /// Failure: the leader dies after it committed and before it answered. Asking the next
    /// leader again is safe, for the ledger gives a known id its first answer.
    pub async fn propose(&self, id: &ChangeId, command: Command) -> Result<Answer, OperatorError> {
        match self.ledger.propose(command, self.within).await {
            Ok(Answer::Denied(source)) => Err(OperatorError::Denied { source }),
            Ok(answer) => Ok(answer),
            Err(LedgerError::Unreachable) => Err(self.not_done()),
            Err(LedgerError::InDoubt) => Err(OperatorError::NotKnown { id: id.clone() }),
            Err(LedgerError::WrongKind) => Err(OperatorError::Unexpected),
        }
    }

    /// Reads, confirmed by a majority.
    pub async fn query(&self, query: Query) -> Result<QueryAnswer, OperatorError> {
        match self.ledger.query(query, self.within).await {
            Ok(answer) => Ok(answer),
            Err(LedgerError::WrongKind) => Err(OperatorError::Unexpected),
            // A read changes nothing, so a lost answer is as good as none.
            Err(_) => Err(self.not_done()),
        }
    }

    fn not_done(&self) -> OperatorError {
        let tried: Vec<_> = self.tried.iter().map(ToString::to_string).collect();
        OperatorError::NotDone {
            tried: tried.join(", "),
        }
    }
}
