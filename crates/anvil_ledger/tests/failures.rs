//! Failures of the simulated fleet in a set order.

#[path = "support/checks.rs"]
mod checks;
#[path = "support/clients.rs"]
mod clients;
#[path = "support/faults.rs"]
#[allow(dead_code, reason = "the randomised run uses the rest")]
mod faults;
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/mem_disk.rs"]
#[allow(dead_code, reason = "the storage's own tests use the rest")]
mod mem_disk;

use std::collections::BTreeSet;
use std::time::Duration;

use anvil_ledger::core::CoreSettings;
use fleet::Fleet;

const LONG: Duration = Duration::from_mins(1);

fn started(seed: u64, replicas: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, replicas);
    fleet.run_for(Duration::from_secs(5));
    assert!(fleet.is_whole(), "no leader within five seconds");
    fleet
}

/// Guards against a leader that goes on leading in a partition: it is cut off for a minute, then
/// the network heals. The others elect a leader and go on within seconds, the isolated one steps
/// down and accepts nothing, and after the heal nothing reverts and the new leader stays.
#[test]
fn a_leader_isolated_for_long_then_healed() {
    for seed in 0..8 {
        let mut fleet = started(seed, 3);
        let old = fleet.leader().expect("a leader");
        fleet.weather.split(&BTreeSet::from([old]), 3);
        fleet.run_for(Duration::from_secs(5));
        let new = fleet.leader().expect("a new leader");
        assert_ne!(new, old);
        assert!(!fleet.leads(old), "the isolated leader did not step down");
        let before = fleet.checks.newest_acknowledged();
        fleet.run_for(LONG);
        assert!(fleet.checks.newest_acknowledged() > before + 100);
        let term = fleet.term(new);
        fleet.weather.clear();
        fleet.run_for(Duration::from_secs(5));
        assert_eq!(
            fleet.term(new),
            term,
            "the one that came back deposed the leader"
        );
        fleet.converge();
    }
}

/// Guards against a follower that deposes the leader when its partition heals: its pre-votes reach
/// nobody, so it raises no term. With seed 42 two disks hang as well, which must not keep the
/// leader from hearing from their replicas.
#[test]
fn a_follower_that_comes_back_deposes_nobody() {
    for seed in [0, 1, 2, 3, 42] {
        let mut fleet = started(seed, 5);
        let leader = fleet.leader().expect("a leader");
        let follower = (leader + 1) % 5;
        let term = fleet.term(leader);
        fleet.weather.split(&BTreeSet::from([follower]), 5);
        fleet.run_for(LONG);
        fleet.weather.clear();
        fleet.run_for(Duration::from_secs(5));
        assert_eq!(fleet.leader(), Some(leader));
        assert_eq!(fleet.term(leader), term);
        fleet.converge();
    }
}

