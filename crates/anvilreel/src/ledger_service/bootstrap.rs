//! How an empty data folder finds its ledger.
//!
//! Failure: a founder loses its disk, restarts with its old settings, and founds a second ledger
//! beside the first; operators see budgets empty, and grants are given twice. Only the first
//! founder founds, and only after every other founder has answered that its disk is empty too.
//! Whoever finds a ledger joins it as a learner, under its new disk's number.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_ledger::core::{Membership, ReplicaId, Site};
use anvil_wire::Channel;
use anvil_world::settings::{LedgerSettings, Peer};
use slog::Logger;
use tokio::time::{Instant, sleep};

use super::events;
use super::handlers::Reach;
use super::peer::{Hello, PeerCall, PeerReply, PeerRequest};
use super::replica_task::Input;
use crate::event;

/// Pause between two looks.
const AGAIN: Duration = Duration::from_millis(100);
/// A replica that hears from no leader for so long may have been taken out: some elections.
const FORGOTTEN: Duration = Duration::from_secs(2);
/// Longest wait for one answer.
const ANSWER: Duration = Duration::from_millis(500);

/// Who looks.
struct Seeker {
    reach: Reach,
    id: ReplicaId,
    cfg: LedgerSettings,
    addr: SocketAddr,
    log: Logger,
}

/// Sees to it that the replica belongs to a ledger as a voter, under its present address, for as
/// long as the process lives.
pub async fn run(reach: Reach, id: ReplicaId, cfg: LedgerSettings, addr: SocketAddr, log: Logger) {
    let seeker = Seeker {
        reach,
        id,
        cfg,
        addr,
        log,
    };
    let mut told = false;
    let mut in_touch_at = Instant::now();
    while !*seeker.reach.stopping.borrow() {
        if seeker.reach.public.borrow().in_touch {
            in_touch_at = Instant::now();
        }
        if !seeker.is_listed() && seeker.seeks() {
            seeker.try_once(&mut told).await;
        } else if in_touch_at.elapsed() >= FORGOTTEN {
            // Failure: a replica is taken out while it is down. Its own log still names it as a
            // voter, the others send it nothing, and it waits for ever. So it asks again; where it
            // still votes, the leader drops the question.
            seeker.join().await;
        }
        sleep(AGAIN).await;
    }
}

enum Found {
    /// Some founder belongs to a ledger.
    Ledger,
    /// All founders are there and empty.
    Empty(BTreeMap<ReplicaId, Site>),
    /// Some did not answer.
    Unclear,
}

impl Seeker {
    /// Whether it votes and the others have its right address.
    fn is_listed(&self) -> bool {
        self.reach.public.borrow().listed == Some(self.own_addr())
    }

    /// Failure: a replica comes back with its disk at another address. It hears the others, but
    /// they call the old address, so its votes and acknowledgements are lost without a word. It
    /// asks the leader to note the new address, as a new disk asks to be taken in.
    fn seeks(&self) -> bool {
        let public = self.reach.public.borrow();
        public.seeks_ledger || public.listed.is_some()
    }

    /// Where the others are to reach it: as the settings say, or as bound where they don't.
    fn own_addr(&self) -> SocketAddr {
        let mut founders = self.cfg.founders.iter();
        let own = founders.find(|peer| peer.id == self.cfg.id && peer.addr.port() != 0);
        own.map_or(self.addr, |peer| peer.addr)
    }

    async fn try_once(&self, told: &mut bool) {
        if self.reach.public.borrow().listed.is_some() {
            self.join().await;
            return;
        }
        match self.look().await {
            Found::Ledger => {
                if !*told {
                    event!(self.log, events::LEDGER_JOINING);
                }
                *told = true;
                self.join().await;
            }
            Found::Empty(founders) => self.found(founders).await,
            Found::Unclear => {}
        }
    }

