//! What the machine of this process provides, as far as the settings state it.

use anvil_policy::link_pacer::BytesPerSecond;
use rustix::process::{Resource, getrlimit};

/// Limits of the machine; `None`: not enforced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Speed of the link, each way.
    pub link: Option<BytesPerSecond>,
    /// File descriptors that the process may open.
    pub descriptors: Option<u32>,
    /// Memory, in bytes.
    pub memory: Option<u64>,
}

impl ResourceLimits {
    /// The stated number of descriptors, or the process's own limit if that is lower.
    pub fn descriptors_to_open(&self) -> Option<u32> {
        let stated = self.descriptors?;
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.and_then(|allowed| u32::try_from(allowed).ok());
        Some(allowed.map_or(stated, |allowed| allowed.min(stated)))
    }
}
