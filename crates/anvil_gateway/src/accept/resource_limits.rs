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

/// A link of this speed or more isn't watched: one process can't fill it.
const WIDE_LINK: BytesPerSecond = 62_500_000;

impl ResourceLimits {
    /// The link, if data can fill it; `None`: nothing is paced or rejected because of it.
    pub fn narrow_link(&self) -> Option<BytesPerSecond> {
        self.link.filter(|link| *link < WIDE_LINK)
    }

    /// The stated number of descriptors, or the process's own limit if that is lower.
    pub fn descriptors_to_open(&self) -> Option<u32> {
        let stated = self.descriptors?;
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.and_then(|allowed| u32::try_from(allowed).ok());
        Some(allowed.map_or(stated, |allowed| allowed.min(stated)))
    }
}
