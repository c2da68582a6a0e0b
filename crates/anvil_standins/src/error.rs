//! Failures of the stand-ins and the load tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// What can go wrong.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The address can't be listened on.
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A request got no answer.
    #[snafu(display("no answer from {url}: {source}"))]
    Request {
        /// Where it went.
        url: String,
        /// Why.
        source: hyper_util::client::legacy::Error,
    },
    /// An answer broke off.
    #[snafu(display("the answer of {url} broke off: {source}"))]
    Broken {
        /// Where it came from.
        url: String,
        /// Why.
        source: hyper::Error,
    },
    /// Text that is no address or path of a request.
    #[snafu(display("{url} is no URL that can be asked: {source}"))]
    Url {
        /// The text.
        url: String,
        /// Why.
        source: http::Error,
    },
    /// JSON of an unexpected form.
    #[snafu(display("unexpected JSON: {source}"))]
    Json {
        /// Where and why.
        source: serde_json::Error,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A scenario that is not accepted.
    #[snafu(display("{}: {source}", path.display()))]
    Scenario {
        /// The file.
        path: PathBuf,
        /// Line and cause.
        source: anvil_world::SettingsError,
    },
    /// A plot can't be drawn.
    #[snafu(display("can't draw {}: {message}", path.display()))]
    Plot {
        /// The file.
        path: PathBuf,
        /// What the drawing library said.
        message: String,
    },
    /// A process of the fleet does not serve in time.
    #[snafu(display("{url} does not say that it is ready"))]
    NotReady {
        /// What was asked.
        url: String,
    },
    /// The operators' client did not get its work done in time.
    #[snafu(display("the operators' client: {said}"))]
    Operator {
        /// What it wrote last.
        said: String,
    },
}
