//! Elections, each preceded by a pre-vote.
//!
//! Without a pre-vote, a replica that was cut off would come back with a term it raised alone and
//! depose a leader that all others still follow; commits would stall each time a partition heals. A
//! pre-vote raises no term, and replicas with recent leader contact refuse it.

use std::collections::BTreeSet;

use anvil_world::ids::Term;

use super::leadership::Leadership;
use super::replica::{Replica, Role};
use super::{Action, Entry, EntryId, Message, Payload, ReplicaId};

/// Voters that granted their vote.
pub(super) type Votes = BTreeSet<ReplicaId>;

impl Replica {
    /// Asks the other voters whether they would vote for this replica.
    ///
    /// If it is a candidate, votes in the present term still count: those of voters whose disks hang arrive
    /// after its timeout, and these voters refuse pre-votes until they have seen how the election ends.
    pub(super) fn start_pre_vote(&mut self) {
        self.undecided_vote = None;
        self.wait_for_leader();
        self.leader = None;
        if !self.is_voter() {
            return;
        }
        let trial = Votes::from([self.id]);
        let votes = match std::mem::replace(&mut self.role, Role::Follower) {
            Role::Candidate(votes) | Role::PreCandidate { votes, .. } => votes,
            Role::Follower | Role::Leader(_) => Votes::new(),
        };
        self.role = Role::PreCandidate { trial, votes };
        self.request_votes(self.hard.term + 1, true);
        self.count_votes();
    }

    fn start_election(&mut self) {
        self.wait_for_leader();
        self.set_term(self.hard.term + 1, Some(self.id));
        self.undecided_vote = Some(self.hard.term);
        self.role = Role::Candidate(Votes::new());
        // Its own vote counts once it is synced, like any other.
        self.send_after_sync(
            self.id,
            Message::Vote {
                term: self.hard.term,
                trial: false,
                granted: true,
            },
        );
        self.request_votes(self.hard.term, false);
    }

    fn request_votes(&mut self, term: Term, trial: bool) {
        let last = self.log.last();
        let me = self.id;
        let others: Vec<_> = self.membership().voters.keys().copied().collect();
        for to in others.into_iter().filter(|to| *to != me) {
            let ask = Message::AskVote { term, last, trial };
            if trial {
                self.send(to, ask);
            } else {
                self.send_after_sync(to, ask);
            }
        }
    }

    /// Handles a request for this replica's vote or pre-vote.
    pub(super) fn on_vote_request(
        &mut self,
        from: ReplicaId,
        term: Term,
        last: EntryId,
        trial: bool,
    ) {
        if !trial && term > self.hard.term {
            self.adopt_term(term);
        }
        let complete = last >= self.log.last();
        let granted = if trial {
            term > self.hard.term && complete && !self.is_connected() && !self.awaits_election()
        } else {
            let free = self.hard.vote.is_none_or(|vote| vote == from);
            term == self.hard.term && complete && free
        };
        if granted && !trial {
            self.set_term(term, Some(from));
            self.undecided_vote = Some(term);
            self.wait_for_leader();
        }
        let term = if granted { term } else { self.hard.term };
        let vote = Message::Vote {
            term,
            trial,
            granted,
        };
        if trial {
            // It promises nothing that has to outlast a crash.
            self.send(from, vote);
        } else {
            self.send_after_sync(from, vote);
        }
    }

    /// Whether this replica has voted in an election that may still succeed.
    fn awaits_election(&self) -> bool {
        let is_undecided = self.undecided_vote == Some(self.hard.term);
        is_undecided && (self.now < self.election_deadline || self.writes.hard_pending())
    }

    /// Handles an answer to a vote request.
    pub(super) fn on_vote(&mut self, from: ReplicaId, term: Term, trial: bool, granted: bool) {
        if !granted {
            if term > self.hard.term {
                self.adopt_term(term);
            }
            return;
        }
        let next = self.hard.term + 1;
        match &mut self.role {
            Role::PreCandidate { trial: votes, .. } if trial && term == next => votes.insert(from),
            Role::Candidate(votes) | Role::PreCandidate { votes, .. }
                if !trial && term == self.hard.term =>
            {
                votes.insert(from)
            }
            _ => return,
        };
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let agreed = |votes: &Votes| {
            self.membership()
                .majority_satisfies(|id| votes.contains(&id))
        };
        match &self.role {
            Role::Candidate(votes) | Role::PreCandidate { votes, .. } if agreed(votes) => {
                self.become_leader();
            }
            Role::PreCandidate { trial, .. } if agreed(trial) => self.start_election(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        self.leader = Some(self.id);
        self.record_leader();
        let id = self.next_entry_id();
        let members = self.membership().replicas().map(|(id, _)| id);
        let lead = Leadership::new(members, id.index, self.now);
        self.role = Role::Leader(Box::new(lead));
        // Entries of older terms are committed only below one of this term.
        self.append(Entry {
            id,
            payload: Payload::Blank,
        });
        self.send_heartbeats();
    }

    /// Adopts a newer term, without a leader yet.
    pub(super) fn adopt_term(&mut self, term: Term) {
        self.set_term(term, None);
        self.step_down();
    }

    /// Becomes a follower without a leader; a leader refuses its waiting reads.
    pub(super) fn step_down(&mut self) {
        self.leader = None;
        self.last_leader_contact = None;
        let before = std::mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(lead) = before {
            self.refuse_reads(&lead);
            self.joining.clear();
            self.removing.clear();
            self.out.push(Action::Deposed);
            self.wait_for_leader();
        }
    }
}
