//! The operators' subcommands: each takes arguments, prints one report and returns an exit code for
//! the outcome.

mod arguments;
mod check;
mod run;

pub use arguments::{
    Apply, Audit, BudgetArgs, Check, Connection, Diff, Drain, Get, HashKey, Inspect, LedgerArgs,
    LedgerCommand, Operate, OrderArgs, OrderSubject, Remove, Status, TopUpArgs, WriteOffArgs,
};
pub use run::run;
