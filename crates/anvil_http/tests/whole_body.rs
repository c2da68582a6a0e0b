//! Bodies that are read whole.

use std::convert::Infallible;
use std::time::Duration;

use anvil_http::limits::{request_budget, response_budget};
use anvil_http::{BodyError, BodyLimits, MemoryBudget, read_whole};
use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::time::{Instant, sleep};

const LIMIT: usize = 1 << 20;
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Frames of this length.
fn frames(
    count: usize,
    length: usize,
) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> + Unpin {
    let data = Bytes::from(vec![b'x'; length]);
    stream::iter((0..count).map(move |_| Ok(Frame::data(data.clone()))))
}

/// The same, and then nothing more.
fn stalled(
    count: usize,
    length: usize,
) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> + Unpin {
    frames(count, length).chain(stream::pending())
}

async fn read(
    frames: impl Stream<Item = Result<Frame<Bytes>, Infallible>> + Unpin,
    max_bytes: usize,
    budget: &MemoryBudget,
) -> Result<Bytes, BodyError> {
    let limits = BodyLimits {
        max_bytes,
        idle_timeout: IDLE_TIMEOUT,
    };
    read_whole(StreamBody::new(frames), limits, budget, || ()).await
}

/// Guards against bodies that are refused although they fit, or that are cut.
#[tokio::test]
async fn body_is_read_up_to_its_limit() {
    let budget = request_budget(None);
    for (count, length) in [(0, 1), (1, 800), (LIMIT, 1), (2, LIMIT / 2)] {
        let read = read(frames(count, length), LIMIT, &budget).await;
        assert_eq!(read.map(|body| body.len()), Ok(count * length));
    }
    for (count, length) in [(LIMIT + 1, 1), (1, LIMIT + 1)] {
        let read = read(frames(count, length), LIMIT, &budget).await;
        assert_eq!(read, Err(BodyError::TooLong));
    }
    assert_eq!(budget.total(), 0);
}

/// Guards against a process that exceeds its memory because many bodies without end are read at once,
/// and against small responses that find no room beside them.
#[tokio::test]
async fn large_responses_share_a_part_of_the_memory() {
    let memory = 16 * LIMIT as u64;
    let budget = response_budget(Some(memory));
    let endless = || read(frames(LIMIT, 1_024), 64 * LIMIT, &budget);
    assert_eq!(endless().await, Err(BodyError::NoRoom));
    let held = read(frames(1, LIMIT), LIMIT, &budget);
    assert!(held.await.is_ok());
    assert_eq!(budget.total(), 0);
    let (first, second) = tokio::join!(endless(), endless());
    assert_eq!(
        (first, second),
        (Err(BodyError::NoRoom), Err(BodyError::NoRoom))
    );
    let small = read(frames(100, 1_024), LIMIT, &response_budget(Some(0))).await;
    assert!(small.is_ok());
}

/// Guards against whole bodies that no longer count while their requests wait or run.
#[tokio::test]
async fn whole_body_counts_until_it_is_dropped() {
    let budget = MemoryBudget::new(2 * LIMIT as u64, 0);
    let first = read(frames(1, LIMIT), LIMIT, &budget).await.expect("room");
    let second = read(frames(1, LIMIT), LIMIT, &budget).await.expect("room");
    let third = read(frames(1, LIMIT), LIMIT, &budget).await;
    assert_eq!(third, Err(BodyError::NoRoom));
    let sent = second.clone();
    drop((first, second));
    assert_eq!(budget.total(), LIMIT as u64);
    drop(sent);
    assert_eq!(budget.total(), 0);
}

/// Guards against callers that are refused because others stop just short of the end of their bodies.
#[tokio::test(start_paused = true)]
async fn body_that_has_stopped_makes_room() {
    let budget = MemoryBudget::new(2 * LIMIT as u64, 0);
    let stopped = |count| read(stalled(count, 1_024), LIMIT, &budget);
    let newcomer = async {
        sleep(Duration::from_secs(1)).await;
        read(frames(1, LIMIT), LIMIT, &budget)
            .await
            .map(|body| body.len())
    };
    let (smaller, larger, newcomer) = tokio::join!(stopped(400), stopped(1_000), newcomer);
    assert_eq!(newcomer, Ok(LIMIT));
    assert_eq!(larger, Err(BodyError::NoRoom));
    assert_eq!(smaller, Err(BodyError::Stalled));
}

/// Guards against a body that arrives slowly and steadily, and makes room for one that has stopped.
#[tokio::test(start_paused = true)]
async fn slow_body_stays_while_another_one_has_stopped() {
    let budget = MemoryBudget::new(3 * LIMIT as u64 / 2, 0);
    let slow = frames(64, LIMIT / 64).then(|frame| async {
        sleep(Duration::from_millis(100)).await;
        frame
    });
    let slow = read(Box::pin(slow), LIMIT, &budget);
    let stopped = read(stalled(1_000, 1_024), LIMIT, &budget);
    let (slow, stopped) = tokio::join!(slow, stopped);
    assert_eq!(slow.map(|body| body.len()), Ok(LIMIT));
    assert_eq!(stopped, Err(BodyError::NoRoom));
}

/// Guards against a body of which nothing more comes, and that is waited for until a late deadline.
#[tokio::test(start_paused = true)]
async fn body_without_progress_ends() {
    let started = Instant::now();
    let stopped = read(stalled(3, 1_024), LIMIT, &request_budget(None)).await;
    assert_eq!(stopped, Err(BodyError::Stalled));
    assert_eq!(started.elapsed(), IDLE_TIMEOUT);
}
