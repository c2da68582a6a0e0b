//! Commands and instances as large as the real ones.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvil_ledger::state::State;
use anvil_world::command::{
    Change, Claim, Edit, GrantBatch, GrantReport, GrantRequest, Join, TopUp, change_id,
};
use anvil_world::document::key_hash;
use anvil_world::prelude::*;

/// Prepaid tokens of each budget.
pub const CREDIT: Tokens = 1_000_000_000;

/// A ledger's state that is filled by commands.
#[derive(Default)]
pub struct Filled {
    /// The state.
    pub state: State,
    index: LogIndex,
    batches: u64,
}

impl Filled {
    /// Applies a command. A denied one is a fault of this tool.
    pub fn apply(&mut self, command: &Command) -> Answer {
        self.index += 1;
        let answer = self.state.apply(self.index, 1, command);
        assert!(!matches!(answer, Answer::Denied(_)), "{answer:?}");
        answer
    }

    /// Writes a document.
    pub fn put(&mut self, path: &str, text: &str) {
        let change = self.change(path, text);
        self.apply(&change);
    }

    /// The change that writes a document over what stands.
    pub fn change(&self, path: &str, text: &str) -> Command {
        let path = TreePath::try_from(path).unwrap_or(TreePath::Fleet);
        let entry = self.state.tree().get(&path);
        let at = time(self.index);
        Command::Change(Change {
            id: change_id(at, &format!("slopes-{}", self.index)),
            operator: "operator-of-the-venture".into(),
            expected: entry.map_or(0, |entry| entry.revision),
            path,
            edit: Edit::Put(text.into()),
            at,
        })
    }

    /// An organisation with so many budgets, each topped up.
    pub fn budgets(&mut self, count: u64) {
        self.put("organisations/venture", "");
        for at in 0..count {
            self.budget(at);
        }
    }

    fn budget(&mut self, at: u64) {
        let path = format!("budgets/{}", budget(at));
        self.put(&path, "organisation = \"venture\"\nwarn_below = 1000000\n");
        let top_up = top_up(at, time(self.index));
        self.apply(&top_up);
    }

    /// So many teams, each paying from one budget that is there.
    pub fn teams(&mut self, count: u64, budgets: u64) {
        for at in 0..count {
            let text = team(at, &budget(at % budgets));
            self.put(&format!("teams/workshop-team-{at:05}"), &text);
        }
    }

    /// A batch of a router.
    pub fn batch(
        &mut self,
        router: u64,
        reports: Vec<GrantReport>,
        asks: Vec<GrantRequest>,
    ) -> Command {
        self.batches += 1;
        Command::GrantBatch(GrantBatch {
            router: router_id(router),
            incarnation: 1,
            seq: self.batches,
            reports,
            asks,
        })
    }

    /// Opens a grant of each budget for each router.
    pub fn grants(&mut self, routers: u64, budgets: u64) {
        for router in 0..routers {
            let asks = (0..budgets).map(|at| ask(at, 10_000)).collect();
            let batch = self.batch(router, Vec::new(), asks);
            self.apply(&batch);
        }
    }

    /// Commands that make an organisation with so many budgets, each topped up.
    pub fn budget_commands(count: u64) -> impl Iterator<Item = Command> {
        let organisation = first_put("organisations/venture", "", 0);
        let budgets = (0..count).flat_map(|at| {
            let path = format!("budgets/{}", budget(at));
            let put = first_put(&path, "organisation = \"venture\"\n", 1 + 2 * at);
            [put, top_up(at, SystemTime::now())]
        });
        [organisation].into_iter().chain(budgets)
    }

    /// Commands that make so many teams, which pay from these budgets.
    pub fn team_commands(count: u64, budgets: u64) -> impl Iterator<Item = Command> {
        (0..count).map(move |at| {
            let text = team(at, &budget(at % budgets));
            first_put(
                &format!("teams/workshop-team-{at:05}"),
                &text,
                1_000_000 + at,
            )
        })
    }

    /// So many sidecars join.
    pub fn members(&mut self, count: u64) {
        for at in 0..count {
            self.apply(&Command::Join(Join {
                instance: sidecar(at),
            }));
        }
    }

    /// So many claims, all within the time that claims are kept.
    pub fn claims(&mut self, count: u64) {
        for at in 0..count {
            self.apply(&claim(at));
        }
    }
}

/// The change that writes a document that is not there yet, made now.
pub fn first_put(path: &str, text: &str, number: u64) -> Command {
    let at = SystemTime::now();
    Command::Change(Change {
        id: change_id(at, &format!("slopes-{number}")),
        operator: "operator-of-the-venture".into(),
        path: TreePath::try_from(path).unwrap_or(TreePath::Fleet),
        expected: 0,
        edit: Edit::Put(text.into()),
        at,
    })
}

fn top_up(at: u64, time: SystemTime) -> Command {
    Command::TopUp(TopUp {
        id: change_id(time, &format!("top-up-{at}")),
        operator: "operator-of-the-venture".into(),
        budget: budget(at),
        amount: CREDIT,
        at: time,
    })
}

/// A time that rises by a millisecond with each step.
pub fn time(step: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_790_000_000) + Duration::from_millis(step)
}

/// A budget's name.
pub fn budget(at: u64) -> BudgetId {
    format!("prepaid-workshop-{at:05}").into()
}

/// A router's name.
pub fn router_id(at: u64) -> InstanceId {
    format!("router-{at:04}").into()
}

/// A wish for a grant.
pub fn ask(at: u64, wanted: Tokens) -> GrantRequest {
    GrantRequest {
        budget: budget(at),
        wanted,
        least: 500,
    }
}

/// A report of a grant that is not the first of its kind.
pub fn report(grant: GrantId, settled: Tokens) -> GrantReport {
    GrantReport {
        grant,
        settled,
        returned: 0,
        close: false,
    }
}

/// A team's document.
pub fn team(at: u64, budget: &str) -> String {
    let hash = key_hash(&at.to_le_bytes());
    format!(
        "organisation = \"venture\"\nkeys = [\"{hash}\"]\nclass = \"interactive\"\n\
         [split]\n\"{budget}\" = 1\n"
    )
}

/// A sidecar beside a model runner.
pub fn sidecar(at: u64) -> Instance {
    let addr = Ipv4Addr::from_bits(0x0a00_0000 + u32::try_from(at).unwrap_or_default());
    Instance {
        id: format!("runner-{at:05}").into(),
        incarnation: 1_790_000_000_000 + at,
        role: Role::Sidecar,
        zone: Zone::new(
            "ke-central",
            ["ke-central-a", "ke-central-b"][(at % 2) as usize],
        ),
        addr: SocketAddr::from((addr, 9_200)),
        endpoint: Some(Endpoint {
            service: "runners".into(),
            models: ["swatch-chat", "ticket-chat"].map(ModelId::from).into(),
            slots: 64,
            checks_fencing: true,
        }),
    }
}

/// A claim of a non-idempotent request.
pub fn claim(at: u64) -> Command {
    Command::Claim(Claim {
        id: format!("router-001-{at:012}").into(),
        key: RequestKey {
            team: format!("workshop-team-{:05}", at % 2_000).into(),
            id: Arc::from(format!("0f8fad5b-d9cb-469f-a165-{at:012}")),
        },
        body: [7; 32],
        sidecar: format!("orders-{:03}", at % 100).into(),
        incarnation: 1_790_000_000_000,
        at: time(at),
    })
}
