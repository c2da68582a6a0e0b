//! A request whose first endpoint refuses it.

use std::time::Duration;

use anvil_wire::msg::{SidecarReply, SidecarRequest, Work};
use anvil_world::command::GrantBatchAnswer;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use anvilreel::money::{GrantPolicy, Purse};
use anvilreel::request::{Action, Event, Exchange, Spec, Target};

const NOW: Now = Duration::from_secs(1);
const BOUND: Tokens = 100;

fn split() -> Split {
    Split::whole("nairobi".into())
}

fn spec() -> Spec {
    Spec {
        key: RequestKey {
            team: "counter".into(),
            id: "r1".into(),
        },
        claim_id: "c1".into(),
        named: false,
        body: [1; 32],
        once: false,
        split: split(),
        price: Price::default(),
        bound: BOUND,
        work: Work::Chat {
            model: "swatch-chat".into(),
            body: "{}".into(),
            max_output: 10,
        },
        class: WorkClass::Interactive,
        deadline: Duration::from_mins(10),
        keep: Duration::from_mins(5),
        holders: Vec::new(),
        suspects: Vec::new(),
    }
}

/// A purse with one grant that is large enough.
fn purse() -> Purse {
    let purse = Purse::new("router-0".into(), 1, GrantPolicy::default());
    assert!(purse.reserve(NOW, &split(), BOUND).is_err());
    let seq = purse.batch(NOW).expect("it asks").seq;
    let grant = Grant {
        id: 1,
        budget: "nairobi".into(),
        router: "router-0".into(),
        incarnation: 1,
        amount: 10 * BOUND,
        settled: 0,
        returned: 0,
        state: GrantState::Open,
    };
    let answer = GrantBatchAnswer {
        seq,
        opened: vec![grant],
        ..GrantBatchAnswer::default()
    };
    purse.answered(NOW, &answer).unwrap();
    purse
}

/// Feeds an event, reserves where that is asked, and gives back the call that is made.
fn feed(exchange: &mut Exchange, purse: &Purse, event: Event) -> Option<(u32, Target)> {
    let mut call = None;
    for action in exchange.handle(NOW, purse, event) {
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
                let reservation = purse.reserve(NOW, &split(), BOUND).unwrap();
                call = call.or(feed(exchange, purse, Event::Reserved(reservation)));
            }
            _ => {}
        }
    }
    call
}

/// One endpoint of two answers every request with an error at once. Its sidecar refuses, and its
/// stream ends. Callers get nothing until their deadline: the end of the stream was taken for a
/// break of the call, the request paused for a target that it had left, and the other endpoint
/// that was chosen meanwhile was not heard.
#[test]
fn the_end_of_a_refusal_does_not_stop_the_next_try() {
    let purse = purse();
    let mut exchange = Exchange::new(spec());
    let failing = Target::new("runner-1".into(), 1);
    let well = Target::new("runner-0".into(), 1);
    feed(&mut exchange, &purse, Event::Begin);
    let first = feed(&mut exchange, &purse, Event::Chosen(failing.clone()));
    let (dispatch, target) = first.expect("it is sent");
    assert_eq!(target, failing);
    let refusal = Refusal::new(Reason::EndpointRefused);
    let reply = SidecarReply::Refused(refusal);
    feed(&mut exchange, &purse, Event::Reply { dispatch, reply });
    let never_sent = false;
    let ended = Event::Broken {
        dispatch,
        never_sent,
    };
    feed(&mut exchange, &purse, ended);
    let second = feed(&mut exchange, &purse, Event::Chosen(well.clone()));
    assert_eq!(second.expect("it is sent again").1, well);
}
