//! Three kinds of failed request, explained out of the log and the metrics alone, as
//! docs/OPERATIONS.md shows it. Without one of the lines on that way these tests fail.

use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvilreel::logs::{LogLimits, to_writer};
use anvilreel::metrics::Metrics;
use anvilreel::operator::{Explanation, explain};

use crate::client::Client;
use crate::endpoint::{Endpoint, Step, answer, answer_with, chunk, event, stream_head};
use crate::fleet::Fleet;

/// What was written so far.
#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("a buffer").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Written {
    async fn explain(&self, request: &str) -> Explanation {
        // Lines are gathered for a moment before they are written.
        tokio::time::sleep(Duration::from_millis(300)).await;
        explain(request, [("gateway-1", &*self.text())].into_iter())
    }

    fn text(&self) -> String {
        let text = self.0.lock().expect("a buffer").clone();
        String::from_utf8(text).expect("text")
    }
}

async fn logged(endpoints: &[(&str, &Endpoint)]) -> (Fleet, Written, impl Fn() -> String + use<>) {
    let written = Written::default();
    let (log, dropped) = to_writer(written.clone(), LogLimits::default());
    let (metrics, board) = Metrics::kept("gateway");
    let fleet = Fleet::start_with(endpoints, log, metrics).await;
    assert_eq!(dropped.count(), 0);
    (fleet, written, move || board.text())
}

/// A clerk is refused although engines are idle. The request's line says that money lacked because
/// the ledger could not be reached, and for how long it had not been.
#[tokio::test]
async fn refused_though_there_was_room() {
    let idle = Endpoint::start(|_, _| vec![Step::Hang]).await;
    let (fleet, written, metrics) = logged(&[("engine-1", &idle)]).await;
    let mut client = Client::connect(fleet.addr).await;
    let headers = "x-key: key\r\nx-tokens: 100,30\r\n";
    let got = client.ask("/stream/x", "refused-1", headers).await;
    assert!(matches!(got.status, 429 | 503), "{got:?}");
    let told = written.explain("refused-1").await;
    let line = told.lines.last().expect("the request's line");
    assert_eq!(line.message, "gateway_request_failed");
    assert!(
        line.values["steps"].contains("LedgerUnreachable"),
        "{line:?}"
    );
    assert!(line.values["held_ms"].parse::<u64>().is_ok());
    assert_eq!(line.values["organisation"], "co-op");
    assert!(idle.received().is_empty());
    let outcome = &line.values["outcome"];
    assert!(metrics().contains(&format!("anvilreel_gateway_requests_{outcome} 1")));
}

/// A stream breaks off at its reader. The request's lines name the endpoint that broke it off,
/// after which event, and that nobody else might go on; a belief says that it is passed over.
#[tokio::test]
async fn a_stream_that_broke_off() {
    let broken = Endpoint::start(|_, req| {
        vec![
            Step::Send(stream_head(req)),
            Step::Send(chunk(&event(1))),
            Step::Pause(Duration::from_millis(100)),
            Step::Reset,
        ]
    })
    .await;
    let (fleet, written, metrics) = logged(&[("engine-1", &broken)]).await;
    let mut client = Client::connect(fleet.addr).await;
    assert!(!client.ask("/stream/x", "broken-1", "").await.whole);
    let told = written.explain("broken-1").await;
    let shut = told
        .lines
        .iter()
        .find(|l| l.message == "gateway_endpoint_shut");
    assert_eq!(shut.expect("a belief").values["endpoint"], "engine-1");
    let line = told.lines.last().expect("the request's line");
    assert_eq!(line.values["outcome"], "answer_lost");
    let steps = &line.values["steps"];
    assert!(
        steps.contains("to engine-1") && steps.contains("own, no report"),
        "{steps}"
    );
    assert!(
        steps.contains("engine-1 broke off after Some(1)"),
        "{steps}"
    );
    assert!(metrics().contains("anvilreel_gateway_requests_answer_lost 1"));
    assert!(metrics().contains("anvilreel_gateway_endpoints_shut") || broken.received().len() == 1);
}

