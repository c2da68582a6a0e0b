//! The server side: accepts connections and dispatches each call to its handler.

use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use futures::future::BoxFuture;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::call::Call;
use crate::codec::{decode, encode};
use crate::error::{BrokenSnafu, ListenSnafu, WireError};
use crate::handshakes::{Handshakes, WireConnection};
use crate::keepalive::{OpenStreams, until_unresponsive};

/// Flow-control window of one stream, in bytes.
pub(crate) const STREAM_WINDOW: u32 = 64 << 10;
/// Flow-control window of one connection, in bytes.
pub(crate) const CONNECTION_WINDOW: u32 = 16 << 20;

type Handler = Arc<dyn Fn(RecvStream, SendResponse<Bytes>) -> BoxFuture<'static, ()> + Send + Sync>;

/// The handlers of a server, one for each kind of [`Call`].
#[derive(Clone, Default)]
pub struct Handlers {
    by_path: BTreeMap<&'static str, Handler>,
}

impl Handlers {
    /// Adds `f` as the handler of this kind of call. It receives the request and the sender of replies.
    pub fn with<C, F, Fut>(mut self, f: F) -> Self
    where
        C: Call,
        F: Fn(C::Req, ReplySender<C::Resp>) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let f = Arc::new(f);
        let handler: Handler = Arc::new(move |input, respond| {
            let f = f.clone();
            async move {
                if let Ok((req, replier)) = read_request::<C>(input, respond).await {
                    f(req, replier).await;
                }
            }
            .boxed()
        });
        self.by_path.insert(C::PATH, handler);
        self
    }
}

/// Reads the whole request, then opens the stream of replies.
async fn read_request<C: Call>(
    mut input: RecvStream,
    mut respond: SendResponse<Bytes>,
) -> Result<(C::Req, ReplySender<C::Resp>), WireError> {
    let mut buf = BytesMut::new();
    let req = loop {
        if let Some(req) = decode(&mut buf)? {
            break req;
        }
        let chunk = input.data().await.ok_or(WireError::Ended)?;
        let chunk = chunk.context(BrokenSnafu)?;
        let flow = input.flow_control();
        flow.release_capacity(chunk.len()).context(BrokenSnafu)?;
        buf.extend_from_slice(&chunk);
    };
    let out = respond.send_response(Response::new(()), false);
    let out = out.context(BrokenSnafu)?;
    let replier = ReplySender {
        out,
        resp: PhantomData,
    };
    Ok((req, replier))
}

/// Sends the replies of one call to the client. Dropping it ends the stream of replies.
pub struct ReplySender<T> {
    out: SendStream<Bytes>,
    resp: PhantomData<fn(T)>,
}

impl<T: Serialize + DeserializeOwned> ReplySender<T> {
    /// Sends one reply; waits while the flow-control window is exhausted.
    pub async fn send(&mut self, reply: &T) -> Result<(), WireError> {
        self.send_encoded(encode(reply)?).await
    }

    /// Sends a reply that [`encode`] has encoded; waits like [`Self::send`].
    pub async fn send_encoded(&mut self, mut rest: Bytes) -> Result<(), WireError> {
        while !rest.is_empty() {
            self.out.reserve_capacity(rest.len());
            let assigned = poll_fn(|cx| self.out.poll_capacity(cx)).await;
            let capacity = assigned.ok_or(WireError::Ended)?.context(BrokenSnafu)?;
            let chunk = rest.split_to(capacity.min(rest.len()));
            self.out.send_data(chunk, false).context(BrokenSnafu)?;
        }
        Ok(())
    }

    /// Sends the only reply.
    pub async fn finish(mut self, reply: &T) -> Result<(), WireError> {
        self.send(reply).await
    }

    /// Returns when the client has cancelled the call or its connection is lost.
    pub async fn cancelled(&mut self) {
        // A reset and a broken connection mean the same here: the client receives nothing any more.
        let _ = poll_fn(|cx| self.out.poll_reset(cx)).await;
    }
}

impl<T> Drop for ReplySender<T> {
    fn drop(&mut self) {
        // Fails only if the stream has ended already.
        let _ = self.out.send_data(Bytes::new(), true);
    }
}

/// A server that listens on one address and answers calls until it is stopped.
pub struct Server {
    listener: TcpListener,
}

impl Server {
    /// Listens on this address; port 0 selects a free port.
    pub async fn bind(addr: SocketAddr) -> Result<Self, WireError> {
        let listener = TcpListener::bind(addr).await;
        let listener = listener.context(ListenSnafu { addr })?;
        Ok(Self { listener })
    }

    /// The address it listens on.
    pub fn addr(&self) -> Result<SocketAddr, WireError> {
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let addr = self.listener.local_addr();
        addr.context(ListenSnafu { addr: unknown })
    }

    /// Answers calls. After `stop` it accepts no new streams and returns when the open ones have ended.
    pub async fn serve(self, handlers: Handlers, stop: impl Future<Output = ()>) {
        let (stop_tx, stop_rx) = watch::channel(false);
        let mut connections = JoinSet::new();
        let mut handshakes = Handshakes::default();
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                Some(_) = connections.join_next() => {}
                connection = handshakes.next() => {
                    connections.spawn(serve_connection(connection, handlers.clone(), stop_rx.clone()));
                }
                accepted = self.listener.accept() => match accepted {
                    Ok((socket, _)) => handshakes.begin(socket),
                    // For example out of file descriptors: lets some connections end first.
                    Err(_) => tokio::task::yield_now().await,
                },
            }
        }
        drop(self.listener);
        drop(handshakes);
        // Fails only if there is no connection to notify.
        let _ = stop_tx.send(true);
        while connections.join_next().await.is_some() {}
    }
}

async fn serve_connection(
    mut connection: WireConnection,
    handlers: Handlers,
    mut stop_rx: watch::Receiver<bool>,
) {
    let open = OpenStreams::default();
    let unresponsive = until_unresponsive(connection.ping_pong(), open.clone());
    tokio::pin!(unresponsive);
    let mut stopping = false;
    loop {
        tokio::select! {
            () = &mut unresponsive => return,
            _ = stop_rx.wait_for(|stop| *stop), if !stopping => {
                stopping = true;
                connection.graceful_shutdown();
            }
            accepted = connection.accept() => match accepted {
                Some(Ok((req, respond))) => dispatch(&handlers, &open, req, respond),
                Some(Err(_)) | None => return,
            },
        }
    }
}

fn dispatch(
    handlers: &Handlers,
    open: &OpenStreams,
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let Some(handler) = handlers.by_path.get(req.uri().path()) else {
        let mut answer = Response::new(());
        *answer.status_mut() = StatusCode::NOT_FOUND;
        // Fails only if the client has disconnected.
        let _ = respond.send_response(answer, true);
        return;
    };
    let running = handler(req.into_body(), respond);
    let guard = open.enter();
    tokio::spawn(async move {
        running.await;
        drop(guard);
    });
}
