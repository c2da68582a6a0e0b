//! Serves clients' connections and the load balancer's readiness checks.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::accept::client_listener::{ClientListener, ListenerContext};
use crate::accept::client_socket::{ClientConnection, ClientSocket};
use crate::admit::handle_request;
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::reply::{Reply, full_body, set_connection_close};
use anvilreel::event;

/// Idle timeout of a client's connection until a routing table sets one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// For how long a stopping process keeps accepting connections and requests: the load balancer
/// checks once per second and acts on the second failed check.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_600);
/// All connections are closed this long before the end of the grace period.
const STOP_MARGIN: Duration = Duration::from_millis(350);
/// Pause after an accept failed for lack of file descriptors or memory.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Takes over the listener for clients. A failure ends the process, which would serve nobody.
pub fn client_listener(gw: &Arc<Gateway>, listener: TcpListener) -> io::Result<ClientListener> {
    ClientListener::new(listener, listener_context(gw))
}

/// Serves clients until a planned stop is complete.
pub async fn serve_clients(gw: Arc<Gateway>, mut listener: ClientListener) {
    let (stop_tx, stop_rx) = watch::channel(false);
    let mut connections = JoinSet::new();
    let stopping = async {
        gw.lifecycle.drain_begun().await;
        let stopped_at = Instant::now();
        sleep_until(stopped_at + ACCEPT_AFTER_STOP).await;
        stopped_at
    };
    tokio::pin!(stopping);
    let stopped_at = loop {
        tokio::select! {
            stopped_at = &mut stopping => break stopped_at,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok(socket) => {
                    // Without TCP_NODELAY small chunks wait for an acknowledgement. If setting it
                    // fails, they are only slower.
                    let _ = socket.set_nodelay(true);
                    let (socket, client) = ClientSocket::new(socket, &gw.sockets);
                    let served = serve_client(gw.clone(), socket, client, stop_rx.clone());
                    connections.spawn(served);
                }
                Err(e) => {
                    event!(gw.log, events::GATEWAY_CLIENT_CONNECTION, "error" => e.to_string());
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
        }
    };
    drop(listener);
    // Fails only if no connection is left.
    let _ = stop_tx.send(true);
    let end = stopped_at + gw.cfg.grace_period.saturating_sub(STOP_MARGIN);
    while let Ok(Some(_)) = timeout_at(end, connections.join_next()).await {}
    gw.is_grace_over.store(true, Ordering::Relaxed);
    connections.shutdown().await;
}

fn listener_context(gw: &Arc<Gateway>) -> ListenerContext {
    let close_gw = gw.clone();
    ListenerContext {
        limits: gw.cfg.limits,
        sockets: gw.sockets.clone(),
        status: gw.intake.clone(),
        close_idle: Box::new(move |count| close_gw.directory.close_idle(count)),
        log: gw.log.clone(),
        metrics: gw.metrics.clone(),
    }
}

async fn serve_client(
    gw: Arc<Gateway>,
    socket: ClientSocket,
    client: ClientConnection,
    mut stop_rx: watch::Receiver<bool>,
) {
    let client = Arc::new(client);
    let table = gw.table.load();
    let idle_timeout = table
        .as_ref()
        .map_or(DEFAULT_IDLE_TIMEOUT, |table| table.limits.idle_timeout);
    drop(table);
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
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let served = tokio::select! {
        served = &mut connection => served,
        () = wait_for_stop(&mut stop_rx) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = served {
        event!(gw.log, events::GATEWAY_CLIENT_CONNECTION, "error" => e.to_string());
    }
}

async fn wait_for_stop(stop_rx: &mut watch::Receiver<bool>) {
    // An error means that the accept loop has ended, which happens after the stop.
    let _ = stop_rx.wait_for(|stop| *stop).await;
}

/// Answers readiness checks on any path for as long as the process runs.
pub async fn serve_readiness(listener: TcpListener, log: Logger, is_ready: impl Fn() -> bool) {
    let is_ready = &is_ready;
    let mut connections = futures::stream::FuturesUnordered::new();
    loop {
        use futures::StreamExt;
        tokio::select! {
            Some(()) = connections.next() => {}
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => connections.push(answer_readiness_check(socket, is_ready)),
                Err(e) => {
                    event!(log, events::GATEWAY_CLIENT_CONNECTION, "error" => e.to_string());
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            },
        }
    }
}

async fn answer_readiness_check(socket: TcpStream, is_ready: impl Fn() -> bool) {
    let service = service_fn(|_: Request<Incoming>| {
        let status = if is_ready() {
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
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service);
    // On failure the load balancer receives no answer and counts the check as failed.
    let _ = connection.await;
}
