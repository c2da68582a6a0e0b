//! A folder in memory that can fail, tear writes, and lose unsynced data.

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, PoisonError};

use anvil_ledger::storage::{Disk, Op, OpOutput};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

#[derive(Debug, Clone, Default)]
struct File {
    bytes: Vec<u8>,
    synced: usize,
    /// Truncated bytes, until the truncation is synced.
    cut: Vec<u8>,
}

#[derive(Debug, Clone, Default)]
struct Folder {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    operations: u64,
    fail_at: Option<u64>,
}

/// The folder. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct MemDisk {
    folder: Arc<Mutex<Folder>>,
}

impl MemDisk {
    fn with<T>(&self, f: impl FnOnce(&mut Folder) -> T) -> T {
        f(&mut self.folder.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The folder as seen by the storage.
    pub fn disk(&self) -> Disk {
        let folder = self.clone();
        Disk::new(move |op| folder.with(|folder| folder.run(op)))
    }

    /// Number of writing operations so far.
    pub fn operations(&self) -> u64 {
        self.with(|folder| folder.operations)
    }

    /// Lets every writing operation from this one on fail; the first one may be half done.
    pub fn fail_at(&self, operation: Option<u64>) {
        self.with(|folder| folder.fail_at = operation);
    }

    /// Simulates a loss of power: unsynced data is kept, lost or garbled at random.
    pub fn crash(&self, rng: &mut ChaCha8Rng) {
        self.with(|folder| folder.crash(rng));
    }

    /// Replaces the disk by an empty one.
    pub fn wipe(&self) {
        self.with(|folder| *folder = Folder::default());
    }

    /// Flips one bit of a file.
    pub fn flip_bit(&self, name: &str, at: usize) {
        self.with(|folder| {
            let file = folder.names[name];
            folder.files[file].bytes[at] ^= 1;
        });
    }

    /// Contents of a file.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        self.with(|folder| folder.files[folder.names[name]].bytes.clone())
    }

    /// Names of all files.
    pub fn names(&self) -> Vec<String> {
        self.with(|folder| folder.names.keys().cloned().collect())
    }

    /// An independent copy.
    pub fn copy(&self) -> Self {
        let folder = self.with(|folder| folder.clone());
        Self {
            folder: Arc::new(Mutex::new(folder)),
        }
    }
}

impl Folder {
    fn run(&mut self, op: Op<'_>) -> Result<OpOutput> {
        let changes = !matches!(op, Op::List | Op::Read(_));
        if changes {
            self.operations += 1;
            if self.fail_at.is_some_and(|at| self.operations > at) {
                self.write_half(op);
                return Err(Error::from(ErrorKind::StorageFull));
            }
        }
        self.carry_out(op)
    }

    /// A failed write may have left a part of its bytes.
    fn write_half(&mut self, op: Op<'_>) {
        let first = self.fail_at.is_some_and(|at| self.operations == at + 1);
        if let Op::Append(name, bytes) = op
            && first
            && let Ok(file) = self.file(name)
        {
            file.bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
        }
    }

    fn file(&mut self, name: &str) -> Result<&mut File> {
        let file = self.names.get(name).copied();
        let file = file.ok_or_else(|| Error::from(ErrorKind::NotFound))?;
        Ok(&mut self.files[file])
    }

    fn carry_out(&mut self, op: Op<'_>) -> Result<OpOutput> {
        match op {
            Op::List => return Ok(OpOutput::Names(self.names.keys().cloned().collect())),
            Op::Read(name) => return Ok(OpOutput::Bytes(self.file(name)?.bytes.clone())),
            Op::Create(name) => {
                self.files.push(File::default());
                self.names.insert(name.into(), self.files.len() - 1);
            }
            Op::Append(name, bytes) => self.file(name)?.bytes.extend_from_slice(bytes),
            Op::Truncate(name, length) => {
                let file = self.file(name)?;
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                file.cut = file.bytes.split_off(length);
                file.synced = file.synced.min(length);
            }
            Op::Sync(name) => {
                let file = self.file(name)?;
                file.synced = file.bytes.len();
                file.cut.clear();
            }
            Op::Rename(from, to) => {
                let file = self.names.remove(from);
                let file = file.ok_or_else(|| Error::from(ErrorKind::NotFound))?;
                self.names.insert(to.into(), file);
            }
            Op::Remove(name) => {
                self.names.remove(name);
            }
            Op::SyncFolder => self.synced_names = self.names.clone(),
        }
        Ok(OpOutput::Nothing)
    }

    fn crash(&mut self, rng: &mut ChaCha8Rng) {
        self.fail_at = None;
        // Names that were not synced may be durable all the same.
        if rng.random_bool(0.5) {
            self.names = self.synced_names.clone();
        } else {
            self.synced_names = self.names.clone();
        }
        for file in &mut self.files {
            file.crash(rng);
        }
        self.drop_unnamed();
    }

    fn drop_unnamed(&mut self) {
        for (number, file) in self.files.iter_mut().enumerate() {
            if !self.names.values().any(|named| *named == number) {
                *file = File::default();
            }
        }
    }
}

impl File {
    fn crash(&mut self, rng: &mut ChaCha8Rng) {
        let unsynced = self.bytes.len() - self.synced;
        if !self.cut.is_empty() && unsynced == 0 && rng.random_bool(0.5) {
            self.bytes.append(&mut self.cut);
        }
        self.cut.clear();
        if unsynced > 0 {
            let kept = self.synced + rng.random_range(0..=unsynced);
            match rng.random_range(0..3) {
                0 => self.bytes.truncate(self.synced),
                1 => self.bytes.truncate(kept),
                // Later blocks were written and an earlier one was not.
                _ => self.bytes[self.synced..kept].fill(0),
            }
        }
        self.synced = self.bytes.len();
    }
}
