//! Decides whether a router's knowledge of a key's claim can be relied on.
//!
//! After a change of members, two routers with different members' lists can ask different holders.
//! If each finds the key unclaimed, it runs and is charged twice. So a holder confirms a key's
//! claim only while
//! * it has received a message from the ledger so recently that it can't have been declared lost (a
//!   lease),
//! * it and the asking router name the same two holders, in the same incarnations, and
//! * it has been a holder of the key for as long as a claim is kept, so that it knows of any claim.
//!
//! A holder that does not confirm still stores the claim, so that it can confirm it later.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_wire::msg::ClaimHolder;
use anvil_world::prelude::*;

use super::placement::holder_incarnations;

/// Longest time since the last message from the ledger: less than half of the time after which the
/// ledger declares an instance lost.
const LEDGER_LEASE: Duration = Duration::from_secs(3);

/// The routers of one region over the time for which a claim is kept.
#[derive(Debug)]
pub struct HolderHistory {
    region: RegionId,
    window: Duration,
    started_at: Now,
    /// The routers from each time on, oldest first; the first entry covers the beginning of the
    /// window.
    member_lists: VecDeque<(Now, Vec<Member>)>,
}

impl HolderHistory {
    /// An empty history. `window` is the longest time for which a claim is kept.
    pub fn new(region: RegionId, window: Duration, now: Now) -> Self {
        Self {
            region,
            window,
            started_at: now,
            member_lists: VecDeque::new(),
        }
    }

    /// Changes the time for which a claim is kept.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Records the members from now on.
    pub fn record_members<'a>(&mut self, now: Now, members: impl IntoIterator<Item = &'a Member>) {
        let routers = members.into_iter();
        let routers = routers.filter(|member| member.instance.role == Role::Router);
        let routers: Vec<_> = routers.cloned().collect();
        if self
            .member_lists
            .back()
            .is_none_or(|(_, last)| *last != routers)
        {
            self.member_lists.push_back((now, routers));
        }
        let start = now.saturating_sub(self.window);
        while self
            .member_lists
            .get(1)
            .is_some_and(|(since, _)| *since <= start)
        {
            self.member_lists.pop_front();
        }
    }

    /// The current holders of a key.
    pub fn holders(&self, key: &RequestKey) -> Vec<ClaimHolder> {
        let newest = self.member_lists.back();
        newest.map_or_else(Vec::new, |(_, list)| self.holders_in(key, list))
    }

    /// Whether the key has had the same holders for as long as a claim is kept. If not, no holder
    /// can confirm that it is unclaimed, and the sidecars themselves have to be probed.
    pub fn has_stable_holders(&self, now: Now, key: &RequestKey) -> bool {
        let current = self.holders(key);
        self.covers_window(now)
            && self
                .member_lists
                .iter()
                .all(|(_, list)| self.holders_in(key, list) == current)
    }

    /// Whether this router may confirm a key's claim to a router that asked these holders.
    /// `disconnected_for` is the time since the last message from the ledger.
    pub fn may_confirm_claim(
        &self,
        now: Now,
        disconnected_for: Duration,
        me: &InstanceId,
        key: &RequestKey,
        asked: &[ClaimHolder],
    ) -> bool {
        let agreed = self.holders(key) == asked && asked.iter().any(|holder| holder.id == *me);
        let member_lists = self.member_lists.iter();
        let mut held = member_lists.map(|(_, list)| self.holders_in(key, list));
        let held_throughout = held.all(|holders| holders.iter().any(|holder| holder.id == *me));
        disconnected_for < LEDGER_LEASE && agreed && held_throughout && self.covers_window(now)
    }

    fn covers_window(&self, now: Now) -> bool {
        now.saturating_sub(self.started_at) >= self.window
    }

    fn holders_in(&self, key: &RequestKey, list: &[Member]) -> Vec<ClaimHolder> {
        holder_incarnations(key, &self.region, list)
    }
}
