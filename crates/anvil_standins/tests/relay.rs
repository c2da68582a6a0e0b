//! The relay, with an echo behind it.

use std::net::SocketAddr;
use std::time::Duration;

use anvil_standins::relay::{self, Flow, Way};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut input, mut out) = socket.split();
                tokio::io::copy(&mut input, &mut out).await
            });
        }
    });
    addr
}

async fn round(socket: &mut TcpStream) -> Option<u8> {
    socket.write_all(b"x").await.ok()?;
    let mut buf = [0; 1];
    let read = timeout(Duration::from_millis(300), socket.read(&mut buf));
    match read.await {
        Ok(Ok(1)) => Some(buf[0]),
        _ => None,
    }
}

#[tokio::test]
async fn bytes_are_delayed() {
    let link = relay::start(relay::Config::to(echo().await)).await.unwrap();
    let mut socket = TcpStream::connect(link.addr()).await.unwrap();
    assert_eq!(round(&mut socket).await, Some(b'x'));
    link.set_delay(Way::Both, Duration::from_millis(50));
    let start = Instant::now();
    assert_eq!(round(&mut socket).await, Some(b'x'));
    assert!(start.elapsed() >= Duration::from_millis(100));
    assert_eq!(link.bytes(), 4);
}

#[tokio::test]
async fn held_bytes_come_after_the_heal() {
    let link = relay::start(relay::Config::to(echo().await)).await.unwrap();
    let mut socket = TcpStream::connect(link.addr()).await.unwrap();
    link.set_flow(Way::Back, Flow::Hold);
    assert_eq!(round(&mut socket).await, None);
    link.heal();
    assert_eq!(socket.read_u8().await.unwrap(), b'x');
}

#[tokio::test]
async fn a_silent_link_swallows_without_a_reset() {
    let link = relay::start(relay::Config::to(echo().await)).await.unwrap();
    let mut socket = TcpStream::connect(link.addr()).await.unwrap();
    link.set_flow(Way::Out, Flow::Swallow);
    assert_eq!(round(&mut socket).await, None);
    assert_eq!(round(&mut socket).await, None);
    link.heal();
    let mut buf = [0; 1];
    assert!(matches!(socket.read(&mut buf).await, Ok(0) | Err(_)));
    let mut socket = TcpStream::connect(link.addr()).await.unwrap();
    assert_eq!(round(&mut socket).await, Some(b'x'));
}

#[tokio::test]
async fn a_cut_link_closes_connections() {
    let link = relay::start(relay::Config::to(echo().await)).await.unwrap();
    let mut socket = TcpStream::connect(link.addr()).await.unwrap();
    assert_eq!(round(&mut socket).await, Some(b'x'));
    link.cut();
    let mut buf = [0; 1];
    assert!(matches!(socket.read(&mut buf).await, Ok(0) | Err(_)));
}
