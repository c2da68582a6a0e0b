//! How every process asks the ledger: any replica first, then whoever leads.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvil_wire::msg::{
    Heartbeat, HeartbeatReply, Interest, LedgerCall, LedgerReply, LedgerRequest,
};
use anvil_wire::msg::{Query, QueryAnswer};
use anvil_wire::{Channel, Replies, WireError};
use anvil_world::prelude::*;
use snafu::Snafu;
use tokio::time::{Instant, sleep};

/// Longest wait for one replica's answer.
const ONE_REPLICA: Duration = Duration::from_millis(1_500);
/// Pause after every replica was asked in vain.
const PAUSE: Duration = Duration::from_millis(50);

/// The ledger could not be asked.
#[derive(Debug, Snafu)]
pub enum LedgerError {
    /// No replica took the question, so nothing was put into the log.
    #[snafu(display("no replica of the ledger took it"))]
    Unreachable,
    /// A replica took it and its answer was lost. Resend to learn what came of it.
    #[snafu(display("the ledger's answer was lost"))]
    InDoubt,
    /// A replica answered something else than was asked.
    #[snafu(display("an answer of the wrong kind"))]
    WrongKind,
}

/// A way to the ledger. Remembers who led last.
pub struct LedgerClient {
    replicas: Vec<Channel>,
    last: AtomicUsize,
}

impl LedgerClient {
    /// A way to these replicas. Nothing is connected yet.
    pub fn new(replicas: &[SocketAddr]) -> Self {
        Self {
            replicas: replicas.iter().copied().map(Channel::new).collect(),
            last: AtomicUsize::new(0),
        }
    }

    /// Puts a command into the log and returns what it answered.
    ///
    /// Every command that routers and sidecars send may be resent: the log keeps the first.
    pub async fn propose(&self, command: Command, within: Duration) -> Result<Answer, LedgerError> {
        let ask = LedgerRequest::Propose(command);
        match self.ask(&ask, within).await? {
            LedgerReply::Applied { answer, .. } => Ok(answer),
            _ => Err(LedgerError::WrongKind),
        }
    }

    /// A read that a majority confirms.
    pub async fn query(&self, query: Query, within: Duration) -> Result<QueryAnswer, LedgerError> {
        match self.ask(&LedgerRequest::Query(query), within).await? {
            LedgerReply::Read(answer) => Ok(answer),
            _ => Err(LedgerError::WrongKind),
        }
    }

    /// A sign of life.
    pub async fn heartbeat(
        &self,
        heartbeat: Heartbeat,
        within: Duration,
    ) -> Result<HeartbeatReply, LedgerError> {
        match self
            .ask(&LedgerRequest::Heartbeat(heartbeat), within)
            .await?
        {
            LedgerReply::Alive(reply) => Ok(reply),
            _ => Err(LedgerError::WrongKind),
        }
    }

    /// Follows the replica with this number, counted round.
    pub async fn follow(
        &self,
        replica: usize,
        instance: InstanceId,
        interest: Interest,
        version: LogIndex,
    ) -> Result<Replies<LedgerReply>, WireError> {
        let channel = &self.replicas[replica % self.replicas.len()];
        let ask = LedgerRequest::Follow {
            instance,
            interest,
            version,
        };
        channel.open::<LedgerCall>(&ask).await
    }

    async fn ask(&self, ask: &LedgerRequest, within: Duration) -> Result<LedgerReply, LedgerError> {
        let deadline = Instant::now() + within;
        let mut doubt = false;
        let mut at = self.last.load(Ordering::Relaxed);
        let mut tries = 0;
        let mut hinted: Option<Channel> = None;
        loop {
            let number = at % self.replicas.len();
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(if doubt {
                    LedgerError::InDoubt
                } else {
                    LedgerError::Unreachable
                });
            }
            // A leader that is not in the settings is asked where it said that it is.
            let stranger = hinted.take();
            let replica = stranger.as_ref().unwrap_or(&self.replicas[number]);
            if stranger.is_none() {
                at = number + 1;
            }
            match replica.call::<LedgerCall>(ask, left.min(ONE_REPLICA)).await {
                Ok(LedgerReply::NotLeader { leader }) => {
                    match leader.map(|addr| (addr, self.number_of(addr))) {
                        Some((_, Some(known))) => at = known,
                        Some((addr, None)) if stranger.is_none() => {
                            hinted = Some(Channel::new(addr));
                        }
                        _ => {}
                    }
                }
                Ok(LedgerReply::NoQuorum | LedgerReply::Stopped) => {}
                Ok(LedgerReply::InDoubt) => doubt = true,
                Ok(reply) => {
                    if stranger.is_none() {
                        self.last.store(number, Ordering::Relaxed);
                    }
                    return Ok(reply);
                }
                Err(e) => doubt |= !e.never_sent(),
            }
            tries += 1;
            if tries % self.replicas.len() == 0 {
                sleep(PAUSE).await;
            }
        }
    }

    fn number_of(&self, addr: SocketAddr) -> Option<usize> {
        self.replicas
            .iter()
            .position(|replica| replica.addr() == addr)
    }
}
