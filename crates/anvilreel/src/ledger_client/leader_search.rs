//! Order in which one request is sent to replicas until the leader is found.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use anvil_wire::Channel;

use super::address_list::AddressList;

/// State of the search for the leader.
pub struct LeaderSearch<'a> {
    addresses: &'a AddressList,
    /// Position of the next address, which wraps around.
    at: usize,
    attempts: usize,
    /// A reported leader that is not in the list; it is called next.
    hinted: Option<Channel>,
    /// Addresses that were called in this round and don't lead, or did not answer.
    failed: BTreeSet<SocketAddr>,
}

/// One attempt: a call to the first address, and one to the second when the first takes long.
pub struct Attempt<'a> {
    /// The first address.
    pub first: Channel,
    /// The address after it.
    pub second: Option<&'a Channel>,
    position: usize,
    is_hinted: bool,
}

impl Attempt<'_> {
    /// The address that answered or failed: the second one, or the first.
    pub fn called_addr(&self, by_second: bool) -> SocketAddr {
        let second = self.second.filter(|_| by_second);
        second.map_or_else(|| self.first.addr(), Channel::addr)
    }

    /// Position of the address that answered; `None` if it is not in the list.
    pub fn position(&self, by_second: bool) -> Option<usize> {
        if by_second {
            return Some(self.position + 1);
        }
        (!self.is_hinted).then_some(self.position)
    }
}

impl<'a> LeaderSearch<'a> {
    /// Starts at this position.
    pub fn starting_at(addresses: &'a AddressList, at: usize) -> Self {
        Self {
            addresses,
            at,
            attempts: 0,
            hinted: None,
            failed: BTreeSet::new(),
        }
    }

    /// The next attempt; `None` if the list is empty.
    pub fn next_attempt(&mut self) -> Option<Attempt<'a>> {
        let known = self.addresses.get_wrapping(self.at)?;
        let hinted = self.hinted.take();
        let position = self.at % self.addresses.len();
        Some(Attempt {
            is_hinted: hinted.is_some(),
            first: hinted.unwrap_or_else(|| known.clone()),
            second: self.addresses.get_wrapping(position + 1),
            position,
        })
    }

    /// Moves on to the position after the address that answered.
    pub fn advance(&mut self, attempt: &Attempt<'_>, by_second: bool) {
        if let Some(position) = attempt.position(by_second) {
            self.at = position % self.addresses.len() + 1;
        }
        self.attempts += 1;
    }

    /// Records that an address doesn't lead or didn't answer.
    pub fn mark_failed(&mut self, called_addr: SocketAddr) {
        self.failed.insert(called_addr);
    }

    /// Calls the leader that a replica reported next.
    ///
    /// A follower that has not noticed that its leader was deposed refers callers back to it; a
    /// call would go back and forth between the two until its timeout, while the other replicas
    /// follow a new leader. So a reported leader that was already called in this round is not
    /// called again.
    pub fn follow_hint(&mut self, attempt: &Attempt<'_>, leader: SocketAddr) {
        if self.failed.contains(&leader) {
            return;
        }
        match self.addresses.position_of(leader) {
            Some(known) => self.at = known,
            None if !attempt.is_hinted => self.hinted = Some(Channel::new(leader)),
            None => {}
        }
    }

    /// Whether all addresses have been called since the last round ended; a new round begins then.
    pub fn ends_round(&mut self) -> bool {
        let ends = self.attempts.is_multiple_of(self.addresses.len());
        if ends {
            self.failed.clear();
        }
        ends
    }
}
