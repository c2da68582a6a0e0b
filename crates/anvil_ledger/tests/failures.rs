//! Failures of the simulated fleet in a set order.

#[path = "support/checks.rs"]
mod checks;
#[path = "support/clients.rs"]
mod clients;
#[path = "support/faults.rs"]
#[allow(dead_code, reason = "random_failures.rs uses the rest")]
mod faults;
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/mem_disk.rs"]
#[allow(dead_code, reason = "storage_failures.rs uses the rest")]
mod mem_disk;

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_ledger::core::CoreSettings;
use fleet::Fleet;

const MINUTE: Duration = Duration::from_mins(1);

fn fleet_with_leader(seed: u64, replicas: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, replicas);
    fleet.run_for(Duration::from_secs(5));
    assert!(fleet.all_disks_vote(), "no leader within five seconds");
    fleet
}

/// Guards against a leader that goes on leading in a partition: it is cut off for a minute, then
/// the network heals. The others elect a leader and go on within seconds, the isolated one steps
/// down and accepts nothing, and after the heal nothing reverts and the new leader stays.
#[test]
fn an_isolated_leader_steps_down_and_the_heal_reverts_nothing() {
    for seed in 0..8 {
        let mut fleet = fleet_with_leader(seed, 3);
        let old = fleet.leader().expect("a leader");
        fleet.conditions.split(&BTreeSet::from([old]), 3);
        fleet.run_for(Duration::from_secs(5));
        let new = fleet.leader().expect("a new leader");
        assert_ne!(new, old);
        assert!(!fleet.leads(old), "the isolated leader did not step down");
        let before = fleet.checks.newest_acknowledged();
        fleet.run_for(MINUTE);
        assert!(fleet.checks.newest_acknowledged() > before + 100);
        let term = fleet.term(new);
        fleet.conditions.clear();
        // A leader may hand over while a follower's disk hangs; hanging disks are tested elsewhere.
        fleet.conditions.slow_sync_rate = 0.0;
        fleet.run_for(Duration::from_secs(5));
        assert_eq!(
            fleet.term(new),
            term,
            "the isolated replica deposed the leader after the heal"
        );
        fleet.converge();
    }
}

/// Guards against a follower that deposes the leader when its partition heals: its pre-votes reach
/// nobody, so it raises no term. With seed 42 two disks hang as well, which must not keep the
/// leader from hearing from their replicas.
#[test]
fn a_reconnected_follower_does_not_depose_the_leader() {
    for seed in [0, 1, 2, 3, 42] {
        let mut fleet = fleet_with_leader(seed, 5);
        let leader = fleet.leader().expect("a leader");
        let follower = (leader + 1) % 5;
        let term = fleet.term(leader);
        fleet.conditions.split(&BTreeSet::from([follower]), 5);
        fleet.run_for(MINUTE);
        fleet.conditions.clear();
        fleet.run_for(Duration::from_secs(5));
        assert_eq!(fleet.leader(), Some(leader));
        assert_eq!(fleet.term(leader), term);
        fleet.converge();
    }
}

/// Guards against a new disk that votes before it holds the log: disks are lost one after another,
/// each right after the one before was replaced, and no acknowledged change may be lost.
#[test]
fn a_second_disk_lost_right_after_the_first_is_replaced() {
    for seed in 0..8 {
        let mut fleet = fleet_with_leader(seed, 3);
        for number in [0, 1, 2, 0] {
            fleet.lose_disk(number);
            let disk_replaced = fleet.run_until(MINUTE, Fleet::all_disks_vote);
            assert!(
                disk_replaced,
                "the new disk of instance {number} did not become a voter"
            );
        }
        let acknowledged = fleet.checks.newest_acknowledged();
        assert!(acknowledged > 100);
        fleet.converge();
    }
}

/// Guards against a membership change that is committed on one side of a partition and not on the
/// other. A lost disk is being replaced while the network splits, with the leader on the small
/// side; that side can't commit the change, and the other side elects a leader of its own.
#[test]
fn a_partition_during_a_membership_change() {
    for seed in 0..16 {
        let mut fleet = fleet_with_leader(seed, 5);
        let leader = fleet.leader().expect("a leader");
        let lost = (leader + 1) % 5;
        fleet.lose_disk(lost);
        // The new disk comes back within three seconds; the partition begins around that time.
        let pause = fleet.random_duration(100_000, 4_000_000);
        fleet.run_for(pause);
        fleet.conditions.split(&BTreeSet::from([leader, lost]), 5);
        fleet.run_for(MINUTE / 4);
        fleet.conditions.clear();
        let ok = fleet.run_until(MINUTE, Fleet::all_disks_vote);
        if !ok {
            for n in 0..5 {
                let p = fleet.instances[n].process.as_ref();
                eprintln!(
                    "{n} {:?}",
                    p.map(|p| (
                        p.replica.id(),
                        p.replica.term(),
                        p.replica.leads(),
                        p.replica.leader(),
                        p.replica.committed(),
                        p.replica.last(),
                        p.replica.membership().clone()
                    ))
                );
            }
        }
        assert!(ok, "seed {seed}");
        fleet.converge();
    }
}

