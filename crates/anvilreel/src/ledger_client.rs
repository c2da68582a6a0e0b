//! Client of the ledger for every process: sends a request to one replica after the other until it
//! reaches the leader.

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

/// Default timeout of a request to one replica.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after all addresses have failed.
const ROUND_DELAY: Duration = Duration::from_millis(50);

/// Why a request to the ledger failed.
#[derive(Debug, Snafu)]
pub enum LedgerError {
    /// No replica accepted the request, so nothing was appended to the log.
    #[snafu(display("no replica of the ledger took it"))]
    Unreachable,
    /// A replica accepted the request and its answer was lost. Resending it returns the outcome.
    #[snafu(display("the ledger's answer was lost"))]
    InDoubt,
    /// The answer is not of the kind that the request expects.
    #[snafu(display("an answer of the wrong kind"))]
    UnexpectedAnswer,
}

/// Client of the ledger. It starts with the address that answered last.
///
/// A process that is cut off from every replica while others are not would refuse requests for lack
/// of tokens for as long as the partition lasts. So a client may also have the addresses of relays
/// ([`crate::relay`]): after a replica that does not answer, a relay is called next.
pub struct LedgerClient {
    addresses: ArcSwap<AddressList>,
    last_answered: AtomicUsize,
    replica_timeout: Duration,
    hedge: Option<Duration>,
    /// The replicas that the settings name, if replicas reported by the ledger are added to them.
    configured: Option<Vec<SocketAddr>>,
}

impl LedgerClient {
    /// Creates a client of these replicas, without connecting yet.
    pub fn new(replicas: &[SocketAddr]) -> Self {
        let addresses = AddressList::default().with_addrs(&interleaved(replicas, &[]));
        Self {
            addresses: ArcSwap::from_pointee(addresses),
            last_answered: AtomicUsize::new(0),
            replica_timeout: REPLICA_TIMEOUT,
            hedge: None,
            configured: None,
        }
    }

    /// Also uses the replicas that answers to heartbeats report.
    ///
    /// Without this, a long-running process whose configured replicas are replaced one by one would
    /// in the end know none of the current ones, and would stay disconnected from a healthy ledger
    /// until it is restarted.
    pub fn with_reported_replicas(mut self) -> Self {
        self.configured = Some(self.addresses.load().addrs());
        self
    }

    /// Sets the timeout of a request to one replica.
    pub fn with_replica_timeout(mut self, replica_timeout: Duration) -> Self {
        self.replica_timeout = replica_timeout;
        self
    }

    /// Sends a request to a second address if the first has not answered within this time.
    pub fn with_hedge(mut self, hedge: Duration) -> Self {
        self.hedge = Some(hedge);
        self
    }

    /// Replaces the addresses. Those that are known already keep their connections. Returns whether
    /// anything has changed.
    pub fn set_addresses(&self, replicas: &[SocketAddr], relays: &[SocketAddr]) -> bool {
        let wanted = interleaved(replicas, relays);
        let addresses = self.addresses.load();
        if addresses.matches(&wanted) {
            return false;
        }
        let at = self.last_answered.load(Ordering::Relaxed);
        let last = addresses.get(at).map(Channel::addr);
        let updated = addresses.with_addrs(&wanted);
        let at = last.and_then(|addr| updated.position_of(addr)).unwrap_or(0);
        self.addresses.store(Arc::new(updated));
        self.last_answered.store(at, Ordering::Relaxed);
        true
    }

