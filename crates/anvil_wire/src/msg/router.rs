//! What a router answers other routers: claims of idempotent requests.

use std::time::Duration;

use anvil_world::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Call;

/// Exchange between routers.
pub struct RouterCall;

impl Call for RouterCall {
    const PATH: &'static str = "/router";
    type Req = RouterRequest;
    type Resp = RouterReply;
}

/// Which sidecar runs an idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedClaim {
    /// The request.
    pub key: RequestKey,
    /// Hash of its body.
    pub body: BodyHash,
    /// The sidecar.
    pub sidecar: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// How long the claim is worth keeping.
    pub keep: Duration,
}

/// One life of a router that keeps claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderLife {
    /// The router.
    pub id: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// What is asked of a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouterRequest {
    /// Keep this claim, unless the key has one already. Reply: `Claim` with the first one.
    Put(PlacedClaim),
    /// Keep this claim, unless the key has one already, and vouch for it if you can. Reply:
    /// `Claim` with the first one; `Leaving` from one that keeps it but can't vouch.
    PutAs {
        /// What.
        claim: PlacedClaim,
        /// Who holds this key, as the asker knows the members.
        holders: Vec<HolderLife>,
    },
    /// Replace a claim whose sidecar is lost or said that it will never run. Reply: `Claim`.
    Replace {
        /// What is to go; nothing happens when another one stands there.
        old: InstanceId,
        /// What comes.
        new: PlacedClaim,
    },
    /// Which claim does the key have? Reply: `Claim`.
    Get(RequestKey),
    /// A leaving router's claims. Reply: `Kept`.
    HandOver(Vec<PlacedClaim>),
}

/// What a router says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouterReply {
    /// The claim that stands.
    Claim(Option<PlacedClaim>),
    /// Taken over.
    Kept,
    /// This router is leaving and keeps nothing new.
    Leaving,
}
