//! Validates settings files without sending them.

use std::path::Path;

use anvil_world::prelude::*;
use anvil_world::settings::{LedgerSettings, RouterSettings, SidecarSettings, parse_settings};
use anvilreel::operator::OperatorError;

/// Keys that only the settings of one kind of process have.
const SIDECAR_KEY: &str = "endpoint";
const LEDGER_KEY: &str = "data";

/// Validates one file: as a document if its path is given, otherwise as settings of a process.
/// Returns what it was validated as.
pub(super) fn check(file: &Path, document: Option<&str>) -> Result<&'static str, OperatorError> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|source| OperatorError::File {
        file: file.into(),
        source,
    })?;
    let checked = match document {
        Some(path) => {
            let path = TreePath::try_from(path);
            let path = path.map_err(|source| OperatorError::Path { source })?;
            Document::check(&path, &text).map(|_| "document")
        }
        None => check_process(&file.display().to_string(), &text),
    };
    checked.map_err(|source| OperatorError::Settings { source })
}

fn check_process(name: &str, text: &str) -> Result<&'static str, SettingsError> {
    let table: toml::Table = toml::from_str(text).unwrap_or_default();
    if table.contains_key(SIDECAR_KEY) {
        return parse_settings::<SidecarSettings>(name, text).map(|_| "sidecar");
    }
    if table.contains_key(LEDGER_KEY) {
        return parse_settings::<LedgerSettings>(name, text).map(|_| "ledger");
    }
    parse_settings::<RouterSettings>(name, text).map(|_| "router")
}
