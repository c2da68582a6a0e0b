//! Serves clients' connections and the load balancer's readiness checks.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_http::admission::Admitted;
use anvil_http::connection::ConnectionOptions;
use anvil_http::listener::serve;
use anvil_http::{Admission, ConnectionLimits, serve_connection};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::accept::client_listener::{ClientListener, ListenerContext};
use crate::accept::client_socket::{ClientConnection, ClientSocket};
use crate::admit::handle_request;
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::reply::{Reply, full_body, set_connection_close};
use anvilreel::event;

/// Connections that the listener for readiness checks has at a time.
const READINESS_CONNECTIONS: usize = 16;
/// Time in which load balancers notice that a process is stopping: they check once per second and
/// act on the second failed check. Until then the process does not end, even if it is idle.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Time after that in which a client sends the request for which it has connected.
const LAST_REQUEST_TIME: Duration = Duration::from_secs(1);
/// Pause after an accept failed for lack of file descriptors or memory.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Takes over the listener for clients. A failure ends the process, which would serve nobody.
pub fn client_listener(gw: &Arc<Gateway>, listener: TcpListener) -> io::Result<ClientListener> {
    ClientListener::new(listener, listener_context(gw))
}

/// Serves clients until a planned stop is complete.
pub async fn serve_clients(gw: Arc<Gateway>, listener: ClientListener) {
    let mut server = ClientServer {
        gw,
        listener,
        connections: JoinSet::new(),
        stop_tx: watch::Sender::new(false),
    };
    server.serve_until_noticed().await;
    let time_to_close = server.gw.time_to_close().unwrap_or_default();
    // Connections that are left at the end are closed.
    let _ = timeout(time_to_close, server.serve_until_idle()).await;
    let ClientServer {
        gw,
        listener,
        mut connections,
        ..
    } = server;
    drop(listener);
    gw.is_grace_over.store(true, Ordering::Relaxed);
    connections.shutdown().await;
}

/// The clients' connections.
struct ClientServer {
    gw: Arc<Gateway>,
    listener: ClientListener,
    connections: JoinSet<()>,
    /// Whether connections end that have no request.
    stop_tx: watch::Sender<bool>,
}

impl ClientServer {
    /// Serves clients until load balancers have noticed that the process is stopping.
    async fn serve_until_noticed(&mut self) {
        let gw = self.gw.clone();
        let noticed = async {
            gw.lifecycle.drain_begun().await;
            sleep(NOTICE_TIME.min(gw.time_to_close().unwrap_or_default())).await;
        };
        tokio::pin!(noticed);
        loop {
            tokio::select! {
                () = &mut noticed => return,
                Some(_) = self.connections.join_next() => {}
                accepted = self.listener.accept() => self.serve_accepted(accepted).await,
            }
        }
    }

    /// Ends connections without a request, and serves clients until none is connected.
    ///
    /// Failure: where most routers of a zone stop together, load balancers go on sending
    /// connections to all of them, and a closed listener would refuse them.
    async fn serve_until_idle(&mut self) {
        self.stop_tx.send_replace(true);
        loop {
            tokio::select! {
                biased;
                accepted = self.listener.accept() => self.serve_accepted(accepted).await,
                ended = self.connections.join_next() => if ended.is_none() {
                    return;
                }
            }
        }
    }

    async fn serve_accepted(&mut self, accepted: io::Result<TcpStream>) {
        match accepted {
            Ok(socket) => {
                // Without TCP_NODELAY small chunks wait for an acknowledgement. If setting it
                // fails, they are only slower.
                let _ = socket.set_nodelay(true);
                let (socket, client) = ClientSocket::new(socket, &self.gw.sockets);
                let stop_rx = self.stop_tx.subscribe();
                let admitted = self.gw.clients.register(self.connection_limits());
                let served = serve_client(self.gw.clone(), socket, client, admitted, stop_rx);
                self.connections.spawn(served);
            }
            Err(e) => {
                event!(self.gw.log, events::GATEWAY_CLIENT_CONNECTION, "error" => e.to_string());
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

impl ClientServer {
    /// The limits of a connection that is accepted now, as configured.
    fn connection_limits(&self) -> ConnectionLimits {
        let table = self.gw.table.load();
        let configured = table.as_ref().map(|table| ConnectionLimits {
            head_bytes: table.limits.head_bytes,
            head_timeout: table.limits.head_timeout,
            idle_timeout: table.limits.idle_timeout,
            ..ConnectionLimits::default()
        });
        let limits = configured.unwrap_or_default();
        if *self.stop_tx.borrow() {
            return ConnectionLimits {
                head_timeout: limits.head_timeout.min(LAST_REQUEST_TIME),
                idle_timeout: LAST_REQUEST_TIME,
                ..limits
            };
        }
        limits
    }
}

fn listener_context(gw: &Arc<Gateway>) -> ListenerContext {
    let close_gw = gw.clone();
    ListenerContext {
        limits: gw.cfg.limits,
        sockets: gw.sockets.clone(),
        status: gw.intake.clone(),
        clients: gw.clients.clone(),
        close_idle: Box::new(move |count| close_gw.directory.close_idle(count)),
        log: gw.log.clone(),
        metrics: gw.metrics.clone(),
    }
}

async fn serve_client(
    gw: Arc<Gateway>,
    socket: ClientSocket,
    client: ClientConnection,
    admitted: Admitted,
    mut stop_rx: watch::Receiver<bool>,
) {
    let client = Arc::new(client);
    let service = service_fn(|req: Request<Incoming>| {
        let (gw, client) = (gw.clone(), client.clone());
        async move {
            let mut reply = handle_request(&gw, client, req).await;
            if gw.lifecycle.is_draining() || gw.is_starved() || gw.intake.is_shedding() {
                set_connection_close(&mut reply);
            }
            Ok::<Reply, Infallible>(reply)
        }
    });
    let is_late = *stop_rx.borrow();
    let options = ConnectionOptions {
        keep_alive: !is_late,
        ..ConnectionOptions::default()
    };
    let stop = async {
        if is_late {
            // It serves one request only.
            std::future::pending::<()>().await;
        }
        wait_for_stop(&mut stop_rx, &client).await;
    };
    let state = admitted.state.clone();
    if let Err(e) = serve_connection(socket, state, options, service, stop).await {
        event!(gw.log, events::GATEWAY_CLIENT_CONNECTION, "error" => e.to_string());
    }
}

/// Returns when the connection is to end after the request in progress, if there is one.
///
/// Failure: a client connects just before, and its request arrives just after. Its connection would
/// be closed, without telling it whether the request has run.
async fn wait_for_stop(stop_rx: &mut watch::Receiver<bool>, client: &ClientConnection) {
    // An error means that the accept loop has ended, which happens after the stop.
    let _ = stop_rx.wait_for(|stop| *stop).await;
    if client.expects_request() {
        sleep(LAST_REQUEST_TIME).await;
    }
}

/// Answers readiness checks on any path for as long as the process runs. Without an answer the load balancer
/// counts the check as failed.
pub async fn serve_readiness(gw: Arc<Gateway>, listener: TcpListener) {
    let check_gw = gw.clone();
    let service = service_fn(move |_: Request<Incoming>| {
        let status = if check_gw.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move {
            let mut reply = Response::new(full_body(bytes::Bytes::new()));
            *reply.status_mut() = status;
            Ok::<Reply, Infallible>(reply)
        }
    });
    let admission = Admission::new(READINESS_CONNECTIONS);
    serve(listener, admission, service, |e| {
        event!(gw.log, events::GATEWAY_CLIENT_CONNECTION, "error" => e.to_string());
    })
    .await;
}
