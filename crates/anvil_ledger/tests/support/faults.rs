//! Faults of the simulated fleet: which occur, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvil_ledger::storage::StorageError;
use rand::RngExt;

use super::fleet::{Fleet, SimEvent};

/// Present conditions of network and disks.
#[derive(Debug, Clone)]
pub struct Conditions {
    /// Directed links (from, to) that deliver nothing.
    cut: BTreeSet<(usize, usize)>,
    /// Share of messages that are lost.
    pub loss_rate: f64,
    /// Share of messages that are delivered twice.
    pub duplicate_rate: f64,
    /// Maximum delay, in microseconds. Messages overtake each other within it.
    pub max_delay_us: u64,
    /// Share of syncs that take up to 0.9 s.
    pub slow_sync_rate: f64,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            cut: BTreeSet::new(),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            max_delay_us: 2_000,
            slow_sync_rate: 0.01,
        }
    }
}

impl Conditions {
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to))
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Cuts a group off from the rest, in both directions.
    pub fn split(&mut self, group: &BTreeSet<usize>, all: usize) {
        for one in 0..all {
            for other in 0..all {
                if group.contains(&one) != group.contains(&other) {
                    self.cut(one, other);
                }
            }
        }
    }

    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Faults so far.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    pub counts: BTreeMap<&'static str, u64>,
    /// Whether faults occur ten times as often, so that elections are interrupted one after the
    /// other.
    pub frequent: bool,
    /// Whether no more faults are to occur.
    pub ended: bool,
}

impl Faults {
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    pub fn failed_disk(&mut self, e: &StorageError) {
        assert!(
            matches!(e, StorageError::Io { .. } | StorageError::Failed),
            "{e}"
        );
        self.count("disk failed");
    }
}

impl Fleet {
    /// Starts the faults.
    pub fn start_faults(&mut self, frequent: bool) {
        self.faults.frequent = frequent;
        self.schedule(Duration::from_secs(1), SimEvent::Fault);
    }

    /// Causes one random fault, and schedules the next. Earlier ones may still be in effect.
    pub fn fault(&mut self) {
        if self.faults.ended {
            return;
        }
        let max_us = if self.faults.frequent {
            300_000
        } else {
            3_000_000
        };
        let delay = self.random_duration(20_000, max_us);
        self.schedule(delay, SimEvent::Fault);
        let all = self.instances.len();
        let number = self.rng.random_range(0..all);
        match self.rng.random_range(0..10) {
            0 => self.kill(number, true),
            1 => self.kill(number, false),
            2 => self.lose_disk(number),
            3 => self.split(),
            4 => self.isolate_leader(),
            5 => self.cut_one_way(number),
            6 => self.freeze(number),
            7 => self.fail_disk(number),
            _ => self.degrade_network(),
        }
    }

    fn kill(&mut self, number: usize, power: bool) {
        if self.process(number).is_some() {
            self.faults
                .count(if power { "power lost" } else { "killed" });
            self.crash(number, power);
        }
    }

    /// Only while every disk votes: two lost disks of three leave no majority.
    pub fn lose_disk(&mut self, number: usize) {
        if self.all_disks_vote() {
            self.faults.count("disk lost");
            self.crash(number, false);
            self.instances[number].disk.wipe();
        }
    }

    fn split(&mut self) {
        self.faults.count("partition");
        let all = self.instances.len();
        let mut group = BTreeSet::new();
        for number in 0..all {
            if self.rng.random_bool(0.4) {
                group.insert(number);
            }
        }
        self.conditions.split(&group, all);
        self.heal_later(12_000_000);
    }

    fn isolate_leader(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        self.faults.count("leader isolated");
        let all = self.instances.len();
        self.conditions.split(&BTreeSet::from([leader]), all);
        self.heal_later(30_000_000);
    }

    fn cut_one_way(&mut self, number: usize) {
        self.faults.count("one way cut");
        let to = self.rng.random_range(0..self.instances.len());
        self.conditions.cut(number, to);
        self.heal_later(8_000_000);
    }

    fn freeze(&mut self, number: usize) {
        self.faults.count("frozen");
        let time = self.random_duration(100_000, 4_000_000);
        self.instances[number].frozen_until = self.now + time;
    }

    fn fail_disk(&mut self, number: usize) {
        let ahead = self.rng.random_range(0..30);
        let disk = &self.instances[number].disk;
        disk.fail_at(Some(disk.operations() + ahead));
    }

    fn degrade_network(&mut self) {
        self.faults.count("noise");
        self.conditions.loss_rate = self.rng.random_range(0.0..0.3);
        self.conditions.duplicate_rate = self.rng.random_range(0.0..0.3);
        self.conditions.max_delay_us = self.rng.random_range(1_000..400_000);
        self.heal_later(10_000_000);
    }

    fn heal_later(&mut self, max_us: u64) {
        let max_us = if self.faults.frequent {
            max_us / 10
        } else {
            max_us
        };
        let delay = self.random_duration(100_000, max_us);
        self.schedule(delay, SimEvent::Heal);
    }
}
