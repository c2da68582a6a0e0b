//! A request of the simulation and its attempts.

use anvil_policy::prefix::PrefixHash;
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;

use crate::load::fake::FakeRun;

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The sending organisation.
    pub organisation: OrganisationId,
    /// Priority class.
    pub class: WorkClass,
    /// Shared prefix of the prompt.
    pub prefix: PrefixHash,
    /// Tokens of the prefix.
    pub prefix_tokens: Tokens,
    /// Prompt tokens, including the prefix.
    pub prompt: Tokens,
    /// Output tokens of the complete response.
    pub output: Tokens,
    /// Output limit in the request.
    pub output_bound: Tokens,
    /// Time of arrival.
    pub arrived: Now,
    /// Time at which the caller gives up.
    pub deadline: Now,
    /// Index of the router that received it.
    pub router: usize,
    /// Endpoints at which it failed.
    pub avoid: Vec<InstanceId>,
    /// Output tokens that the caller has received.
    pub received: Tokens,
    /// Time of the first token.
    pub first_token: Option<Now>,
    /// Time of the most recent token.
    pub last_token: Now,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The attempt in flight.
    pub attempt: Option<Attempt>,
}

/// An attempt.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Time of the start.
    pub started: Now,
    /// Time of the attempt's first token.
    pub first_token: Option<Now>,
    /// Output tokens that the caller had received before the attempt.
    pub received_before: Tokens,
}

impl Request {
    /// Starts an attempt at an endpoint, for the request with this index. Output that the caller
    /// has already received is prefilled and not generated again.
    pub fn start_attempt(&mut self, now: Now, index: usize, endpoint: usize) -> FakeRun {
        self.attempts += 1;
        self.attempt = Some(Attempt {
            endpoint,
            started: now,
            first_token: None,
            received_before: self.received,
        });
        FakeRun {
            request: index,
            priority: u8::from(self.class == WorkClass::Batch),
            prefix: (self.prefix, self.prefix_tokens),
            prompt: self.prompt + self.received,
            output: self.output - self.received,
        }
    }
}
