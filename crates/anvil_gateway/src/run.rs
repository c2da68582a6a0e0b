//! A gateway process: all its tasks, from the start to the end of a planned stop.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvil_http::limits::RECEIVE_BUFFER_BYTES;
use anvil_http::listener::{self, BACKLOG, CLIENT_BACKLOG};
use anvilreel::{announce, event};
use snafu::{ResultExt, Snafu};

use crate::accept::link_probe::{self, ProbeContext};
use crate::account::{balances, held_prompt_exchange};
use crate::gateway::Gateway;
use crate::list::{discovery, siblings};
use crate::log_events as events;
use crate::stream_origins::{record, tell};
use crate::{endpoint_limits, grant_loop, ledger_updates, serve, suspects, version_reports};

/// Time to return grants to the ledger at a planned stop.
const RETURN_GRANTS_TIME: Duration = Duration::from_millis(250);

/// Why a gateway could not start.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// An address could not be bound.
    #[snafu(display("can't listen at {addr}: {source}"))]
    Listen {
        /// The address.
        addr: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The address for siblings could not be bound.
    #[snafu(display("can't listen for other gateways: {source}"))]
    Siblings {
        /// Cause.
        source: anvil_wire::WireError,
    },
}

/// Runs a gateway until `stop` completes and its requests have ended.
pub async fn run(gw: Arc<Gateway>, stop: impl Future<Output = ()>) -> Result<(), GatewayError> {
    let (cfg, log) = (&gw.cfg, &gw.log);
    let addr = cfg.listen;
    let clients = listener::bind(addr, RECEIVE_BUFFER_BYTES, CLIENT_BACKLOG);
    let clients = clients.and_then(|listener| serve::client_listener(&gw, listener));
    let clients = clients.context(ListenSnafu { addr })?;
    let addr = cfg.ready_listen;
    let ready = listener::bind(addr, RECEIVE_BUFFER_BYTES, BACKLOG);
    let ready = ready.context(ListenSnafu { addr })?;
    let siblings = siblings::listen(&gw).await.context(SiblingsSnafu)?;
    event!(
        log, events::GATEWAY_LISTENING,
        "addr" => cfg.listen.to_string(), "zone" => cfg.zone.id.to_string()
    );
    let task_gw = gw.clone();
    let background = tokio::spawn(async move {
        let instance = task_gw.instance();
        let ready = serve::serve_readiness(task_gw.clone(), ready);
        tokio::join!(
            ready,
            ledger_updates::run(&task_gw),
            announce::run(&task_gw.ledger, &task_gw.lifecycle, &instance, || {
                task_gw.version_in_force.load(Ordering::Relaxed)
            }),
            discovery::run(&task_gw),
            siblings::serve_siblings(task_gw.clone(), siblings),
            grant_loop::run(&task_gw),
            balances::run(
                &task_gw.ledger,
                &task_gw.grant_account,
                &task_gw.lifecycle,
                &task_gw.metrics
            ),
            suspects::run(&task_gw),
            endpoint_limits::run(&task_gw),
            tell::run(&task_gw),
            record::run(&task_gw),
            version_reports::run(&task_gw),
            link_probe::run(probe_context(&task_gw)),
            held_prompt_exchange::run(&task_gw),
        );
    });
    let serving = serve::serve_clients(gw.clone(), clients);
    let stopping = async {
        stop.await;
        event!(gw.log, events::GATEWAY_LEAVING);
        gw.lifecycle.begin_drain();
        gw.grant_account.end_outage_cover();
        gw.stop_holding_prompts();
    };
    tokio::join!(serving, stopping);
    grant_loop::return_grants(&gw, RETURN_GRANTS_TIME).await;
    background.abort();
    event!(gw.log, events::GATEWAY_STOPPED);
    Ok(())
}

fn probe_context(gw: &Gateway) -> ProbeContext<'_> {
    ProbeContext {
        link: gw.cfg.limits.narrow_link(),
        sockets: &gw.sockets,
        status: &gw.intake,
        siblings: &gw.siblings,
        own_id: &gw.cfg.id,
        metrics: &gw.metrics,
    }
}
