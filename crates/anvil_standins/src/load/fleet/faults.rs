//! Applies the beginnings and ends of a scenario's faults to the fleet.

use std::time::Duration;

use super::Fleet;
use crate::error::Error;
use crate::load::scenario::{Fault, FaultKind, Scenario};

/// A fault that begins or ends.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Change {
    pub at: Duration,
    fault: Fault,
    begins: bool,
}

/// All beginnings and ends of a scenario's faults, ordered by time.
pub(super) fn changes(scenario: &Scenario) -> Vec<Change> {
    let mut changes_by_time: Vec<_> = scenario
        .faults
        .iter()
        .flat_map(|fault| {
            [(fault.at, true), (fault.until, false)].map(|(at, begins)| Change {
                at,
                fault: fault.clone(),
                begins,
            })
        })
        .collect();
    changes_by_time.sort_by_key(|change| change.at);
    changes_by_time
}

impl Fleet {
    /// Applies the beginning or end of a fault. An index beyond the list is ignored.
    pub(super) async fn apply_change(&mut self, change: &Change) -> Result<(), Error> {
        let index = change.fault.index as usize;
        match change.fault.kind {
            FaultKind::Slow => {
                let factor = if change.begins {
                    change.fault.factor
                } else {
                    1
                };
                if let Some(endpoint) = self.endpoints.get(index) {
                    endpoint.set_slowdown(factor);
                }
                Ok(())
            }
            FaultKind::Failing => {
                if let Some(endpoint) = self.endpoints.get(index) {
                    endpoint.set_failing(change.begins);
                }
                Ok(())
            }
            FaultKind::EndpointLost => self.set_endpoint_lost(index, change.begins).await,
            FaultKind::RouterLost => self.set_router_lost(index, change.begins).await,
            FaultKind::LedgerLost => self.set_ledger_lost(index, change.begins).await,
            FaultKind::ZoneLost => self.set_zone_lost(index, change.begins).await,
        }
    }

    async fn set_endpoint_lost(&mut self, index: usize, lost: bool) -> Result<(), Error> {
        let (Some(endpoint), Some(sidecar)) =
            (self.endpoints.get_mut(index), self.sidecars.get_mut(index))
        else {
            return Ok(());
        };
        if lost {
            sidecar.kill().await;
            endpoint.stop().await;
            return Ok(());
        }
        endpoint.restart().await?;
        sidecar.restart()
    }

    async fn set_router_lost(&mut self, index: usize, lost: bool) -> Result<(), Error> {
        match self.routers.get_mut(index) {
            Some(router) if lost => {
                router.kill().await;
                Ok(())
            }
            Some(router) => router.restart(),
            None => Ok(()),
        }
    }

    async fn set_ledger_lost(&mut self, index: usize, lost: bool) -> Result<(), Error> {
        match self.ledgers.get_mut(index) {
            Some(ledger) if lost => {
                ledger.kill().await;
                Ok(())
            }
            Some(ledger) => ledger.restart(),
            None => Ok(()),
        }
    }

    /// Applies the loss or the return of a zone. Instances are assigned to the zones in turn.
    async fn set_zone_lost(&mut self, zone: usize, lost: bool) -> Result<(), Error> {
        let zones = self.scenario.fleet.zones.len();
        for index in (zone..self.endpoints.len()).step_by(zones) {
            self.set_endpoint_lost(index, lost).await?;
        }
        for index in (zone..self.routers.len()).step_by(zones) {
            self.set_router_lost(index, lost).await?;
        }
        for index in (zone..self.ledgers.len()).step_by(zones) {
            self.set_ledger_lost(index, lost).await?;
        }
        Ok(())
    }
}
