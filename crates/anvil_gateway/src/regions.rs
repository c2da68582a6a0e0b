//! Regions in which the requests of a route or an organisation may run.

use std::collections::BTreeSet;

use anvil_world::prelude::*;

use crate::directory::EndpointGroup;
use crate::gateway::Gateway;
use crate::suspects::RequestContents;

/// Regions in which a request may run; all of them by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<BTreeSet<RegionId>>);

impl AllowedRegions {
    /// Only these regions, or all of them if none is named.
    pub fn only(regions: impl IntoIterator<Item = RegionId>) -> Self {
        let regions: BTreeSet<_> = regions.into_iter().collect();
        Self((!regions.is_empty()).then_some(regions))
    }

    /// The regions that both allow; may be none.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(own), Some(others)) => Self(Some(own & others)),
            (own, others) => Self(own.as_ref().or(others.as_ref()).cloned()),
        }
    }

    /// Whether a request may run there; `None` stands for an unknown region.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        match (&self.0, region) {
            (None, _) => true,
            (Some(allowed), Some(region)) => allowed.contains(region),
            (Some(_), None) => false,
        }
    }
}

/// Which endpoints of its service a request may be sent to.
#[derive(Debug, Clone, Copy)]
pub struct Constraints<'a> {
    /// Endpoints that were tried already.
    pub tried: &'a [InstanceId],
    /// Where it may run.
    pub regions: &'a AllowedRegions,
    /// The software version that began its stream; `None` if any may run it.
    pub version: Option<&'a SoftwareVersion>,
    /// Versions at which it may not run.
    pub avoided: &'a [SoftwareVersion],
    /// What the request consists of; `None` if no quarantine matters.
    pub contents: Option<RequestContents<'a>>,
}

impl Gateway {
    /// The endpoints of a service that accept requests and satisfy the constraints.
    pub fn available_endpoints(
        &self,
        service: &str,
        constraints: Constraints<'_>,
    ) -> EndpointGroup {
        let mut available = self.directory.available(service, constraints.tried);
        self.retain_allowed(&mut available, constraints.regions);
        let barred = constraints
            .contents
            .map(|contents| self.barred_scopes(&available, contents))
            .unwrap_or_default();
        available.retain(|endpoint| {
            let version = &endpoint.version;
            let is_avoided = constraints.avoided.contains(version);
            let is_barred = barred.contains_key(&endpoint.content_scope);
            !is_avoided && !is_barred && constraints.version.is_none_or(|bound| bound == version)
        });
        available
    }

    /// Whether a service has endpoints, but none in these regions.
    pub fn is_outside(&self, service: &str, regions: &AllowedRegions) -> bool {
        let mut endpoints = self.directory.service_endpoints(service);
        let exist = !endpoints.is_empty();
        self.retain_allowed(&mut endpoints, regions);
        exist && endpoints.is_empty()
    }

    fn retain_allowed(&self, endpoints: &mut EndpointGroup, regions: &AllowedRegions) {
        endpoints.retain(|endpoint| {
            let region = self.cfg.regions_by_zone.get(&endpoint.zone);
            regions.allows(region)
        });
    }
}
