//! A request whose sidecar can't be reached for a while.

use std::time::Duration;

use anvil_wire::msg::{Frame, ReservationId, RunEnd, SidecarReply, SidecarRequest};
use anvil_world::prelude::*;
use anvilreel::money::GrantAccount;
use anvilreel::request::{Action, Event, Exchange, Target};

use crate::exchange::{BOUND, NOW, new_account, spec, split};

#[path = "support/exchange.rs"]
mod exchange;

/// An exchange with the call that it has open, and how it has ended.
struct Request {
    account: GrantAccount,
    exchange: Exchange,
    now: Now,
    call: Option<(u32, Target)>,
    /// Whether the open call reads a run without starting one.
    attaches: bool,
    chooses: bool,
    timer: Option<Now>,
    outcome: Option<Outcome>,
}

impl Request {
    /// A request whose run has begun at this sidecar.
    fn begun_at(target: &Target) -> Self {
        let mut request = Self {
            account: new_account(),
            exchange: Exchange::new(spec()),
            now: NOW,
            call: None,
            attaches: false,
            chooses: false,
            timer: None,
            outcome: None,
        };
        request.feed(Event::Begin);
        request.feed(Event::Chosen(target.clone()));
        request.accepted(false);
        request.chooses = false;
        request
    }

    fn feed(&mut self, event: Event) {
        for action in self.exchange.handle(self.now, &self.account, event) {
            match action {
                Action::Call {
                    dispatch,
                    target,
                    req,
                } => {
                    self.attaches = matches!(*req, SidecarRequest::Attach { .. });
                    self.call = Some((dispatch, target));
                }
                Action::Reserve => {
                    let reservation = self.account.reserve(self.now, &split(), BOUND);
                    self.feed(Event::Reserved(reservation.expect("the grant is large")));
                }
                Action::Choose { .. } => self.chooses = true,
                Action::SetTimer(at) => self.timer = Some(at),
                Action::Finish { outcome, .. } => self.outcome = Some(outcome),
                _ => {}
            }
        }
    }

    fn dispatch(&self) -> u32 {
        self.call.as_ref().expect("a call is open").0
    }

    fn reply(&mut self, reply: SidecarReply) {
        let dispatch = self.dispatch();
        self.feed(Event::Reply { dispatch, reply });
    }

    fn accepted(&mut self, attached: bool) {
        self.reply(SidecarReply::Accepted {
            incarnation: 1,
            attached,
            body: spec().body_hash,
        });
    }

    /// The open call breaks, and the next one is due.
    fn breaks(&mut self) {
        let dispatch = self.dispatch();
        self.feed(Event::CallBroken {
            dispatch,
            never_sent: false,
        });
        if !self.chooses {
            self.fire_timer();
        }
    }

    fn fire_timer(&mut self) {
        self.now = self.now.max(self.timer.expect("a pause"));
        self.feed(Event::TimerFired);
    }

    /// Calls break until another endpoint is looked for.
    fn loses_its_sidecar(&mut self) {
        for _ in 0..10 {
            if std::mem::take(&mut self.chooses) {
                return;
            }
            self.breaks();
        }
        panic!("no other endpoint is looked for");
    }

    fn no_other_endpoint(&mut self) {
        let refusal = Refusal::new(Reason::NoEndpoint("runners".into()));
        self.feed(Event::NotChosen(refusal));
    }
}

fn frame(bytes: &'static str) -> SidecarReply {
    SidecarReply::Frame(Frame {
        key: spec().key,
        offset: 0,
        bytes: bytes.into(),
        tokens: 1,
    })
}

fn completed(length: u64) -> SidecarReply {
    SidecarReply::End(Box::new(RunEnd {
        key: spec().key,
        length,
        usage: Usage::default(),
        outcome: Outcome::Completed(Usage::default()),
        finish: "stop".into(),
        paid_by: ReservationId {
            router: "router-0".into(),
            incarnation: 1,
            number: 1,
        },
        charged: [].into(),
    }))
}

fn sidecar(name: &str) -> Target {
    Target::new(name.into(), 1)
}

/// Guards against a run that is given up because its sidecar can't be reached for a moment, although
/// no other endpoint takes it over.
#[test]
fn run_is_read_at_its_sidecar_again_if_no_other_endpoint_takes_it_over() {
    let only = sidecar("runner-1");
    let mut request = Request::begun_at(&only);
    request.loses_its_sidecar();
    request.no_other_endpoint();
    assert_eq!(request.outcome, None);
    request.fire_timer();
    assert_eq!(request.call.as_ref().map(|(_, target)| target), Some(&only));
    assert!(request.attaches);
    request.accepted(true);
    request.reply(frame("whole"));
    request.reply(completed(5));
    assert!(matches!(request.outcome, Some(Outcome::Completed(_))));
}

/// Guards against the same with a sidecar from which the ledger hears nothing either.
#[test]
fn run_of_an_unresponsive_sidecar_is_read_again_if_no_other_endpoint_takes_it_over() {
    let only = sidecar("runner-1");
    let mut request = Request::begun_at(&only);
    request.feed(Event::TargetUnresponsive(only.clone()));
    assert!(std::mem::take(&mut request.chooses));
    request.no_other_endpoint();
    assert_eq!(request.outcome, None);
    request.fire_timer();
    assert!(request.attaches);
}

/// Guards against a caller that is held for as long as its deadline allows, because its sidecar
/// never comes back.
#[test]
fn request_ends_when_its_sidecar_stays_unreachable() {
    let mut request = Request::begun_at(&sidecar("runner-1"));
    while request.outcome.is_none() {
        request.loses_its_sidecar();
        request.no_other_endpoint();
        if request.outcome.is_none() {
            request.fire_timer();
        }
    }
    assert!(matches!(request.outcome, Some(Outcome::Unknown(_))));
    let held = request.now.saturating_sub(NOW);
    assert!(held < Duration::from_secs(15), "held for {held:?}");
}

/// Guards against a return to a run that another endpoint has taken over: its output would not fit
/// what the caller has received since.
#[test]
fn run_that_was_taken_over_is_not_read_at_its_first_sidecar() {
    let mut request = Request::begun_at(&sidecar("runner-1"));
    request.loses_its_sidecar();
    request.feed(Event::Chosen(sidecar("runner-2")));
    assert!(!request.attaches);
    request.accepted(false);
    request.loses_its_sidecar();
    request.no_other_endpoint();
    request.fire_timer();
    let target = request.call.as_ref().map(|(_, target)| target);
    assert_eq!(target, Some(&sidecar("runner-2")));
    assert!(request.attaches);
}

/// Guards against a request that waits for an incarnation that is over.
#[test]
fn request_ends_when_the_incarnation_of_its_unreachable_sidecar_is_over() {
    let only = sidecar("runner-1");
    let mut request = Request::begun_at(&only);
    request.loses_its_sidecar();
    request.no_other_endpoint();
    request.feed(Event::TargetGone(only));
    request.no_other_endpoint();
    assert!(matches!(request.outcome, Some(Outcome::Unknown(_))));
}
