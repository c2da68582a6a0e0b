//! Simulated links: latency, partitions that drop messages without an error, and streams that break
//! when their link is partitioned.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_wire::msg::{SidecarReply, SidecarRequest};
use anvil_world::prelude::*;
use anvilreel::request::{Dispatch, Event};

use super::{SimEvent, World};

pub type StreamId = u64;

/// Time after which a stream over a partitioned link breaks, as the keepalive of `anvil_wire` does it.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// A call to a sidecar that belongs to an exchange of a router.
#[derive(Debug, Clone)]
pub struct Stream {
    pub router: usize,
    pub router_incarnation: Incarnation,
    pub exchange: u64,
    pub dispatch: Dispatch,
    pub sidecar: usize,
    pub sidecar_incarnation: Option<Incarnation>,
    pub open: bool,
    breaking: bool,
    /// Arrival time of the last reply. Replies stay in order: none arrives earlier.
    last_reply_at: Now,
}

#[derive(Debug, Default)]
pub struct Net {
    /// End of the partition between two processes, by their names in order.
    pub partitions: BTreeMap<(String, String), Now>,
    pub streams: BTreeMap<StreamId, Stream>,
    next: StreamId,
}

impl Net {
    pub fn partition(&mut self, a: &str, b: &str, until: Now) {
        let pair = ordered_pair(a, b);
        let known = self.partitions.entry(pair).or_default();
        *known = (*known).max(until);
    }

    pub fn is_partitioned(&self, now: Now, a: &str, b: &str) -> bool {
        self.partitions
            .get(&ordered_pair(a, b))
            .is_some_and(|until| now < *until)
    }
}

fn ordered_pair(a: &str, b: &str) -> (String, String) {
    let (a, b) = if a < b { (a, b) } else { (b, a) };
    (a.to_owned(), b.to_owned())
}

impl World {
    pub fn latency(&mut self) -> Duration {
        self.random_duration(Duration::from_micros(300), Duration::from_millis(4))
    }

    pub fn open_stream(&mut self, stream: Stream, req: SidecarRequest) {
        self.net.next += 1;
        let id = self.net.next;
        self.net.streams.insert(id, stream);
        let delay = self.latency();
        self.schedule_after(delay, SimEvent::StreamRequest(id, Box::new(req)));
    }

    pub fn new_stream(
        &self,
        router: usize,
        exchange: u64,
        dispatch: Dispatch,
        to: usize,
    ) -> Stream {
        Stream {
            router,
            router_incarnation: self.routers[router].incarnation,
            exchange,
            dispatch,
            sidecar: to,
            sidecar_incarnation: None,
            open: true,
            breaking: false,
            last_reply_at: Now::ZERO,
        }
    }

    /// Whether the stream's link lets a message pass now. A stream over a partitioned link begins to break.
    fn lets_pass(&mut self, id: StreamId) -> bool {
        let Some(stream) = self.net.streams.get_mut(&id) else {
            return false;
        };
        if !stream.open || stream.breaking {
            return false;
        }
        let (r, s) = (
            format!("r{}", stream.router),
            format!("s{}", stream.sidecar),
        );
        let partitions = &self.net.partitions;
        let until = partitions.get(&ordered_pair(&r, &s));
        if until.is_none_or(|until| self.now >= *until) {
            return true;
        }
        stream.breaking = true;
        self.schedule_after(KEEPALIVE_TIMEOUT, SimEvent::StreamBroken(id, false));
        false
    }

    pub fn deliver_request(&mut self, id: StreamId, req: SidecarRequest) {
        let Some(stream) = self.net.streams.get(&id).cloned() else {
            return;
        };
        if !self.sidecars[stream.sidecar].alive {
            return self.schedule_after(Duration::from_millis(2), SimEvent::StreamBroken(id, true));
        }
        if !self.lets_pass(id) {
            return;
        }
        let sidecar_incarnation = self.sidecars[stream.sidecar].incarnation;
        if let Some(stream) = self.net.streams.get_mut(&id) {
            stream.sidecar_incarnation = Some(sidecar_incarnation);
        }
        self.handle_sidecar_request(stream.sidecar, id, req);
    }

    /// Sends a reply to the router over a stream, in order.
    pub fn send_reply(&mut self, id: StreamId, reply: SidecarReply) {
        if !self.lets_pass(id) {
            return;
        }
        let delay = self.latency();
        let now = self.now;
        let Some(stream) = self.net.streams.get_mut(&id) else {
            return;
        };
        let when = (now + delay).max(stream.last_reply_at + Duration::from_nanos(1));
        stream.last_reply_at = when;
        self.schedule_at(when, SimEvent::StreamReply(id, Box::new(reply)));
    }

    pub fn deliver_reply(&mut self, id: StreamId, reply: SidecarReply) {
        let Some(stream) = self.net.streams.get(&id).cloned() else {
            return;
        };
        if let Some(until) = self.frozen(stream.router, stream.router_incarnation) {
            return self.schedule_at(until, SimEvent::StreamReply(id, Box::new(reply)));
        }
        if !self.lets_pass(id) {
            return;
        }
        let more = matches!(reply, SidecarReply::Head(_) | SidecarReply::Frame(_));
        let dispatch = stream.dispatch;
        self.feed(
            stream.router,
            stream.router_incarnation,
            stream.exchange,
            Event::Reply { dispatch, reply },
        );
        if more && let Some(sidecar_incarnation) = stream.sidecar_incarnation {
            self.schedule_after(
                Duration::from_millis(1),
                SimEvent::ReaderReady(stream.sidecar, sidecar_incarnation, id),
            );
        }
    }

    /// A stream has broken for both sides.
    pub fn break_stream(&mut self, id: StreamId, never_sent: bool) {
        let Some(stream) = self.net.streams.get(&id).cloned() else {
            return;
        };
        if let Some(until) = self.frozen(stream.router, stream.router_incarnation) {
            return self.schedule_at(until, SimEvent::StreamBroken(id, never_sent));
        }
        self.close_stream(id);
        let dispatch = stream.dispatch;
        let event = Event::CallBroken {
            dispatch,
            never_sent,
        };
        self.feed(
            stream.router,
            stream.router_incarnation,
            stream.exchange,
            event,
        );
    }

    /// The router's side has closed a stream; its sidecar notices.
    pub fn close_stream(&mut self, id: StreamId) {
        if let Some(stream) = self.net.streams.remove(&id)
            && let Some(sidecar_incarnation) = stream.sidecar_incarnation
        {
            self.reader_gone(stream.sidecar, sidecar_incarnation, id);
        }
    }

    /// Breaks every stream that `which` selects, as a reset connection does.
    pub fn reset_streams(&mut self, which: impl Fn(&Stream) -> bool) {
        let affected = self.net.streams.iter().filter(|(_, stream)| which(stream));
        let affected: Vec<_> = affected.map(|(id, _)| *id).collect();
        for id in affected {
            let delay = self.latency();
            self.schedule_after(delay, SimEvent::StreamBroken(id, false));
        }
    }
}
