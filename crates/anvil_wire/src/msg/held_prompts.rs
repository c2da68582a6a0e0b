//! Calls between routers about the prompts of lost attempts.

use std::time::Duration;

use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Call;

/// A call from one router to another about prompts that one of them holds.
pub struct HeldPromptCall;

impl Call for HeldPromptCall {
    const PATH: &'static str = "/held-prompts";
    type Req = HeldPromptRequest;
    type Resp = HeldPromptReply;
}

/// A lost attempt whose prompt its router holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPromptNotice {
    /// Number of the attempt, unique within an incarnation of its router.
    pub number: u64,
    /// Hash of the request.
    pub request: ContentDigest,
    /// For how much longer the client of the attempt waits. Routers of earlier builds state for how much
    /// longer the prompt is held, which is shorter if the client waits for longer than prompts are held.
    pub client_waits: Duration,
}

/// A charge for a request that another router holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptCharge {
    /// Number of the held attempt.
    pub number: u64,
    /// Hash of the request.
    pub request: ContentDigest,
    /// Tokens that were charged for its prompt.
    pub prompt: Tokens,
}

/// A request to a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeldPromptRequest {
    /// Notifies it of prompts that the sender holds. Reply: `Received`.
    Notify {
        /// The sender.
        origin: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The attempts.
        held: Vec<HeldPromptNotice>,
    },
    /// Reports requests that the sender has charged, for good. Reply: `Received`.
    Report {
        /// The sender.
        by: InstanceId,
        /// The incarnation of the receiver that holds the attempts; another one ignores the report.
        incarnation: Incarnation,
        /// The charges.
        charges: Vec<PromptCharge>,
    },
}

/// A reply of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeldPromptReply {
    /// The message was received.
    Received,
}
