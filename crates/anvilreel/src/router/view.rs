//! The settings tree as the path of a request reads it: parsed once for each change.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use anvil_world::document::{
    FleetDocument, ModelDocument, OrganisationDocument, ServiceDocument, TeamDocument, key_hash,
};
use anvil_world::prelude::*;

use crate::held::Held;

/// A team with its name.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Its name.
    pub id: TeamId,
    /// Its document.
    pub document: TeamDocument,
}

/// A document that this build can't read, which an older view keeps or a newer build wrote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Skipped {
    /// Where it stands.
    pub path: TreePath,
    /// What is wrong.
    pub error: SettingsError,
}

/// What a router knows, fixed at one version. Requests read it without a lock.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Log position it stands for; 0 while the router has no tree.
    pub version: LogIndex,
    /// What holds for the whole fleet.
    pub fleet: FleetDocument,
    /// Models by name.
    pub models: BTreeMap<ModelId, Arc<ModelDocument>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Arc<ServiceDocument>>,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Arc<OrganisationDocument>>,
    /// Sidecars that take work, by the service of their endpoint.
    pub endpoints: BTreeMap<ServiceId, Vec<Arc<Instance>>>,
    /// All sidecars that are not gone, by name: runs on a leaving one are still read.
    pub sidecars: BTreeMap<InstanceId, Arc<Instance>>,
    /// Sidecars that the ledger has not heard of lately.
    pub silent: BTreeSet<InstanceId>,
    /// Routers that are not leaving, by name.
    pub routers: BTreeMap<InstanceId, Member>,
    teams_by_key: BTreeMap<Arc<str>, Arc<Team>>,
}

impl View {
    /// The team that this bearer key belongs to.
    pub fn team(&self, bearer: &[u8]) -> Option<Arc<Team>> {
        self.teams_by_key.get(&key_hash(bearer)).cloned()
    }

    /// A router that is not leaving.
    pub fn router(&self, id: &InstanceId) -> Option<&Member> {
        self.routers.get(id)
    }

    /// Whether the router has a tree to serve on.
    pub fn is_empty(&self) -> bool {
        self.version == 0
    }
}

/// Makes views, and reads only documents whose revision changed.
#[derive(Debug, Default)]
pub struct ViewMaker {
    read: BTreeMap<TreePath, (Revision, Document)>,
}

impl ViewMaker {
    /// The view of what is held, and the documents that were left at their last readable text.
    pub fn make(&mut self, held: &Held) -> (View, Vec<Skipped>) {
        let skipped = self.read_changed(held);
        let mut view = View {
            version: held.version,
            ..View::default()
        };
        for (path, (_, document)) in &self.read {
            view.take_document(path, document);
        }
        for member in held.members.values() {
            view.take_member(member);
        }
        (view, skipped)
    }

    fn read_changed(&mut self, held: &Held) -> Vec<Skipped> {
        let mut skipped = Vec::new();
        self.read.retain(|path, _| held.tree.contains_key(path));
        for (path, entry) in &held.tree {
            let known = self.read.get(path);
            if known.is_some_and(|(revision, _)| *revision == entry.revision) {
                continue;
            }
            match Document::check(path, &entry.text) {
                Ok(document) => {
                    self.read.insert(path.clone(), (entry.revision, document));
                }
                Err(error) => skipped.push(Skipped {
                    path: path.clone(),
                    error,
                }),
            }
        }
        skipped
    }
}

impl View {
    fn take_document(&mut self, path: &TreePath, document: &Document) {
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
            (TreePath::Team(id), Document::Team(document)) => self.take_team(id, document),
            _ => {}
        }
    }

    fn take_team(&mut self, id: &TeamId, document: &TeamDocument) {
        let team = Arc::new(Team {
            id: id.clone(),
            document: document.clone(),
        });
        for key in &document.keys {
            self.teams_by_key.insert(key.clone(), team.clone());
        }
    }

    fn take_member(&mut self, member: &Member) {
        if member.presence == Presence::Gone {
            return;
        }
        let instance = Arc::new(member.instance.clone());
        match instance.role {
            Role::Router if member.presence == Presence::Live => {
                self.routers.insert(instance.id.clone(), member.clone());
            }
            Role::Sidecar => self.take_sidecar(instance, member.presence),
            Role::Router | Role::Ledger | Role::Relay => {}
        }
    }

    fn take_sidecar(&mut self, instance: Arc<Instance>, presence: Presence) {
        self.sidecars.insert(instance.id.clone(), instance.clone());
        if presence == Presence::Silent {
            self.silent.insert(instance.id.clone());
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
