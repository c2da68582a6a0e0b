//! A disk that misbehaves on command, for fault injection from outside of a process.
//!
//! The command is the text of a file that is read before each write: `full` refuses every write as
//! a disk without room does, `slow 200` has each write wait for so many milliseconds, and anything
//! else, or no file, lets the disk be.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use super::disk::{Disk, Op};

/// This disk, harmed as the file at `orders` says.
pub fn obeying(disk: Disk, orders: PathBuf) -> Disk {
    Disk::new(move |op| {
        if writes(op) {
            harm(&fs::read_to_string(&orders).unwrap_or_default())?;
        }
        disk.run(op)
    })
}

fn writes(op: Op<'_>) -> bool {
    !matches!(op, Op::List | Op::Read(_) | Op::Remove(_))
}

fn harm(order: &str) -> io::Result<()> {
    let mut words = order.split_whitespace();
    match (words.next(), words.next().and_then(|ms| ms.parse().ok())) {
        (Some("full"), _) => Err(io::ErrorKind::StorageFull.into()),
        (Some("slow"), Some(ms)) => {
            thread::sleep(Duration::from_millis(ms));
            Ok(())
        }
        _ => Ok(()),
    }
}
