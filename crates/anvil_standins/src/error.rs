//! Errors of the stand-ins and the load tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// Any error of this crate.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Listening on the address failed.
    #[snafu(display("listening on {addr} failed: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A request got no response.
    #[snafu(display("request to {url} failed: {source}"))]
    Request {
        /// The requested URL.
        url: String,
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// A response ended early.
    #[snafu(display("response of {url} ended early: {source}"))]
    Broken {
        /// The requested URL.
        url: String,
        /// The cause.
        source: hyper::Error,
    },
    /// The text is not a valid request URL.
    #[snafu(display("invalid request URL {url}: {source}"))]
    Url {
        /// The text.
        url: String,
        /// The cause.
        source: http::Error,
    },
    /// JSON of an unexpected shape.
    #[snafu(display("unexpected JSON: {source}"))]
    Json {
        /// The position and the cause.
        source: serde_json::Error,
    },
    /// Reading or writing a file failed.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A scenario file is invalid.
    #[snafu(display("{}: {source}", path.display()))]
    Scenario {
        /// The file.
        path: PathBuf,
        /// The line and the cause.
        source: anvil_world::SettingsError,
    },
    /// Drawing a plot failed.
    #[snafu(display("drawing {} failed: {message}", path.display()))]
    Plot {
        /// The file.
        path: PathBuf,
        /// The drawing library's error.
        message: String,
    },
    /// A router of the fleet is not ready in time.
    #[snafu(display("router is not ready: {url} did not answer with success in time"))]
    NotReady {
        /// The readiness URL.
        url: String,
    },
    /// The operators' client did not succeed in time.
    #[snafu(display("operators' client failed: {stderr}"))]
    Operator {
        /// Its last output on standard error.
        stderr: String,
    },
}
