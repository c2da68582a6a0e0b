//! The settings documents of a scenario and its prepaid budgets.

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

use super::{Charged, Credited, Fleet, POLL_INTERVAL, START_TIMEOUT};
use crate::error::{Error, FileSnafu, JsonSnafu};
use crate::load::scenario::Scenario;

/// Name of an organisation, and of its team and budget.
pub(super) fn organisation_name(index: u32) -> String {
    format!("organisation-{index}")
}

/// Bearer key of each organisation's team.
pub(super) fn bearer_keys(scenario: &Scenario) -> Vec<String> {
    let organisations = 0..scenario.callers.organisations;
    organisations.map(|index| format!("key-{index}")).collect()
}

impl Fleet {
    /// Writes the settings tree and the budgets to the ledger, with the operators' client.
    pub(super) async fn write_documents(&self) -> Result<(), Error> {
        let tree = self.folder.join("tree");
        write(&tree, "fleet", "")?;
        for (path, text) in settings_documents(&self.scenario) {
            write(&tree, &path, &text)?;
        }
        let mut apply = self.operator_command();
        self.run_until_success(apply.arg("apply").arg(&tree))
            .await?;
        for index in 0..self.scenario.callers.organisations {
            let name = organisation_name(index);
            let amount = self.scenario.callers.budget.to_string();
            let mut top_up = self.operator_command();
            let top_up = top_up.args(["top-up", &name, &amount]);
            let id = change_id(SystemTime::now(), &format!("load-{name}"));
            self.run_until_success(top_up.args(["--id", &id])).await?;
        }
        Ok(())
    }

    /// Credited and charged tokens of each budget.
    pub(super) async fn budgets(&self) -> Result<BTreeMap<String, (Credited, Charged)>, Error> {
        let mut command = self.operator_command();
        command.arg("budget");
        let text = self.run_until_success(&mut command).await?;
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

    /// Runs the operators' client until it reports success. A change keeps its id, so that a
    /// retry does not apply it twice.
    async fn run_until_success(&self, command: &mut Command) -> Result<Vec<u8>, Error> {
        let deadline = Instant::now() + START_TIMEOUT;
        let path = &self.programs.join("anvilreel");
        loop {
            let output = command.output().await.context(FileSnafu { path })?;
            // Status 6: not in force everywhere yet. That suffices, because the start of the fleet
            // waits for the routers.
            if matches!(output.status.code(), Some(0 | 6)) {
                return Ok(output.stdout);
            }
            if Instant::now() > deadline {
                return Err(Error::Operator {
                    stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

fn settings_documents(scenario: &Scenario) -> BTreeMap<String, String> {
    let mut documents = BTreeMap::new();
    for group in &scenario.endpoints {
        let service = &group.service;
        let kind = match group.kind {
            EndpointKind::Engine => "models",
            EndpointKind::Plain => "plain",
        };
        documents.insert(
            format!("services/{service}"),
            format!("kind = \"{kind}\"\n"),
        );
        for model in &group.models {
            let text = format!("service = \"{service}\"\nreplicas = {}\n", group.count);
            documents.insert(format!("models/{model}"), text);
        }
    }
    for (index, key) in bearer_keys(scenario).iter().enumerate() {
        let name = organisation_name(u32::try_from(index).unwrap_or(u32::MAX));
        documents.insert(format!("organisations/{name}"), String::new());
        documents.insert(
            format!("budgets/{name}"),
            format!("organisation = \"{name}\"\n"),
        );
        documents.insert(format!("teams/{name}"), team_document(&name, key));
    }
    documents
}

fn team_document(name: &str, key: &str) -> String {
    let mut text = String::new();
    let hash = key_hash(key.as_bytes());
    // Writing to a `String` can't fail.
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
