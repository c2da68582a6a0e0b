//! The leader's part: appends proposals, replicates and commits them, steps down when it has to.

use std::time::Duration;

use anvil_world::ids::{InstanceId, LogIndex, Term};

use super::leadership::{Leadership, Progress};
use super::replica::{Replica, Role};
use super::{
    Action, Entry, EntryId, Message, Payload, Proposal, Refused, ReplicaId, RequestId, Round, Site,
};

/// Election timeouts for which a replica that handed over leadership does not become a candidate:
/// the others do so after at most two.
const PAUSE_ELECTION_TIMEOUTS: u32 = 3;
/// Minimum time from the end of that pause, and from the beginning of the previous leadership,
/// until a leader hands over again.
const HAND_OVER_COOLDOWN: Duration = Duration::from_secs(10);
/// An entry is slow when it waits for this fraction of the limit for a single entry.
const SLOW_WAIT_DIVISOR: u32 = 3;
/// Limit for the total wait of slow entries in a row, as a multiple of the limit for a single
/// entry.
const SLOW_SEQUENCE_FACTOR: u32 = 2;
/// Maximum size of the entries in one message, in bytes.
const MAX_APPEND_BYTES: usize = 256 << 10;
/// Maximum number of entries that wait for a majority.
///
/// If the leader's disk or a majority hangs while callers retry, the log would grow in memory until
/// the process dies. Beyond this limit a proposal is refused and nothing is appended.
const MAX_UNCOMMITTED: LogIndex = 32_768;
/// Maximum number of unacknowledged entries in flight to one follower.
const MAX_IN_FLIGHT: LogIndex = 8_192;

