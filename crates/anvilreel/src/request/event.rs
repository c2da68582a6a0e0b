//! The exchange's inputs ([`Event`]) and outputs ([`Action`]).

use std::collections::BTreeSet;

use anvil_wire::msg::{IdempotentClaim, ResponseHead, RunEnd, SidecarReply, SidecarRequest};
use anvil_world::command::{Claim, SettleClaim};
use anvil_world::prelude::*;
use bytes::Bytes;

use super::{ExchangeError, Target};
use crate::money::{Reservation, Shortage};

/// Number of a call to a sidecar within one exchange. Answers to an older call are ignored.
pub type Dispatch = u32;

/// A process that stores a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holder {
    /// A router.
    Router(InstanceId),
    /// The ledger, by majority.
    Ledger,
}

/// A holder's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claim recorded for the key, which may be another exchange's.
    Recorded {
        /// The target that runs the key.
        target: Target,
        /// Hash of the claimed request's body.
        body: BodyHash,
        /// The claim's id as recorded by the ledger; for a router, this request's own.
        id: ClaimId,
        /// Whether this request's claim was the first. Only the ledger can tell.
        fresh: bool,
        /// The outcome of the claimed request, if the ledger knows it.
        settled: Option<Outcome>,
    },
    /// The holder can't be reached, or accepts no new claims.
    Unavailable,
}

/// Input of an exchange.
#[derive(Debug)]
pub enum Event {
    /// Starts the exchange.
    Begin,
    /// Answer to [`Action::Choose`]: the chosen endpoint.
    Chosen(Target),
    /// Answer to [`Action::Choose`]: no endpoint, and why.
    NotChosen(Refusal),
    /// Answer to [`Action::PutClaim`] and [`Action::PutLedgerClaim`].
    Claimed {
        /// The holder that answered.
        holder: Holder,
        /// Its answer.
        answer: ClaimAnswer,
    },
    /// Answer to [`Action::Reserve`]: the tokens are reserved.
    Reserved(Reservation),
    /// Answer to [`Action::Reserve`]: too few tokens are available.
    ReservationFailed(Shortage),
    /// The grant account has changed since a shortage.
    GrantsChanged,
    /// A sidecar's reply to a call.
    Reply {
        /// The call that it answers.
        dispatch: Dispatch,
        /// The reply.
        reply: SidecarReply,
    },
    /// A call failed or its stream broke before its last reply.
    CallBroken {
        /// The call.
        dispatch: Dispatch,
        /// Whether it is certain that the sidecar never received the call.
        never_sent: bool,
    },
    /// According to the members' list, this incarnation of a sidecar is over.
    TargetGone(Target),
    /// A call to this incarnation broke, and the ledger receives nothing from it either; it may
    /// still go on.
    TargetUnresponsive(Target),
    /// The caller has disconnected.
    CallerGone,
    /// A time requested by the exchange has been reached.
    TimerFired,
}

/// Output of an exchange: something the I/O layer must do.
#[derive(Debug)]
pub enum Action {
    /// Choose an endpoint.
    Choose {
        /// Sidecars that must not be chosen.
        exclude: BTreeSet<InstanceId>,
    },
    /// Put a claim at a router, and answer with [`Event::Claimed`].
    PutClaim {
        /// The router, which may be this one.
        holder: InstanceId,
        /// The claim.
        claim: IdempotentClaim,
    },
    /// Put a claim into the ledger, and answer with [`Event::Claimed`]. The ledger's leader fills
    /// in the time.
    PutLedgerClaim(Claim),
    /// Record the outcome of a claimed request in the ledger. Retried for a while; nothing waits
    /// for the result.
    SettleClaim(SettleClaim),
    /// Reserve the spec's bound from the budgets that pay.
    Reserve,
    /// Release a reservation without a charge.
    Release(Reservation),
    /// Charge a reservation.
    Settle {
        /// The reservation.
        reservation: Reservation,
        /// The cost, in tokens.
        cost: Tokens,
    },
    /// Call a sidecar and feed its replies back.
    Call {
        /// The call's number.
        dispatch: Dispatch,
        /// The sidecar to call.
        target: Target,
        /// The request.
        req: Box<SidecarRequest>,
    },
    /// Drop a call: its replies are no longer wanted.
    DropCall {
        /// The call's number.
        dispatch: Dispatch,
    },
    /// Pass status and headers on to the caller.
    DeliverHead(ResponseHead),
    /// Pass output on to the caller.
    Deliver(Bytes),
    /// Feed the timer event at this time.
    SetTimer(Now),
    /// The request is over; send the outcome to the caller.
    Finish {
        /// The outcome.
        outcome: Outcome,
        /// The end of the run as reported by the sidecar, if there was a run.
        end: Option<Box<RunEnd>>,
    },
    /// An invariant is violated; log it.
    Violation(ExchangeError),
}
