//! Runs one subcommand.

use std::fmt::Display;
use std::io::Read;
use std::path::PathBuf;

use anvil_wire::msg::AuditFilter;
use anvil_world::command::{Edit, OrderKind, QuarantineTarget};
use anvil_world::content;
use anvil_world::document::key_hash;
use anvil_world::prelude::*;
use anvilreel::operator::{self, Client, ExitCode, OperatorError, RolloutReport};
use serde::Serialize;

use super::arguments::{
    Apply, Audit, Check, Connection, Evacuate, LedgerCommand, LiftQuarantineArgs, Operate,
    OrderArgs, OrderSubject, Remove, SetShareArgs,
};
use super::check::check;

/// Runs one subcommand and prints its report. Returns the exit code.
pub async fn run(connection: &Connection, command: Operate) -> ExitCode {
    let json = connection.json;
    match execute(connection, command).await {
        Ok(code) => code,
        Err(e) => {
            let code = e.exit_code();
            print_error(json, &e, code);
            code
        }
    }
}

async fn execute(connection: &Connection, command: Operate) -> Result<ExitCode, OperatorError> {
    let client = connection.client();
    let json = connection.json;
    match command {
        Operate::Apply(args) => apply(&client, json, args).await,
        Operate::Remove(args) => remove(&client, json, args).await,
        Operate::Get(args) => print_report(json, &operator::get(&client, &args.prefix).await?),
        Operate::Diff(args) => {
            let path = tree_path(&args.path)?;
            let text = read_file(&args.file)?;
            print_report(json, &operator::diff(&client, path, &text).await?)
        }
        Operate::TopUp(args) => {
            let id = args.id.map(ChangeId::from);
            let budget = args.budget.into();
            print_report(
                json,
                &operator::top_up(&client, budget, args.amount, id).await?,
            )
        }
        Operate::Budget(args) => {
            let one = args.budget.map(BudgetId::from);
            print_report(json, &operator::budgets(&client, one).await?)
        }
        Operate::WriteOff(args) => {
            let id = args.id.map(ChangeId::from);
            print_report(
                json,
                &operator::write_off(&client, args.grant, args.bill, id).await?,
            )
        }
        Operate::Audit(args) => {
            print_report(json, &operator::audit(&client, audit_filter(args)).await?)
        }
        Operate::Status(_) => print_report(json, &operator::status(&client).await?),
        Operate::Drain(args) => {
            let id = args.id.map(ChangeId::from);
            let applied = operator::drain(&client, args.instance.into(), id).await?;
            print_rollout(json, &applied)
        }
        Operate::Evacuate(args) => evacuate(&client, json, &args).await,
        Operate::LiftQuarantine(args) => lift_quarantine(&client, json, args).await,
        Operate::SetShare(args) => set_share(&client, json, args).await,
        Operate::Order(args) => order(&client, json, args).await,
        Operate::Check(args) => check_all(&args),
        Operate::HashKey(_) => hash_key(),
        Operate::Explain(args) => {
            let logs = read_logs(&args.files)?;
            print_report(json, &operator::explain(&args.request, as_str_pairs(&logs)))
        }
        Operate::Losses(args) => print_report(
            json,
            &operator::losses(as_str_pairs(&read_logs(&args.files)?)),
        ),
        Operate::Ledger(args) => Ok(inspect(json, &args.command)),
    }
}

/// Reads log files. Each is paired with its file name without extension, which is the name of a
/// process.
fn read_logs(files: &[PathBuf]) -> Result<Vec<(String, String)>, OperatorError> {
    let mut logs = Vec::new();
    for file in files {
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        logs.push((name.into_owned(), read_file(file)?));
    }
    Ok(logs)
}

fn as_str_pairs(logs: &[(String, String)]) -> impl Iterator<Item = (&str, &str)> {
    logs.iter().map(|(name, text)| (&**name, &**text))
}

async fn apply(client: &Client, json: bool, args: Apply) -> Result<ExitCode, OperatorError> {
    let Some(file) = &args.file else {
        return apply_folder(client, json, args.path.as_ref()).await;
    };
    let path = tree_path(&args.path)?;
    let edit = Edit::Put(read_file(file)?.into());
    let id = args.id.map(ChangeId::from);
    let applied = operator::apply(client, path, edit, args.expected, id).await?;
    print_rollout(json, &applied)
}

async fn apply_folder(
    client: &Client,
    json: bool,
    folder: &std::path::Path,
) -> Result<ExitCode, OperatorError> {
    let mut worst = ExitCode::Done;
    for (path, text) in operator::read_documents(folder)? {
        let edit = Edit::Put(text.into());
        let applied = operator::apply(client, path, edit, None, None).await?;
        if print_rollout(json, &applied)? == ExitCode::RolloutIncomplete {
            worst = ExitCode::RolloutIncomplete;
        }
    }
    Ok(worst)
}

async fn remove(client: &Client, json: bool, args: Remove) -> Result<ExitCode, OperatorError> {
    let path = tree_path(&args.path)?;
    let id = args.id.map(ChangeId::from);
    let applied = operator::apply(client, path, Edit::Remove, args.expected, id).await?;
    print_rollout(json, &applied)
}

