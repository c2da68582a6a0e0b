//! How every process asks the ledger: any replica first, then whoever leads.

mod address_list;
mod leader_search;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anvil_wire::msg::{
    FollowScope, Heartbeat, HeartbeatReply, LedgerCall, LedgerReply, LedgerRequest,
};
use anvil_wire::msg::{Query, QueryAnswer};
use anvil_wire::{Channel, Replies, WireError};
use anvil_world::prelude::*;
use arc_swap::ArcSwap;
use snafu::Snafu;
use tokio::time::{Instant, sleep, timeout};

use address_list::{AddressList, interleaved};
use leader_search::{Attempt, LeaderSearch};

/// Longest wait for one replica's answer, unless the client is told otherwise.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after every replica was asked in vain.
const ROUND_DELAY: Duration = Duration::from_millis(50);

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

/// A way to the ledger. Remembers who answered last.
///
/// Failure: a process is cut off from every replica while others are not. It shows as requests
/// refused for want of money, for as long as the cut lasts. So a client may also know relays
/// ([`crate::relay`]): after a replica that did not answer, a relay is asked next.
pub struct LedgerClient {
    addresses: ArcSwap<AddressList>,
    last: AtomicUsize,
    replica_timeout: Duration,
    hedge: Option<Duration>,
    /// The replicas that the settings name, where the ledger's own word is added to them.
    configured: Option<Vec<SocketAddr>>,
}

impl LedgerClient {
    /// A way to these replicas. Nothing is connected yet.
    pub fn new(replicas: &[SocketAddr]) -> Self {
        let addresses = AddressList::default().with_addrs(&interleaved(replicas, &[]));
        Self {
            addresses: ArcSwap::from_pointee(addresses),
            last: AtomicUsize::new(0),
            replica_timeout: REPLICA_TIMEOUT,
            hedge: None,
            configured: None,
        }
    }

    /// Also asks the replicas that answers to signs of life name.
    ///
    /// Failure: the replicas that the settings name are replaced one after the other, and in the end a
    /// process that has never stopped knows none of them any more. It shows as a process out of touch
    /// with a ledger that is well, until somebody restarts it.
    pub fn with_learning(mut self) -> Self {
        self.configured = Some(self.addresses.load().addrs());
        self
    }

    /// Waits no longer than this for one replica's answer.
    pub fn with_patience(mut self, replica_timeout: Duration) -> Self {
        self.replica_timeout = replica_timeout;
        self
    }

    /// Asks a second one beside the first when that has not answered within this time.
    pub fn with_hedge(mut self, hedge: Duration) -> Self {
        self.hedge = Some(hedge);
        self
    }

    /// Asks through these from now on. Those that are known already keep their connections.
    /// Returns whether anything has changed.
    pub fn set_ways(&self, replicas: &[SocketAddr], relays: &[SocketAddr]) -> bool {
        let wanted = interleaved(replicas, relays);
        let addresses = self.addresses.load();
        if addresses.matches(&wanted) {
            return false;
        }
        let at = self.last.load(Ordering::Relaxed);
        let last = addresses.get(at).map(Channel::addr);
        let updated = addresses.with_addrs(&wanted);
        let at = last.and_then(|addr| updated.position_of(addr)).unwrap_or(0);
        self.addresses.store(Arc::new(updated));
        self.last.store(at, Ordering::Relaxed);
        true
    }

    /// Asks through these as well.
    pub fn add_ways(&self, more: &[SocketAddr]) {
        let addresses = self.addresses.load();
        let mut wanted = addresses.addrs();
        for addr in more {
            if !wanted.contains(addr) {
                wanted.push(*addr);
            }
        }
        self.addresses
            .store(Arc::new(addresses.with_addrs(&wanted)));
    }

