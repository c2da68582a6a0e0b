//! Short runs of the randomised simulation, from fixed seeds.

#[path = "support/checks.rs"]
mod checks;
#[path = "support/clients.rs"]
mod clients;
#[path = "support/faults.rs"]
mod faults;
#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "failures.rs uses the rest")]
mod fleet;
#[path = "support/mem_disk.rs"]
#[allow(dead_code, reason = "storage_failures.rs uses the rest")]
mod mem_disk;

use fleet::Fleet;

const STEPS: u64 = 20_000;

/// Guards against faults that break an invariant only in combination: kills, lost power, lost and
/// full disks, partitions, isolated leaders, frozen processes, lost, duplicated and reordered
/// messages, operators that race and resend. Acknowledged changes have to stand on every replica
/// after every heal.
#[test]
fn random_faults_together_keep_all_invariants() {
    for seed in 0..12 {
        let replicas = if seed % 3 == 0 { 5 } else { 3 };
        let mut fleet = Fleet::new(seed, replicas);
        fleet.start_faults(seed % 2 == 1);
        while fleet.steps < STEPS && fleet.step() {}
        fleet.converge();
        assert!(fleet.checks.counts.acknowledged_kept > 100, "seed {seed}");
    }
}
