//! A daemon as a child process.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use snafu::ResultExt;
use tokio::process::{Child, Command};

use crate::error::{Error, FileSnafu};

/// A daemon process; it is killed on drop.
pub struct Process {
    /// Name of the process.
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a program with its settings file; its output is appended to a log beside that file.
    pub fn start(program: &Path, name: &str, settings: &Path) -> Result<Self, Error> {
        let mut process = Self {
            name: name.into(),
            program: program.into(),
            settings: settings.into(),
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process, unless it is running.
    pub fn restart(&mut self) -> Result<(), Error> {
        if self.child.is_some() {
            return Ok(());
        }
        let path = self.settings.with_extension("log");
        let log = File::options().append(true).create(true).open(&path);
        let log = log.context(FileSnafu { path: &path })?;
        let stderr_log = log.try_clone().context(FileSnafu { path: &path })?;
        let path = &self.program;
        let child = Command::new(path)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(stderr_log)
            .kill_on_drop(true)
            .spawn();
        self.child = Some(child.context(FileSnafu { path })?);
        Ok(())
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only when the process has ended already.
            let _ = child.kill().await;
        }
    }

    /// The process id, while the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }
}
