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

use address_list::{Ways, interleaved};
use leader_search::{Question, Search};

/// Longest wait for one replica's answer, unless the client is told otherwise.
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

/// A way to the ledger. Remembers who answered last.
///
/// Failure: a process is cut off from every replica while others are not. It shows as requests
/// refused for want of money, for as long as the cut lasts. So a client may also know relays
/// ([`crate::relay`]): after a replica that did not answer, a relay is asked next.
pub struct LedgerClient {
    ways: ArcSwap<Ways>,
    last: AtomicUsize,
    patience: Duration,
    hedge: Option<Duration>,
    /// The replicas that the settings name, where the ledger's own word is added to them.
    learns: Option<Vec<SocketAddr>>,
}

impl LedgerClient {
    /// A way to these replicas. Nothing is connected yet.
    pub fn new(replicas: &[SocketAddr]) -> Self {
        let ways = Ways::default().moved_to(&interleaved(replicas, &[]));
        Self {
            ways: ArcSwap::from_pointee(ways),
            last: AtomicUsize::new(0),
            patience: ONE_REPLICA,
            hedge: None,
            learns: None,
        }
    }

    /// Also asks the replicas that answers to signs of life name.
    ///
    /// Failure: the replicas that the settings name are replaced one after the other, and in the end a
    /// process that has never stopped knows none of them any more. It shows as a process out of touch
    /// with a ledger that is well, until somebody restarts it.
    pub fn with_learning(mut self) -> Self {
        self.learns = Some(self.ways.load().addrs());
        self
    }

    /// Waits no longer than this for one replica's answer.
    pub fn with_patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
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
        let ways = self.ways.load();
        if ways.leads_to(&wanted) {
            return false;
        }
        let at = self.last.load(Ordering::Relaxed);
        let last = ways.get(at).map(Channel::addr);
        let moved = ways.moved_to(&wanted);
        let at = last.and_then(|addr| moved.number_of(addr)).unwrap_or(0);
        self.ways.store(Arc::new(moved));
        self.last.store(at, Ordering::Relaxed);
        true
    }

    /// Asks through these as well.
    pub fn add_ways(&self, more: &[SocketAddr]) {
        let ways = self.ways.load();
        let mut wanted = ways.addrs();
        for addr in more {
            if !wanted.contains(addr) {
                wanted.push(*addr);
            }
        }
        self.ways.store(Arc::new(ways.moved_to(&wanted)));
    }

    /// How many ways there are.
    pub fn len(&self) -> usize {
        self.ways.load().len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
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
            LedgerReply::Alive(reply) => {
                self.learn(&reply.replicas);
                Ok(reply)
            }
            _ => Err(LedgerError::WrongKind),
        }
    }

    fn learn(&self, replicas: &[SocketAddr]) {
        let Some(named) = &self.learns else {
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
        let ways = self.ways.load_full();
        let channel = ways.round(replica).ok_or(WireError::Ended)?;
        let ask = LedgerRequest::Follow {
            instance,
            interest,
            version,
        };
        channel.open::<LedgerCall>(&ask).await
    }

    /// Asks one after the other until one answers for the ledger.
    pub async fn ask(
        &self,
        ask: &LedgerRequest,
        within: Duration,
    ) -> Result<LedgerReply, LedgerError> {
        let deadline = Instant::now() + within;
        let ways = self.ways.load_full();
        let mut search = Search::from(&ways, self.last.load(Ordering::Relaxed));
        let mut doubt = false;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let question = search.next().filter(|_| !left.is_zero());
            let Some(question) = question else {
                return Err(if doubt {
                    LedgerError::InDoubt
                } else {
                    LedgerError::Unreachable
                });
            };
            let (answered, by_second) = self.one_or_two(&question, ask, left).await;
            let asked = question.asked(by_second);
            search.go_on(&question, by_second);
            match answered {
                Ok(LedgerReply::NotLeader { leader }) => {
                    search.was_in_vain(asked);
                    if let Some(leader) = leader {
                        search.hint(&question, leader);
                    }
                }
                Ok(LedgerReply::NoQuorum | LedgerReply::Stopped) => search.was_in_vain(asked),
                Ok(LedgerReply::InDoubt) => doubt = true,
                Ok(reply) => {
                    if let Some(number) = question.way(by_second) {
                        self.last.store(number, Ordering::Relaxed);
                    }
                    return Ok(reply);
                }
                Err(e) => {
                    search.was_in_vain(asked);
                    doubt |= !e.never_sent();
                }
            }
            if search.ends_round() {
                sleep(PAUSE).await;
            }
        }
    }

    /// Asks one and, when it takes long, a second one beside it. Returns the first answer that
    /// came, and whether it is the second one's.
    ///
    /// Failure: the way that answered last is cut off without a word. It shows as requests that
    /// wait for money for as long as that way is given. Both may carry the same command out: the
    /// log keeps the first.
    async fn one_or_two(
        &self,
        question: &Question<'_>,
        ask: &LedgerRequest,
        left: Duration,
    ) -> (Result<LedgerReply, WireError>, bool) {
        let Question { first, second, .. } = question;
        let weight = weight(ask);
        let within = left.min(self.patience + PER_BYTE * weight);
        let asking = first.call::<LedgerCall>(ask, within);
        let light = weight < HEAVY;
        let hedge = self.hedge.filter(|hedge| *hedge < within && light);
        let (Some(hedge), Some(second)) = (hedge, *second) else {
            return (asking.await, false);
        };
        tokio::pin!(asking);
        if let Ok(answered) = timeout(hedge, &mut asking).await {
            return (answered, false);
        }
        let beside = second.call::<LedgerCall>(ask, within.saturating_sub(hedge));
        tokio::pin!(beside);
        tokio::select! {
            answered = &mut asking => match answered {
                Ok(answered) => (Ok(answered), false),
                Err(_) => (beside.await, true),
            },
            answered = &mut beside => match answered {
                Ok(answered) => (Ok(answered), true),
                Err(_) => (asking.await, false),
            },
        }
    }
}

/// Added to the patience for each byte of what is asked: ten times what a link of 100 Mbit/s takes,
/// since it goes to several replicas.
const PER_BYTE: Duration = Duration::from_nanos(800);
/// From this size on, in bytes, a second way is not asked beside the first.
///
/// Failure: a routing table of 400 KB takes longer than the time after which another way is asked;
/// each further copy delays all others, and none is answered in time.
const HEAVY: u32 = 32 << 10;

/// Bytes of what is asked, where there may be many.
fn weight(ask: &LedgerRequest) -> u32 {
    match ask {
        LedgerRequest::Propose(Command::ReplaceRouting(replace)) => {
            u32::try_from(replace.text.len()).unwrap_or(u32::MAX)
        }
        _ => 0,
    }
}
