//! Measures the latency that the router adds to a request, the throughput, and the memory of open
//! streams.
//!
//! Needs running daemons; docs/design/05-path.md gives the commands. `standins` serves an engine
//! without delays; `measure` calls it directly or through a router.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anvil_standins::client::Client;
use anvil_standins::engine;
use argh::FromArgs;
use bytes::Bytes;
use futures::future::join_all;
use http::Request;
use http_body_util::{BodyExt, Full};

const CHAT: &str = "/v1/chat/completions";
const WARM_UP_REQUESTS: usize = 300;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// measures the path from a caller to an engine
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Standins(Standins),
    Measure(Measure),
}

/// serve an engine
#[derive(FromArgs)]
#[argh(subcommand, name = "standins")]
struct Standins {
    /// where the engine listens
    #[argh(option)]
    listen: SocketAddr,
    /// microseconds for a token; 0 means no time for anything
    #[argh(option, default = "0")]
    token_time: u64,
    /// runs side by side
    #[argh(option, default = "2000")]
    slots: u32,
}

/// measure requests
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// the engine, or the router
    #[argh(option)]
    at: SocketAddr,
    /// bearer key; none for the engine itself
    #[argh(option)]
    bearer: Option<String>,
    /// requests in all
    #[argh(option, default = "2000")]
    requests: usize,
    /// requests side by side
    #[argh(option, default = "1")]
    side_by_side: usize,
    /// with an Idempotency-Key each, so that the key is claimed
    #[argh(switch)]
    named: bool,
    /// open so many streams, print the memory of this process id, and end
    #[argh(option)]
    streams_of: Option<u32>,
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Standins(args) => serve(args).await,
        Command::Measure(args) => measure(args).await,
    }
}

async fn serve(args: Standins) -> Result<(), Failure> {
    let cfg = engine::Config {
        listen: args.listen,
        token_time: Duration::from_micros(args.token_time),
        ..engine::Config::default().without_delays()
    };
    let engine = engine::start(cfg.with_slots(args.slots)).await?;
    println!("engine at {}", engine.addr());
    tokio::signal::ctrl_c().await?;
    Ok(())
}

struct Caller<'a> {
    args: &'a Measure,
    client: Client,
    url: String,
    run: u128,
}

impl Caller<'_> {
    fn request(&self, number: usize, body: &str) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut req = Request::post(&self.url).header("content-type", "application/json");
        if let Some(bearer) = &self.args.bearer {
            req = req.header("authorization", format!("Bearer {bearer}"));
        }
        if self.args.named {
            req = req.header("idempotency-key", format!("bench-{}-{number}", self.run));
        }
        req.body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
    }

    async fn send_one(&self, number: usize) -> Result<Duration, Failure> {
        let body = chat("tokens=1 short", false);
        let start = Instant::now();
        let response = self
            .client
            .fetch(&self.url, self.request(number, &body)?)
            .await?;
        if response.status != 200 {
            return Err(String::from_utf8_lossy(&response.body).into());
        }
        Ok(start.elapsed())
    }
}

fn chat(prompt: &str, stream: bool) -> String {
    format!(
        "{{\"model\":\"demo-chat\",\"stream\":{stream},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"{prompt}\"}}]}}"
    )
}

async fn measure(args: Measure) -> Result<(), Failure> {
    let since = std::time::UNIX_EPOCH.elapsed()?;
    let caller = Caller {
        client: Client::default(),
        url: format!("http://{}{CHAT}", args.at),
        run: since.as_micros(),
        args: &args,
    };
    if let Some(process) = args.streams_of {
        return streams(&caller, process).await;
    }
    for number in 0..WARM_UP_REQUESTS {
        caller.send_one(number).await?;
    }
    let start = Instant::now();
    let requests_each = args.requests / args.side_by_side;
    let workers = (0..args.side_by_side).map(|worker| {
        let caller = &caller;
        async move {
            let mut latencies = Vec::with_capacity(requests_each);
            for number in 0..requests_each {
                latencies.push(
                    caller
                        .send_one(WARM_UP_REQUESTS + worker * requests_each + number)
                        .await?,
                );
            }
            Ok::<_, Failure>(latencies)
        }
    });
    let mut latencies = Vec::new();
    for result in join_all(workers).await {
        latencies.extend(result?);
    }
    let elapsed = start.elapsed();
    latencies.sort_unstable();
    let rank = |of: usize| latencies[(latencies.len() - 1) * of / 100].as_micros();
    println!(
        "{} requests, {} side by side: median {} us, 99th {} us, {} requests/s",
        latencies.len(),
        args.side_by_side,
        rank(50),
        rank(99),
        latencies.len() as u128 * 1_000_000 / elapsed.as_micros().max(1),
    );
    Ok(())
}

async fn streams(caller: &Caller<'_>, process: u32) -> Result<(), Failure> {
    let before = resident(process)?;
    let opening = (0..caller.args.requests).map(|number| async move {
        let req = caller.request(number, &chat("tokens=400 long", true))?;
        let mut body = caller.client.send(&caller.url, req).await?.into_body();
        body.frame().await;
        Ok::<_, Failure>(body)
    });
    let mut open = Vec::new();
    for body in join_all(opening).await {
        open.push(body?);
    }
    let during = resident(process)?;
    println!(
        "{} streams open: {before} KiB before, {during} KiB with them",
        open.len()
    );
    Ok(())
}

/// Resident memory of a process, in KiB.
fn resident(process: u32) -> Result<u64, Failure> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    Ok(kib.ok_or("no VmRSS")?.parse()?)
}
