//! Links: latency, silent partitions, and streams that break when they are cut.

use std::collections::BTreeMap;
use std::time::Duration;

use anvil_wire::msg::{SidecarReply, SidecarRequest};
use anvil_world::prelude::*;
use anvilreel::request::{Dispatch, Event};

use super::{Happening, World};

pub type StreamId = u64;

/// After so long without an answered ping a cut stream breaks, as the wire's keepalive does it.
const NOTICED: Duration = Duration::from_secs(5);

/// One call of a router's exchange to a sidecar.
#[derive(Debug, Clone)]
pub struct Stream {
    pub router: usize,
    pub router_life: Incarnation,
    pub exchange: u64,
    pub dispatch: Dispatch,
    pub sidecar: usize,
    pub life: Option<Incarnation>,
    pub open: bool,
    breaking: bool,
    /// Replies are in order: none arrives before the last one.
    last: Now,
}

#[derive(Debug, Default)]
pub struct Net {
    pub cuts: BTreeMap<(String, String), Now>,
    pub streams: BTreeMap<StreamId, Stream>,
    next: StreamId,
}

impl Net {
    pub fn cut(&mut self, a: &str, b: &str, until: Now) {
        let pair = ordered(a, b);
        let known = self.cuts.entry(pair).or_default();
        *known = (*known).max(until);
    }

    pub fn is_cut(&self, now: Now, a: &str, b: &str) -> bool {
        self.cuts
            .get(&ordered(a, b))
            .is_some_and(|until| now < *until)
    }
}

fn ordered(a: &str, b: &str) -> (String, String) {
    let (a, b) = if a < b { (a, b) } else { (b, a) };
    (a.to_owned(), b.to_owned())
}

impl World {
    pub fn latency(&mut self) -> Duration {
        self.between(Duration::from_micros(300), Duration::from_millis(4))
    }

    pub fn open_stream(&mut self, stream: Stream, req: SidecarRequest) {
        self.net.next += 1;
        let id = self.net.next;
        self.net.streams.insert(id, stream);
        let pause = self.latency();
        self.after(pause, Happening::StreamOut(id, Box::new(req)));
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
            router_life: self.routers[router].life,
            exchange,
            dispatch,
            sidecar: to,
            life: None,
            open: true,
            breaking: false,
            last: Now::ZERO,
        }
    }

    /// Whether the stream's link lets a message pass now; a cut one begins to break.
    fn passes(&mut self, id: StreamId) -> bool {
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
        let cuts = &self.net.cuts;
        let until = cuts.get(&ordered(&r, &s));
        if until.is_none_or(|until| self.now >= *until) {
            return true;
        }
        stream.breaking = true;
        self.after(NOTICED, Happening::StreamBroken(id, false));
        false
    }

    pub fn stream_out(&mut self, id: StreamId, req: SidecarRequest) {
        let Some(stream) = self.net.streams.get(&id).cloned() else {
            return;
        };
        if !self.sidecars[stream.sidecar].alive {
            return self.after(Duration::from_millis(2), Happening::StreamBroken(id, true));
        }
        if !self.passes(id) {
            return;
        }
        let life = self.sidecars[stream.sidecar].life;
        if let Some(stream) = self.net.streams.get_mut(&id) {
            stream.life = Some(life);
        }
        self.sidecar_request(stream.sidecar, id, req);
    }

    /// Sends a reply back along a stream, in order.
    pub fn send_back(&mut self, id: StreamId, reply: SidecarReply) {
        if !self.passes(id) {
            return;
        }
        let pause = self.latency();
        let now = self.now;
        let Some(stream) = self.net.streams.get_mut(&id) else {
            return;
        };
        let when = (now + pause).max(stream.last + Duration::from_nanos(1));
        stream.last = when;
        self.at(when, Happening::StreamBack(id, Box::new(reply)));
    }

    pub fn stream_back(&mut self, id: StreamId, reply: SidecarReply) {
        let Some(stream) = self.net.streams.get(&id).cloned() else {
            return;
        };
        if let Some(until) = self.frozen(stream.router, stream.router_life) {
            return self.at(until, Happening::StreamBack(id, Box::new(reply)));
        }
        if !self.passes(id) {
            return;
        }
        let more = matches!(reply, SidecarReply::Head(_) | SidecarReply::Frame(_));
        let dispatch = stream.dispatch;
        self.feed(
            stream.router,
            stream.router_life,
            stream.exchange,
            Event::Reply { dispatch, reply },
        );
        if more && let Some(life) = stream.life {
            self.after(
                Duration::from_millis(1),
                Happening::Ready(stream.sidecar, life, id),
            );
        }
    }

    /// A stream is over for both sides.
    pub fn stream_broken(&mut self, id: StreamId, never_sent: bool) {
        let Some(stream) = self.net.streams.get(&id).cloned() else {
            return;
        };
        if let Some(until) = self.frozen(stream.router, stream.router_life) {
            return self.at(until, Happening::StreamBroken(id, never_sent));
        }
        self.stream_gone(id);
        let dispatch = stream.dispatch;
        let event = Event::CallBroken {
            dispatch,
            never_sent,
        };
        self.feed(stream.router, stream.router_life, stream.exchange, event);
    }

    /// The sidecar hears that the router's side is gone.
    pub fn stream_gone(&mut self, id: StreamId) {
        if let Some(stream) = self.net.streams.remove(&id)
            && let Some(life) = stream.life
        {
            self.reader_gone(stream.sidecar, life, id);
        }
    }

    /// Breaks every stream for which this holds, as a reset connection does.
    pub fn reset_streams(&mut self, which: impl Fn(&Stream) -> bool) {
        let hit = self.net.streams.iter().filter(|(_, stream)| which(stream));
        let hit: Vec<_> = hit.map(|(id, _)| *id).collect();
        for id in hit {
            let pause = self.latency();
            self.after(pause, Happening::StreamBroken(id, false));
        }
    }
}
