//! The operators' command line. The doc comments of arguments are the texts of `--help`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anvil_world::prelude::*;
use anvilreel::operator::Client;
use argh::FromArgs;

/// Ledger address of `anvilreel local`.
const DEFAULT_LEDGER: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(
    std::net::Ipv4Addr::LOCALHOST,
    8_788,
));

/// How to reach the ledger, and on whose behalf. Given before the subcommand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Connection {
    /// Addresses of replicas; if empty, that of `anvilreel local`.
    pub ledgers: Vec<SocketAddr>,
    /// Name of the operator who makes the changes.
    pub operator: Option<String>,
    /// Timeout of one action, in seconds.
    pub within: u64,
    /// Whether reports are printed as JSON.
    pub json: bool,
}

impl Connection {
    /// A client with these options.
    pub fn client(&self) -> Client {
        let ledgers = if self.ledgers.is_empty() {
            vec![DEFAULT_LEDGER]
        } else {
            self.ledgers.clone()
        };
        let user = || std::env::var("USER").unwrap_or_else(|_| "operator".into());
        let operator = self.operator.clone().unwrap_or_else(user);
        Client::new(&ledgers)
            .with_operator(operator.into())
            .with_timeout(Duration::from_secs(self.within))
    }
}

/// The operators' subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Operate {
    /// Writes documents.
    Apply(Apply),
    /// Removes a document.
    Remove(Remove),
    /// Prints documents.
    Get(Get),
    /// Compares a file with the current document.
    Diff(Diff),
    /// Pays tokens into a budget.
    TopUp(TopUpArgs),
    /// Prints the state of budgets.
    Budget(BudgetArgs),
    /// Writes off a fenced grant whose evidence is lost.
    WriteOff(WriteOffArgs),
    /// Prints the audit trail.
    Audit(Audit),
    /// Prints the state of the ledger and the fleet.
    Status(Status),
    /// Drains an instance.
    Drain(Drain),
    /// Evacuates an availability zone.
    Evacuate(Evacuate),
    /// Lifts quarantines.
    LiftQuarantine(LiftQuarantineArgs),
    /// Sets a share.
    SetShare(SetShareArgs),
    /// Sends an order to an endpoint.
    Order(OrderArgs),
    /// Validates settings files without sending them.
    Check(Check),
    /// Prints the digest of a bearer key.
    HashKey(HashKey),
    /// Explains the handling of one request from logs.
    Explain(ExplainArgs),
    /// Sums the losses of requests and the use of budgets from logs.
    Losses(LossesArgs),
    /// Inspects the data folder of a ledger.
    Ledger(LedgerArgs),
}

/// write one document, or all below a folder; waits until they are in force everywhere
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// path of the document, such as teams/counter; or a folder whose files are documents
    #[argh(positional)]
    pub path: String,
    /// the document's TOML file; left out for a folder
    #[argh(positional)]
    pub file: Option<PathBuf>,
    /// the revision this change rests on, 0 for a new document; left out: what stands now
    #[argh(option)]
    pub expected: Option<Revision>,
    /// the id of a change that is sent again
    #[argh(option)]
    pub id: Option<String>,
}

/// take one document away
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct Remove {
    /// path of the document
    #[argh(positional)]
    pub path: String,
    /// the revision this change rests on; left out: what stands now
    #[argh(option)]
    pub expected: Option<Revision>,
    /// the id of a change that is sent again
    #[argh(option)]
    pub id: Option<String>,
}

/// print documents with their revisions
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// only paths that start with this
    #[argh(positional, default = "String::new()")]
    pub prefix: String,
}

/// show how a file differs from the document that stands
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// path of the document
    #[argh(positional)]
    pub path: String,
    /// the TOML file
    #[argh(positional)]
    pub file: PathBuf,
}

/// pay tokens into a budget; sent again under its id it is paid once
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "top-up")]
pub struct TopUpArgs {
    /// the budget
    #[argh(positional)]
    pub budget: String,
    /// how many tokens
    #[argh(positional)]
    pub amount: Tokens,
    /// the id of a top-up that is sent again
    #[argh(option)]
    pub id: Option<String>,
}

/// show what budgets hold: credited, billed, granted, left
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "budget")]
pub struct BudgetArgs {
    /// only this one
    #[argh(positional)]
    pub budget: Option<String>,
}

/// give up a fenced grant whose evidence is lost
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "write-off")]
pub struct WriteOffArgs {
    /// the grant's number, from `anvilreel budget`
    #[argh(positional)]
    pub grant: GrantId,
    /// tokens of the outstanding part that are billed; the rest goes back
    #[argh(option, default = "0")]
    pub bill: Tokens,
    /// the id of a write-off that is sent again
    #[argh(option)]
    pub id: Option<String>,
}

