//! The operators' subcommands: arguments in, one report out, an exit code that tells the truth.

mod arguments;
mod check;
mod run;

pub use arguments::{
    Apply, Audit, BudgetArgs, Check, Connection, Diff, Drain, Get, HashKey, Inspect, LedgerArgs,
    LedgerCommand, Operate, OrderArgs, OrderSubject, Remove, Status, TopUpArgs, WriteOffArgs,
};
pub use run::run;