    /// How many ways there are.
    pub fn len(&self) -> usize {
        self.addresses.load().len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Puts a command into the log and returns what it answered.
    ///
    /// Every command that routers and sidecars send may be resent: the log keeps the first.
    pub async fn propose(&self, command: Command, within: Duration) -> Result<Answer, LedgerError> {
        let req = LedgerRequest::Propose(command);
        match self.ask(&req, within).await? {
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
            LedgerReply::Alive(reply) => {
                self.add_learned(&reply.replicas);
                Ok(reply)
            }
            _ => Err(LedgerError::WrongKind),
        }
    }

    fn add_learned(&self, replicas: &[SocketAddr]) {
        let Some(named) = &self.configured else {
            return;
        };
        let mut wanted = replicas.to_vec();
        wanted.extend(named.iter().filter(|addr| !replicas.contains(addr)));
        self.set_ways(&wanted, &[]);
    }

    /// Follows the replica with this number, counted round.
    pub async fn follow(
        &self,
        replica: usize,
        instance: InstanceId,
        interest: FollowScope,
        version: LogIndex,
    ) -> Result<Replies<LedgerReply>, WireError> {
        let addresses = self.addresses.load_full();
        let channel = addresses.get_wrapping(replica).ok_or(WireError::Ended)?;
        let req = LedgerRequest::Follow {
            instance,
            interest,
            version,
        };
        channel.open::<LedgerCall>(&req).await
    }

    /// Asks one after the other until one answers for the ledger.
    pub async fn ask(
        &self,
        req: &LedgerRequest,
        within: Duration,
    ) -> Result<LedgerReply, LedgerError> {
        let deadline = Instant::now() + within;
        let addresses = self.addresses.load_full();
        let mut search = LeaderSearch::starting_at(&addresses, self.last.load(Ordering::Relaxed));
        let mut in_doubt = false;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let attempt = search.next_attempt().filter(|_| !time_left.is_zero());
            let Some(attempt) = attempt else {
                return Err(if in_doubt {
                    LedgerError::InDoubt
                } else {
                    LedgerError::Unreachable
                });
            };
            let (result, by_second) = self.call_hedged(&attempt, req, time_left).await;
            let called_addr = attempt.called_addr(by_second);
            search.advance(&attempt, by_second);
            match result {
                Ok(LedgerReply::NotLeader { leader }) => {
                    search.mark_failed(called_addr);
                    if let Some(leader) = leader {
                        search.follow_hint(&attempt, leader);
                    }
                }
                Ok(LedgerReply::NoQuorum | LedgerReply::Stopped) => search.mark_failed(called_addr),
                Ok(LedgerReply::InDoubt) => in_doubt = true,
                Ok(reply) => {
                    if let Some(position) = attempt.position(by_second) {
                        self.last.store(position, Ordering::Relaxed);
                    }
                    return Ok(reply);
                }
                Err(e) => {
                    search.mark_failed(called_addr);
                    in_doubt |= !e.never_sent();
                }
            }
            if search.ends_round() {
                sleep(ROUND_DELAY).await;
            }
        }
    }

    /// Asks one and, when it takes long, a second one beside it. Returns the first answer that
    /// came, and whether it is the second one's.
    ///
    /// Failure: the way that answered last is cut off without a word. It shows as requests that
    /// wait for money for as long as that way is given. Both may carry the same command out: the
    /// log keeps the first.
    async fn call_hedged(
        &self,
        attempt: &Attempt<'_>,
        req: &LedgerRequest,
        time_left: Duration,
    ) -> (Result<LedgerReply, WireError>, bool) {
        let Attempt { first, second, .. } = attempt;
        let payload_bytes = payload_bytes(req);
        let within = time_left.min(self.replica_timeout + TIMEOUT_PER_BYTE * payload_bytes);
        let first_call = first.call::<LedgerCall>(req, within);
        let is_small = payload_bytes < HEDGE_MAX_BYTES;
        let hedge = self.hedge.filter(|hedge| *hedge < within && is_small);
        let (Some(hedge), Some(second)) = (hedge, *second) else {
            return (first_call.await, false);
        };
        tokio::pin!(first_call);
        if let Ok(result) = timeout(hedge, &mut first_call).await {
            return (result, false);
        }
        let second_call = second.call::<LedgerCall>(req, within.saturating_sub(hedge));
        tokio::pin!(second_call);
        tokio::select! {
            result = &mut first_call => match result {
                Ok(result) => (Ok(result), false),
                Err(_) => (second_call.await, true),
            },
            result = &mut second_call => match result {
                Ok(result) => (Ok(result), true),
                Err(_) => (first_call.await, false),
            },
        }
    }
}

/// Added to the patience for each byte of what is asked: ten times what a link of 100 Mbit/s takes,
/// since it goes to several replicas.
const TIMEOUT_PER_BYTE: Duration = Duration::from_nanos(800);
/// From this size on, in bytes, a second way is not asked beside the first.
///
/// Failure: a routing table of 400 KB takes longer than the time after which another way is asked;
/// each further copy delays all others, and none is answered in time.
const HEDGE_MAX_BYTES: u32 = 32 << 10;

/// Bytes of what is asked, where there may be many.
fn payload_bytes(req: &LedgerRequest) -> u32 {
    match req {
        LedgerRequest::Propose(Command::ReplaceRouting(replace)) => {
            u32::try_from(replace.text.len()).unwrap_or(u32::MAX)
        }
        _ => 0,
    }
}
