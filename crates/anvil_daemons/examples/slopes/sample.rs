//! Commands and instances of realistic size.

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

/// A ledger's state, filled by commands.
#[derive(Default)]
pub struct FilledState {
    /// The state.
    pub state: State,
    index: LogIndex,
    batches: u64,
}

impl FilledState {
    /// Applies a command. A denied command is an error in this tool.
    pub fn apply(&mut self, command: &Command) -> Answer {
        self.index += 1;
        let answer = self.state.apply(self.index, 1, command);
        assert!(!matches!(answer, Answer::Denied(_)), "{answer:?}");
        answer
    }

    /// Creates or replaces a document.
    pub fn put(&mut self, path: &str, text: &str) {
        let change = self.change(path, text);
        self.apply(&change);
    }

    /// The command that creates or replaces a document.
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

    /// Creates an organisation with `count` budgets, each topped up.
    pub fn budgets(&mut self, count: u64) {
        self.put("organisations/venture", "");
        for number in 0..count {
            self.budget(number);
        }
    }

    fn budget(&mut self, number: u64) {
        let path = format!("budgets/{}", budget(number));
        self.put(&path, "organisation = \"venture\"\nwarn_below = 1000000\n");
        let top_up = top_up(number, time(self.index));
        self.apply(&top_up);
    }

    /// Creates `count` teams, each paying from one of `budgets` existing budgets.
    pub fn teams(&mut self, count: u64, budgets: u64) {
        for number in 0..count {
            let text = team(number, &budget(number % budgets));
            self.put(&format!("teams/workshop-team-{number:05}"), &text);
        }
    }

    /// The next batch of a router.
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
            let asks = (0..budgets)
                .map(|number| grant_request(number, 10_000))
                .collect();
            let batch = self.batch(router, Vec::new(), asks);
            self.apply(&batch);
        }
    }

    /// Commands that create an organisation with `count` budgets, each topped up.
    pub fn budget_commands(count: u64) -> impl Iterator<Item = Command> {
        let organisation = create_document("organisations/venture", "", 0);
        let budgets = (0..count).flat_map(|number| {
            let path = format!("budgets/{}", budget(number));
            let put = create_document(&path, "organisation = \"venture\"\n", 1 + 2 * number);
            [put, top_up(number, SystemTime::now())]
        });
        [organisation].into_iter().chain(budgets)
    }

    /// Commands that create `count` teams, which pay from `budgets` budgets.
    pub fn team_commands(count: u64, budgets: u64) -> impl Iterator<Item = Command> {
        (0..count).map(move |number| {
            let text = team(number, &budget(number % budgets));
            create_document(
                &format!("teams/workshop-team-{number:05}"),
                &text,
                1_000_000 + number,
            )
        })
    }

    /// Lets `count` sidecars join.
    pub fn members(&mut self, count: u64) {
        for number in 0..count {
            self.apply(&Command::Join(Join {
                instance: sidecar(number),
            }));
        }
    }

    /// Adds `count` claims, all within the time that claims are kept.
    pub fn claims(&mut self, count: u64) {
        for number in 0..count {
            self.apply(&claim(number));
        }
    }
}

/// The command that creates a document, with the current time.
pub fn create_document(path: &str, text: &str, number: u64) -> Command {
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

fn top_up(number: u64, time: SystemTime) -> Command {
    Command::TopUp(TopUp {
        id: change_id(time, &format!("top-up-{number}")),
        operator: "operator-of-the-venture".into(),
        budget: budget(number),
        amount: CREDIT,
        at: time,
    })
}

/// A time that increases by one millisecond with each step.
pub fn time(step: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_790_000_000) + Duration::from_millis(step)
}

/// Id of a budget.
pub fn budget(number: u64) -> BudgetId {
    format!("prepaid-workshop-{number:05}").into()
}

/// Id of a router.
pub fn router_id(number: u64) -> InstanceId {
    format!("router-{number:04}").into()
}

/// A request for a grant.
pub fn grant_request(number: u64, wanted: Tokens) -> GrantRequest {
    GrantRequest {
        budget: budget(number),
        wanted,
        least: 500,
    }
}

/// A report about a grant that stays open.
pub fn report(grant: GrantId, settled: Tokens) -> GrantReport {
    GrantReport {
        grant,
        settled,
        returned: 0,
        close: false,
    }
}

/// The document of a team.
pub fn team(number: u64, budget: &str) -> String {
    let hash = key_hash(&number.to_le_bytes());
    format!(
        "organisation = \"venture\"\nkeys = [\"{hash}\"]\nclass = \"interactive\"\n\
         [split]\n\"{budget}\" = 1\n"
    )
}

/// A sidecar beside a model engine.
pub fn sidecar(number: u64) -> Instance {
    let addr = Ipv4Addr::from_bits(0x0a00_0000 + u32::try_from(number).unwrap_or_default());
    Instance {
        id: format!("runner-{number:05}").into(),
        incarnation: 1_790_000_000_000 + number,
        role: Role::Sidecar,
        zone: Zone::new(
            "ke-central",
            ["ke-central-a", "ke-central-b"][(number % 2) as usize],
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
pub fn claim(number: u64) -> Command {
    Command::Claim(Claim {
        id: format!("router-001-{number:012}").into(),
        key: RequestKey {
            team: format!("workshop-team-{:05}", number % 2_000).into(),
            id: Arc::from(format!("0f8fad5b-d9cb-469f-a165-{number:012}")),
        },
        body: [7; 32],
        sidecar: format!("orders-{:03}", number % 100).into(),
        incarnation: 1_790_000_000_000,
        at: time(number),
    })
}
