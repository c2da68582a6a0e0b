//! The settings tree and members in the form in which requests use them: parsed once for each
//! change.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use anvil_world::document::{
    FleetDocument, ModelDocument, OrganisationDocument, ServiceDocument, TeamDocument, key_hash,
};
use anvil_world::prelude::*;

use crate::ledger_view::LedgerView;

/// A team with its id.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// The team's id.
    pub id: TeamId,
    /// The team's document.
    pub document: TeamDocument,
}

/// A document that this build can't parse, written by a newer build or in an older format. The last
/// readable text of it, if any, stays in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedDocument {
    /// Its path in the settings tree.
    pub path: TreePath,
    /// Why it could not be parsed.
    pub error: SettingsError,
}

/// The router's view of settings and members at one version. Requests read it without a lock.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Log position of this view; 0 while the router has no settings tree.
    pub version: LogIndex,
    /// Fleet-wide settings.
    pub fleet: FleetDocument,
    /// Models by name.
    pub models: BTreeMap<ModelId, Arc<ModelDocument>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Arc<ServiceDocument>>,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Arc<OrganisationDocument>>,
    /// Sidecars that accept work, by the service of their endpoint.
    pub endpoints: BTreeMap<ServiceId, Vec<Arc<Instance>>>,
    /// All sidecars that are not gone, by id. Runs on a leaving one are still read.
    pub sidecars: BTreeMap<InstanceId, Arc<Instance>>,
    /// Sidecars that the ledger has recently received no heartbeats from.
    pub unresponsive: BTreeSet<InstanceId>,
    /// Live routers by id; leaving ones are not included.
    pub routers: BTreeMap<InstanceId, Member>,
    teams_by_key: BTreeMap<Arc<str>, Arc<Team>>,
}

impl View {
    /// The team that this bearer key belongs to.
    pub fn team(&self, bearer: &[u8]) -> Option<Arc<Team>> {
        self.teams_by_key.get(&key_hash(bearer)).cloned()
    }

    /// A live router.
    pub fn router(&self, id: &InstanceId) -> Option<&Member> {
        self.routers.get(id)
    }

    /// Whether the router has no settings tree yet.
    pub fn is_empty(&self) -> bool {
        self.version == 0
    }
}

/// Builds views, and parses only documents whose revision changed.
#[derive(Debug, Default)]
pub struct ViewBuilder {
    parsed: BTreeMap<TreePath, (Revision, Document)>,
}

impl ViewBuilder {
    /// Builds the view of the replicated state, and lists the documents that could not be parsed.
    pub fn build(&mut self, ledger_view: &LedgerView) -> (View, Vec<SkippedDocument>) {
        let skipped = self.parse_changed(ledger_view);
        let mut view = View {
            version: ledger_view.version,
            ..View::default()
        };
        for (path, (_, document)) in &self.parsed {
            view.add_document(path, document);
        }
        for member in ledger_view.members.values() {
            view.add_member(member);
        }
        (view, skipped)
    }

    fn parse_changed(&mut self, ledger_view: &LedgerView) -> Vec<SkippedDocument> {
        let mut skipped = Vec::new();
        self.parsed
            .retain(|path, _| ledger_view.tree.contains_key(path));
        for (path, entry) in &ledger_view.tree {
            let known = self.parsed.get(path);
            if known.is_some_and(|(revision, _)| *revision == entry.revision) {
                continue;
            }
            match Document::check(path, &entry.text) {
                Ok(document) => {
                    self.parsed.insert(path.clone(), (entry.revision, document));
                }
                Err(error) => skipped.push(SkippedDocument {
                    path: path.clone(),
                    error,
                }),
            }
        }
        skipped
    }
}

impl View {
    fn add_document(&mut self, path: &TreePath, document: &Document) {
        match (path, document) {
            (TreePath::Fleet, Document::Fleet(fleet)) => self.fleet = fleet.clone(),
            (TreePath::Model(id), Document::Model(model)) => {
                self.models.insert(id.clone(), Arc::new(model.clone()));
            }
            (TreePath::Service(id), Document::Service(service)) => {
                self.services.insert(id.clone(), Arc::new(service.clone()));
            }
            (TreePath::Organisation(id), Document::Organisation(organisation)) => {
                self.organisations
                    .insert(id.clone(), Arc::new(organisation.clone()));
            }
            (TreePath::Team(id), Document::Team(document)) => self.add_team(id, document),
            _ => {}
        }
    }

    fn add_team(&mut self, id: &TeamId, document: &TeamDocument) {
        let team = Arc::new(Team {
            id: id.clone(),
            document: document.clone(),
        });
        for key in &document.keys {
            self.teams_by_key.insert(key.clone(), team.clone());
        }
    }

    fn add_member(&mut self, member: &Member) {
        if member.presence == Presence::Gone {
            return;
        }
        let instance = Arc::new(member.instance.clone());
        match instance.role {
            Role::Router if member.presence == Presence::Live => {
                self.routers.insert(instance.id.clone(), member.clone());
            }
            Role::Sidecar => self.add_sidecar(instance, member.presence),
            Role::Router | Role::Ledger | Role::Relay => {}
        }
    }

    fn add_sidecar(&mut self, instance: Arc<Instance>, presence: Presence) {
        self.sidecars.insert(instance.id.clone(), instance.clone());
        if presence == Presence::Silent {
            self.unresponsive.insert(instance.id.clone());
        }
        let Some(endpoint) = &instance.endpoint else {
            return;
        };
        if presence == Presence::Live {
            let service = endpoint.service.clone();
            self.endpoints.entry(service).or_default().push(instance);
        }
    }
}
