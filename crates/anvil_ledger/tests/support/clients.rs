//! Clients of the simulated fleet: operators, routers, readers. Each resends a command that was not
//! answered.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_world::command::{
    Change, Denial, Edit, FenceRouter, GrantBatch, GrantReport, GrantRequest, Join, TopUp,
    change_id,
};
use anvil_world::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::checks::Checks;

/// Wall-clock time at the beginning of the simulation, since the Unix epoch.
const START_TIME: Duration = Duration::from_hours(500_000);
/// Number of budgets.
const BUDGETS: u64 = 4;

/// Kind of client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    TopUps,
    /// Changes the fleet's document under the revision it last saw.
    Operator,
    Router,
    Reader,
    /// Creates organisations and budgets, and occasionally fences a router.
    Admin,
}

/// A client with at most one command in flight.
#[derive(Debug)]
pub struct Client {
    pub number: usize,
    pub kind: Kind,
    pub target: usize,
    pub in_flight: Option<Command>,
    /// Number of commands so far.
    pub command_count: u64,
    expected: Revision,
    incarnation: Incarnation,
    grants: Vec<Grant>,
    /// Number of top-ups that were answered.
    pub credited: u64,
}

fn wall_clock(now: Duration) -> SystemTime {
    UNIX_EPOCH + START_TIME + now
}

fn budget(number: u64) -> BudgetId {
    format!("budget-{}", number % BUDGETS).into()
}

impl Client {
    pub fn new(number: usize, kind: Kind) -> Self {
        Self {
            number,
            kind,
            target: 0,
            in_flight: None,
            command_count: 0,
            expected: 0,
            incarnation: 1,
            grants: Vec::new(),
            credited: 0,
        }
    }

    /// The command in flight, or the next one.
    pub fn command(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> Command {
        if let Some(command) = &self.in_flight {
            return command.clone();
        }
        self.command_count += 1;
        let command = match self.kind {
            Kind::TopUps => self.top_up(now),
            Kind::Operator => self.change(now),
            Kind::Router => self.batch(rng),
            Kind::Admin => self.admin_command(now, rng),
            Kind::Reader => Command::Noop,
        };
        self.in_flight = Some(command.clone());
        command
    }

    fn id(&self, now: Duration) -> ChangeId {
        change_id(
            wall_clock(now),
            &format!("{}-{}", self.number, self.command_count),
        )
    }

    fn operator(&self) -> OperatorId {
        format!("operator-{}", self.number).into()
    }

    fn top_up(&self, now: Duration) -> Command {
        Command::TopUp(TopUp {
            id: self.id(now),
            operator: self.operator(),
            budget: budget(self.command_count),
            amount: 1_000,
            at: wall_clock(now),
        })
    }

    fn put(&self, now: Duration, path: TreePath, expected: Revision, text: String) -> Command {
        Command::Change(Change {
            id: self.id(now),
            operator: self.operator(),
            path,
            expected,
            edit: Edit::Put(text.into()),
            at: wall_clock(now),
        })
    }

    fn change(&self, now: Duration) -> Command {
        let text = format!("max_body = {}\n", 1_024 + self.command_count);
        self.put(now, TreePath::Fleet, self.expected, text)
    }

    fn batch(&mut self, rng: &mut ChaCha8Rng) -> Command {
        let mut reports = Vec::new();
        for grant in &mut self.grants {
            grant.settled += rng.random_range(0..=grant.outstanding());
            reports.push(GrantReport {
                grant: grant.id,
                settled: grant.settled,
                returned: 0,
                close: rng.random_bool(0.3),
            });
        }
        let grant_request = GrantRequest {
            budget: budget(rng.random_range(0..BUDGETS)),
            wanted: rng.random_range(1..3_000),
            least: 1,
        };
        Command::GrantBatch(GrantBatch {
            router: self.instance_id(),
            incarnation: self.incarnation,
            seq: self.command_count,
            reports,
            asks: vec![grant_request],
        })
    }

    fn instance_id(&self) -> InstanceId {
        format!("router-{}", self.number).into()
    }

    fn admin_command(&self, now: Duration, rng: &mut ChaCha8Rng) -> Command {
        if self.command_count == 1 {
            let path = TreePath::Organisation(Arc::from("coop"));
            return self.put(now, path, 0, "weight = 1\n".into());
        }
        if self.command_count <= BUDGETS + 1 {
            let path = TreePath::Budget(budget(self.command_count));
            return self.put(now, path, 0, "organisation = \"coop\"\n".into());
        }
        let router: InstanceId = format!("router-{}", rng.random_range(0..8)).into();
        match rng.random_range(0..3) {
            0 => Command::FenceRouter(FenceRouter {
                router,
                incarnation: self.command_count / 8,
            }),
            1 => Command::CloseGrant {
                grant: rng.random_range(0..self.command_count * 4),
                charged: rng.random_range(0..2_000),
            },
            _ => Command::Join(Join {
                instance: Instance {
                    id: router,
                    incarnation: 1 + self.command_count / 8,
                    role: Role::Router,
                    zone: Zone::default(),
                    addr: ([127, 0, 0, 1], 1).into(),
                    endpoint: None,
                },
            }),
        }
    }

    /// Handles the answer to the command in flight.
    pub fn answered(&mut self, answer: &Answer, checks: &mut Checks) {
        let Some(command) = self.in_flight.take() else {
            return;
        };
        match (&command, answer) {
            (Command::TopUp(_), Answer::Changed(_)) => self.credited += 1,
            (Command::Change(change), Answer::Changed(receipt))
                if change.path == TreePath::Fleet =>
            {
                checks.change_won(change.expected, &change.id);
                self.expected = receipt.revision;
            }
            (Command::Change(_), Answer::Denied(Denial::Conflict { current, .. })) => {
                self.expected = *current;
            }
            (Command::GrantBatch(batch), Answer::Grants(granted)) => {
                let closing = batch.reports.iter().filter(|report| report.close);
                let closed: Vec<_> = closing.map(|report| report.grant).collect();
                self.grants.retain(|grant| !closed.contains(&grant.id));
                self.grants.extend(granted.opened.iter().cloned());
            }
            (Command::GrantBatch(_), Answer::Denied(_)) => {
                self.incarnation += 1;
                self.grants.clear();
            }
            _ => {}
        }
    }
}