/// Guards against commands that are lost or applied twice when three of ten messages are lost,
/// three of ten are duplicated, and messages overtake each other by up to half a second.
#[test]
fn messages_lost_duplicated_reordered_and_delayed() {
    for seed in 0..5 {
        let mut fleet = fleet_with_leader(seed, 3);
        let before = fleet.checks.newest_acknowledged();
        fleet.conditions.loss_rate = 0.3;
        fleet.conditions.duplicate_rate = 0.3;
        fleet.conditions.max_delay_us = 500_000;
        fleet.run_for(MINUTE);
        fleet.conditions.clear();
        fleet.run_for(Duration::from_secs(10));
        assert!(fleet.checks.newest_acknowledged() > before);
        fleet.converge();
    }
}

/// Guards against two changes that are both accepted under one revision. Operators change one
/// document again and again, lose every tenth answer, and resend; a resent change gets its first
/// answer.
#[test]
fn operators_race_under_one_revision_and_resend() {
    let mut fleet = fleet_with_leader(1, 3);
    fleet.run_for(MINUTE * 2);
    let won = fleet.checks.counts.one_winner;
    assert!(won > 500, "only {won} changes");
    fleet.converge();
}

/// Guards against a full election timeout after all replicas lose power and restart together:
/// callers would get neither grants nor a routing table for half a second and more.
#[test]
fn replicas_that_start_together_elect_a_leader_quickly() {
    for seed in 0..16 {
        let mut fleet = fleet_with_leader(seed, 4);
        // Hanging disks are tested elsewhere.
        fleet.conditions.slow_sync_rate = 0.0;
        (0..4).for_each(|number| fleet.crash(number, true));
        // Messages of the old leader that are still in flight are lost with its connections.
        fleet.run_for(Duration::from_millis(10));
        (0..4).for_each(|number| fleet.start(number));
        let restarted = fleet.now;
        let elected = fleet.run_until(MINUTE, |fleet| fleet.leader().is_some());
        assert!(elected, "seed {seed}");
        let took = fleet.now.saturating_sub(restarted);
        assert!(
            took < Duration::from_millis(400),
            "seed {seed}: {took:?} without a leader"
        );
        fleet.converge();
    }
}

/// Guards against a restarted replica that deposes the leader: its early pre-vote is refused by all
/// that have contact with the leader.
#[test]
fn a_restarted_replica_does_not_depose_the_leader() {
    for seed in 0..16 {
        let mut fleet = fleet_with_leader(seed, 3);
        let leader = fleet.leader().expect("a leader");
        let term = fleet.term(leader);
        let other = (leader + 1) % 3;
        fleet.crash(other, false);
        fleet.start(other);
        fleet.run_for(Duration::from_secs(3));
        assert_eq!(fleet.leader(), Some(leader), "seed {seed}");
        assert_eq!(fleet.term(leader), term, "seed {seed}");
        fleet.converge();
    }
}

/// Guards against lost changes when the leader is cut off while another replica loses power.
/// Nothing commits until that replica is back; then the two elect a leader, and the old leader's
/// uncommitted entries are dropped.
#[test]
fn a_partition_and_a_power_cut_together() {
    for seed in 0..8 {
        let mut fleet = fleet_with_leader(seed, 3);
        let old = fleet.leader().expect("a leader");
        fleet.conditions.split(&BTreeSet::from([old]), 3);
        fleet.crash((old + 1) % 3, true);
        fleet.run_for(MINUTE / 2);
        let new = fleet.leader().expect("a new leader");
        assert_ne!(new, old);
        fleet.conditions.clear();
        fleet.converge();
    }
}

/// Guards against acknowledged changes that are lost when all instances lose power at once, three
/// times.
#[test]
fn all_replicas_lose_power_at_once() {
    for seed in 0..8 {
        let mut fleet = fleet_with_leader(seed, 3);
        for _ in 0..3 {
            for number in 0..3 {
                fleet.crash(number, true);
            }
            assert!(
                fleet.run_until(MINUTE, Fleet::all_disks_vote),
                "seed {seed}"
            );
            fleet.run_for(Duration::from_secs(3));
        }
        fleet.converge();
    }
}

/// Guards against a leader that is frozen for ten seconds and then answers from its old state
/// although another replica leads.
#[test]
fn a_frozen_leader_is_replaced_and_resumes() {
    for seed in 0..8 {
        let mut fleet = fleet_with_leader(seed, 3);
        let old = fleet.leader().expect("a leader");
        fleet.instances[old].frozen_until = fleet.now + Duration::from_secs(10);
        fleet.run_for(Duration::from_secs(9));
        let others = (0..3).filter(|n| *n != old).any(|n| fleet.leads(n));
        assert!(others, "no other replica became the leader, seed {seed}");
        fleet.run_for(Duration::from_secs(5));
        fleet.converge();
    }
}

