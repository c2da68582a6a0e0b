//! Performs one run at the endpoint: forwards the endpoint's events to the state machine, and the
//! state machine's commands to the endpoint.

use std::sync::Arc;
use std::time::Duration;

use anvil_wire::msg::{ResponseHead, StartRequest, Work};
use anvil_world::document::WorkClass;
use anvil_world::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_128;

use super::engine::{self, ChatRequest, EngineStream, StreamItem};
use super::http::{CallPurpose, EndpointClient, EndpointError};
use super::hub::Hub;
use crate::runs::{EndpointCommand, EndpointEvent, Event, RunId};

/// Maximum number of times the stream of one run is resumed.
const MAX_RESUMES: u32 = 3;
/// Pause before a broken stream is resumed.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Average bytes of a prompt token. Used to estimate the usage of a run that is stopped before the
/// engine has reported it.
const AVERAGE_TOKEN_BYTES: u64 = 4;
/// Engine priority of interactive work; lower is sooner.
const INTERACTIVE_PRIORITY: i32 = 0;
/// Engine priority of batch work, whose deadline is hours away.
const BATCH_PRIORITY: i32 = 10;

/// What is needed to perform one run.
pub struct Driver {
    /// Receives the events of the run.
    pub hub: Arc<Hub>,
    /// Client of the endpoint.
    pub client: EndpointClient,
    /// The run.
    pub run: RunId,
    /// The request.
    pub start: Arc<StartRequest>,
    /// The state machine's commands.
    pub commands: UnboundedReceiver<EndpointCommand>,
}

/// Performs a run until it ends.
pub async fn drive(mut driver: Driver) {
    let start = driver.start.clone();
    match &start.work {
        Work::Chat {
            body, max_output, ..
        } => {
            ChatRun::new(&start, body)
                .drive(&mut driver, *max_output)
                .await;
        }
        Work::Plain {
            method,
            tail,
            headers,
            body,
        } => driver.run_plain(method, tail, headers, body.clone()).await,
    }
    driver.hub.remove_driver(driver.run);
}

impl Driver {
    fn report(&self, event: EndpointEvent) {
        if let EndpointEvent::Lost { resumable, .. } = event {
            self.hub.log_broken_stream(self.run, resumable);
        }
        self.hub.feed(Event::Endpoint {
            run: self.run,
            event,
        });
    }

    /// Returns when the run is to be stopped.
    async fn wait_for_stop(&mut self) {
        // A closed channel counts as a stop: nobody is left who could continue the run.
        while let Some(command) = self.commands.recv().await {
            if command == EndpointCommand::Stop {
                return;
            }
        }
    }

    async fn run_plain(
        &mut self,
        method: &str,
        tail: &str,
        headers: &[(Arc<str>, Bytes)],
        body: Bytes,
    ) {
        let usage = Usage {
            calls: 1,
            ..Usage::default()
        };
        let (hub, run) = (self.hub.clone(), self.run);
        let report = move |event| hub.feed(Event::Endpoint { run, event });
        let client = self.client.clone();
        let tail = format!("/{tail}");
        let call = plain_call(&client, (method, &tail), headers, body, usage, &report);
        tokio::select! {
            result = call => match result {
                Ok(()) => self.report(EndpointEvent::Ended { usage, finish: "stop".into() }),
                Err(e) if e.never_ran() => self.report(EndpointEvent::Refused),
                Err(_) => self.report(EndpointEvent::Lost { usage, resumable: false }),
            },
            () = self.wait_for_stop() => {}
        }
    }
}

async fn plain_call(
    client: &EndpointClient,
    (method, tail): (&str, &str),
    headers: &[(Arc<str>, Bytes)],
    body: Bytes,
    usage: Usage,
    report: &impl Fn(EndpointEvent),
) -> Result<(), EndpointError> {
    let response = client
        .send(CallPurpose::Work, method, tail, headers, body)
        .await?;
    let (parts, mut body) = response.into_parts();
    let headers = parts.headers.iter().map(|(name, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().into(), value)
    });
    report(EndpointEvent::Head(ResponseHead {
        status: parts.status.as_u16(),
        headers: headers.collect(),
    }));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| EndpointError::Broken { source })?;
        if let Ok(bytes) = frame.into_data() {
            report(EndpointEvent::Output { bytes, usage });
        }
    }
    Ok(())
}

/// A chat run at an engine.
struct ChatRun<'a> {
    start: &'a StartRequest,
    body: &'a Bytes,
    run_id: String,
    /// Length of the whole answer so far, prefix included.
    length: Offset,
    usage: Usage,
    finish: Arc<str>,
    resumes: u32,
}

/// Why the reading of one stream ended.
enum StreamEnd {
    Done,
    Lost,
    Stopped,
    Resume,
}

