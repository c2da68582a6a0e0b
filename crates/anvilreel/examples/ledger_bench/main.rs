//! Measures a ledger on this machine's disk, over TCP on loopback.
//!
//! ```text
//! cargo run --release -p anvilreel --example ledger_bench -- --data DIR
//! ```
//!
//! Prints commits per second and their latency with and without group commit, the time until a new
//! leader commits, recovery time and memory, and the traffic of a follower.
//!
//! `--reopen DIR` starts one replica on a folder that an earlier run left (`entries`, `budgets`),
//! in a process of its own, so that the memory measured is the replica's alone.

mod follower;
mod ledger;

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anvil_ledger::machine::Machine;
use anvil_ledger::storage::{Disk, snapshot};
use anvil_wire::Channel;
use anvilreel::ledger_service::Tuning;
use ledger::{Failure, Ledger, create_budget, propose, propose_all, put, top_up};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Duration of the measurement for each number of writers.
const WRITE_TIME: Duration = Duration::from_secs(4);
const BUDGETS: u32 = 65_000;
const ORGANISATIONS: u32 = 2_100;
const ENTRIES: u32 = 100_000;

/// Writes with this many writers; returns the sorted times of all writes.
async fn write(channel: &Channel, writers: usize) -> Result<Vec<Duration>, Failure> {
    let mut tasks = JoinSet::new();
    let end = Instant::now() + WRITE_TIME;
    for writer in 0..writers {
        let channel = channel.clone();
        tasks.spawn(async move {
            let mut times = Vec::new();
            while Instant::now() < end {
                let start = Instant::now();
                let id = format!("{writer}-{}", times.len());
                if propose(&channel, top_up(&id)).await.is_ok() {
                    times.push(start.elapsed());
                }
            }
            times
        });
    }
    let mut all = Vec::new();
    while let Some(times) = tasks.join_next().await {
        all.extend(times?);
    }
    all.sort_unstable();
    Ok(all)
}

/// The percentile `share` of sorted values.
fn percentile(sorted: &[Duration], share: usize) -> Duration {
    let index = (sorted.len() * share / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default()
}

async fn commits(data: &Path) -> Result<(), Failure> {
    for group_commit in [false, true] {
        let folder = data.join(format!("commits-{group_commit}"));
        let tuning = Tuning {
            group_commit,
            ..Tuning::default()
        };
        let mut ledger = Ledger::start(&folder, 3, tuning).await?;
        let channel = ledger.leader().await.1;
        create_budget(&channel).await?;
        for writers in [1, 16, 256] {
            let times = write(&channel, writers).await?;
            let count = u32::try_from(times.len())?;
            println!(
                "group commit {group_commit:5} writers {writers:3}: {:8.0} commits/s, \
                 p50 {:8.2?}, p99 {:8.2?}",
                f64::from(count) / WRITE_TIME.as_secs_f64(),
                percentile(&times, 50),
                percentile(&times, 99)
            );
        }
        ledger.stop_all().await;
    }
    Ok(())
}

async fn new_leader(data: &Path) -> Result<(), Failure> {
    let mut ledger = Ledger::start(&data.join("leader"), 3, Tuning::default()).await?;
    create_budget(&ledger.leader().await.1).await?;
    let mut times = Vec::new();
    for round in 0..10 {
        let (leader, _) = ledger.leader().await;
        ledger.stop_one(leader).await;
        let start = Instant::now();
        let (_, channel) = ledger.leader().await;
        propose(&channel, top_up(&format!("round-{round}"))).await?;
        times.push(start.elapsed());
        ledger.start_one(leader).await?;
        sleep(Duration::from_secs(1)).await;
    }
    times.sort_unstable();
    println!(
        "time to a new leader and a commit, 10 stops: min {:.0?}, p50 {:.0?}, max {:.0?}",
        percentile(&times, 0),
        percentile(&times, 50),
        percentile(&times, 100)
    );
    ledger.stop_all().await;
    Ok(())
}

/// Resident memory of this process, in MiB.
fn memory() -> u64 {
    const PAGES_PER_MIB: u64 = 256;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|text| text.parse().ok());
    pages.unwrap_or(0) / PAGES_PER_MIB
}

