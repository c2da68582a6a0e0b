//! The common types, for a glob import.

pub use crate::command::{Answer, Command};
pub use crate::contract::{Budget, ContractError, Grant, GrantState, Price, Split, Usage};
pub use crate::document::Document;
pub use crate::ids::*;
pub use crate::instance::{Endpoint, Instance, Member, Presence, Role};
pub use crate::link::Link;
pub use crate::name::{NameError, checked_name};
pub use crate::outcome::{Malformed, Outcome, Reason, Refusal, RequestKey, UnknownCause};
pub use crate::path::TreePath;
pub use crate::recorded_versions::RecordedVersions;
pub use crate::settings::SettingsError;
pub use crate::share::{ShareFactor, ShareTarget, Shares};
pub use crate::suspect::SuspectContent;
pub use crate::tree::TreeEntry;
pub use crate::zone::Zone;