impl Replica {
    pub(super) fn leadership(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    pub(super) fn refuse(&mut self, id: RequestId) {
        let why = self.leader.map_or(Refused::NoLeader, Refused::NotLeader);
        self.out.push(Action::Refused { id, why });
    }

    pub(super) fn propose(&mut self, proposals: Vec<Proposal>) {
        for Proposal { id, data } in proposals {
            if !self.leads() {
                self.refuse(id);
                continue;
            }
            if self.log.last().index >= self.committed + MAX_UNCOMMITTED {
                let why = Refused::Backlog;
                self.out.push(Action::Refused { id, why });
                continue;
            }
            let entry = self.next_entry_id();
            self.append(Entry {
                id: entry,
                payload: Payload::Data(data),
            });
            self.out.push(Action::Accepted { id, entry });
        }
        self.replicate_all();
    }

    /// Periodic work of a leader: steps down if it has to, advances membership changes, sends
    /// heartbeats.
    pub(super) fn tick_leader(&mut self) {
        if self.majority_responds() {
            self.own_pauses.others_heard();
        } else if self.now >= self.majority_awaited_until {
            // A leader that is cut off would go on accepting proposals and reads that are never
            // confirmed. It steps down within one election timeout, and waiting callers learn that
            // their outcome is in doubt.
            let (heard, voters) = self.responsive_voters();
            self.out.push(Action::MajorityLost { heard, voters });
            self.step_down();
            return;
        }
        if let Some((index, waited)) = self.slow_commit() {
            self.out.push(Action::SlowCommit { index, waited });
            self.hand_over_leadership();
            return;
        }
        self.advance_membership();
        let now = self.now;
        let heartbeat = self.cfg.heartbeat_interval;
        let Some(lead) = self.leadership() else {
            return;
        };
        if now >= lead.next_heartbeat {
            lead.next_heartbeat = now + heartbeat;
            self.send_heartbeats();
        }
    }

    /// The entry that has waited too long for a majority, on its own or together with slow entries
    /// before it, and its wait.
    ///
    /// If the links of the leader's availability zone lose packets, its heartbeats still get
    /// through, so it keeps its followers; but each loss holds up one of its connections for some
    /// tenths of a second, and a majority of them is always held up. Grants then arrive too late at
    /// every router for as long as the loss lasts. A leader in another zone needs none of these
    /// links.
    ///
    /// A leader whose own disk is as slow doesn't hand over: a majority of the others commits without this
    /// disk, and if it has to be waited for, their disks leave no leader that would be faster.
    fn slow_commit(&mut self) -> Option<(LogIndex, Duration)> {
        let (now, committed, last) = (self.now, self.committed, self.log.last().index);
        let limit = self.cfg.slow_commit_limit?;
        let slow = limit / SLOW_WAIT_DIVISOR;
        let disk_is_slow = self.sync_times.expected(now) >= slow;
        let may_hand_over = self.may_hand_over() && self.others_have_majority() && !disk_is_slow;
        let durable = self.writes.durable();
        let lead = self.leadership()?;
        lead.record_own_disk(durable, now);
        let waited = lead.commit_wait.map(|(_, since)| now.saturating_sub(since));
        let waiting = lead.commit_wait.filter(|(index, _)| committed < *index);
        let Some((index, waited)) = waiting.zip(waited).map(|((i, _), waited)| (i, waited)) else {
            lead.record_commit_wait(waited, slow);
            lead.commit_wait = (committed < last).then_some((last, now));
            lead.own_disk_wait = Duration::ZERO;
            return None;
        };
        let is_slow = waited >= limit || lead.slow_total + waited >= SLOW_SEQUENCE_FACTOR * limit;
        (may_hand_over && is_slow && lead.own_disk_wait < slow).then_some((index, waited))
    }

    /// Whether another leader may be faster: this replica has not handed over recently, and the
    /// leadership before the present one did not begin recently.
    ///
    /// If every disk is slow, each new leader is as slow as the last one and hands over in turn.
    /// With seven replicas the first one's turn would come again before its own cooldown ends, and
    /// elections would take longer than any leadership.
    fn may_hand_over(&self) -> bool {
        let within_cooldown = |at: Duration| self.now < at + HAND_OVER_COOLDOWN;
        !self.candidacy_paused_until.is_some_and(within_cooldown)
            && !self.previous_leader_since.is_some_and(within_cooldown)
    }

    /// Records that the present term has a leader, this replica or another.
    pub(super) fn record_leader(&mut self) {
        let term = self.hard.term;
        self.undecided_vote = None;
        if self.leader_since.is_some_and(|(newest, _)| newest == term) {
            return;
        }
        let before = self.leader_since.replace((term, self.now));
        self.previous_leader_since = before.map(|(_, at)| at);
    }

    /// Whether the other replicas have a majority without this one: otherwise no leader is faster.
    fn others_have_majority(&self) -> bool {
        let responsive = |id: ReplicaId| id != self.id && self.responded_recently(id);
        self.membership().majority_satisfies(responsive)
    }

    /// Steps down, and becomes a candidate only after the others have had time to.
    ///
    /// `may_hand_over` limits how often: where every replica is slow, as with hanging disks,
    /// changing the leader does not help.
    fn hand_over_leadership(&mut self) {
        self.step_down();
        self.election_deadline = self.now + PAUSE_ELECTION_TIMEOUTS * self.cfg.election_timeout;
        self.candidacy_paused_until = Some(self.election_deadline);
    }

    pub(super) fn majority_responds(&self) -> bool {
        self.leads()
            && self
                .membership()
                .majority_satisfies(|id| self.responded_recently(id))
    }

    /// An instance whose voter has not responded to this leader for `timeout`, while there are more
    /// than `min_voters` voters and a majority of the others has responded recently. An instance
    /// that is being removed already is skipped.
    ///
    /// If an instance is replaced by one at another address and never comes back, its replica would
    /// go on counting for the majority, and the next loss would stop the ledger.
    pub fn unresponsive_voter(&self, timeout: Duration, min_voters: usize) -> Option<&InstanceId> {
        let membership = self.membership();
        if membership.voters.len() <= min_voters {
            return None;
        }
        let is_lost = |id: ReplicaId, site: &Site| {
            let leaving = self.removing.contains(&site.instance);
            id != self.id && !leaving && self.is_unresponsive(id, timeout)
        };
        let mut voters = membership.voters.iter();
        let (id, site) = voters.find(|(id, site)| is_lost(**id, site))?;
        let rest = membership.without_voter(*id);
        let safe = rest.majority_satisfies(|other| self.responded_recently(other));
        safe.then_some(&site.instance)
    }

    /// Whether a replica has responded to this leader within the election timeout.
    pub(super) fn responded_recently(&self, id: ReplicaId) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let limit = self.cfg.election_timeout;
        let progress = lead.progress.get(&id);
        id == self.id || progress.is_some_and(|p| self.now < p.last_response + limit)
    }

