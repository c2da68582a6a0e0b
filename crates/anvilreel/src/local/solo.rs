//! A ledger of one replica in memory, until the replicated service takes its place.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvil_ledger::state::State;
use anvil_wire::msg::{
    BudgetView, FollowEvent, Heartbeat, HeartbeatReply, LedgerCall, LedgerReply, LedgerRequest,
    LedgerStatus, Query, QueryAnswer,
};
use anvil_wire::{Handlers, Replier, Server, WireError};
use anvil_world::command::Join;
use anvil_world::prelude::*;
use tokio::sync::watch;
use tokio::time::timeout;

/// Time between two signs of being in touch.
const CURRENT_EVERY: Duration = Duration::from_secs(1);

struct Solo {
    state: Mutex<State>,
    version: watch::Sender<LogIndex>,
}

/// Starts it; returns its address.
pub async fn start(listen: SocketAddr) -> Result<SocketAddr, WireError> {
    let server = Server::bind(listen).await?;
    let addr = server.addr()?;
    let solo = Arc::new(Solo {
        state: Mutex::default(),
        version: watch::Sender::new(0),
    });
    let handlers = Handlers::default().with::<LedgerCall, _, _>(move |req, tx| {
        let solo = solo.clone();
        async move { solo.answer(req, tx).await }
    });
    tokio::spawn(server.serve(handlers, std::future::pending()));
    Ok(addr)
}

impl Solo {
    async fn answer(&self, req: LedgerRequest, mut tx: Replier<LedgerReply>) {
        let reply = match req {
            LedgerRequest::Propose(command) => self.propose(&command),
            LedgerRequest::Query(query) => self.query(&query),
            LedgerRequest::Heartbeat(beat) => self.beat(beat),
            LedgerRequest::Follow { version, .. } => return self.follow(version, tx).await,
        };
        // Whoever asked is gone and asks again.
        let _ = tx.send(&reply).await;
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn propose(&self, command: &Command) -> LedgerReply {
        let mut state = self.state();
        let index = state.applied() + 1;
        let answer = state.apply(index, 1, command);
        self.version.send_replace(state.version());
        LedgerReply::Applied { index, answer }
    }

    fn beat(&self, beat: Heartbeat) -> LedgerReply {
        let id = beat.instance.id.clone();
        let known = self
            .state()
            .members()
            .get(&id)
            .map(|member| member.instance.clone());
        if known.as_ref() != Some(&beat.instance) {
            self.propose(&Command::Join(Join {
                instance: beat.instance,
            }));
        }
        let state = self.state();
        let presence = state
            .members()
            .get(&id)
            .map_or(Presence::Live, |member| member.presence);
        LedgerReply::Alive(HeartbeatReply {
            version: state.version(),
            presence,
            taken: Vec::new(),
        })
    }

    fn query(&self, query: &Query) -> LedgerReply {
        let state = self.state();
        LedgerReply::Read(match query {
            Query::Claim(key) => QueryAnswer::Claim(state.claim(key)),
            Query::Fencing(id) => QueryAnswer::Fencing(state.fencing(id)),
            Query::Members => QueryAnswer::Members(state.members().clone()),
            Query::Budget(id) => QueryAnswer::Budgets(
                state
                    .budget(id)
                    .map(|budget| BudgetView {
                        id: id.clone(),
                        budget: budget.clone(),
                    })
                    .into_iter()
                    .collect(),
            ),
            Query::Tree(_) => QueryAnswer::Tree(state.tree().clone()),
            _ => QueryAnswer::Status(LedgerStatus {
                replica: "solo".into(),
                term: 1,
                committed: state.applied(),
                version: state.version(),
                voters: vec!["solo".into()],
                learners: Vec::new(),
            }),
        })
    }

    async fn follow(&self, mut version: LogIndex, mut tx: Replier<LedgerReply>) {
        let mut newest = self.version.subscribe();
        loop {
            let event = self.event(version);
            if let FollowEvent::Full { version: now, .. } = &event {
                version = *now;
            }
            if tx.send(&LedgerReply::Follow(event)).await.is_err() {
                return;
            }
            // Either a change or the time for a sign of being in touch.
            let _ = timeout(CURRENT_EVERY, newest.changed()).await;
        }
    }

    fn event(&self, held: LogIndex) -> FollowEvent {
        let state = self.state();
        let version = state.version();
        if version == held {
            return FollowEvent::Current { version };
        }
        FollowEvent::Full {
            version,
            tree: state.tree().clone(),
            members: state.members().clone(),
            fenced: BTreeMap::clone(state.fenced()),
        }
    }
}
