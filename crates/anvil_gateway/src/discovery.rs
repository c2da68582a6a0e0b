//! Reads the platform's list of endpoints again and again.

use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilreel::event;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::dialect::{ListPage, ListSource, Listed};
use crate::gateway::Gateway;
use crate::log_events as events;

/// Longest wait for one page.
const PAGE_WITHIN: Duration = Duration::from_millis(700);
/// Most pages of one list.
const MOST_PAGES: usize = 200;
/// Longest page, in bytes.
const PAGE_BYTES: usize = 4 << 20;
/// Bounds of the pause before a list that is doubted is read again, drawn up to half as long again: a
/// list lags by less than a second, and a process that finds it old serves nobody meanwhile.
const DOUBTED_AFTER: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(500));
/// Part of the calls that the list answers which are used when all gateways doubt it at once.
const RATE_PART: f64 = 0.8;
/// Pause after a list that could not be had.
const AGAIN: Duration = Duration::from_millis(400);

/// A list that could not be had.
#[derive(Debug, Snafu)]
enum ListError {
    #[snafu(display("no answer within {PAGE_WITHIN:?}"))]
    Slow,
    #[snafu(display("{why}"))]
    Lost { why: String },
    #[snafu(display("status {status}"))]
    Status { status: u16 },
    #[snafu(display("more than {MOST_PAGES} pages"))]
    Endless,
}

/// One connection to the list, kept between looks.
#[derive(Default)]
struct Reader {
    sender: Option<SendRequest<Full<Bytes>>>,
}

/// Looks at the list for as long as the process lives.
pub async fn run(gw: &Gateway) {
    let mut reader = Reader::default();
    let mut lost = false;
    loop {
        match reader.list(&gw.cfg.list).await {
            Ok((listed, unreadable)) => {
                if lost {
                    event!(gw.log, events::GATEWAY_LIST_BACK);
                }
                lost = false;
                take(gw, &listed, unreadable);
                until_next_look(gw).await;
            }
            Err(e) => {
                reader.sender = None;
                if !lost {
                    event!(gw.log, events::GATEWAY_LIST_LOST, "error" => e.to_string());
                }
                lost = true;
                sleep(AGAIN).await;
            }
        }
    }
}

/// Waits until the list is due, or sooner when it is doubted.
///
/// Failure: all endpoints lose power and are back within a second, in other lives. A gateway that
/// has just read the list has nobody to send requests to until it reads it again.
async fn until_next_look(gw: &Gateway) {
    // Gateways that started together must not ask together for ever.
    let due = gw.cfg.list_every.mul_f64(rand::random_range(0.9..1.1));
    let doubted = async {
        sleep(doubted_after(gw).mul_f64(rand::random_range(1.0..1.5))).await;
        gw.list_doubted.notified().await;
    };
    tokio::select! {
        () = sleep(due) => {}
        () = doubted => {}
    }
}

/// Pause before a doubted list is read again, so long that all gateways together stay within what
/// the list answers.
fn doubted_after(gw: &Gateway) -> Duration {
    let gateways = f64::from(gw.gateways.load(Ordering::Relaxed));
    let pause = gateways / (RATE_PART * gw.cfg.list.calls_per_second);
    let pause = Duration::try_from_secs_f64(pause).unwrap_or(DOUBTED_AFTER.1);
    pause.clamp(DOUBTED_AFTER.0, DOUBTED_AFTER.1)
}

fn take(gw: &Gateway, listed: &[Listed], unreadable: u32) {
    gw.listed.store(gw.now_ms(), Ordering::Relaxed);
    let changes = gw.directory.take(listed);
    if !changes.is_empty() {
        gw.news.notify_waiters();
        event!(
            gw.log, events::GATEWAY_ENDPOINTS_CHANGED, "listed" => listed.len(),
            "unreadable" => unreadable, "came" => format!("{:?}", changes.came),
            "leaving" => format!("{:?}", changes.leaving), "gone" => format!("{:?}", changes.gone)
        );
    }
}

impl Reader {
    /// All pages.
    async fn list(&mut self, source: &ListSource) -> Result<(Vec<Listed>, u32), ListError> {
        let mut listed = Vec::new();
        let mut unreadable = 0;
        let mut path = source.path.clone();
        for _ in 0..MOST_PAGES {
            let reading = timeout(PAGE_WITHIN, self.page(source, &path)).await;
            let page = reading.unwrap_or(Err(ListError::Slow))?;
            listed.extend(page.listed);
            unreadable += page.unreadable;
            match page.next {
                Some(next) => path = next,
                None => return Ok((listed, unreadable)),
            }
        }
        EndlessSnafu.fail()
    }

    async fn page(&mut self, source: &ListSource, path: &str) -> Result<ListPage, ListError> {
        let lost = |why: String| ListError::Lost { why };
        let mut sender = match self.sender.take().filter(SendRequest::is_ready) {
            Some(sender) => sender,
            None => connect(source).await?,
        };
        let req = Request::get(path)
            .header(http::header::HOST, source.addr.to_string())
            .body(Full::default())
            .map_err(|e| lost(e.to_string()))?;
        let answer = sender.send_request(req).await;
        let answer = answer.map_err(|e| lost(e.to_string()))?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), PAGE_BYTES).collect().await;
        let body = body.map_err(|e| lost(e.to_string()))?.to_bytes();
        self.sender = Some(sender);
        if !status.is_success() {
            let status = status.as_u16();
            return StatusSnafu { status }.fail();
        }
        (source.page)(&body).map_err(lost)
    }
}

async fn connect(source: &ListSource) -> Result<SendRequest<Full<Bytes>>, ListError> {
    let lost = |why: String| ListError::Lost { why };
    let socket = TcpStream::connect(source.addr).await;
    let socket = socket.map_err(|e| lost(e.to_string()))?;
    let handshake = Builder::new().handshake(TokioIo::new(socket)).await;
    let (sender, connection) = handshake.map_err(|e| lost(e.to_string()))?;
    tokio::spawn(async move {
        // Its error reaches whoever waits for the answer.
        let _ = connection.await;
    });
    Ok(sender)
}