    /// How many voters have responded to this leader within the election timeout, itself among
    /// them, and how many voters there are. The first number is 0 on a replica that does not lead.
    pub fn responsive_voters(&self) -> (usize, usize) {
        let voters = &self.membership().voters;
        let heard = voters
            .keys()
            .filter(|id| self.responded_recently(**id))
            .count();
        (heard, voters.len())
    }

    /// Learners that have not responded to this leader for `timeout`.
    pub fn unresponsive_learners(
        &self,
        timeout: Duration,
    ) -> impl Iterator<Item = (ReplicaId, &Site)> {
        let learners = self.membership().learners.iter();
        let unresponsive = learners.filter(move |(id, _)| self.is_unresponsive(**id, timeout));
        unresponsive.map(|(id, site)| (*id, site))
    }

    /// Whether this replica leads and another one has not responded to it for `timeout`.
    fn is_unresponsive(&self, id: ReplicaId, timeout: Duration) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let progress = lead.progress.get(&id);
        progress.is_some_and(|p| self.now >= p.last_response + timeout)
    }

    fn peers(&self) -> Vec<ReplicaId> {
        let all = self.membership().replicas().map(|(id, _)| id);
        all.filter(|id| *id != self.id).collect()
    }

    /// Sends a heartbeat to every other replica; the answer shows what it lacks.
    pub(super) fn send_heartbeats(&mut self) {
        for to in self.peers() {
            self.send_entries(to, true);
        }
    }

    pub(super) fn replicate_all(&mut self) {
        if !self.leads() {
            return;
        }
        for to in self.peers() {
            self.replicate(to);
        }
    }

    /// Sends new entries, several messages ahead of the acknowledgements.
    fn replicate(&mut self, to: ReplicaId) {
        let last = self.log.last().index;
        let base = self.log.base().index;
        loop {
            let Some(progress) = self.leadership().and_then(|lead| lead.progress.get(&to)) else {
                return;
            };
            let ahead = progress.next.saturating_sub(progress.matched);
            let wait = progress.probing || ahead > MAX_IN_FLIGHT;
            let gone = progress.next <= base;
            if wait || gone || progress.next > last {
                return;
            }
            self.send_entries(to, false);
        }
    }

    /// Sends the next entries, or none for a heartbeat.
    ///
    /// A follower whose disk hangs acknowledges entries only after the sync. If heartbeats carried
    /// entries, a leader would receive no answers while disks hang, and step down. A message
    /// without entries is answered at once, also while the next position is a guess.
    fn send_entries(&mut self, to: ReplicaId, heartbeat_only: bool) {
        let term = self.hard.term;
        let committed = self.committed;
        let Some(lead) = self.leadership() else {
            return;
        };
        let round = lead.round;
        let Some(progress) = lead.progress.get(&to).cloned() else {
            return;
        };
        let Some(prev) = self.log.id_at(progress.next - 1) else {
            self.offer_snapshot(to, round);
            return;
        };
        let entries = if heartbeat_only {
            Vec::new()
        } else {
            let last = self.log.last().index;
            self.log.slice(progress.next, last, MAX_APPEND_BYTES)
        };
        if !progress.probing {
            self.record_sent(to, entries.last());
        }
        let append = Message::Append {
            term,
            prev,
            entries,
            committed,
            round,
        };
        self.send(to, append);
    }

    fn record_sent(&mut self, to: ReplicaId, last: Option<&Entry>) {
        let progress = self
            .leadership()
            .and_then(|lead| lead.progress.get_mut(&to));
        if let (Some(progress), Some(last)) = (progress, last) {
            progress.next = last.id.index + 1;
        }
    }

    fn offer_snapshot(&mut self, to: ReplicaId, round: Round) {
        let term = self.hard.term;
        if let Some(meta) = self.snapshot.clone() {
            let meta = Box::new(meta);
            self.send(to, Message::Offer { term, meta, round });
        }
    }

    /// Handles a follower's acknowledgement.
    pub(super) fn on_ack(
        &mut self,
        from: ReplicaId,
        term: Term,
        matched: LogIndex,
        missing: Option<LogIndex>,
        round: Round,
    ) {
        if term > self.hard.term {
            self.adopt_term(term);
            return;
        }
        let now = self.now;
        let current = term == self.hard.term;
        let Some(lead) = self.leadership().filter(|_| current) else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(&from) else {
            return;
        };
        progress.last_response = now;
        progress.round = progress.round.max(round);
        let resend = apply_ack(progress, matched, missing);
        self.release_reads();
        self.advance_commit();
        if resend {
            self.send_entries(from, false);
        }
        self.replicate(from);
    }

    /// Commits what a majority holds on disk, if the last of these entries is of this term.
    ///
    /// An entry of an older term on a majority can still be replaced by another leader; counting it
    /// would report a commit that is lost later. It is committed only below an entry of the present
    /// term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let own = self.writes.durable();
        let held = |id: &ReplicaId| {
            let other = lead.progress.get(id).map_or(0, |progress| progress.matched);
            if *id == self.id { own } else { other }
        };
        let mut positions: Vec<_> = self.membership().voters.keys().map(held).collect();
        positions.sort_unstable_by(|a, b| b.cmp(a));
        let majority = self.membership().majority();
        let Some(agreed) = positions.get(majority - 1).copied() else {
            return;
        };
        let own_term = self.log.term_at(agreed) == Some(self.hard.term);
        if agreed > self.committed && own_term {
            self.committed = agreed;
            self.apply();
            self.prune_memberships();
            self.submit_early_reads();
        }
    }

    /// Drops memberships that newer committed ones have replaced.
    pub(super) fn prune_memberships(&mut self) {
        let kept = self.snapshot.as_ref().map_or(0, |meta| meta.last.index);
        let floor = kept.max(self.committed.saturating_sub(MAX_IN_FLIGHT));
        let is_older = |at: &LogIndex| *at <= floor;
        let older = self.memberships.iter().filter(|(at, _)| is_older(at));
        let surplus = older.count().saturating_sub(1);
        self.memberships.drain(..surplus);
    }

    /// Term and position of the entry at a position, if it is still held.
    pub fn id_at(&self, index: LogIndex) -> Option<EntryId> {
        self.log.id_at(index)
    }
}

/// Applies an acknowledgement; returns whether the entries from `next` on have to be sent again.
fn apply_ack(progress: &mut Progress, matched: LogIndex, missing: Option<LogIndex>) -> bool {
    progress.matched = progress.matched.max(matched);
    let Some(missing) = missing else {
        if matched >= progress.next.saturating_sub(1) || progress.probing {
            progress.probing = false;
            progress.next = progress.next.max(progress.matched + 1);
        }
        return false;
    };
    let next = progress.matched.max(missing) + 1;
    // After a lost message the follower refuses all messages behind it; only the first refusal
    // counts.
    let rewound = next < progress.next;
    if rewound {
        progress.next = next;
        progress.probing = true;
    }
    rewound
}
