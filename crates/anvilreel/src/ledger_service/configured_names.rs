//! Names in the routing table, whose text only the platform's adapter can read.

use std::collections::BTreeSet;

use anvil_ledger::state::State;
use anvil_world::prelude::*;

/// Names of a routing table to which an operator's order may refer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfiguredNames {
    /// Organisations.
    pub organisations: BTreeSet<OrganisationId>,
    /// Routes.
    pub routes: BTreeSet<RouteName>,
}

impl ConfiguredNames {
    /// Whether the table has this organisation or route.
    pub fn contains(&self, target: &ShareTarget) -> bool {
        match target {
            ShareTarget::Organisation(name) => self.organisations.contains(name),
            ShareTarget::Route(name) => self.routes.contains(name),
        }
    }
}

/// Reads the names in the text of a routing table; `None` if it can't be read.
pub type ParseNames = fn(&str) -> Option<ConfiguredNames>;

/// The names in the routing table in force. Reading a table of megabytes takes milliseconds in
/// which the replica does nothing else, so each revision is read once, and only if there are shares
/// or orders.
#[derive(Default)]
pub(super) struct NamesInForce {
    revision: Revision,
    names: Option<ConfiguredNames>,
}

impl NamesInForce {
    /// The names in the table in force; `None` without a table, or if it can't be read.
    pub(super) fn get(
        &mut self,
        state: &State,
        parse: Option<ParseNames>,
    ) -> Option<&ConfiguredNames> {
        let entry = state.tree().get(&TreePath::Routing)?;
        if self.revision != entry.revision {
            self.revision = entry.revision;
            self.names = parse.and_then(|parse| parse(&entry.text));
        }
        self.names.as_ref()
    }
}
