//! The settings tree of a scenario, and its prepaid budgets.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::SystemTime;

use anvil_world::command::change_id;
use anvil_world::document::key_hash;
use anvil_world::settings::EndpointKind;
use serde_json::Value;
use snafu::ResultExt;
use tokio::process::Command;
use tokio::time::{Instant, sleep};

use super::{Billed, Credited, Fleet, LOOK, START_TIME};
use crate::error::{Error, FileSnafu, JsonSnafu};
use crate::load::scenario::Scenario;

/// Name of an organisation, of its team and of its budget.
pub(super) fn organisation(at: u32) -> String {
    format!("organisation-{at}")
}

/// Bearer key of each organisation's team.
pub(super) fn keys(scenario: &Scenario) -> Vec<String> {
    let organisations = 0..scenario.callers.organisations;
    organisations.map(|at| format!("key-{at}")).collect()
}

impl Fleet {
    /// Puts the tree and the budgets into the ledger, through the operators' client.
    pub(super) async fn write_documents(&self) -> Result<(), Error> {
        let tree = self.folder.join("tree");
        write(&tree, "fleet", "")?;
        for (path, text) in documents(&self.scenario) {
            write(&tree, &path, &text)?;
        }
        let mut apply = self.operator();
        self.until_done(apply.arg("apply").arg(&tree)).await?;
        for at in 0..self.scenario.callers.organisations {
            let name = organisation(at);
            let amount = self.scenario.callers.budget.to_string();
            let mut top_up = self.operator();
            let top_up = top_up.args(["top-up", &name, &amount]);
            let id = change_id(SystemTime::now(), &format!("load-{name}"));
            self.until_done(top_up.args(["--id", &id])).await?;
        }
        Ok(())
    }

    /// Credited and billed tokens of each budget.
    pub(super) async fn budgets(&self) -> Result<BTreeMap<String, (Credited, Billed)>, Error> {
        let mut command = self.operator();
        command.arg("budget");
        let text = self.until_done(&mut command).await?;
        let report: Value = serde_json::from_slice(&text).context(JsonSnafu)?;
        let lines = report.as_array().into_iter().flatten();
        Ok(lines
            .filter_map(|line| {
                let budget = &line["budget"];
                let amounts = (budget["credited"].as_u64()?, budget["billed"].as_u64()?);
                Some((line["id"].as_str()?.to_owned(), amounts))
            })
            .collect())
    }

    /// Runs the operators' client until it says that it is done. A change keeps its id, so a
    /// second try makes it once.
    async fn until_done(&self, command: &mut Command) -> Result<Vec<u8>, Error> {
        let end = Instant::now() + START_TIME;
        let path = &self.programs.join("anvilreel");
        loop {
            let output = command.output().await.context(FileSnafu { path })?;
            // Not in force everywhere yet is good enough here: routers are waited for.
            if matches!(output.status.code(), Some(0 | 6)) {
                return Ok(output.stdout);
            }
            if Instant::now() > end {
                return Err(Error::Operator {
                    stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
                });
            }
            sleep(LOOK).await;
        }
    }
}

fn documents(scenario: &Scenario) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    for group in &scenario.endpoints {
        let service = &group.service;
        let kind = match group.kind {
            EndpointKind::Engine => "models",
            EndpointKind::Plain => "plain",
        };
        found.insert(
            format!("services/{service}"),
            format!("kind = \"{kind}\"\n"),
        );
        for model in &group.models {
            let text = format!("service = \"{service}\"\nreplicas = {}\n", group.count);
            found.insert(format!("models/{model}"), text);
        }
    }
    for (at, key) in keys(scenario).iter().enumerate() {
        let name = organisation(u32::try_from(at).unwrap_or(u32::MAX));
        found.insert(format!("organisations/{name}"), String::new());
        found.insert(
            format!("budgets/{name}"),
            format!("organisation = \"{name}\"\n"),
        );
        found.insert(format!("teams/{name}"), team(&name, key));
    }
    found
}

fn team(name: &str, key: &str) -> String {
    let mut text = String::new();
    let hash = key_hash(key.as_bytes());
    // Writing to a `String` has no failure.
    let _ = write!(
        text,
        "organisation = \"{name}\"\nkeys = [\"{hash}\"]\n[split]\n\"{name}\" = 1\n"
    );
    text
}

fn write(tree: &Path, path: &str, text: &str) -> Result<(), Error> {
    let path = tree.join(path).with_extension("toml");
    let folder = path.parent().unwrap_or(tree);
    std::fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
    std::fs::write(&path, text).context(FileSnafu { path: &path })
}
