//! Who may vouch for a key.
//!
//! Failure: the members change, and two routers that know different members ask different
//! holders. Each finds the key unclaimed, and it runs and is billed twice. So a holder vouches
//! for a key only while
//! * it heard from the ledger so lately that it can't have been declared lost (a lease),
//! * it and the asker name the same two holders, in the same lives, and
//! * it has held the key for as long as a claim is kept: whatever was claimed, it knows.
//!
//! One that doesn't vouch still keeps the claim, so that it can vouch later.

use std::collections::VecDeque;
use std::time::Duration;

use anvil_wire::msg::HolderLife;
use anvil_world::prelude::*;

use super::placement::holder_lives;

/// How lately a holder must have heard from the ledger. Less than half of the time after which
/// the ledger declares an instance lost.
const LEASE: Duration = Duration::from_secs(3);

/// The routers of one region over the time in which a claim is kept.
#[derive(Debug)]
pub struct Tenure {
    region: RegionId,
    window: Duration,
    began: Now,
    /// The routers from each time on, oldest first; the first covers the window's beginning.
    lists: VecDeque<(Now, Vec<Member>)>,
}

impl Tenure {
    /// Nothing known yet. `window` is the longest time for which a claim is kept.
    pub fn new(region: RegionId, window: Duration, now: Now) -> Self {
        Self {
            region,
            window,
            began: now,
            lists: VecDeque::new(),
        }
    }

    /// Claims are kept for another time from now on.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// These are the members from now on.
    pub fn note<'a>(&mut self, now: Now, members: impl IntoIterator<Item = &'a Member>) {
        let routers = members.into_iter();
        let routers = routers.filter(|member| member.instance.role == Role::Router);
        let routers: Vec<_> = routers.cloned().collect();
        if self.lists.back().is_none_or(|(_, last)| *last != routers) {
            self.lists.push_back((now, routers));
        }
        let start = now.saturating_sub(self.window);
        while self.lists.get(1).is_some_and(|(since, _)| *since <= start) {
            self.lists.pop_front();
        }
    }

    /// The present holders of a key.
    pub fn holders(&self, key: &RequestKey) -> Vec<HolderLife> {
        let newest = self.lists.back();
        newest.map_or_else(Vec::new, |(_, list)| self.of(key, list))
    }

    /// Whether the key had the same holders for as long as a claim is kept. If not, no holder
    /// can vouch, and the sidecars themselves have to be asked.
    pub fn is_settled(&self, now: Now, key: &RequestKey) -> bool {
        let held = self.holders(key);
        self.is_long_lived(now)
            && self
                .lists
                .iter()
                .all(|(_, list)| self.of(key, list) == held)
    }

    /// Whether this router may vouch for a key towards one who asked these holders.
    /// `out_of_touch` is the time since the ledger was last heard of.
    pub fn vouches(
        &self,
        now: Now,
        out_of_touch: Duration,
        me: &InstanceId,
        key: &RequestKey,
        asked: &[HolderLife],
    ) -> bool {
        let agreed = self.holders(key) == asked && asked.iter().any(|holder| holder.id == *me);
        let lists = self.lists.iter();
        let mut held = lists.map(|(_, list)| self.of(key, list));
        let all_along = held.all(|holders| holders.iter().any(|holder| holder.id == *me));
        out_of_touch < LEASE && agreed && all_along && self.is_long_lived(now)
    }

    fn is_long_lived(&self, now: Now) -> bool {
        now.saturating_sub(self.began) >= self.window
    }

    fn of(&self, key: &RequestKey, list: &[Member]) -> Vec<HolderLife> {
        holder_lives(key, &self.region, list)
    }
}
