//! The settings tree as it is kept and spread.

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
    /// Who wrote it.
    pub operator: OperatorId,
}
