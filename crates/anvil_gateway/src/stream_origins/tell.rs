//! Tells other gateways at which versions this gateway's streams run.
//!
//! Failure: a gateway is killed while those that hold its streams are frozen or cut off. So the next best
//! gateways hold them in place of one that does not store what it is told.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_policy::stream_origins::StreamKey;
use anvil_wire::WireError;
use anvil_wire::msg::{OriginCall, OriginRequest, StreamOrigin};
use anvil_world::prelude::*;
use anvilreel::event;
use tokio::task::JoinSet;
use tokio::time::interval;

use super::to_message;
use crate::gateway::Gateway;
use crate::log_events as events;
use crate::metrics;

/// Streams in one message.
const MAX_STREAMS_PER_MESSAGE: usize = 256;
/// Longest wait for a sibling to store them.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// For how long others hold streams in place of a sibling that did not store them: about as long as the
/// ledger takes to regard a process as unresponsive.
const SILENT_TIME: Duration = Duration::from_secs(5);

/// What one sibling is told.
struct Message {
    to: InstanceId,
    /// The sibling's incarnation that is meant.
    incarnation: Incarnation,
    origins: Vec<StreamOrigin>,
}

/// Interval at which holders are chosen anew while a sibling is silent.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Tells the holders of this gateway's streams, for as long as the process runs. Each sibling gets one
/// message at a time, with all that has come up since the one before.
pub async fn run(gw: &Arc<Gateway>) {
    let mut sending: JoinSet<(Message, bool)> = JoinSet::new();
    // Siblings that are being told.
    let mut busy: BTreeMap<InstanceId, Incarnation> = BTreeMap::new();
    let mut recheck = interval(RECHECK_INTERVAL);
    loop {
        for message in gw.untold_messages(&busy) {
            busy.insert(message.to.clone(), message.incarnation);
            sending.spawn(send(gw.clone(), message));
        }
        tokio::select! {
            () = gw.stream_origins.changed.notified() => {}
            _ = recheck.tick(), if gw.stream_origins.has_silent() => gw.update_origin_holders(),
            Some(Ok((message, is_stored))) = sending.join_next() => {
                busy.remove(&message.to);
                if is_stored {
                    gw.mark_told(&message);
                } else {
                    gw.mark_silent(message.to);
                }
            }
        }
    }
}

/// Sends a message. Returns whether it was stored.
async fn send(gw: Arc<Gateway>, message: Message) -> (Message, bool) {
    gw.metrics.count(metrics::ORIGIN_MESSAGES);
    let stored = store(&gw, &message).await;
    if let Err(e) = &stored {
        event!(
            gw.log, events::GATEWAY_ORIGINS_NOT_STORED, "sibling" => &*message.to,
            "streams" => message.origins.len(), "why" => e.to_string()
        );
    }
    (message, stored.is_ok())
}

async fn store(gw: &Gateway, message: &Message) -> Result<(), WireError> {
    // Gone from the membership since the message was composed.
    let channel = gw.siblings.channel(&message.to).ok_or(WireError::Ended)?;
    let request = OriginRequest::Tell(message.origins.clone());
    channel
        .call::<OriginCall>(&request, STORE_TIMEOUT)
        .await
        .map(drop)
}

impl Gateway {
    /// What is to be told to siblings that are not busy.
    fn untold_messages(&self, busy: &BTreeMap<InstanceId, Incarnation>) -> Vec<Message> {
        let now = self.lifecycle.now();
        let siblings = self.siblings.members();
        let mut messages: BTreeMap<InstanceId, Vec<StreamOrigin>> = BTreeMap::new();
        let mut told = self.stream_origins.told();
        told.retain(|_, stream| now < stream.origin.expires);
        for (key, stream) in told.iter() {
            if stream.untold.is_empty() || !self.is_to_be_told(stream) {
                continue;
            }
            for holder in stream.untold.iter().filter(|id| !busy.contains_key(*id)) {
                let origins = messages.entry(holder.clone()).or_default();
                if origins.len() < MAX_STREAMS_PER_MESSAGE {
                    origins.push(to_message(now, *key, &stream.origin));
                }
            }
        }
        let addressed = messages.into_iter().filter_map(|(to, origins)| {
            let incarnation = siblings.get(&to)?.incarnation;
            Some(Message {
                to,
                incarnation,
                origins,
            })
        });
        addressed.collect()
    }

    /// Records that a sibling did not store a message.
    fn mark_silent(&self, sibling: InstanceId) {
        let until = self.lifecycle.now() + SILENT_TIME;
        self.stream_origins.silent().insert(sibling, until);
        self.update_origin_holders();
    }

    /// Records that a sibling has stored a message.
    fn mark_told(&self, message: &Message) {
        let mut told = self.stream_origins.told();
        for origin in &message.origins {
            let key: StreamKey = origin.key;
            let stream = told.get_mut(&key);
            // A later attempt may have changed the version meanwhile.
            let Some(stream) = stream.filter(|stream| stream.origin.attempt == origin.attempt)
            else {
                continue;
            };
            stream.untold.remove(&message.to);
            stream.told.insert(message.to.clone(), message.incarnation);
        }
    }
}
