//! Elections, each after a trial.
//!
//! Failure: a replica that was cut off comes back with a term it raised alone, and deposes a
//! leader that all others still follow; callers see commits stall at each heal. A trial (pre-vote)
//! raises no term, and whoever hears its leader refuses it, so the replica that was cut off
//! changes nothing.

use std::collections::BTreeSet;

use anvil_world::ids::Term;

use super::leadership::Leadership;
use super::replica::{Replica, Role};
use super::{Action, Entry, EntryId, Message, Payload, ReplicaId};

/// Who has said yes.
pub(super) type Votes = BTreeSet<ReplicaId>;

impl Replica {
    /// Asks the others whether they would vote for this replica.
    pub(super) fn stand_trial(&mut self) {
        self.wait_for_leader();
        self.leader = None;
        if !self.votes() {
            return;
        }
        self.role = Role::Trial(Votes::from([self.id]));
        self.ask_votes(self.hard.term + 1, true);
        self.count_votes();
    }

    fn stand(&mut self) {
        self.wait_for_leader();
        self.set_term(self.hard.term + 1, Some(self.id));
        self.role = Role::Candidate(Votes::new());
        // Its own vote counts once it is synced, like any other.
        self.send_synced(
            self.id,
            Message::Vote {
                term: self.hard.term,
                trial: false,
                granted: true,
            },
        );
        self.ask_votes(self.hard.term, false);
    }

    fn ask_votes(&mut self, term: Term, trial: bool) {
        let last = self.log.last();
        let me = self.id;
        let others: Vec<_> = self.membership().voters.keys().copied().collect();
        for to in others.into_iter().filter(|to| *to != me) {
            let ask = Message::AskVote { term, last, trial };
            if trial {
                self.send(to, ask);
            } else {
                self.send_synced(to, ask);
            }
        }
    }

    /// Someone asks for this replica's vote.
    pub(super) fn asked(&mut self, from: ReplicaId, term: Term, last: EntryId, trial: bool) {
        if !trial && term > self.hard.term {
            self.follow_term(term);
        }
        let complete = last >= self.log.last();
        let granted = if trial {
            term > self.hard.term && complete && !self.in_touch()
        } else {
            let free = self.hard.vote.is_none_or(|vote| vote == from);
            term == self.hard.term && complete && free
        };
        if granted && !trial {
            self.set_term(term, Some(from));
            self.wait_for_leader();
        }
        let term = if granted { term } else { self.hard.term };
        self.send_synced(
            from,
            Message::Vote {
                term,
                trial,
                granted,
            },
        );
    }

    /// Someone has answered.
    pub(super) fn voted(&mut self, from: ReplicaId, term: Term, trial: bool, granted: bool) {
        if !granted {
            if term > self.hard.term {
                self.follow_term(term);
            }
            return;
        }
        let next = self.hard.term + 1;
        match &mut self.role {
            Role::Trial(votes) if trial && term == next => votes.insert(from),
            Role::Candidate(votes) if !trial && term == self.hard.term => votes.insert(from),
            _ => return,
        };
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let agreed = |votes: &Votes| self.membership().agreed(|id| votes.contains(&id));
        match &self.role {
            Role::Trial(votes) if agreed(votes) => self.stand(),
            Role::Candidate(votes) if agreed(votes) => self.take_lead(),
            _ => {}
        }
    }

    fn take_lead(&mut self) {
        self.leader = Some(self.id);
        self.note_leader();
        let id = self.next_id();
        let members = self.membership().replicas().map(|(id, _)| id);
        let lead = Leadership::new(members, id.index, self.now);
        self.role = Role::Leader(Box::new(lead));
        // Entries of older terms are committed only below one of this term.
        self.append(Entry {
            id,
            payload: Payload::Blank,
        });
        self.beat();
    }

    /// Takes over a newer term, without a leader yet.
    pub(super) fn follow_term(&mut self, term: Term) {
        self.set_term(term, None);
        self.step_down();
    }

    /// Leads or stands no more.
    pub(super) fn step_down(&mut self) {
        self.leader = None;
        self.heard = None;
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
