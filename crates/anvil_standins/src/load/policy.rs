//! The policy simulation: routers' decisions under load, against [`super::fake`], in virtual time.
//!
//! Every [`Rule`] gets the same arrivals for the same seed, so that rules are compared under the
//! same load. Arrivals are open-loop: a late response does not delay later requests, so that
//! queueing delay is not hidden.

mod draw;
pub mod kind;
pub mod report;
pub mod request;
pub mod router;
pub mod rule;
pub mod scenario;
pub mod simulation;

pub use report::Report;
pub use rule::Rule;
pub use scenario::PolicyScenario;

/// Simulates one scenario under one rule.
pub fn run_policy(scenario: &PolicyScenario, rule: &Rule) -> Report {
    let mut simulation = simulation::Simulation::new(scenario, rule);
    simulation.run();
    simulation.report()
}
