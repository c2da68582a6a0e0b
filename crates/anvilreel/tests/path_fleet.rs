//! End-to-end tests: ledger, routers, sidecars and stand-in endpoints, over TCP on loopback.

#[path = "path_fleet/answers.rs"]
mod answers;
#[path = "path_fleet/bad_input.rs"]
mod bad_input;
#[path = "path_fleet/callers.rs"]
mod callers;
#[path = "path_fleet/catalogues.rs"]
mod catalogues;
#[path = "path_fleet/fleet.rs"]
mod fleet;
#[path = "path_fleet/losses.rs"]
mod losses;
#[path = "path_fleet/money.rs"]
mod money;
#[path = "support/ports.rs"]
mod ports;
#[path = "path_fleet/rolling.rs"]
mod rolling;
#[path = "path_fleet/stops.rs"]
mod stops;
#[path = "path_fleet/waiting.rs"]
mod waiting;
