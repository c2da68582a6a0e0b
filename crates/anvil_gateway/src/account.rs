//! What budgets hold, as far as the gateway has to know it, and prompts whose charge is not decided
//! yet.

pub mod balances;
pub mod held_prompt_exchange;
pub mod held_prompts;
