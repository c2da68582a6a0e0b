//! The settings tree: compare-and-set on each document, by revision.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvil_world::command::{Change, Denial, Edit, EntityKind, ReplaceRouting};
use anvil_world::prelude::*;
use anvil_world::settings::Problem;
use serde::{Deserialize, Serialize};

use super::operator_change::{AppliedChange, OperatorChange};
use super::references::References;
use super::{ChangedItem, InvariantError, State};

/// Documents by path. Only a change of its own path changes a document's bytes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Tree {
    entries: BTreeMap<TreePath, TreeEntry>,
    references: References,
}

impl Tree {
    pub(super) fn entries(&self) -> &BTreeMap<TreePath, TreeEntry> {
        &self.entries
    }

    /// Refuses a change whose expected revision is not the current one. If two operators read the
    /// same revision and both wrote, the later one would silently undo the earlier one. The answer
    /// contains the current operator and text.
    fn check_revision(&self, change: &Change) -> Result<(), Denial> {
        let current = self.entries.get(&change.path);
        let revision = current.map_or(0, |entry| entry.revision);
        if revision == change.expected {
            return Ok(());
        }
        Err(Denial::Conflict {
            path: change.path.clone(),
            expected: change.expected,
            current: revision,
            operator: current.map_or_else(|| "nobody".into(), |entry| entry.operator.clone()),
            text: current.map_or_else(|| "".into(), |entry| entry.text.clone()),
        })
    }

    fn document(&self, path: &TreePath) -> Option<Document> {
        let entry = self.entries.get(path)?;
        Document::check(path, &entry.text).ok()
    }

    fn put(
        &mut self,
        index: LogIndex,
        change: &Change,
        text: &Arc<str>,
    ) -> Result<Document, Denial> {
        let path = &change.path;
        let document = Document::check(path, text).map_err(|e| Denial::Settings {
            message: e.to_string(),
        })?;
        let has = |path: &TreePath| self.entries.contains_key(path);
        self.references.check_put(path, &document, has)?;
        if let Some(old) = self.document(path) {
            self.references.remove(path, &old);
        }
        self.references.add(path, &document);
        let entry = TreeEntry {
            revision: index,
            text: text.clone(),
            operator: change.operator.clone(),
        };
        self.entries.insert(path.clone(), entry);
        Ok(document)
    }

    pub(super) fn put_routing(&mut self, index: LogIndex, new: &ReplaceRouting) {
        let entry = TreeEntry {
            revision: index,
            text: new.text.clone(),
            operator: new.operator.clone(),
        };
        self.entries.insert(TreePath::Routing, entry);
    }

    fn remove(&mut self, path: &TreePath) -> Result<(), Denial> {
        self.references.check_remove(path)?;
        if let Some(old) = self.document(path) {
            self.references.remove(path, &old);
        }
        let old_entry = self.entries.remove(path);
        old_entry.map(drop).ok_or_else(|| Denial::Unknown {
            what: EntityKind::Path,
            name: path.to_string(),
        })
    }
}

impl State {
    pub(super) fn change(&mut self, index: LogIndex, change: &Change) -> Result<Answer, Denial> {
        let content = content(change);
        let operator_change = OperatorChange {
            id: &change.id,
            operator: &change.operator,
            at: change.at,
            content: &content,
        };
        self.apply_once(&operator_change, |state| {
            state.compare_and_set(index, change)
        })
    }

    fn compare_and_set(
        &mut self,
        index: LogIndex,
        change: &Change,
    ) -> Result<AppliedChange, Denial> {
        if change.path == TreePath::Routing {
            let message =
                "routing: found a change by revision; allowed is a replacement by version";
            return Err(Denial::Settings {
                message: message.into(),
            });
        }
        self.tree.check_revision(change)?;
        let before = self.tree.entries.get(&change.path).cloned();
        let after = self.edit(index, change)?;
        self.check_revision_rises(index, &change.path, before.as_ref());
        let changed_item = ChangedItem::Document(change.path.clone());
        self.recent_changes.record_at(index, changed_item);
        Ok(AppliedChange {
            subject: change.path.to_string(),
            revision: index,
            before: before.map(|entry| entry.text),
            after,
        })
    }

    /// Applies a change whose revision was checked. Returns the new text.
    fn edit(&mut self, index: LogIndex, change: &Change) -> Result<Option<Arc<str>>, Denial> {
        match &change.edit {
            Edit::Put(text) => {
                let document = self.tree.put(index, change, text)?;
                self.apply_document(&change.path, &document);
                Ok(Some(text.clone()))
            }
            Edit::Remove => {
                self.check_budget_spent(&change.path)?;
                self.tree.remove(&change.path)?;
                Ok(None)
            }
        }
    }

    /// Updates the parts of the state that depend on a document.
    fn apply_document(&mut self, path: &TreePath, document: &Document) {
        match (path, document) {
            (TreePath::Budget(id), _) => self.money.ensure_budget(id),
            (_, Document::Fleet(fleet)) => self.claims.set_keep(fleet.keep_claims),
            _ => {}
        }
    }

    /// Refuses to remove a budget that still has tokens.
    fn check_budget_spent(&self, path: &TreePath) -> Result<(), Denial> {
        let TreePath::Budget(id) = path else {
            return Ok(());
        };
        let budget = self.budget(id);
        let unspent = budget.map_or(0, |budget| budget.left() + budget.outstanding());
        if unspent == 0 {
            return Ok(());
        }
        let found = format!("{unspent} tokens not spent");
        Err(Denial::Reference {
            path: path.clone(),
            problem: Problem::new("remove", found, "a budget that is spent"),
        })
    }

    /// Revisions are log positions, so they can only rise; anything else means a faulty log.
    fn check_revision_rises(
        &mut self,
        index: LogIndex,
        path: &TreePath,
        before: Option<&TreeEntry>,
    ) {
        let old = before.map_or(0, |entry| entry.revision);
        if old >= index {
            self.record_violation(InvariantError::Revision {
                path: path.clone(),
                old,
                new: index,
            });
        }
    }
}

/// The content of a change without its id and time.
fn content(change: &Change) -> Vec<u8> {
    let head = format!("{} {} ", change.path, change.expected);
    let edit = match &change.edit {
        Edit::Put(text) => format!("put {text}"),
        Edit::Remove => "remove".into(),
    };
    [head, edit].concat().into_bytes()
}