    /// Adds addresses.
    pub fn add_addresses(&self, more: &[SocketAddr]) {
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

    /// Number of addresses.
    pub fn len(&self) -> usize {
        self.addresses.load().len()
    }

    /// Whether there are no addresses.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends a command to the log and returns its answer.
    ///
    /// Every command that routers and sidecars send may be resent: the ledger applies it once.
    pub async fn propose(&self, command: Command, within: Duration) -> Result<Answer, LedgerError> {
        let req = LedgerRequest::Propose(command);
        match self.send_request(&req, within).await? {
            LedgerReply::Applied { answer, .. } => Ok(answer),
            _ => Err(LedgerError::UnexpectedAnswer),
        }
    }

    /// A read that a majority confirms.
    pub async fn query(&self, query: Query, within: Duration) -> Result<QueryAnswer, LedgerError> {
        match self
            .send_request(&LedgerRequest::Query(query), within)
            .await?
        {
            LedgerReply::Read(answer) => Ok(answer),
            _ => Err(LedgerError::UnexpectedAnswer),
        }
    }

    /// Sends a heartbeat.
    pub async fn heartbeat(
        &self,
        heartbeat: Heartbeat,
        within: Duration,
    ) -> Result<HeartbeatReply, LedgerError> {
        match self
            .send_request(&LedgerRequest::Heartbeat(heartbeat), within)
            .await?
        {
            LedgerReply::Alive(reply) => {
                self.add_learned(&reply.replicas);
                Ok(reply)
            }
            _ => Err(LedgerError::UnexpectedAnswer),
        }
    }

    fn add_learned(&self, replicas: &[SocketAddr]) {
        let Some(configured) = &self.configured else {
            return;
        };
        let mut wanted = replicas.to_vec();
        wanted.extend(configured.iter().filter(|addr| !replicas.contains(addr)));
        self.set_addresses(&wanted, &[]);
    }

    /// Follows the replica at this position, which wraps around.
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

    /// Sends a request to one address after the other until a replica gives a final answer.
    pub async fn send_request(
        &self,
        req: &LedgerRequest,
        within: Duration,
    ) -> Result<LedgerReply, LedgerError> {
        let deadline = Instant::now() + within;
        let addresses = self.addresses.load_full();
        let mut search =
            LeaderSearch::starting_at(&addresses, self.last_answered.load(Ordering::Relaxed));
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
                        self.last_answered.store(position, Ordering::Relaxed);
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

    /// Sends a request to one address and, if it takes long, to a second one as well. Returns the
    /// first answer and whether it is the second one's.
    ///
    /// If the address that answered last is cut off silently, requests would otherwise wait for
    /// tokens until its timeout. Both replicas may propose the same command: the ledger applies
    /// it once.
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
        let is_small = payload_bytes < HEDGE_LIMIT_BYTES;
        let hedge = self.hedge.filter(|hedge| *hedge < within && is_small);
        let (Some(hedge), Some(second)) = (hedge, *second) else {
            return (first_call.await, false);
        };
        tokio::pin!(first_call);
        if let Ok(result) = timeout(hedge, &mut first_call).await {
            return (result, false);
        }
        loop {
            let second_call = second.call::<LedgerCall>(req, within.saturating_sub(hedge));
            tokio::pin!(second_call);
            let result = tokio::select! {
                result = &mut first_call => return match result {
                    Ok(result) => (Ok(result), false),
                    Err(_) => (second_call.await, true),
                },
                result = &mut second_call => result,
            };
            match result {
                Ok(reply) if !refers_to(&reply, first.addr()) => return (Ok(reply), true),
                // The leader is called already, and its commit takes longer than the hedge.
                Ok(_) => {
                    if let Ok(result) = timeout(hedge, &mut first_call).await {
                        return (result, false);
                    }
                }
                Err(_) => return (first_call.await, false),
            }
        }
    }
}

/// Whether a replica names this address as the leader's.
fn refers_to(reply: &LedgerReply, addr: SocketAddr) -> bool {
    matches!(reply, LedgerReply::NotLeader { leader: Some(leader) } if *leader == addr)
}

/// Added to the timeout for each byte of a request: ten times what a link of 100 Mbit/s takes,
/// since the request is sent on to several replicas.
const TIMEOUT_PER_BYTE: Duration = Duration::from_nanos(800);
/// Requests of this size or more, in bytes, are not hedged.
///
/// A routing table of 400 KB takes longer than the hedge delay; each further copy would delay all
/// others, and none would be answered in time.
const HEDGE_LIMIT_BYTES: u32 = 32 << 10;

/// Size of a request in bytes; 0 for kinds that are always small.
fn payload_bytes(req: &LedgerRequest) -> u32 {
    match req {
        LedgerRequest::Propose(Command::ReplaceRouting(replace)) => {
            u32::try_from(replace.text.len()).unwrap_or(u32::MAX)
        }
        _ => 0,
    }
}
