//! The operations on a data folder, behind a closure so that tests can replace or fail each one.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

/// One operation on a folder. Files are named without a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op<'a> {
    /// Lists the names of all files.
    List,
    /// Reads a whole file.
    Read(&'a str),
    /// Creates an empty file, in place of an older one.
    Create(&'a str),
    /// Appends to a file.
    Append(&'a str, &'a [u8]),
    /// Truncates a file to a length, in bytes.
    Truncate(&'a str, u64),
    /// Returns once the file's bytes are durable.
    Sync(&'a str),
    /// Renames a file, in place of an older one.
    Rename(&'a str, &'a str),
    /// Removes a file.
    Remove(&'a str),
    /// Returns once the folder's directory entries are durable.
    SyncFolder,
}

/// Output of an operation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum OpOutput {
    /// For operations without output.
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
    run: Arc<dyn Fn(Op<'_>) -> io::Result<OpOutput> + Send + Sync>,
}

impl Disk {
    /// A folder whose operations `run` carries out.
    pub fn new(run: impl Fn(Op<'_>) -> io::Result<OpOutput> + Send + Sync + 'static) -> Self {
        Self { run: Arc::new(run) }
    }

    /// Carries out one operation.
    pub fn run(&self, op: Op<'_>) -> io::Result<OpOutput> {
        (self.run)(op)
    }

    /// Lists the names of all files.
    pub fn list(&self) -> io::Result<Vec<String>> {
        match self.run(Op::List)? {
            OpOutput::Names(names) => Ok(names),
            _ => Ok(Vec::new()),
        }
    }

    /// Reads a whole file.
    pub fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        match self.run(Op::Read(name))? {
            OpOutput::Bytes(bytes) => Ok(bytes),
            _ => Ok(Vec::new()),
        }
    }

    /// A folder of the file system, created if missing and locked against other processes.
    pub fn folder(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))?;
        lock.try_lock()?;
        Ok(Self::with_lock(path.to_owned(), Some(lock)))
    }

    /// A folder that is only read, and may be in use by another process.
    pub fn read_only(path: &Path) -> Self {
        Self::with_lock(path.to_owned(), None)
    }

    fn with_lock(path: PathBuf, lock: Option<File>) -> Self {
        let open = Mutex::new(BTreeMap::new());
        Self::new(move |op| {
            let _held = &lock;
            let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
            run_on_folder(&path, &mut open, op)
        })
    }
}

/// The file that is locked while a process uses the folder.
pub const LOCK: &str = "lock";

fn run_on_folder(
    path: &Path,
    open: &mut BTreeMap<String, File>,
    op: Op<'_>,
) -> io::Result<OpOutput> {
    match op {
        Op::List => return file_names(path).map(OpOutput::Names),
        Op::Read(name) => return fs::read(path.join(name)).map(OpOutput::Bytes),
        Op::Create(name) => {
            let file = File::create(path.join(name))?;
            open.insert(name.into(), file);
        }
        Op::Append(name, bytes) => open_file(path, open, name)?.write_all(bytes)?,
        Op::Truncate(name, length) => {
            open.remove(name);
            let file = OpenOptions::new().write(true).open(path.join(name))?;
            file.set_len(length)?;
        }
        Op::Sync(name) => open_file(path, open, name)?.sync_data()?,
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
    Ok(OpOutput::Nothing)
}

fn open_file<'a>(
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

fn file_names(path: &Path) -> io::Result<Vec<String>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(path)? {
        if let Ok(name) = entry?.file_name().into_string() {
            found.push(name);
        }
    }
    found.sort();
    Ok(found)
}
