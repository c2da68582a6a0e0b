//! Listens for clients, and stops listening for moments while there is too much load.
//!
//! [`anvil_policy::intake`] decides when. A connection attempt is then refused by the kernel at once, and
//! connections that wait in the accept queue are closed unread.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvil_http::limits::RECEIVE_BUFFER_BYTES;
use anvil_http::listener::CLIENT_BACKLOG;
use anvil_http::{Admission, ConnectionLimits, listener};
use anvil_policy::intake::{Intake, IntakeLoad};
use anvil_world::prelude::*;
use anvilreel::event;
use anvilreel::metrics::Metrics;
use slog::Logger;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep_until};

use super::intake_status::IntakeStatus;
use super::resource_limits::ResourceLimits;
use super::socket_budgets::SocketBudgets;
use crate::log_events as events;
use crate::metrics;

/// The end of a time with rejected connections is logged once nothing was rejected for this time, so that
/// load about the limit doesn't fill the log.
const CALM_BEFORE_END: Duration = Duration::from_secs(5);

/// A connection that has sent nothing, or is within a head, for this long makes room for others.
const STALLED_TIME: Duration = Duration::from_secs(1);
/// Connections that make room at a time.
const EVICTED_AT_ONCE: usize = 64;

/// Closes up to this many idle connections to endpoints; returns how many were closed.
pub type CloseIdle = Box<dyn Fn(u32) -> u32 + Send + Sync>;

/// What a [`ClientListener`] uses of the process.
pub struct ListenerContext {
    /// What the machine provides.
    pub limits: ResourceLimits,
    /// The link and the descriptors in use.
    pub sockets: SocketBudgets,
    /// Where the state of the intake is published.
    pub status: Arc<IntakeStatus>,
    /// The clients' connections.
    pub clients: Admission,
    /// Closes idle connections to endpoints.
    pub close_idle: CloseIdle,
    /// The log.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
}

/// The listener for clients.
pub struct ClientListener {
    addr: SocketAddr,
    /// `None` while connections are rejected.
    listener: Option<TcpListener>,
    /// Keeps the address bound while there is no listener, so that no outgoing connection is given
    /// its port.
    placeholder: Option<TcpSocket>,
    /// `None` if the settings state neither a narrow link, nor memory, nor descriptors: everything is accepted.
    control: Option<Control>,
}

struct Control {
    cx: ListenerContext,
    intake: Intake,
    started: Instant,
    /// When the intake last rejected connections, if the beginning of that is logged.
    logged_shedding: Option<Instant>,
    /// Whether the last attempt to listen failed.
    listen_failed: bool,
}

impl ClientListener {
    /// Takes over a listener.
    pub fn new(listener: TcpListener, cx: ListenerContext) -> io::Result<Self> {
        let is_limited = cx.limits.narrow_link().is_some()
            || cx.limits.memory.is_some()
            || cx.sockets.descriptors.is_limited();
        Ok(Self {
            addr: listener.local_addr()?,
            listener: Some(listener),
            placeholder: None,
            control: is_limited.then(|| Control::new(cx)),
        })
    }

    /// The next client's connection. May be cancelled and called again.
    pub async fn accept(&mut self) -> io::Result<TcpStream> {
        loop {
            let Some(control) = &mut self.control else {
                return accept_on(self.listener.as_ref()).await;
            };
            let observe_at = control.started + control.intake.observe_at();
            let has_room = control.has_room();
            if self.listener.is_none() || has_room {
                tokio::select! {
                    biased;
                    () = sleep_until(observe_at) => {}
                    accepted = accept_on(self.listener.as_ref()) => {
                        let socket = accepted?;
                        // Connections to endpoints may have taken the last descriptors meanwhile; then
                        // this one is closed unread.
                        if control.has_room() {
                            control.intake.record_accept(control.started.elapsed());
                            return Ok(socket);
                        }
                    }
                }
            }
            self.observe(observe_at);
        }
    }

