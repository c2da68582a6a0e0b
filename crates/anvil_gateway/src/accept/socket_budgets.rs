//! What the sockets of clients and endpoints share.

use std::sync::Arc;

use super::descriptor_budget::DescriptorBudget;
use super::resource_limits::ResourceLimits;
use crate::send::link_budget::LinkBudget;

/// The budgets that all sockets of clients and endpoints use up.
#[derive(Debug, Clone)]
pub struct SocketBudgets {
    /// The link.
    pub link: Arc<LinkBudget>,
    /// Descriptors.
    pub descriptors: Arc<DescriptorBudget>,
}

impl SocketBudgets {
    /// Budgets of a machine with these limits.
    pub fn new(limits: &ResourceLimits) -> Self {
        let descriptors = DescriptorBudget::new(limits.descriptors_to_open());
        Self {
            link: Arc::new(LinkBudget::new(limits.narrow_link())),
            descriptors: Arc::new(descriptors),
        }
    }
}