    fn site(&self) -> Site {
        Site {
            instance: self.cfg.id.clone(),
            addr: self.own_addr(),
        }
    }

    fn others(&self) -> impl Iterator<Item = &Peer> {
        let founders = self.cfg.founders.iter();
        founders.filter(|peer| peer.id != self.cfg.id)
    }

    /// Whom the settings have come to name beyond the founders.
    fn seeds(&self) -> Vec<SocketAddr> {
        let own = self.own_addr();
        let mut seeds = self.reach.contacts.told().borrow().seeds.clone();
        seeds.retain(|addr| *addr != own && self.others().all(|peer| peer.addr != *addr));
        seeds
    }

    async fn look(&self) -> Found {
        let mut empty = BTreeMap::from([(self.id, self.site())]);
        let mut unclear = false;
        for peer in self.others() {
            match hello(peer.addr).await {
                Some(hello) if hello.ledger != 0 => return Found::Ledger,
                Some(hello) if hello.instance == peer.id => {
                    let site = Site {
                        instance: peer.id.clone(),
                        addr: peer.addr,
                    };
                    empty.insert(hello.id, site);
                }
                Some(hello) => {
                    event!(
                        self.log, events::LEDGER_FOUNDER_UNKNOWN,
                        "expected" => peer.id.to_string(), "found" => hello.instance.to_string()
                    );
                    unclear = true;
                }
                None => unclear = true,
            }
        }
        let first = self.cfg.founders.iter().map(|peer| &peer.id).min();
        // Who may found is fixed by the settings of the start: with two lists of founders there can be
        // two first ones.
        for addr in self.seeds() {
            if hello(addr).await.is_some_and(|hello| hello.ledger != 0) {
                return Found::Ledger;
            }
        }
        if unclear || self.cfg.join || first != Some(&self.cfg.id) {
            return Found::Unclear;
        }
        Found::Empty(empty)
    }

    async fn found(&self, voters: BTreeMap<ReplicaId, Site>) {
        let membership = Membership {
            ledger: rand::random::<u64>().max(1),
            voters,
            learners: BTreeMap::new(),
        };
        // Fails only when the node has ended.
        let _ = self.reach.inbox.send(Input::Found(membership)).await;
    }

    /// Asks whoever may lead to be taken in, or to note the address; that may be this replica.
    async fn join(&self) {
        let (id, site) = (self.id, self.site());
        let own = self.reach.ask(|reply| Input::Join(id, site, reply)).await;
        let leader = match own {
            Some(Ok(())) | None => return,
            Some(Err(leader)) => leader,
        };
        if let Some(leader) = leader {
            self.join_at(leader).await;
            return;
        }
        let known: Vec<_> = self.reach.public.borrow().peers.values().copied().collect();
        let named = self.others().map(|peer| peer.addr);
        for addr in named.chain(self.seeds()).chain(known) {
            match self.ask_in(addr).await {
                Some(PeerReply::Joining) => {
                    self.reach.contacts.note_leader(addr);
                    return;
                }
                Some(PeerReply::NotLeader {
                    leader: Some(leader),
                }) => {
                    self.join_at(leader).await;
                    return;
                }
                _ => {}
            }
        }
    }

    async fn join_at(&self, leader: SocketAddr) {
        self.reach.contacts.note_leader(leader);
        self.ask_in(leader).await;
    }

    async fn ask_in(&self, addr: SocketAddr) -> Option<PeerReply> {
        let req = PeerRequest::Join {
            id: self.id,
            site: self.site(),
        };
        Channel::new(addr).call::<PeerCall>(&req, ANSWER).await.ok()
    }
}

async fn hello(addr: SocketAddr) -> Option<Hello> {
    let channel = Channel::new(addr);
    let asked = channel.call::<PeerCall>(&PeerRequest::Hello, ANSWER);
    match asked.await.ok()? {
        PeerReply::Hello(hello) => Some(hello),
        _ => None,
    }
}