/// A member asks whether an order was placed; its outcome is unknown. The line names the one
/// endpoint that it was sent to, and why its answer is missing, so that the service can be asked.
#[tokio::test]
async fn an_order_with_an_unknown_outcome() {
    let lost = Endpoint::start(|_, _| vec![Step::Reset]).await;
    let (fleet, written, metrics) = logged(&[("desk-1", &lost)]).await;
    let mut client = Client::connect(fleet.addr).await;
    assert_eq!(client.ask("/once/x", "order-1", "").await.status, 502);
    let told = written.explain("order-1").await;
    let line = told.lines.last().expect("the request's line");
    assert_eq!(line.values["outcome"], "answer_lost");
    assert_eq!(line.values["route"], "once");
    let steps = &line.values["steps"];
    assert!(
        steps.contains("to desk-1") && steps.contains("in doubt: Lost"),
        "{steps}"
    );
    assert!(metrics().contains("anvilreel_gateway_tries_in_doubt 1"));
    assert_eq!(told.unreadable, 0);
}

/// Guards against crashes that can't be told from lost connections, nor their request from its neighbours.
#[tokio::test]
async fn a_request_under_which_an_endpoint_crashed() {
    let crashing = Endpoint::start(|_, _| vec![Step::Crash]).await;
    let (fleet, written, _) = logged(&[("engine-1", &crashing)]).await;
    let mut client = Client::connect(fleet.addr).await;
    assert_eq!(client.ask("/once/x", "crash-1", "").await.status, 502);
    let told = written.explain("crash-1").await;
    let line = told.lines.last().expect("the request's line");
    let content = &line.values["content"];
    let text = written.text();
    let crash = text
        .lines()
        .find(|line| line.contains("gateway_endpoint_crashed"));
    let crash = crash.expect("a line on the crash");
    assert!(crash.contains("engine-1"), "{crash}");
    assert!(crash.contains("Refused"), "{crash}");
    assert!(crash.contains(content), "{crash}");
}

/// Guards against a request whose refusal can't be explained: for which crashes, and who told of them.
#[tokio::test]
async fn a_request_in_quarantine() {
    let crashing = |_| Endpoint::start(|_, _| vec![Step::Crash]);
    let endpoints = futures::future::join_all((0..4).map(crashing)).await;
    let names = ["engine-1", "engine-2", "engine-3", "engine-4"];
    let listed: Vec<_> = names.into_iter().zip(&endpoints).collect();
    let (fleet, written, metrics) = logged(&listed).await;
    for status in [502, 502, 502, 503] {
        let mut client = Client::connect(fleet.addr).await;
        let got = client
            .ask("/once/x", &format!("quarantine-{status}"), "")
            .await;
        assert_eq!(got.status, status);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let told = written.explain("quarantine-503").await;
    let line = told.lines.last().expect("the request's line");
    assert_eq!(line.values["outcome"], "crashes_endpoints");
    let steps = &line.values["steps"];
    assert!(
        steps.contains("engine-") && steps.contains("seen here"),
        "{steps}"
    );
    assert!(metrics().contains("anvilreel_gateway_requests_crashes_endpoints 1"));
    assert!(metrics().contains("anvilreel_gateway_endpoints_crashed 3"));
}

/// Guards against a lost connection that is told as a crash.
#[tokio::test]
async fn a_lost_connection_is_no_crash() {
    let lossy = Endpoint::start(|_, _| vec![Step::Reset]).await;
    let (fleet, written, _) = logged(&[("desk-1", &lossy)]).await;
    let mut client = Client::connect(fleet.addr).await;
    assert_eq!(client.ask("/once/x", "lost-1", "").await.status, 502);
    let told = written.explain("lost-1").await;
    assert!(
        told.lines
            .last()
            .expect("a line")
            .values
            .contains_key("content")
    );
    assert!(!written.text().contains("gateway_endpoint_crashed"));
}

/// Guards against an endpoint's limit that can't be found in the logs, nor its end.
#[tokio::test]
async fn an_endpoint_that_announces_a_limit() {
    let endpoint = Endpoint::start(|number, req| {
        let limit = ["", "x-limit: 2500\r\n", "x-limit: 2500\r\n", ""][number];
        vec![Step::Send(answer_with(req, limit, "ran"))]
    })
    .await;
    let (fleet, written, _) = logged(&[("engine-1", &endpoint)]).await;
    fleet.gw.gateway_count.store(1, Ordering::Relaxed);
    let mut client = Client::connect(fleet.addr).await;
    for number in 0..4 {
        tokio::time::sleep(Duration::from_millis(450)).await;
        let got = client.ask("/once/x", &format!("id-{number}"), "").await;
        assert_eq!(got.status, 200);
    }
    written.explain("id-3").await;
    let text = written.text();
    let lines = text
        .lines()
        .filter(|line| line.contains("gateway_endpoint_limit"));
    let lines: Vec<_> = lines.collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[0].contains("2500") && !lines[1].contains("2500"),
        "{lines:?}"
    );
}

