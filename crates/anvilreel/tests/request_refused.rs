//! A request that is refused by its first endpoint.

use anvil_wire::msg::{SidecarReply, SidecarRequest};
use anvil_world::prelude::*;
use anvilreel::money::GrantAccount;
use anvilreel::request::{Action, Event, Exchange, Target};

use crate::exchange::{BOUND, NOW, new_account, spec, split};

#[path = "support/exchange.rs"]
mod exchange;

/// Feeds an event, makes a reservation where one is requested, and returns the call that the
/// exchange makes.
fn feed(exchange: &mut Exchange, account: &GrantAccount, event: Event) -> Option<(u32, Target)> {
    let mut call = None;
    for action in exchange.handle(NOW, account, event) {
        match action {
            Action::Call {
                dispatch,
                target,
                req,
            } => {
                assert!(matches!(*req, SidecarRequest::Start(_)));
                call = Some((dispatch, target));
            }
            Action::Reserve => {
                let reservation = account.reserve(NOW, &split(), BOUND).unwrap();
                call = call.or(feed(exchange, account, Event::Reserved(reservation)));
            }
            _ => {}
        }
    }
    call
}

/// One of two endpoints answers every request with an error at once; its sidecar refuses, and its
/// stream ends. The end of the stream was taken for a break of the next call: the request backed
/// off for a target that it had left, the other endpoint chosen meanwhile was ignored, and the
/// caller got no answer until its deadline.
#[test]
fn stream_end_after_a_refusal_does_not_break_the_next_attempt() {
    let account = new_account();
    let mut exchange = Exchange::new(spec());
    let failing = Target::new("runner-1".into(), 1);
    let healthy = Target::new("runner-0".into(), 1);
    feed(&mut exchange, &account, Event::Begin);
    let first = feed(&mut exchange, &account, Event::Chosen(failing.clone()));
    let (dispatch, target) = first.expect("the start is sent");
    assert_eq!(target, failing);
    let refusal = Refusal::new(Reason::EndpointRefused);
    let reply = SidecarReply::Refused(refusal);
    feed(&mut exchange, &account, Event::Reply { dispatch, reply });
    let never_sent = false;
    let ended = Event::CallBroken {
        dispatch,
        never_sent,
    };
    feed(&mut exchange, &account, ended);
    let second = feed(&mut exchange, &account, Event::Chosen(healthy.clone()));
    assert_eq!(second.expect("a second start is sent").1, healthy);
}
