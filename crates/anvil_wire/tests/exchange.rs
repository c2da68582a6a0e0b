//! Tests of calls between a client and a server on the loopback interface.

use std::time::Duration;

use anvil_wire::{Call, Channel, Handlers, Server, WireError};

struct Count;

impl Call for Count {
    const PATH: &'static str = "/count";
    type Req = u32;
    type Resp = u32;
}

struct Missing;

impl Call for Missing {
    const PATH: &'static str = "/missing";
    type Req = ();
    type Resp = ();
}

async fn start() -> Result<Channel, WireError> {
    let server = Server::bind(([127, 0, 0, 1], 0).into()).await?;
    let addr = server.addr()?;
    let handlers = Handlers::default().with::<Count, _, _>(|upto, mut tx| async move {
        for n in 0..upto {
            if tx.send(&n).await.is_err() {
                return;
            }
        }
    });
    tokio::spawn(server.serve(handlers, std::future::pending()));
    Ok(Channel::new(addr))
}

#[tokio::test]
async fn replies_arrive_completely_and_in_order() -> Result<(), WireError> {
    let channel = start().await?;
    let mut replies = channel.open::<Count>(&100_000).await?;
    let mut expected = 0;
    while let Some(n) = replies.next().await? {
        assert_eq!(n, expected);
        expected += 1;
    }
    assert_eq!(expected, 100_000);
    Ok(())
}

#[tokio::test]
async fn refused_connection_counts_as_never_sent() -> Result<(), WireError> {
    let unused = Server::bind(([127, 0, 0, 1], 0).into()).await?.addr()?;
    let channel = Channel::new(unused);
    let failed = channel.call::<Count>(&1, Duration::from_secs(1)).await;
    assert!(failed.is_err_and(|e| e.never_sent() && e.is_connection_refused()));
    Ok(())
}

#[tokio::test]
async fn call_without_a_handler_fails_with_status_404() -> Result<(), WireError> {
    let channel = start().await?;
    let failed = channel.call::<Missing>(&(), Duration::from_secs(1)).await;
    assert!(matches!(failed, Err(WireError::Status { status: 404 })));
    Ok(())
}

/// A peer accepts no connections, and another call is trying to connect to it, for up to two seconds. If a
/// call with a timeout of 100 ms waited for that attempt, the caller would try the next peer too late.
#[tokio::test]
async fn call_timeout_does_not_wait_for_another_call_that_connects() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let listener = socket.listen(1).expect("listening");
    let addr = listener.local_addr().expect("an address");
    // Nothing accepts connections: once these fill the backlog, further SYN packets are dropped.
    let mut backlog = Vec::new();
    for _ in 0..8 {
        let connecting = tokio::net::TcpStream::connect(addr);
        backlog.push(tokio::time::timeout(Duration::from_millis(50), connecting).await);
    }
    let channel = Channel::new(addr);
    let other = channel.clone();
    let other_call =
        tokio::spawn(async move { other.call::<Count>(&1, Duration::from_secs(5)).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let started = std::time::Instant::now();
    let result = channel.call::<Count>(&1, Duration::from_millis(100)).await;
    assert!(
        matches!(result, Err(WireError::Timeout { .. })),
        "{result:?}"
    );
    assert!(
        started.elapsed() < Duration::from_millis(600),
        "{:?}",
        started.elapsed()
    );
    other_call.abort();
}

/// After a power loss of all machines, one process is back shortly before its peer, and its SYN packet is
/// lost. The operating system retransmits it only after a second: all callers would wait that long although
/// the peer has been back since.
#[tokio::test]
async fn lost_syn_packet_does_not_delay_a_connection_by_a_second() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let listener = socket.listen(1).expect("listening");
    let addr = listener.local_addr().expect("an address");
    // Once these fill the backlog, further SYN packets are dropped.
    let mut backlog = Vec::new();
    for _ in 0..4 {
        let connecting = tokio::net::TcpStream::connect(addr);
        backlog.push(tokio::time::timeout(Duration::from_millis(50), connecting).await);
    }
    let established: Vec<_> = backlog.iter().flatten().flatten().collect();
    let established: Vec<_> = established.iter().map(|s| s.local_addr().ok()).collect();
    let started = std::time::Instant::now();
    let channel = Channel::new(addr);
    let call = tokio::spawn(async move { channel.call::<Count>(&1, Duration::from_secs(5)).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let accepting = async {
        loop {
            let (_, peer) = listener.accept().await.expect("a connection");
            if !established.contains(&Some(peer)) {
                return;
            }
        }
    };
    let accepted = tokio::time::timeout(Duration::from_secs(4), accepting).await;
    assert!(accepted.is_ok());
    assert!(
        started.elapsed() < Duration::from_millis(800),
        "{:?}",
        started.elapsed()
    );
    call.abort();
}
