//! Bodies that are read whole.

use std::convert::Infallible;

use anvil_gateway::whole_body::{BodyBudget, BodyError, read_whole};
use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::body::Frame;

const LIMIT: usize = 1 << 20;

/// A body of frames of this length.
fn frames(count: usize, length: usize) -> impl hyper::body::Body<Data = Bytes> + Unpin {
    let data = Bytes::from(vec![b'x'; length]);
    let frame = move |_| Ok::<_, Infallible>(Frame::data(data.clone()));
    StreamBody::new(futures::stream::iter((0..count).map(frame)))
}

/// Guards against bodies that are refused although they fit, or that are cut.
#[tokio::test]
async fn body_is_read_up_to_its_limit() {
    let budget = BodyBudget::new(None);
    for (count, length) in [(0, 1), (1, 800), (LIMIT, 1), (2, LIMIT / 2)] {
        let read = read_whole(frames(count, length), LIMIT, &budget).await;
        assert_eq!(read.map(|body| body.len()), Ok(count * length));
    }
    for (count, length) in [(LIMIT + 1, 1), (1, LIMIT + 1)] {
        let read = read_whole(frames(count, length), LIMIT, &budget).await;
        assert_eq!(read, Err(BodyError::TooLong));
    }
    assert_eq!(budget.total(), 0);
}

/// Guards against a process that exceeds its memory because many bodies without end are read at once,
/// and against small bodies that find no room beside them.
#[tokio::test]
async fn large_bodies_share_a_part_of_the_memory() {
    let memory = 8 * LIMIT as u64;
    let budget = BodyBudget::new(Some(memory));
    let endless = || async {
        let body = frames(LIMIT, 1_024);
        read_whole(body, 64 * LIMIT, &budget).await
    };
    assert_eq!(endless().await, Err(BodyError::NoRoom));
    let held = read_whole(frames(1, LIMIT), LIMIT, &budget);
    assert!(held.await.is_ok());
    assert_eq!(budget.total(), 0);
    let (first, second) = tokio::join!(endless(), endless());
    assert_eq!(
        (first, second),
        (Err(BodyError::NoRoom), Err(BodyError::NoRoom))
    );
    let small = read_whole(frames(100, 1_024), LIMIT, &BodyBudget::new(Some(0))).await;
    assert!(small.is_ok());
}
