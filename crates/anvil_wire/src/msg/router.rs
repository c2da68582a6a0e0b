//! Calls between routers: claims of idempotent requests.
//!
//! The claim of an idempotent request is held by a few routers instead of the ledger. It records which
//! sidecar runs the request, so that a retry attaches to the same run.

use std::time::Duration;

use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Call;

/// A call from one router to another.
pub struct RouterCall;

impl Call for RouterCall {
    const PATH: &'static str = "/router";
    type Req = RouterRequest;
    type Resp = RouterReply;
}

/// The claim of an idempotent request: which sidecar runs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotentClaim {
    /// The request.
    pub key: RequestKey,
    /// Hash of its body.
    pub body: BodyHash,
    /// The sidecar.
    pub sidecar: InstanceId,
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// How long the claim is kept.
    pub keep: Duration,
}

/// A router, in one incarnation, that holds claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The router.
    pub id: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A request to a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouterRequest {
    /// Stores this claim, unless the key has one already. Reply: `Claim` with the first one.
    Put(IdempotentClaim),
    /// Stores this claim, unless the key has one already, and confirms it as one of the key's holders
    /// if possible. Reply: `Claim` with the first one; `Leaving` from a router that stores the claim
    /// but can't confirm it.
    PutAs {
        /// The claim.
        claim: IdempotentClaim,
        /// The holders of this key, according to the sender's view of the membership.
        holders: Vec<ClaimHolder>,
    },
    /// Replaces a claim whose sidecar is lost or has reported that it will never run the request.
    /// Reply: `Claim`.
    Replace {
        /// The sidecar of the claim to replace; a claim with another sidecar is kept.
        old: InstanceId,
        /// The new claim.
        new: IdempotentClaim,
    },
    /// Reads the claim of a key. Reply: `Claim`.
    Get(RequestKey),
    /// Transfers the claims of a leaving router. Reply: `Kept`.
    HandOver(Vec<IdempotentClaim>),
}

/// A reply of a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouterReply {
    /// The claim of the key, if any.
    Claim(Option<IdempotentClaim>),
    /// The transferred claims are stored.
    Kept,
    /// This router is leaving, so it can't confirm a new claim.
    Leaving,
}
