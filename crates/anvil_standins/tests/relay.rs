//! Tests of the relay with an echo server as its target.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_standins::relay::{self, Direction, Flow};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

async fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut input, mut output) = socket.split();
                tokio::io::copy(&mut input, &mut output).await
            });
        }
    });
    addr
}

async fn round_trip(socket: &mut TcpStream) -> Option<u8> {
    socket.write_all(b"x").await.ok()?;
    let mut buf = [0; 1];
    let read = timeout(Duration::from_millis(300), socket.read(&mut buf));
    match read.await {
        Ok(Ok(1)) => Some(buf[0]),
        _ => None,
    }
}

#[tokio::test]
async fn bytes_are_delayed_in_both_directions() {
    let link = relay::start(relay::Config::to(start_echo().await))
        .await
        .unwrap();
    let mut socket = TcpStream::connect(link.addr()).await.unwrap();
    assert_eq!(round_trip(&mut socket).await, Some(b'x'));
    link.set_delay(Direction::Both, Duration::from_millis(50));
    let start = Instant::now();
    assert_eq!(round_trip(&mut socket).await, Some(b'x'));
    assert!(start.elapsed() >= Duration::from_millis(100));
    assert_eq!(link.bytes(), 4);
}

#[tokio::test]
async fn held_bytes_arrive_after_the_link_heals() {
    let link = relay::start(relay::Config::to(start_echo().await))
        .await
        .unwrap();
    let mut socket = TcpStream::connect(link.addr()).await.unwrap();
    link.set_flow(Direction::FromTarget, Flow::Hold);
    assert_eq!(round_trip(&mut socket).await, None);
    link.heal();
    assert_eq!(socket.read_u8().await.unwrap(), b'x');
}

#[tokio::test]
async fn a_discarding_link_drops_bytes_without_a_reset() {
    let link = relay::start(relay::Config::to(start_echo().await))
        .await
        .unwrap();
    let mut socket = TcpStream::connect(link.addr()).await.unwrap();
    link.set_flow(Direction::ToTarget, Flow::Discard);
    assert_eq!(round_trip(&mut socket).await, None);
    assert_eq!(round_trip(&mut socket).await, None);
    link.heal();
    let mut buf = [0; 1];
    assert!(matches!(socket.read(&mut buf).await, Ok(0) | Err(_)));
    let mut socket = TcpStream::connect(link.addr()).await.unwrap();
    assert_eq!(round_trip(&mut socket).await, Some(b'x'));
}

#[tokio::test]
async fn a_cut_link_closes_connections() {
    let link = relay::start(relay::Config::to(start_echo().await))
        .await
        .unwrap();
    let mut socket = TcpStream::connect(link.addr()).await.unwrap();
    assert_eq!(round_trip(&mut socket).await, Some(b'x'));
    link.cut();
    let mut buf = [0; 1];
    assert!(matches!(socket.read(&mut buf).await, Ok(0) | Err(_)));
}
