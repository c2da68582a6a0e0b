//! The few operations that a data folder must offer.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

/// One operation on a folder. Files are named without a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op<'a> {
    /// Names of all files.
    List,
    /// A whole file.
    Read(&'a str),
    /// Makes an empty file, in the place of an older one.
    Create(&'a str),
    /// Writes at the end of a file.
    Append(&'a str, &'a [u8]),
    /// Cuts a file to a length, in bytes.
    Truncate(&'a str, u64),
    /// Returns once the file's bytes last.
    Sync(&'a str),
    /// Gives a file another name, in the place of an older one.
    Rename(&'a str, &'a str),
    /// Takes a file away.
    Remove(&'a str),
    /// Returns once the folder's names last.
    SyncFolder,
}

/// What an operation brought.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Done {
    /// Nothing to tell.
    #[default]
    Nothing,
    /// For [`Op::List`].
    Names(Vec<String>),
    /// For [`Op::Read`].
    Bytes(Vec<u8>),
}

/// A folder, as a closure that carries out operations.
#[derive(Clone)]
pub struct Disk {
    run: Arc<dyn Fn(Op<'_>) -> io::Result<Done> + Send + Sync>,
}

impl Disk {
    /// A folder that does what `run` does.
    pub fn new(run: impl Fn(Op<'_>) -> io::Result<Done> + Send + Sync + 'static) -> Self {
        Self { run: Arc::new(run) }
    }

    /// Carries out one operation.
    pub fn run(&self, op: Op<'_>) -> io::Result<Done> {
        (self.run)(op)
    }

    /// Names of all files.
    pub fn list(&self) -> io::Result<Vec<String>> {
        match self.run(Op::List)? {
            Done::Names(names) => Ok(names),
            _ => Ok(Vec::new()),
        }
    }

    /// A whole file.
    pub fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        match self.run(Op::Read(name))? {
            Done::Bytes(bytes) => Ok(bytes),
            _ => Ok(Vec::new()),
        }
    }

    /// A folder of the machine, made if it is not there. No other process may use it meanwhile.
    pub fn folder(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))?;
        lock.try_lock()?;
        Ok(Self::unlocked(path.to_owned(), Some(lock)))
    }

    /// A folder that is only read, also while a process uses it.
    pub fn read_only(path: &Path) -> Self {
        Self::unlocked(path.to_owned(), None)
    }

    fn unlocked(path: PathBuf, lock: Option<File>) -> Self {
        let open = Mutex::new(BTreeMap::new());
        Self::new(move |op| {
            let _held = &lock;
            let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
            on_folder(&path, &mut open, op)
        })
    }
}

/// The file that is locked while a process uses the folder.
pub const LOCK: &str = "lock";

fn on_folder(path: &Path, open: &mut BTreeMap<String, File>, op: Op<'_>) -> io::Result<Done> {
    match op {
        Op::List => return names(path).map(Done::Names),
        Op::Read(name) => return fs::read(path.join(name)).map(Done::Bytes),
        Op::Create(name) => {
            let file = File::create(path.join(name))?;
            open.insert(name.into(), file);
        }
        Op::Append(name, bytes) => opened(path, open, name)?.write_all(bytes)?,
        Op::Truncate(name, length) => {
            open.remove(name);
            let file = OpenOptions::new().write(true).open(path.join(name))?;
            file.set_len(length)?;
        }
        Op::Sync(name) => opened(path, open, name)?.sync_data()?,
        Op::Rename(from, to) => {
            open.remove(to);
            fs::rename(path.join(from), path.join(to))?;
            if let Some(file) = open.remove(from) {
                open.insert(to.into(), file);
            }
        }
        Op::Remove(name) => {
            open.remove(name);
            fs::remove_file(path.join(name))?;
        }
        Op::SyncFolder => File::open(path)?.sync_all()?,
    }
    Ok(Done::Nothing)
}

fn opened<'a>(
    path: &Path,
    open: &'a mut BTreeMap<String, File>,
    name: &str,
) -> io::Result<&'a mut File> {
    if !open.contains_key(name) {
        let file = OpenOptions::new().append(true).open(path.join(name))?;
        open.insert(name.into(), file);
    }
    open.get_mut(name)
        .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
}

fn names(path: &Path) -> io::Result<Vec<String>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(path)? {
        if let Ok(name) = entry?.file_name().into_string() {
            found.push(name);
        }
    }
    found.sort();
    Ok(found)
}