/// The timing of a deployment with a sync of 2 ms and a latency of 1 ms.
fn short_timeouts() -> CoreSettings {
    CoreSettings {
        heartbeat_interval: Duration::from_millis(70),
        election_timeout: Duration::from_millis(350),
        slow_commit_limit: Some(Duration::from_millis(450)),
        ..fleet::core_settings()
    }
}

/// Within which a deployment serves again after a loss.
const RECOVERY: Duration = Duration::from_secs(12);

/// A fleet with a leader, whose number is returned too, and from now on with slow disks only.
fn fleet_with_slow_disks(seed: u64, replicas: usize) -> (Fleet, usize) {
    let mut fleet = Fleet::with(short_timeouts(), seed, replicas);
    fleet.run_for(Duration::from_secs(5));
    let leader = fleet.leader().expect("a leader within five seconds");
    fleet.conditions.slow_sync_rate = 1.0;
    (fleet, leader)
}

/// Whether a leader stands that can commit.
fn can_commit(fleet: &Fleet) -> bool {
    let leader = fleet.leader().map(|number| &fleet.instances[number]);
    let process = leader.and_then(|instance| instance.process.as_ref());
    process.is_some_and(|process| process.replica.has_committed_in_term())
}

/// Guards against a ledger without a leader while every disk is slow: each candidate gave up before its own vote
/// and those of its voters were synced, and the leaders that were elected handed over in turn. One may hand over
/// while it doesn't know yet that its own disk is slow as well.
#[test]
fn slow_disks_everywhere_leave_the_ledger_its_leader() {
    for replicas in [3, 4, 5, 7] {
        for seed in 0..12 {
            let (mut fleet, leader) = fleet_with_slow_disks(seed, replicas);
            let term = fleet.term(leader);
            fleet.run_for(MINUTE);
            assert!(can_commit(&fleet), "{replicas}, seed {seed}");
            assert!(fleet.term(leader) <= term + 1, "{replicas}, seed {seed}");
            fleet.conditions.clear();
            fleet.converge();
        }
    }
}

/// Guards against elections without end after the leader is lost while every disk is slow.
#[test]
fn a_lost_leader_is_replaced_while_every_disk_is_slow() {
    for replicas in [3, 4, 5, 7] {
        for seed in 0..12 {
            let (mut fleet, leader) = fleet_with_slow_disks(seed, replicas);
            fleet.crash(leader, false);
            let elected = fleet.run_until(RECOVERY, can_commit);
            assert!(elected, "{replicas}, seed {seed}");
            fleet.conditions.clear();
            fleet.converge();
        }
    }
}

/// Guards against elections without end after all replicas lose power and come back with slow disks.
#[test]
fn replicas_with_slow_disks_that_start_together_elect_a_leader() {
    for replicas in [3, 4, 5, 7] {
        for seed in 0..12 {
            let (mut fleet, _) = fleet_with_slow_disks(seed, replicas);
            (0..replicas).for_each(|number| fleet.crash(number, true));
            fleet.run_for(Duration::from_millis(10));
            (0..replicas).for_each(|number| fleet.start(number));
            let elected = fleet.run_until(RECOVERY, can_commit);
            assert!(elected, "{replicas}, seed {seed}");
            fleet.conditions.clear();
            fleet.converge();
        }
    }
}

/// Guards against leadership that rotates without end while every disk is slow: seven replicas
/// changed their leader about once a second, and served half of the requests.
#[test]
fn slow_disks_everywhere_do_not_rotate_leadership_endlessly() {
    const SLOW_FOR: Duration = Duration::from_secs(40);
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
    const MIN_MEAN_LEADERSHIP: Duration = Duration::from_secs(4);
    for seed in 0..6 {
        let mut fleet = Fleet::with(short_timeouts(), seed, 7);
        fleet.run_for(Duration::from_secs(5));
        fleet.conditions.slow_sync_rate = 1.0;
        let end = fleet.now + SLOW_FOR;
        let mut led_terms = BTreeSet::new();
        while fleet.now < end {
            fleet.run_for(SAMPLE_INTERVAL);
            led_terms.extend(fleet.leader().map(|leader| fleet.term(leader)));
        }
        let max_leaders = SLOW_FOR.as_secs() / MIN_MEAN_LEADERSHIP.as_secs();
        let leaders = led_terms.len() as u64;
        assert!(
            leaders <= max_leaders,
            "seed {seed}: {leaders} leaders in {SLOW_FOR:?}"
        );
        fleet.conditions.clear();
        fleet.converge();
    }
}
