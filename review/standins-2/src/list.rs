//! The platform's list of runners.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::http::{Response, read_request, write_response};

/// One entry.
#[derive(Debug, Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub slots: u32,
    /// Version of its software.
    pub version: &'static str,
    pub draining: bool,
}

impl Entry {
    /// The entry as the platform writes it.
    pub fn json(&self) -> String {
        let state = if self.draining { "draining" } else { "ready" };
        format!(
            r#"{{"id":"{}","backend":"{}","address":"{}","zone":"{}","version":"{}","batch_slots":{},"state":"{state}","warmup_left_ms":0,"phase_kind":"mixed","models":[{{"name":"m","version":1,"loras":[]}}]}}"#,
            self.id, self.service, self.addr, self.zone, self.version, self.slots
        )
    }
}

/// The entries, which may be served at several addresses.
#[derive(Clone, Default)]
pub struct List {
    entries: Arc<Mutex<Vec<Entry>>>,
    /// An entry from another writer, ahead of the others.
    foreign: Arc<Mutex<Option<String>>>,
    calls: Arc<AtomicU64>,
}

/// A server of the list that can be ended.
pub struct ListServer {
    addr: SocketAddr,
    is_closed: Arc<AtomicBool>,
}

impl List {
    /// Changes the entries.
    pub fn update(&self, f: impl FnOnce(&mut Vec<Entry>)) {
        f(&mut self.entries.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Sets an entry that comes from another writer.
    pub fn set_foreign_entry(&self, entry: String) {
        *self.foreign.lock().unwrap_or_else(PoisonError::into_inner) = Some(entry);
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Serves the list, always as it is, on one page.
    pub fn serve(&self, addr: SocketAddr) -> std::io::Result<ListServer> {
        let listener = TcpListener::bind(addr)?;
        let is_closed = Arc::new(AtomicBool::new(false));
        let (list, closed) = (self.clone(), is_closed.clone());
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if closed.load(Ordering::Relaxed) {
                    return;
                }
                let (list, closed) = (list.clone(), closed.clone());
                std::thread::spawn(move || list.serve_connection(socket, &closed));
            }
        });
        Ok(ListServer { addr, is_closed })
    }

    fn serve_connection(&self, socket: std::net::TcpStream, closed: &AtomicBool) {
        let Ok(mut output) = socket.try_clone() else {
            return;
        };
        let mut input = BufReader::new(socket);
        while let Ok(Some(_)) = read_request(&mut input) {
            if closed.load(Ordering::Relaxed) {
                return;
            }
            self.calls.fetch_add(1, Ordering::Relaxed);
            let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
            let foreign = self
                .foreign
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            let entries: Vec<_> = foreign
                .into_iter()
                .chain(entries.iter().map(Entry::json))
                .collect();
            let body = format!(r#"{{"instances":[{}],"next":null}}"#, entries.join(","));
            let response = Response {
                status: 200,
                headers: vec![("Content-Type".into(), "application/json".into())],
                body: body.into_bytes(),
            };
            if write_response(&mut output, &response).is_err() {
                return;
            }
        }
    }
}

impl ListServer {
    /// Ends the server: connections are closed, and new ones are refused.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        // Wakes the listener, which ends.
        let _ = std::net::TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
    }
}
