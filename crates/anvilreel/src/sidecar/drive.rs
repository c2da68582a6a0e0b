//! Drives one run at the endpoint from its start to its end.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{Head, RunEnd, Work};
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_128;

use super::Core;
use super::engine::{self, Ask, EngineStream, Said};
use super::http::EndpointError;
use super::run::Run;
use crate::event;
use crate::events;

/// How often a broken stream is resumed before the run is given up here.
const RESUMES: u32 = 3;
/// Pause before a broken stream is resumed.
const RESUME_AFTER: Duration = Duration::from_millis(50);
/// Bytes that a token takes on average: for the estimate of a cancelled run.
const USUAL_TOKEN_BYTES: u64 = 4;

/// How a run came to its end.
struct Ending {
    outcome: Outcome,
    usage: Usage,
    finish: Arc<str>,
}

/// Drives a fresh run to its end and records it.
pub async fn drive(core: Arc<Core>, run: Arc<Run>) {
    let deadline = Instant::now() + run.start.time_left;
    let ending = tokio::select! {
        ending = work(&core, &run) => ending,
        () = run.cancelled() => cancelled(&core, &run, "cancelled").await,
        () = tokio::time::sleep_until(deadline) => cancelled(&core, &run, "timeout").await,
    };
    let end = end_of(&run, ending);
    run.finish(core.life.now(), end);
}

async fn work(core: &Core, run: &Run) -> Ending {
    match &run.start.work {
        Work::Chat {
            body, max_output, ..
        } => chat(core, run, body, *max_output).await,
        Work::Plain {
            method,
            tail,
            headers,
            body,
        } => plain(core, run, (method, tail), headers, body.clone()).await,
    }
}

async fn chat(core: &Core, run: &Run, body: &[u8], max_output: Tokens) -> Ending {
    let run_id = run_id(core, run);
    let prefix = run.so_far();
    let ask = Ask {
        body,
        max_output,
        priority: match run.start.class {
            WorkClass::Interactive => 0,
            WorkClass::Batch => 10,
        },
        run_id: &run_id,
        prefix: &prefix,
    };
    let mut stream = match engine::chat(&core.client, &ask).await {
        Ok(stream) => stream,
        Err(e) => return failed(core, run, &e),
    };
    let mut resumes = 0;
    loop {
        match read_to_end(run, &mut stream).await {
            Ok(ending) => return ending,
            Err(e) if resumes == RESUMES => return failed(core, run, &e),
            Err(_) => {}
        }
        resumes += 1;
        sleep(RESUME_AFTER).await;
        match engine::resume(&core.client, &run_id, run.length()).await {
            Ok(again) => stream = again,
            Err(e) => return failed(core, run, &e),
        }
    }
}

async fn read_to_end(run: &Run, stream: &mut EngineStream) -> Result<Ending, EndpointError> {
    let mut usage = Usage::default();
    let mut finish: Arc<str> = "stop".into();
    loop {
        match stream.next().await? {
            Said::Text(text) => run.push(text.as_bytes()),
            Said::Finish(why) => finish = why,
            Said::Usage(used) => usage = used,
            Said::Done => {
                let outcome = Outcome::Completed(usage);
                return Ok(Ending {
                    outcome,
                    usage,
                    finish,
                });
            }
        }
    }
}

async fn plain(
    core: &Core,
    run: &Run,
    (method, tail): (&str, &str),
    headers: &[(Arc<str>, Bytes)],
    body: Bytes,
) -> Ending {
    let tail = format!("/{tail}");
    match plain_call(core, run, method, &tail, headers, body).await {
        Ok(()) => {
            let usage = Usage {
                calls: 1,
                ..Usage::default()
            };
            Ending {
                outcome: Outcome::Completed(usage),
                usage,
                finish: "stop".into(),
            }
        }
        Err(e) => failed(core, run, &e),
    }
}

async fn plain_call(
    core: &Core,
    run: &Run,
    method: &str,
    tail: &str,
    headers: &[(Arc<str>, Bytes)],
    body: Bytes,
) -> Result<(), EndpointError> {
    let answer = core.client.send(method, tail, headers, body).await?;
    let (parts, mut body) = answer.into_parts();
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| {
        (
            name.as_str().into(),
            Bytes::copy_from_slice(value.as_bytes()),
        )
    });
    run.set_head(Head {
        status: parts.status.as_u16(),
        headers: headers.collect(),
    });
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| EndpointError::Broken { source })?;
        if let Ok(data) = frame.into_data() {
            run.push(&data);
        }
    }
    Ok(())
}

/// The end of a run whose endpoint failed. Only where the endpoint certainly ran nothing is it
/// "not run".
fn failed(core: &Core, run: &Run, e: &EndpointError) -> Ending {
    let key = run.start.key.id.to_string();
    event!(core.log, events::SIDECAR_ENGINE_BROKEN, "key" => key, "error" => e.to_string());
    let is_chat = matches!(run.start.work, Work::Chat { .. });
    let refused = matches!(e, EndpointError::Status { .. });
    let outcome = if e.never_ran() || (is_chat && refused && run.length() == 0) {
        Outcome::NotRun(Refusal::new(Reason::EndpointRefused).with_retry_after(super::SOON))
    } else {
        Outcome::Unknown(Doubt::EndpointLost)
    };
    Ending {
        outcome,
        usage: Usage::default(),
        finish: "error".into(),
    }
}

async fn cancelled(core: &Core, run: &Run, finish: &str) -> Ending {
    let Work::Chat { body, .. } = &run.start.work else {
        let usage = Usage {
            calls: 1,
            ..Usage::default()
        };
        let outcome = Outcome::Unknown(Doubt::EndpointLost);
        return Ending {
            outcome,
            usage,
            finish: finish.into(),
        };
    };
    // An engine that can't be reached runs nothing that could be cancelled.
    let _ = engine::cancel(&core.client, &run_id(core, run)).await;
    // The engine reports no usage of a cancelled run, so it is estimated from the bytes.
    let bytes = u64::try_from(body.len()).unwrap_or(u64::MAX);
    let usage = Usage {
        prompt: bytes.div_ceil(USUAL_TOKEN_BYTES),
        output: run.length().div_ceil(USUAL_TOKEN_BYTES),
        calls: 0,
    };
    Ending {
        outcome: Outcome::Completed(usage),
        usage,
        finish: finish.into(),
    }
}

fn end_of(run: &Run, ending: Ending) -> RunEnd {
    let payment = &run.start.payment;
    let cost = match &ending.outcome {
        Outcome::Completed(usage) => payment.price.of(*usage).min(payment.bound),
        Outcome::NotRun(_) | Outcome::Unknown(_) => 0,
    };
    let parts = payment.split.divide(cost);
    let charged = parts.filter_map(|(budget, tokens)| {
        let (grant, reserved) = payment.grants.get(budget)?;
        Some((*grant, tokens.min(*reserved)))
    });
    let mut by_grant: BTreeMap<GrantId, Tokens> = BTreeMap::new();
    for (grant, tokens) in charged {
        *by_grant.entry(grant).or_default() += tokens;
    }
    RunEnd {
        key: run.start.key.clone(),
        length: run.length(),
        usage: ending.usage,
        outcome: ending.outcome,
        finish: ending.finish,
        charged: by_grant,
    }
}

/// Names the run at the engine, also where the caller's key holds characters of URLs.
fn run_id(core: &Core, run: &Run) -> String {
    let key = &run.start.key;
    let name = format!("{}/{}/{}", core.life.incarnation, key.team, key.id);
    format!("{:032x}", xxh3_128(name.as_bytes()))
}
