//! One request of the experiment, and its tries.

use anvil_policy::prefix::PrefixHash;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;

use crate::load::fake::FakeRun;

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Who sends it.
    pub organisation: OrganisationId,
    /// How it waits.
    pub class: WorkClass,
    /// Its prefix.
    pub prefix: PrefixHash,
    /// Tokens of the prefix.
    pub prefix_tokens: Tokens,
    /// All prompt tokens.
    pub prompt: Tokens,
    /// Output tokens that it will make.
    pub output: Tokens,
    /// Output limit that the caller names.
    pub output_bound: Tokens,
    /// When it arrived.
    pub arrived: Now,
    /// When its caller leaves.
    pub deadline: Now,
    /// The router it came to.
    pub router: usize,
    /// Endpoints where it failed.
    pub avoid: Vec<InstanceId>,
    /// Output tokens that its caller has.
    pub made: Tokens,
    /// When it got its first and its newest token.
    pub first_token: Option<Now>,
    /// When its newest token came.
    pub newest_token: Now,
    /// Tries so far.
    pub tries: u32,
    /// The try that is going: where, since when, from which token on, its first token.
    pub going: Option<Going>,
}

/// A try.
#[derive(Debug, Clone, Copy)]
pub struct Going {
    /// Where.
    pub endpoint: usize,
    /// Since when.
    pub since: Now,
    /// When its first token came.
    pub first_token: Option<Now>,
    /// Tokens that the caller had before it.
    pub made_before: Tokens,
}

impl Request {
    /// Begins a try at an endpoint, as request number `at`. What the caller has already is
    /// prefilled again and not made again.
    pub fn begin(&mut self, now: Now, at: usize, endpoint: usize) -> FakeRun {
        self.tries += 1;
        self.going = Some(Going {
            endpoint,
            since: now,
            first_token: None,
            made_before: self.made,
        });
        FakeRun {
            request: at,
            priority: u8::from(self.class == WorkClass::Batch),
            prefix: (self.prefix, self.prefix_tokens),
            prompt: self.prompt + self.made,
            output: self.output - self.made,
        }
    }
}
