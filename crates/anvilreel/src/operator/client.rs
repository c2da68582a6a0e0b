//! The operators' wrapper around [`LedgerClient`]: adds the operator's name and a timeout, and
//! maps failures to errors that say whether a change was made.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{Query, QueryAnswer};
use anvil_world::prelude::*;

use super::OperatorError;
use crate::ledger_client::{LedgerClient, LedgerError};

/// Timeout of a query that a leader of an earlier build does not answer.
const NEW_QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of the ledger, for one operator.
#[derive(Clone)]
pub struct Client {
    ledger: Arc<LedgerClient>,
    addrs: Vec<SocketAddr>,
    operator: OperatorId,
    timeout: Duration,
}

impl Client {
    /// Creates a client of these replicas, with a timeout of 10 s for each action.
    pub fn new(ledgers: &[SocketAddr]) -> Self {
        Self {
            ledger: Arc::new(LedgerClient::new(ledgers)),
            addrs: ledgers.to_vec(),
            operator: "operator".into(),
            timeout: Duration::from_secs(10),
        }
    }

    /// Sets the operator recorded with each change.
    pub fn with_operator(mut self, operator: OperatorId) -> Self {
        self.operator = operator;
        self
    }

    /// Sets the timeout of an action.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// The operator recorded with each change.
    pub fn operator(&self) -> &OperatorId {
        &self.operator
    }

    /// The timeout of an action.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// The client of the ledger.
    pub(super) fn ledger(&self) -> &LedgerClient {
        &self.ledger
    }

    /// Appends a command to the ledger's log, resending it under the same id while its outcome is
    /// in doubt.
    ///
    /// A leader may crash after it has committed the command and before it has replied. Resending
    /// to the next leader is safe, because the ledger replies to a known id with the first answer.
    pub async fn propose(&self, id: &ChangeId, command: Command) -> Result<Answer, OperatorError> {
        match self.ledger.propose(command, self.timeout).await {
            Ok(Answer::Denied(source)) => Err(OperatorError::Denied { source }),
            Ok(answer) => Ok(answer),
            Err(LedgerError::Unreachable) => Err(self.not_done()),
            Err(LedgerError::InDoubt) => Err(OperatorError::OutcomeUnknown { id: id.clone() }),
            Err(LedgerError::UnexpectedAnswer) => Err(OperatorError::Unexpected),
        }
    }

    /// Reads from the ledger; the answer is confirmed by a majority.
    pub async fn query(&self, query: Query) -> Result<QueryAnswer, OperatorError> {
        match self.ledger.query(query, self.timeout).await {
            Ok(answer) => Ok(answer),
            Err(LedgerError::UnexpectedAnswer) => Err(OperatorError::Unexpected),
            // A read changes nothing, so a lost reply is never in doubt.
            Err(_) => Err(self.not_done()),
        }
    }

    /// The same for a query that a leader of an earlier build does not answer; `None` then. It does
    /// not delay the rest of the status.
    pub(super) async fn query_new(&self, query: Query) -> Option<QueryAnswer> {
        let timeout = NEW_QUERY_TIMEOUT.min(self.timeout);
        let client = self.clone().with_timeout(timeout);
        client.query(query).await.ok()
    }

    pub(super) fn not_done(&self) -> OperatorError {
        let addrs: Vec<_> = self.addrs.iter().map(ToString::to_string).collect();
        OperatorError::NotDone {
            tried: addrs.join(", "),
        }
    }
}
