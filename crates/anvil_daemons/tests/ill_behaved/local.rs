//! `anvilreel local` as a process.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};

use tempfile::TempDir;

use crate::crowd::{Crowd, Sent};
use crate::exchange::until_served;
use crate::usage::{Peak, Watch};

/// Memory that a router assumes whose settings state none, in bytes.
const MEMORY_BYTES: u64 = 256_000_000;
/// Key of the demo's team.
const KEY: &str = "demo-key";

/// Head of a chat request, without the empty line at its end.
pub fn chat_head() -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: local\r\nauthorization: Bearer {KEY}\r\ncontent-type: application/json\r\n"
    )
}

fn ordinary_request() -> Vec<u8> {
    let body = r#"{"model":"demo-chat","messages":[{"role":"user","content":"hello"}]}"#;
    format!(
        "{}content-length: {}\r\n\r\n{body}",
        chat_head(),
        body.len()
    )
    .into_bytes()
}

/// The process. Dropping it ends it.
pub struct Local {
    addr: SocketAddr,
    child: Child,
    _folder: TempDir,
}

impl Local {
    /// Starts it, and returns when it serves.
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let ip = Ipv4Addr::new(127, rand::random_range(1..=250), rand::random(), 1);
        let addr = SocketAddr::from((ip, 18_787));
        let child = Command::new(env!("CARGO_BIN_EXE_anvilreel"))
            .args(["local", "--listen", &addr.to_string()])
            .args(["--ledger-listen", &format!("{ip}:18788")])
            .arg("--data")
            .arg(folder.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let local = Self {
            addr,
            child: child.expect("a process"),
            _folder: folder,
        };
        local.assert_serves().await;
        local
    }

    async fn assert_serves(&self) {
        let served = until_served(self.addr, ordinary_request).await;
        served.expect("an ordinary request is served");
    }

    /// Lets a crowd do this. Asserts that the process stays within its memory, that ordinary requests are
    /// answered while the crowd stays and after it, and that it has not ended.
    pub async fn assert_bears(&mut self, count: usize, sent: Sent) {
        let watch = Watch::start(self.child.id(), self.addr.ip());
        let crowd = Crowd::open(self.addr, count, sent).await;
        assert_within_memory(watch.peak());
        self.assert_serves().await;
        drop(crowd);
        self.assert_serves().await;
        assert_within_memory(watch.peak());
        println!("{:?}", watch.peak());
        let ended = self.child.try_wait().expect("its state");
        assert!(ended.is_none(), "{ended:?}");
    }
}

fn assert_within_memory(peak: Peak) {
    assert!(peak.memory <= MEMORY_BYTES, "{peak:?}");
}

impl Drop for Local {
    fn drop(&mut self) {
        // Fails only if it has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
