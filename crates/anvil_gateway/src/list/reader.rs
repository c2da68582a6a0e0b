//! Reads the platform's list of endpoints, page by page.

use std::time::Duration;

use anvil_wire::msg::ListedEndpoint;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::dialect::{ListPage, ListSource};
use crate::pool::MAX_READ_BYTES;

/// Longest wait for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of pages of one list.
const MAX_PAGES: usize = 200;
/// Longest page, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// A failed reading of the list.
#[derive(Debug, Snafu)]
pub enum ListError {
    /// A page did not arrive in time.
    #[snafu(display("reading the endpoint list failed: no response within {PAGE_TIMEOUT:?}"))]
    Timeout,
    /// The connection failed, or a page can't be parsed.
    #[snafu(display("reading the endpoint list failed: {details}"))]
    Failed {
        /// Details.
        details: String,
    },
    /// The platform returned an error.
    #[snafu(display("reading the endpoint list failed: status {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The list has too many pages.
    #[snafu(display("reading the endpoint list failed: more than {MAX_PAGES} pages"))]
    TooManyPages,
}

/// One connection to the platform's list, kept between readings.
#[derive(Default)]
pub struct ListReader {
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl ListReader {
    /// All entries, and how many entries can't be parsed.
    pub async fn read_list(
        &mut self,
        source: &ListSource,
    ) -> Result<(Vec<ListedEndpoint>, u32), ListError> {
        let listed = self.read_pages(source).await;
        if listed.is_err() {
            self.sender = None;
        }
        listed
    }

    async fn read_pages(
        &mut self,
        source: &ListSource,
    ) -> Result<(Vec<ListedEndpoint>, u32), ListError> {
        let mut listed = Vec::new();
        let mut unreadable = 0;
        let mut path = source.first_page_path.clone();
        for _ in 0..MAX_PAGES {
            let reading = timeout(PAGE_TIMEOUT, self.read_page(source, &path)).await;
            let page = reading.unwrap_or(Err(ListError::Timeout))?;
            listed.extend(page.listed);
            unreadable += page.unreadable;
            match page.next_path {
                Some(next) => path = next,
                None => return Ok((listed, unreadable)),
            }
        }
        TooManyPagesSnafu.fail()
    }

    async fn read_page(&mut self, source: &ListSource, path: &str) -> Result<ListPage, ListError> {
        let failed = |details: String| ListError::Failed { details };
        let mut sender = match self.sender.take().filter(SendRequest::is_ready) {
            Some(sender) => sender,
            None => connect(source).await?,
        };
        let req = Request::get(path)
            .header(http::header::HOST, source.addr.to_string())
            .body(Full::default())
            .map_err(|e| failed(e.to_string()))?;
        let response = sender.send_request(req).await;
        let response = response.map_err(|e| failed(e.to_string()))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_PAGE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|e| failed(e.to_string()))?.to_bytes();
        self.sender = Some(sender);
        if !status.is_success() {
            let status = status.as_u16();
            return StatusSnafu { status }.fail();
        }
        (source.parse_page)(&body).map_err(failed)
    }
}

async fn connect(source: &ListSource) -> Result<SendRequest<Full<Bytes>>, ListError> {
    let failed = |details: String| ListError::Failed { details };
    let socket = TcpStream::connect(source.addr).await;
    let socket = socket.map_err(|e| failed(e.to_string()))?;
    let handshake = Builder::new()
        .max_buf_size(MAX_READ_BYTES)
        .handshake(TokioIo::new(socket))
        .await;
    let (sender, connection) = handshake.map_err(|e| failed(e.to_string()))?;
    tokio::spawn(async move {
        // An error reaches the caller that waits for the response.
        let _ = connection.await;
    });
    Ok(sender)
}
