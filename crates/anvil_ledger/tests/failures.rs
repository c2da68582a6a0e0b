//! Failures in a set order, each with its story.

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

/// A control instance is cut off without a word for a minute, then the network heals. Operators
/// go on with the others within seconds; the one cut off soon stops calling itself the leader, so
/// it neither accepts a change nor answers a read; after the heal nothing reverts and the leader
/// stays. Cause: a silent partition of the leader.
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

/// A follower is cut off for a minute and comes back. Callers notice nothing: it asked whether it
/// would be elected, and since it could reach nobody it raised no term. (Seed 42: two disks hang
/// as well, which must not keep the leader from hearing that their replicas live.)
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

/// A disk is lost and replaced; right after the replica votes again a second disk is lost. No
/// operator misses anything: the first new disk counts only since it holds the log, and the
/// second is replaced in the same way.
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

/// A lost disk is being replaced while the network splits, with the leader on the small side. The
/// change of members is either finished or not begun, never both: the small side can't commit it,
/// and the other side elects a leader of its own.
#[test]
fn a_partition_in_the_middle_of_a_membership_change() {
    for seed in 0..16 {
        let mut fleet = started(seed, 5);
        let leader = fleet.leader().expect("a leader");
        let lost = (leader + 1) % 5;
        fleet.lose_disk(lost);
        // The new disk comes back within three seconds; the split falls around that.
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

/// Every third message is lost, every third comes twice, and they overtake each other by up to
/// half a second. Operators wait longer and get each answer once; nothing is applied twice.
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

/// Two operators change one document under the same revision, again and again, lose every tenth
/// answer, and resend. Of each revision one change wins, and whoever resends is told the same as
/// the first time.
#[test]
fn operators_race_under_equal_numbers_and_resend() {
    let mut fleet = started(1, 3);
    fleet.run_for(LONG * 2);
    let won = fleet.checks.counts.one_winner;
    assert!(won > 500, "only {won} changes");
    fleet.converge();
}

/// All replicas lose power and are back at once. Callers pay for nothing and get no routing table
/// until there is a leader: half a second and more, since each replica first waits out a
/// follower's patience with a leader that none of them has.
#[test]
fn replicas_that_start_together_have_a_leader_at_once() {
    for seed in 0..16 {
        let mut fleet = started(seed, 4);
        // A disk that hangs is another story.
        fleet.weather.hanging = 0.0;
        (0..4).for_each(|number| fleet.crash(number, true));
        // What was on the way from the old leader goes with the connections.
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

/// One replica is restarted while the others follow a leader. It asks at once whether it would be
/// elected, is refused by all who hear the leader, and changes nothing.
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

/// The leader is cut off, and one of the two others loses its power at the same time. Nobody can
/// commit until it is back; then the two go on, and the old leader's unconfirmed entries go.
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

/// All instances lose their power at once, three times. What was answered before is there after.
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

/// A process is frozen for ten seconds while it leads, and wakes with its old belief. It answers
/// no read and no change from before: another one leads since.
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

/// Guards against a lead that is passed round without end while every disk is slow: seven replicas changed
/// their leader about once a second, and served half of what they were asked.
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