/// print the audit trail: who changed what, when, before and after
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// only subjects that start with this, such as teams/counter
    #[argh(option)]
    pub subject: Option<String>,
    /// only changes by this operator
    #[argh(option)]
    pub by: Option<String>,
    /// only after this revision
    #[argh(option, default = "0")]
    pub after: Revision,
    /// the newest so many lines
    #[argh(option, default = "100")]
    pub limit: u32,
}

/// show the ledger's replicas, all instances, and where the newest settings are in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// empty an instance: it finishes what it has and gets nothing new
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// the instance
    #[argh(positional)]
    pub instance: String,
    /// the id of a drain that is sent again
    #[argh(option)]
    pub id: Option<String>,
}

/// evacuate an availability zone: its endpoints finish what they have and get nothing new
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "evacuate")]
pub struct Evacuate {
    /// the availability zone
    #[argh(positional)]
    pub zone: String,
    /// end its evacuation
    #[argh(switch)]
    pub finish: bool,
}

/// lift a quarantine: requests with the content are sent to endpoints again, at all routers
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lift-quarantine")]
pub struct LiftQuarantineArgs {
    /// the content's digest, as the log and `anvilreel status` show it
    #[argh(positional)]
    pub content: Option<String>,
    /// all quarantines of this service instead
    #[argh(option)]
    pub service: Option<String>,
    /// why, for the audit trail
    #[argh(option)]
    pub reason: String,
    /// the id of an order that is sent again
    #[argh(option)]
    pub id: Option<String>,
}

/// set the share of an organisation or a route while requests wait for endpoints, at all routers
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set-share")]
pub struct SetShareArgs {
    /// factor on its weight, from 0.1 to 10; 1 ends the order
    #[argh(positional)]
    pub factor: String,
    /// the organisation
    #[argh(option)]
    pub organisation: Option<String>,
    /// the route instead
    #[argh(option)]
    pub route: Option<String>,
    /// why, for the audit trail
    #[argh(option)]
    pub reason: String,
    /// the id of an order that is sent again
    #[argh(option)]
    pub id: Option<String>,
}

/// order the endpoint beside a sidecar
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "order")]
pub struct OrderArgs {
    /// the sidecar
    #[argh(positional)]
    pub sidecar: String,
    /// load-model, unload-model, load-adapter, set-version or set-role
    #[argh(positional)]
    pub what: OrderSubject,
    /// the model, or the role
    #[argh(positional)]
    pub name: String,
    /// the adapter or the version
    #[argh(positional)]
    pub detail: Option<String>,
}

/// Kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderSubject {
    /// Load a model.
    LoadModel,
    /// Unload a model.
    UnloadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Change a model's version.
    SetVersion,
    /// Change the engine's role.
    SetRole,
}

impl std::str::FromStr for OrderSubject {
    type Err = String;

    fn from_str(raw: &str) -> Result<Self, Self::Err> {
        match raw {
            "load-model" => Ok(Self::LoadModel),
            "unload-model" => Ok(Self::UnloadModel),
            "load-adapter" => Ok(Self::LoadAdapter),
            "set-version" => Ok(Self::SetVersion),
            "set-role" => Ok(Self::SetRole),
            other => Err(format!(
                "found {other:?}; allowed are load-model, unload-model, load-adapter, \
                 set-version and set-role"
            )),
        }
    }
}

/// check settings files without sending them; exits 2 when one is wrong
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the files; what each one is follows from its keys
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// check the file as the document at this path instead
    #[argh(option)]
    pub document: Option<String>,
}

/// read a bearer key from standard input and print its digest for a team's keys
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub struct HashKey {}

/// tell one request's way, and what decided it, out of the logs of several processes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request's id
    #[argh(positional)]
    pub request: String,
    /// files with log lines, one for each process
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// add up what requests were lost to and where budgets went, out of the logs of several processes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "losses")]
pub struct LossesArgs {
    /// files with log lines, one for each process
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// look into a ledger's data folder
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ledger")]
pub struct LedgerArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: LedgerCommand,
}

/// What to do with a data folder.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum LedgerCommand {
    /// Checks it and prints its contents.
    Inspect(Inspect),
}

/// check a data folder of a stopped ledger and print what it holds
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "inspect")]
pub struct Inspect {
    /// the data folder
    #[argh(positional)]
    pub folder: PathBuf,
}