async fn recover(what: &str, ledger: &mut Ledger) -> Result<(), Failure> {
    ledger.stop_all().await;
    let before = memory();
    let start = Instant::now();
    ledger.start_all().await?;
    let opened = start.elapsed();
    ledger.leader().await;
    println!(
        "recovery of {what}: read back in {opened:.0?}, answers after {:.0?}; memory of the \
         whole process {before} MiB before, {} MiB after",
        start.elapsed(),
        memory()
    );
    Ok(())
}

async fn recover_entries(data: &Path) -> Result<(), Failure> {
    // Without a snapshot, so that the whole state is recovered from the log.
    let tuning = Tuning {
        snapshot_entries: u64::MAX / 2,
        ..Tuning::default()
    };
    let mut ledger = Ledger::start(&data.join("entries"), 1, tuning).await?;
    let channel = ledger.leader().await.1;
    create_budget(&channel).await?;
    let top_ups = (0..ENTRIES).map(|number| top_up(&number.to_string()));
    propose_all(&channel, top_ups.collect()).await?;
    recover("100,000 entries without a snapshot", &mut ledger).await?;
    ledger.stop_all().await;
    Ok(())
}

async fn recover_budgets(data: &Path) -> Result<(), Failure> {
    let mut ledger = Ledger::start(&data.join("budgets"), 1, Tuning::default()).await?;
    let channel = ledger.leader().await.1;
    let mut organisations = Vec::new();
    for number in 0..ORGANISATIONS {
        organisations.push(put(&format!("organisations/o-{number}"), "weight = 1\n")?);
    }
    let mut budgets = Vec::new();
    for number in 0..BUDGETS {
        let text = format!("organisation = \"o-{}\"\n", number % ORGANISATIONS);
        budgets.push(put(&format!("budgets/budget-{number}"), &text)?);
    }
    let start = Instant::now();
    propose_all(&channel, organisations).await?;
    propose_all(&channel, budgets).await?;
    println!(
        "{} documents written in {:.1?}",
        BUDGETS + ORGANISATIONS,
        start.elapsed()
    );
    recover("65,000 budgets and 2,100 organisations", &mut ledger).await?;
    follower::measure(&ledger).await?;
    ledger.stop_all().await;
    Ok(())
}

/// Starts one replica on an existing folder.
async fn reopen(data: &Path) -> Result<(), Failure> {
    let before = memory();
    let start = Instant::now();
    let mut ledger = Ledger::start(data, 1, Tuning::default()).await?;
    let opened = start.elapsed();
    ledger.leader().await;
    println!(
        "{}: read back in {opened:.0?}, answers after {:.0?}; memory {before} MiB before, {} MiB \
         after",
        data.display(),
        start.elapsed(),
        memory()
    );
    ledger.stop_all().await;
    time_snapshot(data)
}

/// Measures how long a snapshot takes to load, to copy (which blocks the replica) and to encode.
fn time_snapshot(data: &Path) -> Result<(), Failure> {
    let disk = Disk::read_only(&data.join("0"));
    let Some(snapshot) = snapshot::load(&disk)? else {
        return Ok(());
    };
    let start = Instant::now();
    let machine = Machine::restore(&snapshot.data)?;
    let restored = start.elapsed();
    let start = Instant::now();
    let copy = machine.clone();
    let copied = start.elapsed();
    let start = Instant::now();
    let bytes = copy.save()?.len();
    println!(
        "snapshot of {bytes} bytes: restored in {restored:.1?}, copied in {copied:.1?}, encoded \
         in {:.1?}",
        start.elapsed()
    );
    Ok(())
}

fn main() -> Result<(), Failure> {
    let runtime = tokio::runtime::Runtime::new()?;
    let mut arguments = std::env::args().skip(1);
    let data = match (arguments.next().as_deref(), arguments.next()) {
        (Some("--data"), Some(data)) => PathBuf::from(data),
        (Some("--reopen"), Some(data)) => return runtime.block_on(reopen(Path::new(&data))),
        _ => return Err("usage: ledger_bench --data DIR or --reopen DIR".into()),
    };
    runtime.block_on(async {
        commits(&data).await?;
        new_leader(&data).await?;
        recover_entries(&data).await?;
        recover_budgets(&data).await
    })
}
