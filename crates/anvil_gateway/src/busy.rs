//! Whether this gateway's link is so full that it asks for no new clients; the decision is in
//! [`anvil_policy::shedding`].

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvil_policy::shedding::{Shedding, ZoneLoad};
use anvil_wire::msg::SiblingLoad;
use anvil_world::prelude::*;
use anvilreel::event;
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::Gateway;
use crate::log_events as events;

/// Time between two looks at the link: a few within the time over which its load is averaged.
const LOOK: Duration = Duration::from_millis(250);
/// For how long a sibling's word on itself counts: a few questions.
const SAID_HOLDS: Duration = Duration::from_secs(10);

/// The load of this gateway, and what siblings said of theirs.
#[derive(Default)]
pub struct Busy {
    shedding: Mutex<Shedding>,
    said: Mutex<BTreeMap<InstanceId, (SiblingLoad, Now)>>,
}

impl Busy {
    /// Whether no new clients are asked for.
    pub fn is_away(&self, now: Now) -> bool {
        self.shedding().is_away(now)
    }

    /// Whether clients are asked to use another connection.
    pub fn closes(&self, now: Now) -> bool {
        self.shedding().closes(now)
    }

    /// What this gateway says of itself.
    pub fn own(&self, now: Now) -> SiblingLoad {
        let shedding = self.shedding();
        SiblingLoad {
            used: shedding.load(),
            is_away: shedding.is_away(now),
        }
    }

    /// A sibling has said this of itself.
    pub fn said(&self, sibling: InstanceId, load: SiblingLoad, now: Now) {
        let mut said = self.all_said();
        said.insert(sibling, (load, now));
        said.retain(|_, (_, at)| now < *at + SAID_HOLDS);
    }

    /// What all have said of themselves lately, this gateway among them.
    pub fn of_all(&self, now: Now) -> Vec<SiblingLoad> {
        let mut all: Vec<_> = self.all_said().values().map(|(load, _)| *load).collect();
        all.push(self.own(now));
        all
    }

    /// Takes in what all say of themselves.
    pub fn heard(&self, now: Now, all: &[SiblingLoad]) {
        let zone = ZoneLoad::of(all.iter().map(|load| (load.used, load.is_away)));
        self.shedding().heard(now, zone);
    }

    fn shedding(&self) -> MutexGuard<'_, Shedding> {
        // A panic elsewhere leaves plain numbers, each of them valid.
        self.shedding.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn all_said(&self) -> MutexGuard<'_, BTreeMap<InstanceId, (SiblingLoad, Now)>> {
        // A panic elsewhere leaves what each has said.
        self.said.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Looks at the link for as long as the process lives. A link of unknown size is never too full.
pub async fn run(gw: &Gateway) {
    let Some(link) = gw.cfg.link_bytes_per_second else {
        return;
    };
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut looked = gw.life.now();
    let mut was_away = false;
    loop {
        looks.tick().await;
        let now = gw.life.now();
        let passed = now.saturating_sub(looked).as_secs_f64();
        looked = now;
        if passed == 0.0 {
            continue;
        }
        #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
        let used = gw.directory.link.take() as f64 / (link * passed);
        let goes = gw.busy.shedding().measured(now, used);
        tell(gw, now, goes, &mut was_away);
    }
}

fn tell(gw: &Gateway, now: Now, goes: bool, was_away: &mut bool) {
    if goes {
        let load = format!("{:.2}", gw.busy.own(now).used);
        event!(gw.log, events::GATEWAY_BUSY, "link" => load);
    }
    let is_away = gw.busy.is_away(now);
    if *was_away && !is_away {
        event!(gw.log, events::GATEWAY_NOT_BUSY);
    }
    *was_away = is_away;
}
