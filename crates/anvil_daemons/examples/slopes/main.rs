//! Measures the slopes that docs/CAPACITY.md is based on.
//!
//! `cargo run --release -p anvil_daemons --example slopes` prints its table: each row is a cost
//! that was measured at three or more sizes, with the best fitting straight line and the largest
//! error of any point against it. Memory is measured in a separate process for each size, so that
//! nothing allocated for an earlier size is counted.

mod apply;
mod disk;
mod fit;
mod live;
mod messages;
mod sample;
mod state;

use std::process::ExitCode;

use argh::FromArgs;

use fit::Slope;

/// measures what each thing costs, at three or more sizes, and fits a line
#[derive(Debug, FromArgs)]
struct Arguments {
    /// only groups whose name starts with this: state, apply, messages, disk, spread, watched, live
    #[argh(option, default = "String::new()")]
    only: String,

    /// used by the tool itself: measure the memory of so many of one kind, and print it
    #[argh(option)]
    memory: Option<String>,

    /// used by the tool itself: how many
    #[argh(option, default = "0")]
    count: u64,
}

type Group = (&'static str, fn() -> Vec<Slope>);

const GROUPS: [Group; 7] = [
    ("state", state::slopes),
    ("apply", apply::slopes),
    ("messages", messages::slopes),
    ("disk", disk::slopes),
    ("spread", live::spread),
    ("watched", live::watched),
    ("live", live::slopes),
];

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if let Some(kind) = &arguments.memory {
        return state::measure(kind, arguments.count);
    }
    for (name, slopes) in GROUPS {
        if name.starts_with(&arguments.only) {
            let mut lines = vec![fit::column_headers()];
            lines.extend(slopes().iter().map(Slope::table_row));
            println!("{}", anvil_standins::load::table::align_columns(&lines));
        }
    }
    ExitCode::SUCCESS
}
