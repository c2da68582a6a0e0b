//! What a client is told whose connection is ended outside of a request.

use std::fmt::Write as _;
use std::io;
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Longest time to write a refusal: it fits into the buffer of a socket whose client reads.
const WRITE_TIME: Duration = Duration::from_secs(1);
/// Longest time in which bytes that are still on their way are read and dropped.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Most bytes that are read and dropped.
const LINGER_BYTES: usize = 1 << 20;
/// Bytes that are dropped at a time.
const LINGER_BUFFER_BYTES: usize = 8 << 10;
/// Time after which a client may return that did not send its head in time, or had to make room.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Why a connection is ended outside of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// The head of a request is longer than it may be.
    HeadTooLong,
    /// The head of a request did not come in time.
    HeadTimeout,
    /// It had no request for too long.
    Idle,
    /// It made room for another connection within a head.
    Evicted,
}

impl Violation {
    /// Status of the refusal; `None` if the client has not begun a request, so that nothing is said.
    fn status(self) -> Option<StatusCode> {
        match self {
            Self::HeadTooLong => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            Self::HeadTimeout => Some(StatusCode::REQUEST_TIMEOUT),
            Self::Evicted => Some(StatusCode::SERVICE_UNAVAILABLE),
            Self::Idle => None,
        }
    }

    /// Text for the log and for the client.
    pub fn text(self) -> &'static str {
        match self {
            Self::HeadTooLong => "head_too_long",
            Self::HeadTimeout => "head_late",
            Self::Idle => "idle",
            Self::Evicted => "overloaded",
        }
    }

    /// The refusal as it is sent: the request has not run and never will.
    fn response(self) -> Option<String> {
        let status = self.status()?;
        let may_retry = self != Self::HeadTooLong;
        let kind = self.text();
        let body = format!(r#"{{"error":{{"type":"{kind}","outcome":"not_run","billed":false}}}}"#);
        let mut text = format!("HTTP/1.1 {} {kind}\r\n", status.as_u16());
        text += "content-type: application/json\r\nconnection: close\r\n";
        if may_retry {
            // Writing to a string can't fail.
            let _ = write!(text, "retry-after: {:.3}\r\n", RETRY_AFTER.as_secs_f64());
        }
        let _ = write!(text, "content-length: {}\r\n\r\n{body}", body.len());
        Some(text)
    }
}

/// Tells the client why its connection ends, and closes it.
pub(crate) async fn refuse<S>(socket: &mut S, violation: Violation)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let Some(response) = violation.response() else {
        return;
    };
    let written = timeout(WRITE_TIME, socket.write_all(response.as_bytes())).await;
    match (written, violation) {
        // It is sending the rest of its head.
        (Ok(Ok(())), Violation::HeadTooLong) => linger(socket).await,
        (Ok(Ok(())), _) => linger_if_unread(socket).await,
        _ => {}
    }
}

/// Ends a connection from which not everything has been read.
pub(crate) async fn linger_if_unread<S>(socket: &mut S)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut byte = [0];
    let unread = socket.read(&mut byte).now_or_never();
    if matches!(unread, Some(Ok(1))) {
        linger(socket).await;
    }
}

/// Ends a connection whose client may still be sending.
///
/// Failure: closing a connection with unread bytes resets it, and the client loses the response that it
/// has not read yet. So bytes that are on their way are read and dropped for a moment.
async fn linger<S>(socket: &mut S)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    // An error in each case means that the connection has ended already.
    let _ = timeout(LINGER_TIME, drop_rest(socket)).await;
}

async fn drop_rest<S>(socket: &mut S) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    socket.shutdown().await?;
    let mut buf = vec![0; LINGER_BUFFER_BYTES];
    let mut dropped = 0;
    while dropped < LINGER_BYTES {
        let read = socket.read(&mut buf).await?;
        if read == 0 {
            break;
        }
        dropped += read;
    }
    Ok(())
}
