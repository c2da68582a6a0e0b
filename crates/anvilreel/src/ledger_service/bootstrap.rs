//! Founds a ledger or joins one, and keeps the replica's membership up to date.
//!
//! A founder that loses its disk and restarts with its old settings must not found a second ledger
//! beside the first: budgets would look empty and grants would be issued twice. So one that starts again
//! may not found one. Of those that may, the one with the smallest name founds the ledger, and only
//! after all other founders have answered that their disks are empty too. A replica that finds a ledger
//! joins it as a learner, under the identifier of its new disk.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvil_ledger::core::{Membership, ReplicaId, Site};
use anvil_wire::Channel;
use anvil_world::settings::{LedgerSettings, Peer};
use slog::Logger;
use tokio::time::{Instant, sleep};

use super::events;
use super::handlers::ReplicaHandle;
use super::peer::{Hello, PeerCall, PeerReply, PeerRequest};
use super::replica_task::Input;
use crate::event;

/// Pause between two checks.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// A replica without contact to a leader for this long, several election timeouts, may have been
/// removed from the ledger.
const REJOIN_AFTER: Duration = Duration::from_secs(2);
/// Timeout of a request to another replica.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings and identity of the replica that founds or joins.
struct Bootstrap {
    replica: ReplicaHandle,
    id: ReplicaId,
    cfg: LedgerSettings,
    addr: SocketAddr,
    log: Logger,
}

