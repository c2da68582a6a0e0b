//! Encoded events that several followers receive.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvil_wire::msg::{FollowEvent, FollowScope, LedgerReply};
use anvil_wire::{WireError, encode};
use anvil_world::prelude::*;
use bytes::Bytes;

use super::follow::{Follower, version_of};

/// Encoded events that are kept: one for each scope, and a few earlier ones for followers that
/// fell behind.
const MAX_KEPT: usize = 8;

/// Encoded events by what they contain.
///
/// A routing table goes to every router. Encoding and compressing it takes milliseconds; done for
/// each follower, it keeps a leader from its other work for longer than requests wait for grants.
#[derive(Clone, Default)]
pub struct FollowFrames {
    recent: Arc<Mutex<VecDeque<FollowFrame>>>,
}

/// An encoded event.
#[derive(Debug, Clone)]
pub struct FollowFrame {
    scope: FollowScope,
    /// Version of the followers to whom it may be sent.
    from: LogIndex,
    /// Version that they hold after it.
    pub to: LogIndex,
    /// The encoded reply.
    pub reply: Bytes,
}

impl FollowFrames {
    /// An encoded event that brings this follower to `version`, if another one has received it.
    pub fn find(&self, follower: &Follower, version: LogIndex) -> Option<FollowFrame> {
        let recent = self.recent();
        let mut matching = recent.iter().filter(|frame| {
            frame.scope == follower.interest
                && frame.from == follower.version
                && frame.to == version
        });
        matching.next().cloned()
    }

    /// Encodes an event for this follower, unless another one has received the same.
    pub fn encode(
        &self,
        follower: &Follower,
        event: FollowEvent,
    ) -> Result<FollowFrame, WireError> {
        let to = version_of(&event);
        if let Some(frame) = self.find(follower, to) {
            return Ok(frame);
        }
        let frame = FollowFrame {
            scope: follower.interest,
            from: follower.version,
            to,
            reply: encode(&LedgerReply::Follow(event))?,
        };
        if is_shared(follower.interest) {
            let mut recent = self.recent();
            recent.push_front(frame.clone());
            recent.truncate(MAX_KEPT);
        }
        Ok(frame)
    }

    fn recent(&self) -> MutexGuard<'_, VecDeque<FollowFrame>> {
        // Sound after a panic elsewhere: frames are stored whole.
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether events of this scope are the same for all followers.
fn is_shared(scope: FollowScope) -> bool {
    match scope {
        FollowScope::Router | FollowScope::Members => true,
        FollowScope::Sidecar => false,
    }
}
