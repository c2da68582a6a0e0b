//! What breaks, and what comes back.

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

/// All beginnings and ends of a scenario's faults, in the order of their times.
pub(super) fn changes(scenario: &Scenario) -> Vec<Change> {
    let mut found: Vec<_> = scenario
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
    found.sort_by_key(|change| change.at);
    found
}

impl Fleet {
    /// Lets a fault begin or end. An index beyond the list means nothing.
    pub(super) async fn change(&mut self, change: &Change) -> Result<(), Error> {
        let at = change.fault.index as usize;
        match change.fault.kind {
            FaultKind::Slow => {
                let factor = if change.begins {
                    change.fault.factor
                } else {
                    1
                };
                if let Some(endpoint) = self.endpoints.get(at) {
                    endpoint.set_slowdown(factor);
                }
                Ok(())
            }
            FaultKind::Failing => {
                if let Some(endpoint) = self.endpoints.get(at) {
                    endpoint.set_failing(change.begins);
                }
                Ok(())
            }
            FaultKind::EndpointLost => self.endpoint(at, change.begins).await,
            FaultKind::RouterLost => self.router(at, change.begins).await,
            FaultKind::LedgerLost => self.ledger(at, change.begins).await,
            FaultKind::ZoneLost => self.zone(at, change.begins).await,
        }
    }

    async fn endpoint(&mut self, at: usize, lost: bool) -> Result<(), Error> {
        let (Some(endpoint), Some(sidecar)) =
            (self.endpoints.get_mut(at), self.sidecars.get_mut(at))
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

    async fn router(&mut self, at: usize, lost: bool) -> Result<(), Error> {
        match self.routers.get_mut(at) {
            Some(router) if lost => {
                router.kill().await;
                Ok(())
            }
            Some(router) => router.restart(),
            None => Ok(()),
        }
    }

    async fn ledger(&mut self, at: usize, lost: bool) -> Result<(), Error> {
        match self.ledgers.get_mut(at) {
            Some(ledger) if lost => {
                ledger.kill().await;
                Ok(())
            }
            Some(ledger) => ledger.restart(),
            None => Ok(()),
        }
    }

    /// Instances stand in the zones in turn.
    async fn zone(&mut self, zone: usize, lost: bool) -> Result<(), Error> {
        let zones = self.scenario.fleet.zones.len();
        for at in (zone..self.endpoints.len()).step_by(zones) {
            self.endpoint(at, lost).await?;
        }
        for at in (zone..self.routers.len()).step_by(zones) {
            self.router(at, lost).await?;
        }
        for at in (zone..self.ledgers.len()).step_by(zones) {
            self.ledger(at, lost).await?;
        }
        Ok(())
    }
}
