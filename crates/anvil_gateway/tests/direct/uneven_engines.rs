//! Engines that differ in speed, and engines with little memory.

use std::sync::Arc;
use std::time::Duration;

use crate::client::Client;
use crate::endpoint::{ReceivedRequest, Step, TestEndpoint, chunk, event, stream_end};
use crate::gateway::{SERVICE, TestGateway, listed, routes, table};
use crate::processes::{TestRequest, new_id};

/// The head of a stream, with a report of one running request.
fn stream_head(req: &ReceivedRequest) -> Vec<u8> {
    let id = req.header("x-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\nx-load: 1,0,8\r\n\
         transfer-encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// An engine that needs this long for a prompt.
async fn engine(prompt_time: Duration) -> TestEndpoint {
    TestEndpoint::start(move |_, req| {
        vec![
            Step::Send(stream_head(req)),
            Step::Pause(prompt_time),
            Step::Send([chunk(&event(1)), chunk(&event(2)), stream_end()].concat()),
        ]
    })
    .await
}

/// Sends a prompt of one part with 2,000 tokens.
async fn send_prompt(gateway: &TestGateway, extra_headers: &str) -> u16 {
    let mut req = TestRequest::prompt("/resumed/", &format!("{}:2000", rand::random::<u64>()));
    req.headers += extra_headers;
    let mut client = Client::connect(gateway.addr).await;
    let response = client.request(&req.path, &new_id(), &req.headers).await;
    response.status
}

fn learned_speed(gateway: &TestGateway, id: &str) -> f64 {
    let endpoint = gateway.gw.directory.find(&id.into()).expect("listed");
    endpoint.load().speed().factor()
}

/// Guards against prompts that continue to go to the nearest engine although it is several times
/// slower than another one.
#[tokio::test]
async fn prompts_go_to_the_faster_engine_once_speeds_are_learned() {
    let slow = engine(Duration::from_millis(200)).await;
    let fast = engine(Duration::from_millis(20)).await;
    let gateway = TestGateway::start(&[("slow", &slow), ("fast", &fast)]).await;
    for _ in 0..40 {
        assert_eq!(send_prompt(&gateway, "").await, 200);
    }
    let (slow_count, fast_count) = (slow.received().len(), fast.received().len());
    assert!(fast_count > 2 * slow_count, "{slow_count} {fast_count}");
    assert!(learned_speed(&gateway, "slow") < learned_speed(&gateway, "fast"));
    // A new incarnation is not taken for slow.
    let restarted = listed("slow", fast.addr);
    gateway.gw.directory.apply_list(&[restarted]);
    assert!((learned_speed(&gateway, "slow") - 1.0).abs() < 1e-9);
}

/// Guards against speeds learned from a request whose answer never came, or from a stream that was
/// begun elsewhere and so needs other work.
#[tokio::test]
async fn requests_without_a_first_event_of_their_own_teach_nothing() {
    let hanging =
        TestEndpoint::start(|_, req| vec![Step::Send(stream_head(req)), Step::Hang]).await;
    let gateway = TestGateway::start(&[("a", &hanging)]).await;
    send_prompt(&gateway, "x-wait: 200\r\n").await;
    assert!((learned_speed(&gateway, "a") - 1.0).abs() < 1e-9);

    let resuming = engine(Duration::from_millis(200)).await;
    let gateway = TestGateway::start(&[("a", &resuming)]).await;
    assert_eq!(send_prompt(&gateway, "x-after: 0\r\n").await, 200);
    assert!((learned_speed(&gateway, "a") - 1.0).abs() < 1e-9);
    assert_eq!(send_prompt(&gateway, "").await, 200);
    assert!(learned_speed(&gateway, "a") < 1.0);
}

/// Guards against an engine that crashes because a second request overfills its memory, while
/// another one has room; and against memory that stays counted after requests have ended.
#[tokio::test]
async fn engine_whose_memory_is_full_is_passed_over() {
    let near = engine(Duration::from_millis(150)).await;
    let far = engine(Duration::from_millis(150)).await;
    let gateway = TestGateway::start(&[("near", &near), ("far", &far)]).await;
    let mut small = table(2, routes());
    let service = small.services.get_mut(SERVICE).expect("the service");
    service.engine.as_mut().expect("engines").memory_tokens = 3_000;
    gateway.gw.table.store(Some(Arc::new(small)));
    for round in 1..=2 {
        let both = tokio::join!(send_prompt(&gateway, ""), send_prompt(&gateway, ""));
        assert_eq!(both, (200, 200));
        assert_eq!(
            (near.received().len(), far.received().len()),
            (round, round)
        );
    }
    let three = tokio::join!(
        send_prompt(&gateway, ""),
        send_prompt(&gateway, ""),
        send_prompt(&gateway, "")
    );
    let mut statuses = [three.0, three.1, three.2];
    statuses.sort_unstable();
    assert_eq!(statuses[..2], [200, 200]);
    assert_ne!(statuses[2], 200);
    assert_eq!((near.received().len(), far.received().len()), (3, 3));
}
