//! The policy experiment: decisions under load against [`super::fake`], in virtual time.
//!
//! The same seed gives the same arrivals to every [`Rule`], so that rules are compared on one
//! and the same load. Arrivals are open-loop: a late answer holds no later request back, so
//! waiting is not hidden.

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

/// Plays one scenario under one rule.
pub fn run_policy(scenario: &PolicyScenario, rule: &Rule) -> Report {
    let mut world = simulation::World::new(scenario, rule);
    world.play();
    world.report()
}