async fn evacuate(client: &Client, json: bool, args: &Evacuate) -> Result<ExitCode, OperatorError> {
    let TreePath::Zone(zone) = tree_path(&format!("zones/{}", args.zone))? else {
        return Err(OperatorError::Unexpected);
    };
    let rollout = operator::evacuate(client, zone, !args.finish).await?;
    print_report(json, &rollout)?;
    Ok(rollout_exit_code(&rollout))
}

async fn lift_quarantine(
    client: &Client,
    json: bool,
    args: LiftQuarantineArgs,
) -> Result<ExitCode, OperatorError> {
    let target = match (args.content, args.service) {
        (Some(content), None) => {
            let digest = content::from_hex(&content);
            QuarantineTarget::Content(digest.map_err(|source| OperatorError::Digest { source })?)
        }
        (None, Some(service)) => QuarantineTarget::Service(service.into()),
        _ => return Err(OperatorError::QuarantineTarget),
    };
    let id = args.id.map(ChangeId::from);
    let lifted = operator::lift_quarantine(client, target, args.reason.into(), id).await?;
    print_rollout(json, &lifted)
}

async fn set_share(
    client: &Client,
    json: bool,
    args: SetShareArgs,
) -> Result<ExitCode, OperatorError> {
    let target = match (args.organisation, args.route) {
        (Some(name), None) => ShareTarget::Organisation(name.into()),
        (None, Some(name)) => ShareTarget::Route(name.into()),
        _ => return Err(OperatorError::ShareTarget),
    };
    let factor = args.factor.parse();
    let factor = factor.map_err(|source| OperatorError::ShareFactor { source })?;
    let id = args.id.map(ChangeId::from);
    let set = operator::set_share(client, target, factor, args.reason.into(), id).await?;
    print_rollout(json, &set)
}

async fn order(client: &Client, json: bool, args: OrderArgs) -> Result<ExitCode, OperatorError> {
    let name: std::sync::Arc<str> = args.name.into();
    let detail: std::sync::Arc<str> = args.detail.unwrap_or_default().into();
    let kind = match args.what {
        OrderSubject::LoadModel => OrderKind::LoadModel(name),
        OrderSubject::UnloadModel => OrderKind::UnloadModel(name),
        OrderSubject::LoadAdapter => OrderKind::LoadAdapter {
            model: name,
            adapter: detail,
        },
        OrderSubject::SetVersion => OrderKind::SetVersion {
            model: name,
            version: detail,
        },
        OrderSubject::SetRole => OrderKind::SetRole(name),
    };
    let report = operator::order(client, args.sidecar.into(), kind).await?;
    print_report(json, &report)
}

fn check_all(args: &Check) -> Result<ExitCode, OperatorError> {
    for file in &args.files {
        let kind = check(file, args.document.as_deref())?;
        println!("{}: well-formed {kind} settings", file.display());
    }
    Ok(ExitCode::Done)
}

fn hash_key() -> Result<ExitCode, OperatorError> {
    let mut key = Vec::new();
    let read = std::io::stdin().lock().read_to_end(&mut key);
    read.map_err(|source| OperatorError::File {
        file: "standard input".into(),
        source,
    })?;
    println!("{}", key_hash(key.trim_ascii()));
    Ok(ExitCode::Done)
}

/// Checks a data folder. If it is damaged, the result is [`ExitCode::InvalidInput`].
fn inspect(json: bool, command: &LedgerCommand) -> ExitCode {
    let LedgerCommand::Inspect(args) = command;
    match anvil_ledger::inspect::inspect(&args.folder) {
        Ok(report) => {
            println!("{report}");
            ExitCode::Done
        }
        Err(e) => {
            print_error(json, &e, ExitCode::InvalidInput);
            ExitCode::InvalidInput
        }
    }
}

fn audit_filter(args: Audit) -> AuditFilter {
    AuditFilter {
        subject: args.subject.map(Into::into),
        operator: args.by.map(Into::into),
        after: args.after,
        limit: args.limit,
    }
}

fn tree_path(raw: &str) -> Result<TreePath, OperatorError> {
    TreePath::try_from(raw).map_err(|source| OperatorError::Path { source })
}

fn read_file(file: &std::path::Path) -> Result<String, OperatorError> {
    std::fs::read_to_string(file).map_err(|source| OperatorError::File {
        file: file.into(),
        source,
    })
}

fn print_rollout(
    json: bool,
    applied: &operator::CommittedChange,
) -> Result<ExitCode, OperatorError> {
    print_report(json, applied)?;
    Ok(rollout_exit_code(&applied.spread))
}

fn rollout_exit_code(rollout: &RolloutReport) -> ExitCode {
    if rollout.is_rolled_out() {
        ExitCode::Done
    } else {
        ExitCode::RolloutIncomplete
    }
}

fn print_report<T: Display + Serialize>(json: bool, report: &T) -> Result<ExitCode, OperatorError> {
    if json {
        let text = serde_json::to_string(report);
        println!("{}", text.map_err(|_| OperatorError::Unexpected)?);
    } else {
        println!("{report}");
    }
    Ok(ExitCode::Done)
}

fn print_error(json: bool, e: &impl Display, code: ExitCode) {
    if json {
        let line = serde_json::json!({ "error": e.to_string(), "exit_code": code as u8 });
        eprintln!("{line}");
    } else {
        eprintln!("{e}");
    }
}
