//! The place of one request in the queue of its service.

use std::sync::Arc;
use std::time::Duration;

use anvil_policy::waiting::{Waiter, WaiterId};
use tokio::sync::oneshot;

use super::service_queue::{ServiceQueue, WaitRequest};

/// A woken request that some endpoints may not run wakes the next one if it finds no room. This
/// happens at most so many times for one place.
const MAX_PASSED_ON: u32 = 3;

/// Why a request is woken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wake {
    /// One place became free.
    Place,
    /// Places may have become free without an event. A request that finds one wakes the next.
    Timer,
    /// One place became free, and so many woken requests could not use it.
    PassedOn(u32),
}

impl Wake {
    fn passed_on(self) -> Option<Self> {
        let passed = match self {
            Self::Place | Self::Timer => 0,
            Self::PassedOn(passed) => passed,
        };
        (passed < MAX_PASSED_ON).then_some(Self::PassedOn(passed + 1))
    }
}

/// The end of a wait: the request is to be started, or is refused with its retry time.
pub(super) type WaitResult = Result<(Wake, Waiter), Duration>;

/// The place of one request; its drop removes the request, for example if its client disconnects.
pub struct WaitingPlace {
    queue: Arc<ServiceQueue>,
    id: WaiterId,
    rx: oneshot::Receiver<WaitResult>,
    is_restricted: bool,
    /// [`ServiceQueue::unclaimed`] before the request last found no room.
    unclaimed: u64,
    /// Set while the request is woken and looks for an endpoint.
    woken: Option<(Wake, Waiter)>,
    has_ended: bool,
}

impl WaitingPlace {
    pub(super) fn new(
        queue: Arc<ServiceQueue>,
        id: WaiterId,
        rx: oneshot::Receiver<WaitResult>,
        req: &WaitRequest,
    ) -> Self {
        Self {
            queue,
            id,
            rx,
            is_restricted: req.is_restricted,
            unclaimed: req.unclaimed,
            woken: None,
            has_ended: false,
        }
    }

    /// Waits until the request is to look for an endpoint. The error is its retry time: it has
    /// waited too long.
    pub async fn woken(&mut self) -> Result<(), Duration> {
        // The sender is dropped only together with the queue.
        match (&mut self.rx).await.unwrap_or(Err(Duration::ZERO)) {
            Ok(woken) => {
                self.woken = Some(woken);
                Ok(())
            }
            Err(retry_after) => {
                self.has_ended = true;
                Err(retry_after)
            }
        }
    }

    /// Puts the woken request back, because no endpoint has room. `unclaimed` is
    /// [`ServiceQueue::unclaimed`] before it looked; `min_wait` the time until an endpoint accepts
    /// another request; zero if not known.
    pub fn put_back(&mut self, unclaimed: u64, min_wait: Duration) {
        let Some((wake, waiter)) = self.woken.take() else {
            return;
        };
        // No endpoint has room for others either if the request may run at all of them.
        let passed_on = wake.passed_on().filter(|_| self.is_restricted);
        if let Some(wake) = passed_on {
            self.queue.wake_next(wake);
        }
        (self.id, self.rx) = self.queue.put_back(&waiter, min_wait);
        self.unclaimed = unclaimed;
        self.queue.wake_if_unclaimed_since(unclaimed);
    }

    /// Ends the wait, because the request has taken a place at an endpoint, beside which there may
    /// be further room.
    ///
    /// Failure: the load of other routers falls while requests wait. Each response that ends wakes
    /// one, so this router would have no more requests in flight than before, and refuse others.
    ///
    /// Failure: a further place became free while no other request waited, and the next one did not
    /// look for it, since this one was waiting.
    pub fn started(mut self, finds_further_room: bool) {
        self.queue.record_start();
        self.has_ended = true;
        let may_have_room = finds_further_room || self.queue.unclaimed() != self.unclaimed;
        match self.woken.take() {
            Some((Wake::Timer, _)) => self.queue.free_place(Wake::Timer),
            Some(_) if may_have_room => self.queue.free_place(Wake::Place),
            _ => {}
        }
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        let is_queued = !self.has_ended && self.woken.is_none();
        self.queue
            .leave(is_queued.then_some(self.id), self.is_restricted);
        // It was woken and has left, or it was woken at the same moment: the place goes to the next
        // one, also if that is about to wait.
        let unread = if is_queued {
            self.rx.try_recv().ok().and_then(Result::ok)
        } else {
            self.woken.take()
        };
        if let Some((wake, _)) = unread {
            self.queue.free_place(wake);
        }
    }
}