impl<'a> ChatRun<'a> {
    fn new(start: &'a StartRequest, body: &'a Bytes) -> Self {
        let bytes = body.len() as u64;
        Self {
            start,
            body,
            run_id: run_id(start),
            length: start.prefix.len() as u64,
            // The engine reports its usage at the end. Until then the prompt is estimated, and each
            // event counts as one token, which is never more than the engine produced.
            usage: Usage {
                prompt: bytes / AVERAGE_TOKEN_BYTES,
                output: start.prefix_tokens,
                ..Usage::default()
            },
            finish: "stop".into(),
            resumes: 0,
        }
    }

    async fn drive(mut self, driver: &mut Driver, max_output: Tokens) {
        let request = ChatRequest {
            body: self.body,
            // The engine limits the whole answer; `max_output` is what remains of it.
            max_output: max_output + self.start.prefix_tokens,
            priority: match self.start.class {
                WorkClass::Interactive => INTERACTIVE_PRIORITY,
                WorkClass::Batch => BATCH_PRIORITY,
            },
            run_id: &self.run_id,
            prefix: &self.start.prefix,
        };
        let client = driver.client.clone();
        let opened = tokio::select! {
            opened = engine::chat(&client, &request) => opened,
            () = driver.wait_for_stop() => return self.stop(driver).await,
        };
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(e) => return report_failed_start(driver, &e),
        };
        loop {
            match self.read(driver, &mut stream).await {
                StreamEnd::Done => {
                    let (usage, finish) = (self.usage, self.finish);
                    return driver.report(EndpointEvent::Ended { usage, finish });
                }
                StreamEnd::Stopped => return self.stop(driver).await,
                StreamEnd::Lost => return,
                StreamEnd::Resume => match self.resume(driver).await {
                    Some(resumed) => stream = resumed,
                    None => return,
                },
            }
        }
    }

    /// Forwards items of the stream until it ends or a command ends the reading.
    async fn read(&mut self, driver: &mut Driver, stream: &mut EngineStream) -> StreamEnd {
        let mut paused = false;
        let mut broken = false;
        loop {
            tokio::select! {
                item = stream.next(), if !paused && !broken => match item {
                    Ok(StreamItem::Done) => return StreamEnd::Done,
                    Ok(item) => self.handle_item(driver, item),
                    Err(_) => {
                        // If the run is resumable, the state machine replies with a command.
                        broken = true;
                        let resumable = self.resumes < MAX_RESUMES;
                        self.resumes += 1;
                        let usage = self.usage;
                        driver.report(EndpointEvent::Lost { usage, resumable });
                        if !resumable {
                            return StreamEnd::Lost;
                        }
                    }
                },
                command = driver.commands.recv() => match command {
                    Some(EndpointCommand::Stop) | None => return StreamEnd::Stopped,
                    Some(EndpointCommand::Pause) => paused = true,
                    Some(EndpointCommand::Continue) => paused = false,
                    Some(EndpointCommand::Resume { .. }) => return StreamEnd::Resume,
                    Some(EndpointCommand::Begin(_)) => {}
                },
            }
        }
    }

    fn handle_item(&mut self, driver: &Driver, item: StreamItem) {
        match item {
            StreamItem::Text(text) => {
                self.length += text.len() as u64;
                self.usage.output += 1;
                let (bytes, usage) = (text.into(), self.usage);
                driver.report(EndpointEvent::Output { bytes, usage });
            }
            StreamItem::Finish(reason) => self.finish = reason,
            // Covers the whole answer, also when the engine continues one.
            StreamItem::Usage(usage) => self.usage = usage,
            StreamItem::Done => {}
        }
    }

    async fn resume(&mut self, driver: &Driver) -> Option<EngineStream> {
        sleep(RESUME_PAUSE).await;
        let resumed = engine::resume(&driver.client, &self.run_id, self.length).await;
        if resumed.is_err() {
            let (usage, resumable) = (self.usage, false);
            driver.report(EndpointEvent::Lost { usage, resumable });
        }
        resumed.ok()
    }

    async fn stop(&self, driver: &Driver) {
        // A failed cancel is ignored: an engine that can't be reached has no run left to cancel.
        let _ = engine::cancel(&driver.client, &self.run_id).await;
    }
}

fn report_failed_start(driver: &Driver, e: &EndpointError) {
    // A status other than 200 means that the engine runs nothing.
    if e.never_ran() || matches!(e, EndpointError::Status { .. }) {
        return driver.report(EndpointEvent::Refused);
    }
    let usage = Usage::default();
    driver.report(EndpointEvent::Lost {
        usage,
        resumable: false,
    });
}

/// The id of a run at the engine. Hashed, because the caller's key may contain characters that are
/// reserved in URLs.
fn run_id(start: &StartRequest) -> String {
    let key = &start.key;
    let name = format!("{}/{}/{}/{}", start.life, start.attempt, key.team, key.id);
    format!("{:032x}", xxh3_128(name.as_bytes()))
}
