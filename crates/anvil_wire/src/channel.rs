//! The client side: a connection that is opened on demand and reopened after it was lost.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::Stream;
use futures::stream::unfold;
use h2::client::{Builder, SendRequest};
use h2::{Reason, RecvStream, SendStream};
use http::Request;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::call::Call;
use crate::codec::{decode, encode};
use crate::error::{BrokenSnafu, ConnectSnafu, OpenSnafu, WireError};
use crate::keepalive::{OpenStreamGuard, OpenStreams, until_unresponsive};
use crate::server::{CONNECTION_WINDOW, STREAM_WINDOW};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A SYN packet without an answer after this time is assumed lost, and a new connection attempt is made.
/// The latency between two regions is about 50 ms.
const SYN_TIMEOUT: Duration = Duration::from_millis(250);

#[derive(Clone)]
struct Connected {
    /// Sequence number of the connection in its channel.
    number: u64,
    sender: SendRequest<Bytes>,
    open: OpenStreams,
}

/// A client for one other process. Cheap to clone; all clones share one connection.
#[derive(Clone)]
pub struct Channel {
    addr: SocketAddr,
    connected: Arc<Mutex<Option<Connected>>>,
    next_number: Arc<AtomicU64>,
}

impl Channel {
    /// Creates a channel to this address without connecting yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            connected: Arc::default(),
            next_number: Arc::default(),
        }
    }

    /// Address of the other process.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and waits for one reply.
    pub async fn call<C: Call>(
        &self,
        req: &C::Req,
        within: Duration,
    ) -> Result<C::Resp, WireError> {
        let mut used = None;
        let exchange = async {
            let connected = self.connection().await?;
            used = Some(connected.number);
            let mut replies = self.open_on::<C>(connected, req).await?;
            replies.next().await?.ok_or(WireError::Ended)
        };
        if let Ok(reply) = timeout(within, exchange).await {
            return reply;
        }
        if let Some(number) = used {
            self.discard(number);
        }
        Err(WireError::Timeout { after: within })
    }

    /// Stops using this connection for further calls; streams that are open on it continue.
    ///
    /// A connection can become unresponsive for good while new ones work; without this, every call
    /// would time out until a ping fails. The lock is only tried: if another call holds it to connect,
    /// that call replaces the connection anyway.
    fn discard(&self, number: u64) {
        let Ok(mut slot) = self.connected.try_lock() else {
            return;
        };
        slot.take_if(|connected| connected.number == number);
    }

    /// Sends a request and returns the stream of replies. Dropping the stream cancels the call.
    pub async fn open<C: Call>(&self, req: &C::Req) -> Result<Replies<C::Resp>, WireError> {
        self.open_on::<C>(self.connection().await?, req).await
    }

    async fn open_on<C: Call>(
        &self,
        connected: Connected,
        req: &C::Req,
    ) -> Result<Replies<C::Resp>, WireError> {
        let body = encode(req)?;
        let addr = self.addr;
        let Connected { sender, open, .. } = connected;
        let mut sender = sender.ready().await.context(OpenSnafu { addr })?;
        let head = Request::post(C::PATH).body(());
        let head = head.unwrap_or_else(|_| unreachable!("a constant path is a valid URI"));
        let (answer, mut out) = sender
            .send_request(head, false)
            .context(OpenSnafu { addr })?;
        let guard = open.enter();
        out.send_data(body, true).context(BrokenSnafu)?;
        let answer = answer.await.context(BrokenSnafu)?;
        if !answer.status().is_success() {
            let status = answer.status().as_u16();
            return Err(WireError::Status { status });
        }
        Ok(Replies {
            input: answer.into_body(),
            out,
            buf: BytesMut::new(),
            ended: false,
            _guard: guard,
            resp: PhantomData,
        })
    }

    /// The current connection, or a new one if there is none or it was lost.
    async fn connection(&self) -> Result<Connected, WireError> {
        let mut slot = self.connected.lock().await;
        if let Some(connected) = slot.as_ref() {
            if connected.sender.clone().ready().await.is_ok() {
                return Ok(connected.clone());
            }
            *slot = None;
        }
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let connecting = connect(self.addr, number);
        let connected = timeout(CONNECT_TIMEOUT, connecting).await;
        let connected = connected.unwrap_or(Err(WireError::ConnectTimeout {
            addr: self.addr,
            after: CONNECT_TIMEOUT,
        }))?;
        *slot = Some(connected.clone());
        Ok(connected)
    }
}

/// Opens a socket, with a new connection attempt whenever the SYN packet seems to be lost.
///
/// A SYN packet to a machine that is still powering up is lost, and the operating system retransmits it
/// only after a second, although the other process may be up 100 ms later. After a power loss of all
/// replicas this would delay the election of a leader by a second.
async fn connect_socket(addr: SocketAddr) -> std::io::Result<TcpStream> {
    loop {
        if let Ok(connected) = timeout(SYN_TIMEOUT, TcpStream::connect(addr)).await {
            return connected;
        }
    }
}

async fn connect(addr: SocketAddr, number: u64) -> Result<Connected, WireError> {
    let socket = connect_socket(addr).await.context(ConnectSnafu { addr })?;
    socket.set_nodelay(true).context(ConnectSnafu { addr })?;
    let (sender, mut connection) = Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .handshake(socket)
        .await
        .context(OpenSnafu { addr })?;
    let open = OpenStreams::default();
    let unresponsive = until_unresponsive(connection.ping_pong(), open.clone());
    tokio::spawn(async move {
        tokio::select! {
            _ = connection => {}
            () = unresponsive => {}
        }
    });
    Ok(Connected {
        number,
        sender,
        open,
    })
}

/// The replies to one request, in order.
pub struct Replies<T> {
    input: RecvStream,
    out: SendStream<Bytes>,
    buf: BytesMut,
    ended: bool,
    _guard: OpenStreamGuard,
    resp: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> Replies<T> {
    /// The next reply; `None` after the last one.
    ///
    /// Flow-control capacity is released only as data is read, so a slow reader slows down the sender:
    /// at most one window of data is buffered.
    pub async fn next(&mut self) -> Result<Option<T>, WireError> {
        loop {
            if let Some(message) = decode(&mut self.buf)? {
                return Ok(Some(message));
            }
            let Some(chunk) = self.input.data().await else {
                self.ended = true;
                return if self.buf.is_empty() {
                    Ok(None)
                } else {
                    Err(WireError::Ended)
                };
            };
            let chunk = chunk.context(BrokenSnafu)?;
            let flow = self.input.flow_control();
            flow.release_capacity(chunk.len()).context(BrokenSnafu)?;
            self.buf.extend_from_slice(&chunk);
        }
    }

    /// The replies as a stream that ends after the first error.
    pub fn into_stream(self) -> impl Stream<Item = Result<T, WireError>> {
        unfold(Some(self), |replies| async {
            let mut replies = replies?;
            match replies.next().await {
                Ok(Some(reply)) => Some((Ok(reply), Some(replies))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        })
    }
}

impl<T> Drop for Replies<T> {
    fn drop(&mut self) {
        if !self.ended {
            self.out.send_reset(Reason::CANCEL);
        }
    }
}