    /// Applies the present load, and listens or stops listening.
    fn observe(&mut self, due_at: Instant) {
        let Some(control) = &mut self.control else {
            return;
        };
        let is_open = control.observe(Instant::now().saturating_duration_since(due_at));
        if !is_open {
            if self.listener.take().is_some() {
                control.cx.metrics.count(metrics::INTAKE_CLOSINGS);
            }
            if self.placeholder.is_none() {
                // Without it the port may be taken for a moment, and listening is tried again.
                self.placeholder = bind_only(self.addr).ok();
            }
        } else if self.listener.is_none() {
            let bound = listener::bind(self.addr, RECEIVE_BUFFER_BYTES, CLIENT_BACKLOG);
            self.listener = control.record_bound(bound);
        }
    }
}

impl Control {
    fn new(cx: ListenerContext) -> Self {
        Self {
            intake: Intake::new(Duration::ZERO, cx.limits.narrow_link()),
            started: Instant::now(),
            logged_shedding: None,
            listen_failed: false,
            cx,
        }
    }

    /// Whether there are descriptors and memory for another client.
    fn has_room(&self) -> bool {
        let limits = ConnectionLimits::default();
        self.cx.sockets.descriptors.has_room_for_client() && self.cx.clients.has_room(&limits)
    }

    fn now(&self) -> Now {
        self.started.elapsed()
    }

    fn observe(&mut self, lateness: Duration) -> bool {
        let descriptors = &self.cx.sockets.descriptors;
        let idle = descriptors.idle_to_close();
        if idle > 0 {
            for _ in 0..(self.cx.close_idle)(idle) {
                self.cx.metrics.count(metrics::IDLE_CLOSED);
            }
        }
        if !self.has_room() {
            let evicted = self.cx.clients.evict_stalled(EVICTED_AT_ONCE, STALLED_TIME);
            for _ in 0..evicted {
                self.cx.metrics.count(metrics::CLIENTS_EVICTED);
            }
        }
        let link = &self.cx.sockets.link;
        let load = IntakeLoad {
            backlog: link.backlog(),
            received: link.received(),
            sent: link.sent(),
            expected: link.expected(),
            control_delay: link.take_control_delay(),
            link_delay: link.probe.delay(link),
            shortest_target: link.probe.shortest_target(),
            lateness,
            has_room: self.has_room(),
        };
        let is_open = self.intake.observe(self.now(), &load, &mut rand::rng());
        let is_shedding = self.intake.is_shedding();
        let open_share = self.intake.recent_open_share();
        self.cx.status.set(is_shedding, open_share);
        self.log_shedding(is_shedding, &load);
        is_open
    }

    fn log_shedding(&mut self, is_shedding: bool, load: &IntakeLoad) {
        let log = &self.cx.log;
        if is_shedding {
            if self.logged_shedding.is_none() {
                event!(
                    log, events::GATEWAY_SHEDDING,
                    "backlog_ms" => load.backlog.as_millis(), "late_ms" => load.lateness.as_millis(),
                    "room" => load.has_room,
                    "control_ms" => load.control_delay.map(|delay| delay.as_millis()),
                    "link_delay_ms" => load.link_delay.map(|delay| delay.so_far().as_millis())
                );
            }
            self.logged_shedding = Some(Instant::now());
        } else if let Some(last) = self.logged_shedding
            && last.elapsed() >= CALM_BEFORE_END
        {
            event!(log, events::GATEWAY_SHEDDING_OVER);
            self.logged_shedding = None;
        }
    }

    /// Logs the first of several failures to listen; each observation tries again.
    fn record_bound(&mut self, bound: io::Result<TcpListener>) -> Option<TcpListener> {
        let was_failing = std::mem::replace(&mut self.listen_failed, bound.is_err());
        match bound {
            Ok(listener) => Some(listener),
            Err(e) => {
                if !was_failing {
                    event!(self.cx.log, events::GATEWAY_LISTEN_FAILED, "error" => e.to_string());
                }
                None
            }
        }
    }
}

async fn accept_on(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(socket, _)| socket),
        None => std::future::pending().await,
    }
}

/// Binds an address without listening there.
fn bind_only(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}
