//! Finds the ledger's leader and asks it until it answers or the time is up.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_wire::Channel;
use anvil_wire::msg::{LedgerCall, LedgerReply, LedgerRequest, Query, QueryAnswer};
use anvil_world::prelude::*;
use tokio::time::{Instant, sleep, timeout_at};

use super::OperatorError;

/// How long one replica may take to answer before the next one is asked.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time between rounds over all replicas.
const PAUSE: Duration = Duration::from_millis(100);

/// A client of the ledger's replicas.
#[derive(Clone)]
pub struct Client {
    ledgers: Vec<SocketAddr>,
    operator: OperatorId,
    within: Duration,
}

/// What is known after the time is up.
enum Known {
    /// No replica took the request into its log.
    Nothing,
    /// One may have.
    Doubt,
}

impl Client {
    /// A client of these replicas, with 10 s for each action.
    pub fn new(ledgers: &[SocketAddr]) -> Self {
        Self {
            ledgers: ledgers.to_vec(),
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
        match self.ask(&LedgerRequest::Propose(command)).await {
            Ok(LedgerReply::Applied {
                answer: Answer::Denied(source),
                ..
            }) => Err(OperatorError::Denied { source }),
            Ok(LedgerReply::Applied { answer, .. }) => Ok(answer),
            Ok(_) => Err(OperatorError::Unexpected),
            Err(Known::Nothing) => Err(self.not_done()),
            Err(Known::Doubt) => Err(OperatorError::NotKnown { id: id.clone() }),
        }
    }

    /// Reads, confirmed by a majority.
    pub async fn query(&self, query: Query) -> Result<QueryAnswer, OperatorError> {
        match self.ask(&LedgerRequest::Query(query)).await {
            Ok(LedgerReply::Read(answer)) => Ok(answer),
            Ok(_) => Err(OperatorError::Unexpected),
            // A read changes nothing, so a lost answer is as good as none.
            Err(_) => Err(self.not_done()),
        }
    }

    fn not_done(&self) -> OperatorError {
        let tried: Vec<_> = self.ledgers.iter().map(ToString::to_string).collect();
        OperatorError::NotDone {
            tried: tried.join(", "),
        }
    }

    /// Asks replica after replica until one acts on it.
    async fn ask(&self, req: &LedgerRequest) -> Result<LedgerReply, Known> {
        let deadline = Instant::now() + self.within;
        let mut known = Known::Nothing;
        let mut next: VecDeque<SocketAddr> = VecDeque::new();
        while Instant::now() < deadline {
            let Some(addr) = next.pop_front() else {
                next.extend(&self.ledgers);
                sleep(PAUSE).await;
                continue;
            };
            let call = Channel::new(addr);
            let call = call.call::<LedgerCall>(req, PATIENCE);
            match timeout_at(deadline, call).await {
                Ok(Ok(LedgerReply::NotLeader { leader })) => {
                    if let Some(leader) = leader.filter(|leader| *leader != addr) {
                        next.push_front(leader);
                    }
                }
                Ok(Ok(LedgerReply::NoQuorum | LedgerReply::Stopped)) => {}
                Ok(Ok(LedgerReply::InDoubt)) | Err(_) => known = Known::Doubt,
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(e)) if e.never_sent() => {}
                Ok(Err(_)) => known = Known::Doubt,
            }
        }
        Err(known)
    }
}
