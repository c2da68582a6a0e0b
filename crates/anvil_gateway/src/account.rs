//! What budgets hold, as far as the gateway has to know it.

pub mod balances;
