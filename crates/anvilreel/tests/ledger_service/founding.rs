//! A first start in which a founder dies.

use std::time::Duration;

use futures::future::{join_all, try_join_all};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep_until};

use crate::cluster::{Cluster, Failure, declare_budget};

const FOUNDERS: usize = 3;
const SEEDS: u64 = 10;
/// First starts that are played at the same time.
const AT_ONCE: u64 = 5;
/// All founders start within this time.
const START_TIME: Duration = Duration::from_millis(300);
/// A founder dies within this time after its start.
const KILL_TIME: Duration = Duration::from_secs(3);
/// Longest time until it starts again.
const DOWN_TIME: Duration = Duration::from_millis(600);

/// What happens in a first start.
#[derive(Debug, Clone, Copy)]
enum Step {
    Start(usize),
    Kill(usize),
    /// Starts it with its disk; it may not found a ledger any more.
    StartAgain(usize),
}

/// Starts all founders, and kills one of them. Early kills are more likely: the ledger is founded within
/// some hundred milliseconds.
fn steps(seed: u64) -> Vec<(Duration, Step)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let killed = rng.random_range(0..FOUNDERS);
    let mut steps = Vec::new();
    for founder in 0..FOUNDERS {
        let started = START_TIME.mul_f64(rng.random());
        steps.push((started, Step::Start(founder)));
        if founder == killed {
            let at: f64 = rng.random();
            let killed_at = started + KILL_TIME.mul_f64(at * at);
            let back_at = killed_at + DOWN_TIME.mul_f64(rng.random());
            steps.push((killed_at, Step::Kill(founder)));
            steps.push((back_at, Step::StartAgain(founder)));
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

async fn play(steps: &[(Duration, Step)]) -> Result<Cluster, Failure> {
    let mut cluster = Cluster::reserve(FOUNDERS)?;
    let began = Instant::now();
    for (at, step) in steps {
        sleep_until(began + *at).await;
        match *step {
            Step::Start(founder) => cluster.run(founder).await?,
            Step::Kill(founder) => cluster.stop(founder).await,
            Step::StartAgain(founder) => {
                cluster.known_peers.insert(founder, (0..FOUNDERS).collect());
                cluster.run(founder).await?;
            }
        }
    }
    Ok(cluster)
}

/// Asserts that all founders belong to one ledger, which accepts changes.
async fn assert_one_ledger(mut cluster: Cluster) -> Result<(), Failure> {
    declare_budget(&cluster).await?;
    let voting = (0..FOUNDERS).map(|founder| cluster.wait_until_voter(founder));
    try_join_all(voting).await?;
    let ledgers: Vec<_> = (0..FOUNDERS)
        .map(|founder| {
            cluster
                .membership(founder)
                .map(|membership| membership.ledger)
        })
        .collect();
    assert!(
        ledgers.windows(2).all(|pair| pair[0] == pair[1]),
        "{ledgers:?}"
    );
    cluster.stop_all().await;
    Ok(())
}

/// Guards against a first start that never ends: the founder that would found the ledger dies before the
/// others have started, and may not found one when it is back.
#[tokio::test(flavor = "multi_thread")]
async fn first_start_ends_if_the_first_founder_dies_before_the_others_start() -> Result<(), Failure>
{
    let steps = [
        (0, Step::Start(0)),
        (200, Step::Kill(0)),
        (300, Step::Start(1)),
        (310, Step::Start(2)),
        (700, Step::StartAgain(0)),
    ];
    let steps = steps.map(|(at, step)| (Duration::from_millis(at), step));
    assert_one_ledger(play(&steps).await?).await
}

/// Guards against the same, and against two ledgers, whichever founder dies and when.
#[tokio::test(flavor = "multi_thread")]
async fn first_start_ends_with_one_ledger_whichever_founder_dies() -> Result<(), Failure> {
    for first in (0..SEEDS).step_by(usize::try_from(AT_ONCE)?) {
        let plays = (first..first + AT_ONCE).map(|seed| async move {
            let steps = steps(seed);
            let played = async { assert_one_ledger(play(&steps).await?).await };
            let result = played.await;
            result.map_err(|e| format!("seed {seed}, {steps:?}: {e}"))
        });
        for result in join_all(plays).await {
            result?;
        }
    }
    Ok(())
}
