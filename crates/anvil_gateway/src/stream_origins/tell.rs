//! Tells other gateways at which versions this gateway's streams run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_policy::stream_origins::StreamKey;
use anvil_wire::msg::{OriginCall, OriginReply, OriginRequest, StreamOrigin};
use anvil_world::prelude::*;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::to_message;
use crate::gateway::Gateway;
use crate::metrics;

/// Streams in one message.
const MAX_STREAMS_PER_MESSAGE: usize = 256;
/// Longest wait for a sibling to store them.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after which a sibling that did not answer is told again.
const RETELL_PAUSE: Duration = Duration::from_millis(250);

/// What one sibling is told.
struct Message {
    to: InstanceId,
    /// The sibling's incarnation that is meant.
    incarnation: Incarnation,
    origins: Vec<StreamOrigin>,
}

/// Tells the holders of this gateway's streams, for as long as the process runs. Each sibling gets one
/// message at a time, with all that has come up since the one before.
pub async fn run(gw: &Arc<Gateway>) {
    let mut sending: JoinSet<(Message, bool)> = JoinSet::new();
    // Siblings that are being told, or that did not answer a moment ago.
    let mut busy: BTreeMap<InstanceId, Incarnation> = BTreeMap::new();
    loop {
        for message in gw.untold_messages(&busy) {
            busy.insert(message.to.clone(), message.incarnation);
            sending.spawn(send(gw.clone(), message));
        }
        tokio::select! {
            () = gw.stream_origins.changed.notified() => {}
            Some(Ok((message, is_stored))) = sending.join_next() => {
                busy.remove(&message.to);
                if is_stored {
                    gw.mark_told(&message);
                }
            }
        }
    }
}

/// Sends a message. After a failure it returns only when the sibling may be told again.
async fn send(gw: Arc<Gateway>, message: Message) -> (Message, bool) {
    gw.metrics.count(metrics::ORIGIN_MESSAGES);
    let is_stored = match gw.siblings.channel(&message.to) {
        None => false,
        Some(channel) => {
            let request = OriginRequest::Tell(message.origins.clone());
            let reply = channel.call::<OriginCall>(&request, STORE_TIMEOUT).await;
            matches!(reply, Ok(OriginReply::Stored))
        }
    };
    if !is_stored {
        sleep(RETELL_PAUSE).await;
    }
    (message, is_stored)
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
            if stream.untold.is_empty() || !self.is_mixed(&stream.service, stream.span) {
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

    /// Records that a sibling has stored a message.
    fn mark_told(&self, message: &Message) {
        let mut told = self.stream_origins.told();
        for origin in &message.origins {
            let key: StreamKey = origin.key;
            let stream = told.get_mut(&key);
            // A later attempt may have changed the version meanwhile.
            let Some(stream) = stream.filter(|stream| stream.origin.version == origin.version)
            else {
                continue;
            };
            stream.untold.remove(&message.to);
            stream.told.insert(message.to.clone(), message.incarnation);
        }
    }
}
