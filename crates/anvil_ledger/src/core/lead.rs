//! What a leader does: append, replicate, commit, step down.

use std::time::Duration;

use anvil_world::ids::{InstanceId, LogIndex, Term};

use super::leadership::{Leadership, Progress};
use super::replica::{Replica, Role};
use super::{
    Action, Entry, EntryId, Message, Payload, Proposal, Refused, ReplicaId, RequestId, Round, Site,
};

/// Election times for which a leader that was too slow does not stand: the others stand after two
/// at most.
const YIELDS_FOR: u32 = 3;
/// Least time after that before it yields again, and between the elections of two leaders that yield.
const YIELDS_AGAIN: Duration = Duration::from_secs(10);
/// Entries that wait so long, as a divisor of the limit, are slow where those before them were, too.
const SLOW_PART: u32 = 3;
/// Time that slow entries in a row may wait together, as times of the limit for one.
const SLOW_TIMES: u32 = 2;
/// Most bytes of entries in one message.
const MAX_APPEND: usize = 256 << 10;
/// Most entries that wait for a majority.
///
/// Failure: the leader's disk or a majority hangs while callers ask again and again; the log grows
/// in memory until the process dies. Beyond this, a proposal is refused and nothing is put in.
const MAX_WAITING: LogIndex = 32_768;
/// Most entries under way to one follower before it acknowledges some.
const MAX_UNDER_WAY: LogIndex = 8_192;

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
            if self.log.last().index >= self.committed + MAX_WAITING {
                let why = Refused::Backlog;
                self.out.push(Action::Refused { id, why });
                continue;
            }
            let entry = self.next_id();
            self.append(Entry {
                id: entry,
                payload: Payload::Data(data),
            });
            self.out.push(Action::Accepted { id, entry });
        }
        self.replicate_all();
    }

    /// What a leader does now and then.
    pub(super) fn lead(&mut self) {
        if !self.has_majority() {
            // Failure: a leader that is cut off goes on taking proposals and answering reads
            // that nobody will ever confirm. It steps down within one election time, and whoever
            // waits is told that the outcome is in doubt.
            let (heard, voters) = self.voters_heard();
            self.out.push(Action::MajorityLost { heard, voters });
            self.step_down();
            return;
        }
        if let Some((index, waited)) = self.slow_commit() {
            self.out.push(Action::Yields { index, waited });
            self.yield_lead();
            return;
        }
        self.change_members();
        let now = self.now;
        let heartbeat = self.cfg.heartbeat;
        let Some(lead) = self.leadership() else {
            return;
        };
        if now >= lead.next_heartbeat {
            lead.next_heartbeat = now + heartbeat;
            self.beat();
        }
    }

    /// The entry that has waited for a majority for too long, or after others that were slow as well, and
    /// for how long.
    ///
    /// Failure: the links of the leader's availability zone lose packets. Its signs of life still
    /// get through, so it is followed, but each loss holds up one of its connections for some tenths of
    /// a second, and a majority of them is always held up. It shows as grants that come too late
    /// at every router, for as long as the loss lasts. A leader elsewhere needs none of these links.
    fn slow_commit(&mut self) -> Option<(LogIndex, Duration)> {
        let (now, committed, last) = (self.now, self.committed, self.log.last().index);
        let limit = self.cfg.slow_commit?;
        let may_yield = self.may_yield() && self.others_suffice();
        let lead = self.leadership()?;
        let waited = lead.waiting.map(|(_, since)| now.saturating_sub(since));
        let waiting = lead.waiting.filter(|(index, _)| committed < *index);
        let Some((index, waited)) = waiting.zip(waited).map(|((i, _), waited)| (i, waited)) else {
            lead.committed_after(waited, limit / SLOW_PART);
            lead.waiting = (committed < last).then_some((last, now));
            return None;
        };
        let is_slow = waited >= limit || lead.slow_for + waited >= SLOW_TIMES * limit;
        (may_yield && is_slow).then_some((index, waited))
    }

    /// Whether another leader may be faster: neither this one nor another has made way lately.
    ///
    /// Failure: every disk is slow. Each new leader is as slow as the last one and yields in its turn; with
    /// seven replicas the first one's turn comes again before it may yield again, and elections take
    /// longer than anyone leads.
    fn may_yield(&self) -> bool {
        let lately = |at: Duration| self.now < at + YIELDS_AGAIN;
        !self.yields_until.is_some_and(lately) && !self.led_before.is_some_and(lately)
    }

    /// Notes that the present term has a leader, this replica or another.
    pub(super) fn note_leader(&mut self) {
        let term = self.hard.term;
        if self.led_since.is_some_and(|(newest, _)| newest == term) {
            return;
        }
        let before = self.led_since.replace((term, self.now));
        self.led_before = before.map(|(_, at)| at);
    }

    /// Whether the others make a majority without this replica: otherwise no leader is faster.
    fn others_suffice(&self) -> bool {
        let heard = |id: ReplicaId| id != self.id && self.heard_lately(id);
        self.membership().agreed(heard)
    }

    /// Leads no more, and stands for election only after the others have had the time to.
    ///
    /// It does so once in a while only: where every replica is slow, as with hanging disks,
    /// changing the leader helps nobody.
    fn yield_lead(&mut self) {
        self.step_down();
        self.deadline = self.now + YIELDS_FOR * self.cfg.election;
        self.yields_until = Some(self.deadline);
    }

    fn has_majority(&self) -> bool {
        self.leads() && self.membership().agreed(|id| self.heard_lately(id))
    }

    /// An instance whose replica has not answered this leader for so long, while more than `least`
    /// vote and a majority of the others has answered lately; none that is being taken out already.
    ///
    /// Failure: an instance is replaced by one at another address and never comes back. Its
    /// replica goes on counting in the majority, and the next loss stops the ledger.
    pub fn lost_voter(&self, silence: Duration, least: usize) -> Option<&InstanceId> {
        let membership = self.membership();
        if membership.voters.len() <= least {
            return None;
        }
        let is_lost = |id: ReplicaId, site: &Site| {
            let leaving = self.removing.contains(&site.instance);
            id != self.id && !leaving && self.is_silent(id, silence)
        };
        let mut voters = membership.voters.iter();
        let (id, site) = voters.find(|(id, site)| is_lost(**id, site))?;
        let rest = membership.without_voter(*id);
        let safe = rest.agreed(|other| self.heard_lately(other));
        safe.then_some(&site.instance)
    }

    /// Whether a replica has answered this leader within the last election time.
    pub(super) fn heard_lately(&self, id: ReplicaId) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let limit = self.cfg.election;
        let progress = lead.progress.get(&id);
        id == self.id || progress.is_some_and(|p| self.now < p.heard + limit)
    }

    /// How many voters have answered this leader within the last election time, itself among them,
    /// and how many there are. Nobody is heard of by a replica that doesn't lead.
    pub fn voters_heard(&self) -> (usize, usize) {
        let voters = &self.membership().voters;
        let heard = voters.keys().filter(|id| self.heard_lately(**id)).count();
        (heard, voters.len())
    }

    /// Learners that have answered nothing for so long since this leader knows them.
    pub fn silent_learners(&self, silence: Duration) -> impl Iterator<Item = (ReplicaId, &Site)> {
        let learners = self.membership().learners.iter();
        let silent = learners.filter(move |(id, _)| self.is_silent(**id, silence));
        silent.map(|(id, site)| (*id, site))
    }

    /// Whether this replica leads and another one has not answered it for so long.
    fn is_silent(&self, id: ReplicaId, silence: Duration) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let progress = lead.progress.get(&id);
        progress.is_some_and(|p| self.now >= p.heard + silence)
    }

    fn others(&self) -> Vec<ReplicaId> {
        let all = self.membership().replicas().map(|(id, _)| id);
        all.filter(|id| *id != self.id).collect()
    }

    /// Gives every follower a sign of life, which also shows it what it lacks.
    pub(super) fn beat(&mut self) {
        for to in self.others() {
            self.send_entries(to, true);
        }
    }

    pub(super) fn replicate_all(&mut self) {
        if !self.leads() {
            return;
        }
        for to in self.others() {
            self.replicate(to);
        }
    }

    /// Sends what is new, several messages ahead of the acknowledgements.
    fn replicate(&mut self, to: ReplicaId) {
        let last = self.log.last().index;
        let base = self.log.base().index;
        loop {
            let Some(progress) = self.leadership().and_then(|lead| lead.progress.get(&to)) else {
                return;
            };
            let ahead = progress.next.saturating_sub(progress.matched);
            let wait = progress.probing || ahead > MAX_UNDER_WAY;
            let gone = progress.next <= base;
            if wait || gone || progress.next > last {
                return;
            }
            self.send_entries(to, false);
        }
    }

    /// Sends the next entries, or none when `beat`.
    ///
    /// Failure: a follower whose disk hangs acknowledges entries only after the sync. If each sign
    /// of life carried some, a leader would hear from nobody while disks hang, and step down. A
    /// beat without entries is answered at once, also while the next position is a guess.
    fn send_entries(&mut self, to: ReplicaId, beat: bool) {
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
        let entries = if beat {
            Vec::new()
        } else {
            let last = self.log.last().index;
            self.log.slice(progress.next, last, MAX_APPEND)
        };
        if !progress.probing {
            self.sent(to, entries.last());
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

    fn sent(&mut self, to: ReplicaId, last: Option<&Entry>) {
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

    /// A follower has answered.
    pub(super) fn acked(
        &mut self,
        from: ReplicaId,
        term: Term,
        matched: LogIndex,
        missing: Option<LogIndex>,
        round: Round,
    ) {
        if term > self.hard.term {
            self.follow_term(term);
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
        progress.heard = now;
        progress.round = progress.round.max(round);
        let resend = take_ack(progress, matched, missing);
        self.release_reads();
        self.advance();
        if resend {
            self.send_entries(from, false);
        }
        self.replicate(from);
    }

    /// Commits what a majority holds on disk, when its last entry is of this term.
    ///
    /// Failure: an entry of an older term on a majority can still be replaced by another leader;
    /// counting it would report a commit that is lost later. It is committed only below an entry
    /// of the present term.
    pub(super) fn advance(&mut self) {
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
            self.forget_memberships();
            self.read_early();
        }
    }

    /// Drops memberships that newer committed ones have replaced.
    pub(super) fn forget_memberships(&mut self) {
        let kept = self.snapshot.as_ref().map_or(0, |meta| meta.last.index);
        let floor = kept.max(self.committed.saturating_sub(MAX_UNDER_WAY));
        let is_older = |at: &LogIndex| *at <= floor;
        let older = self.memberships.iter().filter(|(at, _)| is_older(at));
        let surplus = older.count().saturating_sub(1);
        self.memberships.drain(..surplus);
    }

    /// The entry that this replica has at a position, where it is still held.
    pub fn id_at(&self, index: LogIndex) -> Option<EntryId> {
        self.log.id_at(index)
    }
}

/// Takes an acknowledgement in; returns whether the entries after `next` are to be sent at once.
fn take_ack(progress: &mut Progress, matched: LogIndex, missing: Option<LogIndex>) -> bool {
    progress.matched = progress.matched.max(matched);
    let Some(missing) = missing else {
        if matched >= progress.next.saturating_sub(1) || progress.probing {
            progress.probing = false;
            progress.next = progress.next.max(progress.matched + 1);
        }
        return false;
    };
    let next = progress.matched.max(missing) + 1;
    // Several messages after one lost message are all refused; only the first refusal counts.
    let news = next < progress.next;
    if news {
        progress.next = next;
        progress.probing = true;
    }
    news
}
