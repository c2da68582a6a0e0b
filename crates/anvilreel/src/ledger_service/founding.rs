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
use tokio::time::sleep;

use super::events;
use super::handlers::Reach;
use super::node::Input;
use super::peer::{Hello, PeerCall, PeerReply, PeerRequest};
use crate::event;

/// Pause between two looks.
const AGAIN: Duration = Duration::from_millis(100);
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

/// Runs until the replica belongs to a ledger as a voter.
pub async fn run(reach: Reach, id: ReplicaId, cfg: LedgerSettings, addr: SocketAddr, log: Logger) {
    let seeker = Seeker {
        reach,
        id,
        cfg,
        addr,
        log,
    };
    let mut told = false;
    while !seeker.votes() && !*seeker.reach.stopping.borrow() {
        if seeker.seeks() {
            seeker.try_once(&mut told).await;
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
    fn votes(&self) -> bool {
        self.reach.public.borrow().votes
    }

    fn seeks(&self) -> bool {
        self.reach.public.borrow().seeks_ledger
    }

    async fn try_once(&self, told: &mut bool) {
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
            addr: self.addr,
        }
    }

    fn others(&self) -> impl Iterator<Item = &Peer> {
        let founders = self.cfg.founders.iter();
        founders.filter(|peer| peer.id != self.cfg.id)
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

    /// Asks whoever may lead to be taken in.
    async fn join(&self) {
        for peer in self.others() {
            let Some(PeerReply::NotLeader {
                leader: Some(leader),
            }) = self.ask_in(peer.addr).await
            else {
                continue;
            };
            self.ask_in(leader).await;
            return;
        }
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
