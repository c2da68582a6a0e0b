//! One call's way from replica to replica until the leader is found.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use anvil_wire::Channel;

use super::address_list::AddressList;

/// Whom to ask next, and who was asked already.
pub struct LeaderSearch<'a> {
    addresses: &'a AddressList,
    /// The way that is tried next, counted round.
    at: usize,
    attempts: usize,
    /// A leader that is none of the ways: it is asked where it was said to be.
    hinted: Option<Channel>,
    /// Who was asked in this round and does not lead, or did not answer.
    failed: BTreeSet<SocketAddr>,
}

/// One question: to the first, and beside it to the second when the first takes long.
pub struct Attempt<'a> {
    /// The first one.
    pub first: Channel,
    /// The one after it.
    pub second: Option<&'a Channel>,
    position: usize,
    is_hinted: bool,
}

impl Attempt<'_> {
    /// Who answered or failed: the second one, or the first.
    pub fn called_addr(&self, by_second: bool) -> SocketAddr {
        let second = self.second.filter(|_| by_second);
        second.map_or_else(|| self.first.addr(), Channel::addr)
    }

    /// The way by which the answer came; `None` where it was none of the ways.
    pub fn position(&self, by_second: bool) -> Option<usize> {
        if by_second {
            return Some(self.position + 1);
        }
        (!self.is_hinted).then_some(self.position)
    }
}

impl<'a> LeaderSearch<'a> {
    /// Begins with this way.
    pub fn starting_at(addresses: &'a AddressList, at: usize) -> Self {
        Self {
            addresses,
            at,
            attempts: 0,
            hinted: None,
            failed: BTreeSet::new(),
        }
    }

    /// Whom to ask now; `None` where there is no way.
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

    /// Goes on to the way after the one that answered.
    pub fn advance(&mut self, attempt: &Attempt<'_>, by_second: bool) {
        if let Some(position) = attempt.position(by_second) {
            self.at = position % self.addresses.len() + 1;
        }
        self.attempts += 1;
    }

    /// Whoever was asked doesn't lead, or didn't answer.
    pub fn mark_failed(&mut self, called_addr: SocketAddr) {
        self.failed.insert(called_addr);
    }

    /// Whoever was asked names another one as the leader.
    ///
    /// Failure: the leader is deposed, and a follower that hasn't heard of it sends whoever asks back to it.
    /// It shows as calls that go to and fro between the two for as long as they may take, while all
    /// others follow a new leader. So a hint to a replica that was asked in this round is not followed.
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

    /// Whether all ways have been asked since this was last so; a new round begins then.
    pub fn ends_round(&mut self) -> bool {
        let ends = self.attempts.is_multiple_of(self.addresses.len());
        if ends {
            self.failed.clear();
        }
        ends
    }
}
