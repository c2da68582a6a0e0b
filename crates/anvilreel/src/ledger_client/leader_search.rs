//! One call's way from replica to replica until the leader is found.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use anvil_wire::Channel;

use super::address_list::Ways;

/// Whom to ask next, and who was asked already.
pub struct Search<'a> {
    ways: &'a Ways,
    /// The way that is tried next, counted round.
    at: usize,
    tries: usize,
    /// A leader that is none of the ways: it is asked where it was said to be.
    hinted: Option<Channel>,
    /// Who was asked in this round and does not lead, or did not answer.
    in_vain: BTreeSet<SocketAddr>,
}

/// One question: to the first, and beside it to the second when the first takes long.
pub struct Question<'a> {
    /// The first one.
    pub first: Channel,
    /// The one after it.
    pub second: Option<&'a Channel>,
    number: usize,
    is_hinted: bool,
}

impl Question<'_> {
    /// Who answered or failed: the second one, or the first.
    pub fn asked(&self, by_second: bool) -> SocketAddr {
        let second = self.second.filter(|_| by_second);
        second.map_or_else(|| self.first.addr(), Channel::addr)
    }

    /// The way by which the answer came; `None` where it was none of the ways.
    pub fn way(&self, by_second: bool) -> Option<usize> {
        if by_second {
            return Some(self.number + 1);
        }
        (!self.is_hinted).then_some(self.number)
    }
}

impl<'a> Search<'a> {
    /// Begins with this way.
    pub fn from(ways: &'a Ways, at: usize) -> Self {
        Self {
            ways,
            at,
            tries: 0,
            hinted: None,
            in_vain: BTreeSet::new(),
        }
    }

    /// Whom to ask now; `None` where there is no way.
    pub fn next(&mut self) -> Option<Question<'a>> {
        let known = self.ways.round(self.at)?;
        let hinted = self.hinted.take();
        let number = self.at % self.ways.len();
        Some(Question {
            is_hinted: hinted.is_some(),
            first: hinted.unwrap_or_else(|| known.clone()),
            second: self.ways.round(number + 1),
            number,
        })
    }

    /// Goes on to the way after the one that answered.
    pub fn go_on(&mut self, question: &Question<'_>, by_second: bool) {
        if let Some(number) = question.way(by_second) {
            self.at = number % self.ways.len() + 1;
        }
        self.tries += 1;
    }

    /// Whoever was asked doesn't lead, or didn't answer.
    pub fn was_in_vain(&mut self, asked: SocketAddr) {
        self.in_vain.insert(asked);
    }

    /// Whoever was asked names another one as the leader.
    ///
    /// Failure: the leader is deposed, and a follower that hasn't heard of it sends whoever asks back to it.
    /// It shows as calls that go to and fro between the two for as long as they may take, while all
    /// others follow a new leader. So a hint to a replica that was asked in this round is not followed.
    pub fn hint(&mut self, question: &Question<'_>, leader: SocketAddr) {
        if self.in_vain.contains(&leader) {
            return;
        }
        match self.ways.number_of(leader) {
            Some(known) => self.at = known,
            None if !question.is_hinted => self.hinted = Some(Channel::new(leader)),
            None => {}
        }
    }

    /// Whether all ways have been asked since this was last so; a new round begins then.
    pub fn ends_round(&mut self) -> bool {
        let ends = self.tries.is_multiple_of(self.ways.len());
        if ends {
            self.in_vain.clear();
        }
        ends
    }
}
