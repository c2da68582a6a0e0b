//! The asking side: a connection that is made when needed and made again when lost.

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
use crate::keepalive::{OpenStream, OpenStreams, until_silent};
use crate::server::{CONNECTION_WINDOW, STREAM_WINDOW};

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// An opening packet that has no answer after this time is taken for lost, and another one is sent. Two
/// regions are some 50 ms apart.
const OPENING_LOST: Duration = Duration::from_millis(250);

#[derive(Clone)]
struct Connected {
    /// Of the connections that this channel made.
    number: u64,
    sender: SendRequest<Bytes>,
    open: OpenStreams,
}

/// A way to one other process. Cheap to clone; all clones share one connection.
#[derive(Clone)]
pub struct Channel {
    addr: SocketAddr,
    connected: Arc<Mutex<Option<Connected>>>,
    made: Arc<AtomicU64>,
}

impl Channel {
    /// A channel to this address. Nothing is connected yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            connected: Arc::default(),
            made: Arc::default(),
        }
    }

    /// Where it leads.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Asks and waits for one reply.
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
            self.forget(number);
        }
        Err(WireError::Timeout { after: within })
    }

    /// Drops this connection for the calls to come; streams that are open on it go on.
    ///
    /// Failure: a connection goes silent for good while new ones work. It shows as calls that time
    /// out one after the other until a ping does. Nothing is waited for: while another call
    /// connects, the connection that timed out is replaced anyway.
    fn forget(&self, number: u64) {
        let Ok(mut slot) = self.connected.try_lock() else {
            return;
        };
        slot.take_if(|connected| connected.number == number);
    }

    /// Asks and returns the replies as they come. Dropping them tells the other side to stop.
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

    /// The present connection, or a new one where it is gone.
    async fn connection(&self) -> Result<Connected, WireError> {
        let mut slot = self.connected.lock().await;
        if let Some(connected) = slot.as_ref() {
            if connected.sender.clone().ready().await.is_ok() {
                return Ok(connected.clone());
            }
            *slot = None;
        }
        let number = self.made.fetch_add(1, Ordering::Relaxed);
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

/// Opens a socket, with a new opening packet whenever the last one seems to be lost.
///
/// Failure: a process connects to one whose machine has no power yet. Its opening packet is gone, and the
/// operating system sends it again only after a second, though the other process is there a tenth of
/// a second later. After all replicas lost power it shows as a second more without a leader.
async fn dial(addr: SocketAddr) -> std::io::Result<TcpStream> {
    loop {
        if let Ok(dialled) = timeout(OPENING_LOST, TcpStream::connect(addr)).await {
            return dialled;
        }
    }
}

async fn connect(addr: SocketAddr, number: u64) -> Result<Connected, WireError> {
    let socket = dial(addr).await.context(ConnectSnafu { addr })?;
    socket.set_nodelay(true).context(ConnectSnafu { addr })?;
    let (sender, mut connection) = Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .handshake(socket)
        .await
        .context(OpenSnafu { addr })?;
    let open = OpenStreams::default();
    let silent = until_silent(connection.ping_pong(), open.clone());
    tokio::spawn(async move {
        tokio::select! {
            _ = connection => {}
            () = silent => {}
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
    _guard: OpenStream,
    resp: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> Replies<T> {
    /// The next reply; `None` when the other side has said all.
    ///
    /// Bytes are given back to the flow control as they are taken, so that a reader who waits
    /// makes the sender wait, with at most a window in between.
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
