//! Replays recorded traces of a sidecar's runs and compares the actions with those in the trace.
//!
//! A trace is a TOML file with `story` and a list of `[[step]]`s. A step has `do` (`start`,
//! `attach`, `output`, `ended`, `lost`, `refused`, `cancel`, `forbid`, `fence`, `leave`, `tick`),
//! the reader, key and numbers that it needs, and `say`: the expected actions in the short form of
//! `describe`.

use std::path::Path;
use std::time::Duration;

use anvil_wire::msg::{Payment, ProbeAnswer, SidecarReply, StartRequest, Work};
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use anvilreel::runs::{Action, EndpointCommand, EndpointEvent, Event, Runs, RunsConfig};
use bytes::Bytes;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Trace {
    #[allow(dead_code)]
    story: String,
    step: Vec<Step>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Step {
    at: u64,
    r#do: String,
    reader: u64,
    key: String,
    run: u64,
    life: u64,
    router: String,
    body: u8,
    once: bool,
    offset: u64,
    text: String,
    tokens: u64,
    bound: u64,
    say: Vec<String>,
    charged: Option<u64>,
}

impl Default for Step {
    fn default() -> Self {
        Self {
            at: 0,
            r#do: String::new(),
            reader: 1,
            key: "k".into(),
            run: 1,
            life: 1,
            router: "r1".into(),
            body: 1,
            once: false,
            offset: 0,
            text: String::new(),
            tokens: 0,
            bound: 100,
            say: Vec::new(),
            charged: None,
        }
    }
}

fn key(step: &Step) -> RequestKey {
    RequestKey {
        team: "counter".into(),
        id: step.key.as_str().into(),
    }
}

fn start(step: &Step) -> StartRequest {
    StartRequest {
        key: key(step),
        life: step.life,
        claim: "claim".into(),
        attempt: 0,
        body: [step.body; 32],
        payment: Payment {
            router: step.router.as_str().into(),
            incarnation: 1,
            number: 1,
            split: Split::single_payer("nairobi".into()),
            grants: [("nairobi".into(), (1, step.bound))].into(),
            oldest: 1,
            price: Price::default(),
            bound: step.bound,
        },
        work: Work::Chat {
            model: "demo".into(),
            body: Bytes::new(),
            max_output: 100,
        },
        once: step.once,
        class: WorkClass::Interactive,
        time_left: Duration::from_mins(1),
        keep: Duration::from_mins(5),
        offset: step.offset,
        prefix: Bytes::new(),
        prefix_tokens: 0,
    }
}

fn event(step: &Step) -> Event {
    let (reader, key, incarnation) = (step.reader, key(step), step.life);
    let usage = Usage {
        output: step.tokens,
        ..Usage::default()
    };
    let engine = |event| Event::Endpoint {
        run: step.run,
        event,
    };
    match step.r#do.as_str() {
        "start" => Event::Start {
            reader,
            start: Box::new(start(step)),
        },
        "attach" => Event::Attach {
            reader,
            key,
            offset: step.offset,
        },
        "ready" => Event::ReaderReady { reader },
        "gone" => Event::ReaderGone { reader },
        "cancel" => Event::Cancel {
            reader,
            key,
            incarnation,
        },
        "forbid" => Event::Forbid {
            reader,
            key,
            incarnation,
            claim: None,
        },
        "output" => engine(EndpointEvent::Output {
            bytes: step.text.clone().into(),
            usage,
        }),
        "ended" => engine(EndpointEvent::Ended {
            usage,
            finish: "stop".into(),
        }),
        "lost" => engine(EndpointEvent::Lost {
            usage,
            resumable: false,
        }),
        "refused" => engine(EndpointEvent::Refused),
        "fence" => Event::Fenced {
            router: step.router.as_str().into(),
            incarnation: 1,
        },
        "leave" => Event::Leaving,
        "tick" => Event::Tick,
        other => panic!("unknown step: {other}"),
    }
}

fn describe(action: &Action) -> String {
    match action {
        Action::Reply { reader, reply } => format!("{reader}: {}", describe_reply(reply)),
        Action::Close { reader } => format!("{reader}: close"),
        Action::Endpoint { run, command } => {
            let command = match command {
                EndpointCommand::Begin(_) => "begin",
                EndpointCommand::Resume { .. } => "resume",
                EndpointCommand::Stop => "stop",
                EndpointCommand::Pause => "pause",
                EndpointCommand::Continue => "continue",
            };
            format!("engine {run}: {command}")
        }
        Action::Violation(e) => format!("violation: {e}"),
    }
}

fn describe_reply(reply: &SidecarReply) -> String {
    match reply {
        SidecarReply::Accepted { attached, .. } if *attached => "attached".into(),
        SidecarReply::Accepted { .. } => "accepted".into(),
        SidecarReply::Head(head) => format!("head {}", head.status),
        SidecarReply::Frame(frame) => {
            let text = String::from_utf8_lossy(&frame.bytes);
            format!("frame {} {text}", frame.offset)
        }
        SidecarReply::End(end) => format!("end {}", describe_outcome(&end.outcome)),
        SidecarReply::Refused(refusal) => format!("refused {}", describe_reason(&refusal.reason)),
        SidecarReply::Probed(answer) => match answer {
            ProbeAnswer::Unheard => "unheard".into(),
            ProbeAnswer::Forbidden => "forbidden".into(),
            ProbeAnswer::OtherLife => "other life".into(),
            ProbeAnswer::Running { length } => format!("running {length}"),
            ProbeAnswer::Ended(end) => format!("ended {}", describe_outcome(&end.outcome)),
        },
        other => format!("{other:?}"),
    }
}

fn describe_reason(reason: &Reason) -> String {
    match reason {
        Reason::KeyReused(_) => "key reused".into(),
        other => format!("{other:?}"),
    }
}

fn describe_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::NotRun(_) => "not run".into(),
        Outcome::Completed(usage) => format!("completed {}", usage.output),
        Outcome::Unknown(doubt) => format!("unknown {doubt:?}"),
    }
}

fn replay(path: &Path) -> datatest_stable::Result<()> {
    let trace: Trace = toml::from_str(&std::fs::read_to_string(path)?)?;
    let mut runs = Runs::new(RunsConfig {
        incarnation: 1,
        buffer_bytes: 64,
        once_retention: Duration::from_hours(25),
    });
    for (number, step) in trace.step.iter().enumerate() {
        let actions = runs.handle(Duration::from_millis(step.at), event(step));
        let described: Vec<_> = actions.iter().map(describe).collect();
        assert_eq!(
            described,
            step.say,
            "{}: step {}",
            path.display(),
            number + 1
        );
        if let Some(charged) = step.charged {
            let evidence = runs.charges().evidence(&"r1".into(), 1);
            let sum: Tokens = evidence.charges.iter().map(|c| c.charged).sum();
            assert_eq!(sum, charged, "{}: step {}", path.display(), number + 1);
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = replay, root = "../../traces", pattern = r"\.toml$" },
}
