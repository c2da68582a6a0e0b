//! An exchange of a chat without a caller's key, and a grant account that pays for it.

use std::time::Duration;

use anvil_wire::msg::Work;
use anvil_world::command::GrantBatchAnswer;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use anvilreel::money::{GrantAccount, GrantPolicy};
use anvilreel::request::RequestSpec;

pub const NOW: Now = Duration::from_secs(1);
pub const BOUND: Tokens = 100;

pub fn split() -> Split {
    Split::single_payer("nairobi".into())
}

pub fn spec() -> RequestSpec {
    RequestSpec {
        key: RequestKey {
            team: "counter".into(),
            id: "r1".into(),
        },
        claim_id: "c1".into(),
        has_caller_key: false,
        body_hash: [1; 32],
        at_most_once: false,
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
        retention: Duration::from_mins(5),
        holders: Vec::new(),
        probe_candidates: Vec::new(),
    }
}

/// An account with one grant that is large enough.
pub fn new_account() -> GrantAccount {
    let account = GrantAccount::new("router-0".into(), 1, GrantPolicy::default());
    assert!(account.reserve(NOW, &split(), BOUND).is_err());
    let seq = account
        .next_batch(NOW)
        .expect("a batch with a grant request")
        .seq;
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
    account.apply_answer(NOW, &answer).unwrap();
    account
}
