//! One daemon as a process.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use snafu::ResultExt;
use tokio::process::{Child, Command};

use crate::error::{Error, FileSnafu};

/// A daemon that is killed when it is dropped.
pub struct Process {
    /// Its name.
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a program with its settings file; what it writes goes beside that file.
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

    /// Starts it again, unless it runs.
    pub fn restart(&mut self) -> Result<(), Error> {
        if self.child.is_some() {
            return Ok(());
        }
        let path = self.settings.with_extension("log");
        let log = File::options().append(true).create(true).open(&path);
        let log = log.context(FileSnafu { path: &path })?;
        let errors = log.try_clone().context(FileSnafu { path: &path })?;
        let path = &self.program;
        let child = Command::new(path)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn();
        self.child = Some(child.context(FileSnafu { path })?);
        Ok(())
    }

    /// Kills it as hard as a lost instance.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only when it has ended by itself.
            let _ = child.kill().await;
        }
    }

    /// Its number, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }
}