/// Ensures, for as long as the process runs, that the replica belongs to a ledger as a voter under
/// its present address.
pub async fn run(
    replica: ReplicaHandle,
    id: ReplicaId,
    cfg: LedgerSettings,
    addr: SocketAddr,
    log: Logger,
) {
    let bootstrap = Bootstrap {
        replica,
        id,
        cfg,
        addr,
        log,
    };
    let mut joining_logged = false;
    let mut connected_at = Instant::now();
    while !*bootstrap.replica.stopping.borrow() {
        if bootstrap.replica.status.borrow().connected {
            connected_at = Instant::now();
        }
        if !bootstrap.is_listed_voter() && bootstrap.should_register() {
            bootstrap.join_or_found(&mut joining_logged).await;
        } else if connected_at.elapsed() >= REJOIN_AFTER {
            // A replica that was removed while it was down still finds itself as a voter in its own
            // log, but no other replica sends it messages, so it would wait for ever. It therefore
            // asks to join again; if it still is a voter, the leader ignores that.
            bootstrap.join().await;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// What the other founders and the seeds have answered.
enum ProbeResult {
    /// At least one replica belongs to a ledger.
    Ledger,
    /// All founders answer, and their disks are empty.
    Empty(BTreeMap<ReplicaId, Site>),
    /// Some founders don't answer, or this replica may not found a ledger.
    Incomplete,
}

impl Bootstrap {
    /// Whether it is a voter whose address in the membership is the present one.
    fn is_listed_voter(&self) -> bool {
        self.replica.status.borrow().voter_addr == Some(self.own_addr())
    }

    /// Whether it has to ask the leader to join, or to record a new address.
    ///
    /// A replica that restarts with its disk at another address receives the others' messages, but
    /// they connect to the old address, so its votes and acknowledgements are lost silently.
    fn should_register(&self) -> bool {
        let status = self.replica.status.borrow();
        status.needs_to_join || status.voter_addr.is_some()
    }

    /// The address at which other replicas reach it: from the settings, otherwise the bound one.
    fn own_addr(&self) -> SocketAddr {
        let mut founders = self.cfg.founders.iter();
        let own = founders.find(|peer| peer.id == self.cfg.id && peer.addr.port() != 0);
        own.map_or(self.addr, |peer| peer.addr)
    }

    async fn join_or_found(&self, joining_logged: &mut bool) {
        if self.replica.status.borrow().voter_addr.is_some() {
            self.join().await;
            return;
        }
        match self.probe_founders().await {
            ProbeResult::Ledger => {
                if !*joining_logged {
                    event!(self.log, events::LEDGER_JOINING);
                }
                *joining_logged = true;
                self.join().await;
            }
            ProbeResult::Empty(founders) => self.found_ledger(founders).await,
            ProbeResult::Incomplete => {}
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

    /// Replicas that the settings have named since the start, beyond the founders.
    fn seeds(&self) -> Vec<SocketAddr> {
        let own = self.own_addr();
        let mut seeds = self
            .replica
            .peer_addresses
            .subscribe()
            .borrow()
            .seeds
            .clone();
        seeds.retain(|addr| *addr != own && self.others().all(|peer| peer.addr != *addr));
        seeds
    }

    async fn probe_founders(&self) -> ProbeResult {
        let mut empty = BTreeMap::from([(self.id, self.site())]);
        let mut incomplete = false;
        for peer in self.others() {
            match request_hello(peer.addr).await {
                Some(hello) if hello.ledger != 0 => return ProbeResult::Ledger,
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
                    incomplete = true;
                }
                None => incomplete = true,
            }
        }
        // The founder that may found is fixed by the settings at start: two different lists of
        // founders could have two different first ones. So seeds are only probed for an existing
        // ledger.
        for addr in self.seeds() {
            if request_hello(addr)
                .await
                .is_some_and(|hello| hello.ledger != 0)
            {
                return ProbeResult::Ledger;
            }
        }
        if incomplete || !self.replica.may_found || !self.is_first_that_may_found().await {
            return ProbeResult::Incomplete;
        }
        ProbeResult::Empty(empty)
    }

    /// Whether all founders with smaller names have answered that they may not found a ledger. That is
    /// final: a process that was started to join one is never started to found one later.
    ///
    /// Failure: the founder with the smallest name dies in the first start, before the ledger is founded.
    /// All others would wait for it for good.
    async fn is_first_that_may_found(&self) -> bool {
        for peer in self.others().filter(|peer| peer.id < self.cfg.id) {
            if request_may_found(peer.addr).await != Some(false) {
                return false;
            }
        }
        true
    }

    async fn found_ledger(&self, voters: BTreeMap<ReplicaId, Site>) {
        let membership = Membership {
            ledger: rand::random::<u64>().max(1),
            voters,
            learners: BTreeMap::new(),
        };
        // Fails only if the replica task has ended.
        let _ = self.replica.inbox.send(Input::Found(membership)).await;
    }

    /// Asks the leader, which may be this replica, to add this replica or to record its address.
    async fn join(&self) {
        let (id, site) = (self.id, self.site());
        let own = self
            .replica
            .request(|reply| Input::Join(id, site, reply))
            .await;
        let leader = match own {
            Some(Ok(())) | None => return,
            Some(Err(leader)) => leader,
        };
        if let Some(leader) = leader {
            self.join_at(leader).await;
            return;
        }
        let known: Vec<_> = self
            .replica
            .status
            .borrow()
            .peers
            .values()
            .copied()
            .collect();
        let named = self.others().map(|peer| peer.addr);
        for addr in named.chain(self.seeds()).chain(known) {
            match self.request_join(addr).await {
                Some(PeerReply::Joining) => {
                    self.replica.peer_addresses.set_leader(addr);
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
        self.replica.peer_addresses.set_leader(leader);
        self.request_join(leader).await;
    }

    async fn request_join(&self, addr: SocketAddr) -> Option<PeerReply> {
        let req = PeerRequest::Join {
            id: self.id,
            site: self.site(),
        };
        Channel::new(addr)
            .call::<PeerCall>(&req, REPLY_TIMEOUT)
            .await
            .ok()
    }
}

async fn request_hello(addr: SocketAddr) -> Option<Hello> {
    let channel = Channel::new(addr);
    let response = channel.call::<PeerCall>(&PeerRequest::Hello, REPLY_TIMEOUT);
    match response.await.ok()? {
        PeerReply::Hello(hello) => Some(hello),
        _ => None,
    }
}

/// Whether a replica may found a ledger; `None` without an answer, also of an earlier build.
async fn request_may_found(addr: SocketAddr) -> Option<bool> {
    let channel = Channel::new(addr);
    let response = channel.call::<PeerCall>(&PeerRequest::MayFound, REPLY_TIMEOUT);
    match response.await.ok()? {
        PeerReply::MayFound(may_found) => Some(may_found),
        _ => None,
    }
}
