//! References between documents.
//!
//! They are kept as a graph, so that a change is checked without reading the whole tree.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use anvil_world::command::Denial;
use anvil_world::prelude::*;
use anvil_world::settings::Problem;
use serde::{Deserialize, Serialize};

/// For each document those that reference it, and for each bearer key the team that owns it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct References {
    named_by: BTreeMap<TreePath, BTreeSet<TreePath>>,
    key_owner: BTreeMap<Arc<str>, TreePath>,
}

impl References {
    /// Checks that all documents referenced by a document exist, and that no other document owns
    /// its bearer keys.
    pub(super) fn check_put(
        &self,
        path: &TreePath,
        document: &Document,
        has: impl Fn(&TreePath) -> bool,
    ) -> Result<(), Denial> {
        for (key, referenced) in referenced(document) {
            if !has(&referenced) {
                let found = referenced.to_string();
                return Err(reference_error(
                    path,
                    Problem::new(key, found, "a document that exists"),
                ));
            }
        }
        for key in keys(document) {
            // Two teams with one key could not be told apart, so one would be charged for the
            // other.
            let owner = self.key_owner.get(key);
            if let Some(owner) = owner.filter(|owner| *owner != path) {
                let found = format!("a key of {owner}");
                return Err(reference_error(
                    path,
                    Problem::new("keys", found, "a key of its own"),
                ));
            }
        }
        Ok(())
    }

    /// Refuses to remove a document that others reference.
    pub(super) fn check_remove(&self, path: &TreePath) -> Result<(), Denial> {
        let Some(first) = self.named_by.get(path).and_then(BTreeSet::first) else {
            return Ok(());
        };
        let found = format!("named by {first}");
        let problem = Problem::new("remove", found, "a document that no other names");
        Err(reference_error(path, problem))
    }

    pub(super) fn add(&mut self, path: &TreePath, document: &Document) {
        for (_, referenced) in referenced(document) {
            let by = self.named_by.entry(referenced).or_default();
            by.insert(path.clone());
        }
        for key in keys(document) {
            self.key_owner.insert(key.clone(), path.clone());
        }
    }

    pub(super) fn remove(&mut self, path: &TreePath, document: &Document) {
        for (_, referenced) in referenced(document) {
            if let Some(by) = self.named_by.get_mut(&referenced) {
                by.remove(path);
                if by.is_empty() {
                    self.named_by.remove(&referenced);
                }
            }
        }
        for key in keys(document) {
            self.key_owner.remove(key);
        }
    }
}

fn reference_error(path: &TreePath, problem: Problem) -> Denial {
    Denial::Reference {
        path: path.clone(),
        problem,
    }
}

/// The documents that a document references, each with the settings key of the reference.
fn referenced(document: &Document) -> Vec<(&'static str, TreePath)> {
    match document {
        Document::Fleet(_)
        | Document::Routing
        | Document::Organisation(_)
        | Document::Service(_)
        | Document::Zone(_) => Vec::new(),
        Document::Budget(budget) => {
            let organisation = TreePath::Organisation(budget.organisation.clone());
            vec![("organisation", organisation)]
        }
        Document::Model(model) => vec![("service", TreePath::Service(model.service.clone()))],
        Document::Team(team) => {
            let organisation = TreePath::Organisation(team.organisation.clone());
            let budgets = team.split.budgets().cloned().map(TreePath::Budget);
            let models = team.models.iter().cloned().map(TreePath::Model);
            let services = team.services.iter().cloned().map(TreePath::Service);
            let mut found = vec![("organisation", organisation)];
            found.extend(budgets.map(|path| ("split", path)));
            found.extend(models.map(|path| ("models", path)));
            found.extend(services.map(|path| ("services", path)));
            found
        }
    }
}

fn keys(document: &Document) -> impl Iterator<Item = &Arc<str>> {
    let team = match document {
        Document::Team(team) => Some(team),
        _ => None,
    };
    team.into_iter().flat_map(|team| &team.keys)
}