/// Standard output's reader has stopped. Requests are answered all the same, at once; what can't
/// be kept is counted.
#[tokio::test]
async fn a_log_that_nobody_reads_delays_no_request() {
    struct Stuck;
    impl Write for Stuck {
        fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
            std::thread::sleep(Duration::from_hours(1));
            Ok(0)
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let good = Endpoint::start(|_, req| vec![Step::Send(answer(req, "ran"))]).await;
    let limits = LogLimits {
        bytes_per_second: 1_000_000,
        lines_per_second: 10_000,
        waiting_bytes: 20_000,
    };
    let (log, dropped) = to_writer(Stuck, limits);
    let fleet = Fleet::start_with(&[("a", &good)], log, Metrics::silent("gateway")).await;
    let mut client = Client::connect(fleet.addr).await;
    let begun = std::time::Instant::now();
    for number in 0..200 {
        let got = client.ask("/once/x", &format!("id-{number}"), "").await;
        assert_eq!(got.status, 200);
    }
    assert!(begun.elapsed() < Duration::from_secs(5));
    assert!(dropped.count() > 0);
}

/// Far more is logged than is allowed. Lines on work that went well go first; those that explain a
/// failure are written, and a line says how many are missing.
#[tokio::test]
async fn under_a_flood_failures_are_still_logged() {
    let written = Written::default();
    let limits = LogLimits {
        bytes_per_second: 20_000,
        lines_per_second: 10_000,
        waiting_bytes: 40_000,
    };
    let (log, dropped) = to_writer(written.clone(), limits);
    for number in 0..500 {
        slog::info!(log, "fine"; "request" => number);
    }
    slog::warn!(log, "failed"; "request" => "x");
    tokio::time::sleep(Duration::from_millis(300)).await;
    slog::warn!(log, "later"; "request" => "y");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let text = written.text();
    assert!(text.contains("\"failed\"") && text.contains("\"later\""));
    let bytes = text
        .lines()
        .filter(|line| line.contains("fine"))
        .map(str::len)
        .sum::<usize>();
    assert!(bytes <= 12_000, "{bytes} bytes of ordinary lines");
    assert!(text.contains("log_lines_dropped"));
    assert!(dropped.count() > 100);
}

/// Lines are short and many; whoever reads the log pays for each. So lines are bounded as well, and
/// one that explains a failure has room in the end.
#[tokio::test]
async fn lines_are_bounded_as_bytes_are() {
    let written = Written::default();
    let limits = LogLimits {
        bytes_per_second: 1_000_000,
        lines_per_second: 40,
        waiting_bytes: 1_000_000,
    };
    let (log, dropped) = to_writer(written.clone(), limits);
    for number in 0..200 {
        slog::info!(log, "fine"; "request" => number);
    }
    slog::warn!(log, "failed"; "request" => "x");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let text = written.text();
    let fine = text.lines().filter(|line| line.contains("fine")).count();
    assert!((15..=30).contains(&fine), "{fine}");
    assert!(text.contains("\"failed\""));
    assert!(dropped.count() >= 170);
}