/// Guards against a new disk that votes before it holds the log: disks are lost one after another,
/// each right after the one before was replaced, and no acknowledged change may be lost.
#[test]
fn a_second_disk_lost_right_after_the_first_is_repaired() {
    for seed in 0..8 {
        let mut fleet = started(seed, 3);
        for number in [0, 1, 2, 0] {
            fleet.lose_disk(number);
            let whole = fleet.run_until(LONG, Fleet::is_whole);
            assert!(whole, "instance {number} was not taken in again");
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
fn a_partition_in_the_middle_of_a_membership_change() {
    for seed in 0..16 {
        let mut fleet = started(seed, 5);
        let leader = fleet.leader().expect("a leader");
        let lost = (leader + 1) % 5;
        fleet.lose_disk(lost);
        // The new disk comes back within three seconds; the partition begins around that time.
        let pause = fleet.between(100_000, 4_000_000);
        fleet.run_for(pause);
        fleet.weather.split(&BTreeSet::from([leader, lost]), 5);
        fleet.run_for(LONG / 4);
        fleet.weather.clear();
        let ok = fleet.run_until(LONG, Fleet::is_whole);
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
fn messages_lost_doubled_reordered_and_delayed() {
    for seed in 0..5 {
        let mut fleet = started(seed, 3);
        let before = fleet.checks.newest_acknowledged();
        fleet.weather.lost = 0.3;
        fleet.weather.doubled = 0.3;
        fleet.weather.slowest = 500_000;
        fleet.run_for(LONG);
        fleet.weather.clear();
        fleet.run_for(Duration::from_secs(10));
        assert!(fleet.checks.newest_acknowledged() > before);
        fleet.converge();
    }
}

/// Guards against two changes that are both accepted under one revision. Operators change one
/// document again and again, lose every tenth answer, and resend; a resent change gets its first
/// answer.
#[test]
fn operators_race_under_equal_numbers_and_resend() {
    let mut fleet = started(1, 3);
    fleet.run_for(LONG * 2);
    let won = fleet.checks.counts.one_winner;
    assert!(won > 500, "only {won} changes");
    fleet.converge();
}

/// Guards against a full election timeout after all replicas lose power and restart together:
/// callers would get neither grants nor a routing table for half a second and more.
#[test]
fn replicas_that_start_together_have_a_leader_at_once() {
    for seed in 0..16 {
        let mut fleet = started(seed, 4);
        // Hanging disks are tested elsewhere.
        fleet.weather.hanging = 0.0;
        (0..4).for_each(|number| fleet.crash(number, true));
        // Messages of the old leader that are still in flight are lost with its connections.
        fleet.run_for(Duration::from_millis(10));
        (0..4).for_each(|number| fleet.start(number));
        let restarted = fleet.now;
        let led = fleet.run_until(LONG, |fleet| fleet.leader().is_some());
        assert!(led, "seed {seed}");
        let took = fleet.now.saturating_sub(restarted);
        assert!(
            took < Duration::from_millis(400),
            "seed {seed}: {took:?} without a leader"
        );
        fleet.converge();
    }
}

/// Guards against a restarted replica that deposes the leader: its early pre-vote is refused by all
/// that hear from the leader.
#[test]
fn a_replica_that_restarts_alone_deposes_nobody() {
    for seed in 0..16 {
        let mut fleet = started(seed, 3);
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
        let mut fleet = started(seed, 3);
        let old = fleet.leader().expect("a leader");
        fleet.weather.split(&BTreeSet::from([old]), 3);
        fleet.crash((old + 1) % 3, true);
        fleet.run_for(LONG / 2);
        let new = fleet.leader().expect("a new leader");
        assert_ne!(new, old);
        fleet.weather.clear();
        fleet.converge();
    }
}

/// Guards against acknowledged changes that are lost when all instances lose power at once, three
/// times.
#[test]
fn all_lose_power_at_once() {
    for seed in 0..8 {
        let mut fleet = started(seed, 3);
        for _ in 0..3 {
            for number in 0..3 {
                fleet.crash(number, true);
            }
            assert!(fleet.run_until(LONG, Fleet::is_whole), "seed {seed}");
            fleet.run_for(Duration::from_secs(3));
        }
        fleet.converge();
    }
}

/// Guards against a leader that is frozen for ten seconds and then answers from its old state
/// although another replica leads.
#[test]
fn a_frozen_leader_wakes() {
    for seed in 0..8 {
        let mut fleet = started(seed, 3);
        let old = fleet.leader().expect("a leader");
        fleet.instances[old].frozen_until = fleet.now + Duration::from_secs(10);
        fleet.run_for(Duration::from_secs(9));
        let others = (0..3).filter(|n| *n != old).any(|n| fleet.leads(n));
        assert!(others, "nobody took over, seed {seed}");
        fleet.run_for(Duration::from_secs(5));
        fleet.converge();
    }
}

/// Guards against leadership that rotates without end while every disk is slow: seven replicas
/// changed their leader about once a second, and served half of the requests.
#[test]
fn slow_disks_everywhere_do_not_pass_the_lead_round() {
    const SLOW_FOR: Duration = Duration::from_secs(40);
    const LOOK: Duration = Duration::from_millis(50);
    const LEAST_LEAD: Duration = Duration::from_secs(4);
    let impatient = CoreSettings {
        heartbeat: Duration::from_millis(70),
        election: Duration::from_millis(350),
        slow_commit: Some(Duration::from_millis(450)),
        ..fleet::core_settings()
    };
    for seed in 0..6 {
        let mut fleet = Fleet::with(impatient, seed, 7);
        fleet.run_for(Duration::from_secs(5));
        fleet.weather.hanging = 1.0;
        let end = fleet.now + SLOW_FOR;
        let mut led = BTreeSet::new();
        while fleet.now < end {
            fleet.run_for(LOOK);
            led.extend(fleet.leader().map(|leader| fleet.term(leader)));
        }
        let most = SLOW_FOR.as_secs() / LEAST_LEAD.as_secs();
        let leaders = led.len() as u64;
        assert!(
            leaders <= most,
            "seed {seed}: {leaders} leaders in {SLOW_FOR:?}"
        );
        fleet.weather.clear();
        fleet.converge();
    }
}
