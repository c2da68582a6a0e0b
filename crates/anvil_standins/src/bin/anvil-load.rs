//! Command line of the load and experiment tool.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anvil_standins::Error;
use anvil_standins::error::{FileSnafu, JsonSnafu};
use anvil_standins::load::fleet::Fleet;
use anvil_standins::load::policy::Rule;
use anvil_standins::load::{Report, Scenario, Target, drive, experiment, plot, table};
use argh::FromArgs;
use snafu::ResultExt;

/// plays scenarios against the fleet, with stand-in endpoints, on loopback
#[derive(Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    task: Task,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Task {
    Run(Run),
    Policy(Policy),
}

/// play scenarios against a small fake in virtual time, under our rule and every baseline
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "policy")]
struct Policy {
    /// scenario files
    #[argh(positional)]
    scenarios: Vec<PathBuf>,

    /// folder for drawings and JSON lines
    #[argh(option, default = "PathBuf::from(\"target/load\")")]
    out: PathBuf,

    /// percent of the rates that the scenarios name
    #[argh(option, default = "100")]
    percent: u32,

    /// ours with one part taken out each, in place of the baselines
    #[argh(switch)]
    ablations: bool,
}

/// start the daemons as processes, play scenarios against them and report what callers got
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// scenario files
    #[argh(positional)]
    scenarios: Vec<PathBuf>,

    /// folder of the daemons; the tool's own, if it is not given
    #[argh(option)]
    programs: Option<PathBuf>,

    /// routers that run already, in place of a fleet of the tool's own
    #[argh(option)]
    target: Vec<SocketAddr>,

    /// bearer keys of the organisations at the target
    #[argh(option)]
    key: Vec<String>,

    /// folder for the settings, data and logs of the processes, and for drawings and JSON lines
    #[argh(option, default = "PathBuf::from(\"target/load\")")]
    out: PathBuf,

    /// percent of the rates that the scenarios name
    #[argh(option, default = "100")]
    percent: u32,

    /// send chats and lookups without an Idempotency-Key, and never again
    #[argh(switch)]
    unkeyed: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => return report_failure(&e),
    };
    let done = match arguments.task {
        Task::Run(task) => runtime.block_on(run(&task)),
        Task::Policy(task) => policy(&task),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => report_failure(&e),
    }
}

fn report_failure(e: &dyn std::error::Error) -> ExitCode {
    eprintln!("anvil-load: {e}");
    ExitCode::FAILURE
}

async fn run(task: &Run) -> Result<(), Error> {
    let mut reports = Vec::new();
    for path in &task.scenarios {
        let mut scenario = Scenario::load(path)?.with_percent(task.percent);
        if task.unkeyed {
            scenario = scenario.without_keys();
        }
        let report = if task.target.is_empty() {
            run_with_fleet(task, &scenario).await?
        } else {
            let target = Target {
                routers: task.target.clone(),
                keys: task.key.clone(),
                rule: "target".into(),
                run_name: scenario.name.to_string(),
            };
            drive(&scenario, target).await.recorder.report()
        };
        save_reports(&task.out, std::slice::from_ref(&report))?;
        reports.push(report);
    }
    print!("{}", table::table(&reports));
    print!("{}", table::details(&reports));
    Ok(())
}

fn policy(task: &Policy) -> Result<(), Error> {
    let other_rules = if task.ablations {
        Rule::ablations()
    } else {
        Rule::baselines()
    };
    let rules: Vec<_> = [Rule::ours()].into_iter().chain(other_rules).collect();
    let mut all = Vec::new();
    for path in &task.scenarios {
        let scenario = Scenario::load(path)?.with_percent(task.percent);
        let reports: Vec<_> = rules
            .iter()
            .map(|r| experiment::simulate(&scenario, r))
            .collect();
        save_reports(&task.out, &reports)?;
        all.extend(reports);
    }
    print!("{}", table::table(&all));
    Ok(())
}

async fn run_with_fleet(task: &Run, scenario: &Scenario) -> Result<Report, Error> {
    let folder = task.out.join(scenario.name.as_ref());
    recreate_folder(&folder)?;
    let programs = task.programs.clone().or_else(program_folder);
    let programs = programs.unwrap_or_default();
    let mut fleet = Fleet::start(scenario, &programs, &folder).await?;
    let report = fleet.run().await?;
    let mut lines = vec![
        ["process", "processor s", "memory MB"]
            .map(String::from)
            .to_vec(),
    ];
    for (name, usage) in fleet.usage() {
        let processor = format!("{:.2}", usage.cpu_time.as_secs_f64());
        let memory = format!("{}", usage.memory >> 20);
        lines.push(vec![name, processor, memory]);
    }
    print!("{}", table::align_columns(&lines));
    Ok(report)
}

fn program_folder() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    Some(program.parent()?.into())
}

/// Creates the folder anew, without the files of an earlier run.
fn recreate_folder(folder: &Path) -> Result<(), Error> {
    match std::fs::remove_dir_all(folder) {
        Err(e) if e.kind() != std::io::ErrorKind::NotFound => {
            return Err(e).context(FileSnafu { path: folder });
        }
        _ => {}
    }
    std::fs::create_dir_all(folder).context(FileSnafu { path: folder })
}

/// Appends the reports of one scenario to `reports.jsonl`, and draws them.
fn save_reports(folder: &Path, reports: &[Report]) -> Result<(), Error> {
    std::fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
    let path = folder.join("reports.jsonl");
    let file = std::fs::File::options()
        .append(true)
        .create(true)
        .open(&path);
    let mut file = file.context(FileSnafu { path: &path })?;
    for report in reports {
        let line = serde_json::to_string(report).context(JsonSnafu)?;
        writeln!(file, "{line}").context(FileSnafu { path: &path })?;
    }
    plot::draw(folder, reports)
}
