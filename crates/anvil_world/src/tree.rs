//! The entries of the settings tree, as the ledger stores and distributes them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{OperatorId, Revision};

/// One document of the tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeEntry {
    /// Log position of the change that wrote it.
    pub revision: Revision,
    /// The operator's text, byte for byte.
    pub text: Arc<str>,
    /// The operator who wrote it.
    pub operator: OperatorId,
}
