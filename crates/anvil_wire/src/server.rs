//! The answering side.

use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use futures::future::BoxFuture;
use h2::server::{Builder, Connection, SendResponse};
use h2::{RecvStream, SendStream};
use http::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::call::Call;
use crate::codec::{decode, encode};
use crate::error::{BrokenSnafu, ListenSnafu, WireError};
use crate::keepalive::{OpenStreams, until_silent};

/// Bytes under way on one stream before its reader must have taken some.
pub(crate) const STREAM_WINDOW: u32 = 64 << 10;
/// Bytes under way on one connection before its readers must have taken some.
pub(crate) const CONNECTION_WINDOW: u32 = 16 << 20;
/// Streams open side by side on one connection.
const MAX_STREAMS: u32 = 20_000;

type Handler = Arc<dyn Fn(RecvStream, SendResponse<Bytes>) -> BoxFuture<'static, ()> + Send + Sync>;

/// Which closure answers which [`Call`].
#[derive(Clone, Default)]
pub struct Handlers {
    by_path: BTreeMap<&'static str, Handler>,
}

impl Handlers {
    /// Answers calls of this kind with `f`, which gets the request and a way to reply.
    pub fn with<C, F, Fut>(mut self, f: F) -> Self
    where
        C: Call,
        F: Fn(C::Req, Replier<C::Resp>) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let f = Arc::new(f);
        let handler: Handler = Arc::new(move |input, respond| {
            let f = f.clone();
            async move {
                if let Ok((req, replier)) = accept::<C>(input, respond).await {
                    f(req, replier).await;
                }
            }
            .boxed()
        });
        self.by_path.insert(C::PATH, handler);
        self
    }
}

/// Reads the request whole, then opens the way back.
async fn accept<C: Call>(
    mut input: RecvStream,
    mut respond: SendResponse<Bytes>,
) -> Result<(C::Req, Replier<C::Resp>), WireError> {
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
    let replier = Replier {
        out,
        resp: PhantomData,
    };
    Ok((req, replier))
}

/// The way back to whoever asked. Dropping it ends the replies.
pub struct Replier<T> {
    out: SendStream<Bytes>,
    resp: PhantomData<fn(T)>,
}

impl<T: Serialize + DeserializeOwned> Replier<T> {
    /// Sends one reply; waits while the other side does not read.
    pub async fn send(&mut self, reply: &T) -> Result<(), WireError> {
        let mut rest = encode(reply)?;
        while !rest.is_empty() {
            self.out.reserve_capacity(rest.len());
            let granted = poll_fn(|cx| self.out.poll_capacity(cx)).await;
            let room = granted.ok_or(WireError::Ended)?.context(BrokenSnafu)?;
            let piece = rest.split_to(room.min(rest.len()));
            self.out.send_data(piece, false).context(BrokenSnafu)?;
        }
        Ok(())
    }

    /// Sends the only reply.
    pub async fn finish(mut self, reply: &T) -> Result<(), WireError> {
        self.send(reply).await
    }

    /// Returns when the other side no longer wants replies.
    pub async fn abandoned(&mut self) {
        // Either a reset or a broken connection: nobody listens any more.
        let _ = poll_fn(|cx| self.out.poll_reset(cx)).await;
    }
}

impl<T> Drop for Replier<T> {
    fn drop(&mut self) {
        // Fails only where the stream is gone already.
        let _ = self.out.send_data(Bytes::new(), true);
    }
}

/// Listens and answers until told to stop.
pub struct Server {
    listener: TcpListener,
}

impl Server {
    /// Listens on this address; port 0 takes a free one.
    pub async fn bind(addr: SocketAddr) -> Result<Self, WireError> {
        let listener = TcpListener::bind(addr).await;
        let listener = listener.context(ListenSnafu { addr })?;
        Ok(Self { listener })
    }

    /// Where it listens.
    pub fn addr(&self) -> Result<SocketAddr, WireError> {
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let addr = self.listener.local_addr();
        addr.context(ListenSnafu { addr: unknown })
    }

    /// Answers calls. After `stop` it takes no new streams and returns when the open ones ended.
    pub async fn serve(self, handlers: Handlers, stop: impl Future<Output = ()>) {
        let (tell, told) = watch::channel(false);
        let mut connections = JoinSet::new();
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                Some(_) = connections.join_next() => {}
                accepted = self.listener.accept() => match accepted {
                    Ok((socket, _)) => {
                        connections.spawn(connection(socket, handlers.clone(), told.clone()));
                    }
                    // Out of file descriptors or the like: let some connections end first.
                    Err(_) => tokio::task::yield_now().await,
                },
            }
        }
        drop(self.listener);
        // Fails only when no connection is left to be told.
        let _ = tell.send(true);
        while connections.join_next().await.is_some() {}
    }
}

async fn connection(socket: TcpStream, handlers: Handlers, mut told: watch::Receiver<bool>) {
    // Without it small frames wait for an acknowledgement; with a failure they are only slower.
    let _ = socket.set_nodelay(true);
    let handshake = Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(socket);
    let Ok(mut connection): Result<Connection<_, Bytes>, _> = handshake.await else {
        return;
    };
    let open = OpenStreams::default();
    let silent = until_silent(connection.ping_pong(), open.clone());
    tokio::pin!(silent);
    let mut stopping = false;
    loop {
        tokio::select! {
            () = &mut silent => return,
            _ = told.wait_for(|stop| *stop), if !stopping => {
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
        // Fails only where the asker is gone.
        let _ = respond.send_response(answer, true);
        return;
    };
    let work = handler(req.into_body(), respond);
    let guard = open.enter();
    tokio::spawn(async move {
        work.await;
        drop(guard);
    });
}
