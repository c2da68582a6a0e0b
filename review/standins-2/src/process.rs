//! Processes of the system, started with the commands of the deploy file.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};

/// Ids of the processes that run, so that all are ended with the case.
static RUNNING: Mutex<BTreeMap<u32, ()>> = Mutex::new(BTreeMap::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize) -> i32;
}

/// `PR_SET_PDEATHSIG` of Linux.
const PARENT_DEATH_SIGNAL: i32 = 1;

/// A signal.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    /// The settings file has changed.
    Hup = 1,
    /// Ends the process at once.
    Kill = 9,
    /// Asks for a planned stop.
    Term = 15,
}

/// A running process.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a `run` line of the deploy file in the current folder, the repository's root.
    pub fn start(run: &str, settings: &Path, log: &Path) -> io::Result<Self> {
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command
            .args(words)
            .env_clear()
            .env("ANVILREEL_SETTINGS", settings)
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        // SAFETY: a single system call. The process ends with this one, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, Signal::Kill as usize);
                Ok(())
            });
        }
        let child = command.spawn()?;
        running().insert(child.id(), ());
        Ok(Self { child })
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        send(self.child.id(), signal);
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)) | Err(_));
        if ended {
            running().remove(&self.child.id());
        }
        ended
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::Kill);
        // It was started here, so it can be waited for.
        let _ = self.child.wait();
        running().remove(&self.child.id());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.has_ended() {
            self.kill();
        }
    }
}

/// Kills all processes that were started and have not ended.
pub fn kill_all() {
    for pid in running().keys() {
        send(*pid, Signal::Kill);
    }
}

fn send(pid: u32, signal: Signal) {
    if let Ok(pid) = i32::try_from(pid) {
        // SAFETY: sends a signal to a child that has not been waited for.
        unsafe { kill(pid, signal as i32) };
    }
}

fn running() -> std::sync::MutexGuard<'static, BTreeMap<u32, ()>> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}
