//! Disk faults that can be switched on from outside a process, for fault injection.
//!
//! The requested fault is the text of a file that is read before each write: `full` fails every
//! write as a disk without space does, `slow 200` delays each write by so many milliseconds, and any
//! other text, or no file, injects nothing.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use super::disk::{Disk, Op};

/// Wraps a disk so that its writes fail or wait as the command file says.
pub fn with_injected_faults(disk: Disk, command_file: PathBuf) -> Disk {
    Disk::new(move |op| {
        if is_write(op) {
            inject(&fs::read_to_string(&command_file).unwrap_or_default())?;
        }
        disk.run(op)
    })
}

fn is_write(op: Op<'_>) -> bool {
    !matches!(op, Op::List | Op::Read(_) | Op::Remove(_))
}

fn inject(fault_text: &str) -> io::Result<()> {
    let mut words = fault_text.split_whitespace();
    match (words.next(), words.next().and_then(|ms| ms.parse().ok())) {
        (Some("full"), _) => Err(io::ErrorKind::StorageFull.into()),
        (Some("slow"), Some(ms)) => {
            thread::sleep(Duration::from_millis(ms));
            Ok(())
        }
        _ => Ok(()),
    }
}
