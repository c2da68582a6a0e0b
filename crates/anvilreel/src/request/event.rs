//! What happens to a request, and what it wants done.

use std::collections::BTreeSet;

use anvil_wire::msg::{Head, PlacedClaim, RunEnd, SidecarReply, SidecarRequest};
use anvil_world::command::{Claim, SettleClaim};
use anvil_world::prelude::*;
use bytes::Bytes;

use super::{ExchangeError, Target};
use crate::money::{Reservation, Shortage};

/// Numbers the calls to sidecars of one exchange; answers to an older one are late.
pub type Dispatch = u32;

/// Who keeps a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holder {
    /// A router.
    Router(InstanceId),
    /// The ledger's majority.
    Ledger,
}

/// What a holder says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// This one stands.
    Stands {
        /// The sidecar that runs the key.
        target: Target,
        /// Hash of the body that was claimed.
        body: BodyHash,
        /// The claim's id, from the ledger; the spec's own from a router.
        id: ClaimId,
        /// Whether this very request made the claim. Only the ledger can tell.
        fresh: bool,
        /// How it ended, where the ledger knows.
        settled: Option<Outcome>,
    },
    /// The holder can't be reached, or keeps nothing new.
    Lost,
}

/// What happens.
#[derive(Debug)]
pub enum Event {
    /// Begin.
    Begin,
    /// Answer to [`Action::Choose`]: this endpoint.
    Chosen(Target),
    /// Answer to [`Action::Choose`]: none, and why.
    NotChosen(Refusal),
    /// Answer to [`Action::PutClaim`] and [`Action::PutLedgerClaim`].
    Claimed {
        /// Who answers.
        holder: Holder,
        /// What.
        answer: ClaimAnswer,
    },
    /// Answer to [`Action::Reserve`].
    Reserved(Reservation),
    /// Answer to [`Action::Reserve`].
    Short(Shortage),
    /// The purse has changed since a shortage.
    MoneyChanged,
    /// A sidecar's reply to a call.
    Reply {
        /// Which call.
        dispatch: Dispatch,
        /// What.
        reply: SidecarReply,
    },
    /// A call failed or its stream broke before its last reply.
    Broken {
        /// Which call.
        dispatch: Dispatch,
        /// Whether it is certain that the sidecar never saw the call.
        never_sent: bool,
    },
    /// The members' list says that a sidecar's life is over.
    Gone(Target),
    /// The caller's connection is gone.
    CallerGone,
    /// A time asked for by [`Action::WakeAt`] has come.
    Wake,
}

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Choose an endpoint, but none of these.
    Choose {
        /// Not these sidecars.
        exclude: BTreeSet<InstanceId>,
    },
    /// Put a claim at a router; answer [`Event::Claimed`].
    PutClaim {
        /// Which router; may be this one.
        holder: InstanceId,
        /// What.
        claim: PlacedClaim,
    },
    /// Put a claim into the ledger; answer [`Event::Claimed`]. The leader fills in the time.
    PutLedgerClaim(Claim),
    /// Note the end of a claimed request in the ledger. Try for a while; nothing waits for it.
    SettleClaim(SettleClaim),
    /// Reserve so many tokens from the spec's payers.
    Reserve,
    /// Give a reservation back unspent.
    Release(Reservation),
    /// Charge a reservation.
    Settle {
        /// Which.
        reservation: Reservation,
        /// What it cost, in tokens.
        cost: Tokens,
    },
    /// Call a sidecar and feed its replies.
    Call {
        /// Number of the call.
        dispatch: Dispatch,
        /// Whom.
        target: Target,
        /// What.
        req: Box<SidecarRequest>,
    },
    /// Drop a call: its replies are not wanted any more.
    Drop {
        /// Number of the call.
        dispatch: Dispatch,
    },
    /// Pass status and headers on to the caller.
    DeliverHead(Head),
    /// Pass output on to the caller.
    Deliver(Bytes),
    /// Feed [`Event::Wake`] then.
    WakeAt(Now),
    /// The request is over; tell the caller.
    Finish {
        /// How.
        outcome: Outcome,
        /// The run's end as the sidecar told it, where there was one.
        end: Option<Box<RunEnd>>,
    },
    /// An invariant is broken; log it.
    Violation(ExchangeError),
}
