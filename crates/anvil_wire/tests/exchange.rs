//! Calls between two ends on loopback.

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
async fn replies_come_whole_and_in_order() -> Result<(), WireError> {
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
async fn a_refused_connection_is_known_as_never_sent() -> Result<(), WireError> {
    let unused = Server::bind(([127, 0, 0, 1], 0).into()).await?.addr()?;
    let channel = Channel::new(unused);
    let failed = channel.call::<Count>(&1, Duration::from_secs(1)).await;
    assert!(failed.is_err_and(|e| e.never_sent() && e.nobody_listens()));
    Ok(())
}

#[tokio::test]
async fn a_path_nobody_serves_is_an_error() -> Result<(), WireError> {
    let channel = start().await?;
    let failed = channel.call::<Missing>(&(), Duration::from_secs(1)).await;
    assert!(matches!(failed, Err(WireError::Status { status: 404 })));
    Ok(())
}

/// One of a process's peers takes no connections. A call to it that may take 100 ms takes as long as
/// another call's attempt to connect, two seconds, and whoever asks the next peer asks too late.
#[tokio::test]
async fn a_call_does_not_wait_for_another_that_connects() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let listener = socket.listen(1).expect("listening");
    let addr = listener.local_addr().expect("an address");
    // Nobody accepts: once these wait, the next opening packets are dropped.
    let mut waiting = Vec::new();
    for _ in 0..8 {
        let connecting = tokio::net::TcpStream::connect(addr);
        waiting.push(tokio::time::timeout(Duration::from_millis(50), connecting).await);
    }
    let channel = Channel::new(addr);
    let other = channel.clone();
    let patient =
        tokio::spawn(async move { other.call::<Count>(&1, Duration::from_secs(5)).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let begun = std::time::Instant::now();
    let called = channel.call::<Count>(&1, Duration::from_millis(100)).await;
    assert!(
        matches!(called, Err(WireError::Timeout { .. })),
        "{called:?}"
    );
    assert!(
        begun.elapsed() < Duration::from_millis(600),
        "{:?}",
        begun.elapsed()
    );
    patient.abort();
}

/// All machines lose power, and one process is back a moment before its peer. Its opening packet is gone,
/// and the operating system sends it again only after a second: all callers wait that long although the
/// peer has been there since.
#[tokio::test]
async fn a_lost_opening_packet_costs_no_second() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let listener = socket.listen(1).expect("listening");
    let addr = listener.local_addr().expect("an address");
    // Once these wait, the next opening packets are dropped.
    let mut waiting = Vec::new();
    for _ in 0..4 {
        let connecting = tokio::net::TcpStream::connect(addr);
        waiting.push(tokio::time::timeout(Duration::from_millis(50), connecting).await);
    }
    let known: Vec<_> = waiting.iter().flatten().flatten().collect();
    let known: Vec<_> = known.iter().map(|s| s.local_addr().ok()).collect();
    let begun = std::time::Instant::now();
    let channel = Channel::new(addr);
    let call = tokio::spawn(async move { channel.call::<Count>(&1, Duration::from_secs(5)).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let accepting = async {
        loop {
            let (_, peer) = listener.accept().await.expect("a connection");
            if !known.contains(&Some(peer)) {
                return;
            }
        }
    };
    let accepted = tokio::time::timeout(Duration::from_secs(4), accepting).await;
    assert!(accepted.is_ok());
    assert!(
        begun.elapsed() < Duration::from_millis(800),
        "{:?}",
        begun.elapsed()
    );
    call.abort();
}
