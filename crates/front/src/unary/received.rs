//! The body of a plain response, as far as it was received.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::Size;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::memory;
use crate::memory::Reservation;
use crate::pool;
use crate::upstream::Failure;

/// A server may have cut off a response of which nothing was read for longer than this.
const MAX_UNREAD: Span = Span(1_000);

/// What one read of a server's connection has at most.
const ONE_READ: u64 = pool::READ_BYTES / 2;

/// The received frames of a body; the memory of those that are left is released on drop.
pub struct Received {
    frames: VecDeque<Bytes>,
    reservation: Rc<Reservation>,
}

impl Received {
    /// Reads a body to its end. Waits for room if the memory budget has none.
    ///
    /// # Errors
    ///
    /// The body is incomplete, or does not end.
    pub async fn read(mut body: Incoming, reservation: Rc<Reservation>) -> Result<Self, Failure> {
        // A body that states its size ends there.
        let is_unbounded = body.size_hint().upper().is_none();
        let limit = reservation.unbounded_limit();
        let mut size = Size(0);
        let mut pause = Pause::default();
        let mut reading = Reading::begin(&body, &reservation, &mut pause).await;
        let mut received = Self {
            frames: VecDeque::new(),
            reservation,
        };
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(|error| pause.failure(&error))?;
            let data = data.into_data().unwrap_or_default();
            size.0 += data.len() as u64;
            if is_unbounded && size > limit {
                return Err(Failure::Unknown("response does not end".into()));
            }
            reading.shrink(&body);
            let kept = memory::kept_size(&data);
            reserve(&received.reservation, kept, &mut pause).await;
            received.frames.push_back(memory::detach(&data));
        }
        Ok(received)
    }

    /// Returns the memory that the frames use.
    pub fn reservation(&self) -> &Rc<Reservation> {
        &self.reservation
    }

    /// Takes the next frame and releases its memory.
    pub fn pop(&mut self) -> Option<Bytes> {
        let data = self.frames.pop_front()?;
        let size = memory::kept_size(&data);
        self.reservation.release(Cause::Response, size);
        Some(data)
    }

    /// Returns whether no data is left.
    pub fn is_empty(&self) -> bool {
        self.frames.iter().all(Bytes::is_empty)
    }

    /// Returns the size of the data that is left.
    pub fn size(&self) -> Size {
        Size(self.frames.iter().map(|data| data.len() as u64).sum())
    }
}

impl Drop for Received {
    fn drop(&mut self) {
        for data in &self.frames {
            let size = memory::kept_size(data);
            self.reservation.release(Cause::Response, size);
        }
    }
}

/// The memory of a connection whose response is read, until dropped.
struct Reading {
    reservation: Rc<Reservation>,
    size: Size,
}

impl Reading {
    /// Reserves what the connection holds of a response besides the frames that are kept.
    ///
    /// A response of one read has no more than what the place of its request is counted for.
    async fn begin(body: &Incoming, reservation: &Rc<Reservation>, pause: &mut Pause) -> Self {
        let left = left(body);
        let size = Size(if left.0 <= ONE_READ { 0 } else { left.0 });
        if size > Size(0) {
            reserve(reservation, size, pause).await;
        }
        Self {
            reservation: reservation.clone(),
            size,
        }
    }

    /// Releases what the connection cannot hold any more, so that a response of a size that fits does not
    /// wait for room beside its own bytes.
    fn shrink(&mut self, body: &Incoming) {
        let size = self.size.min(left(body));
        let surplus = Size(self.size.0 - size.0);
        if surplus > Size(0) {
            self.reservation.release(Cause::Response, surplus);
        }
        self.size = size;
    }
}

/// Returns how much of the rest of a response its connection may hold.
fn left(body: &Incoming) -> Size {
    let left = body.size_hint().upper().unwrap_or(u64::MAX);
    Size(left.min(pool::READ_BYTES))
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.reservation.release(Cause::Response, self.size);
    }
}

/// Until when a response was not read on because there was no room.
#[derive(Default)]
struct Pause(Option<Instant>);

impl Pause {
    fn record(&mut self, from: Instant) {
        let now = clock::now();
        let is_long = now.since(from) > MAX_UNREAD;
        self.0 = is_long.then_some(now).or(self.0);
    }

    fn failure(&self, error: &hyper::Error) -> Failure {
        let is_recent = |until| clock::now().since(until) <= MAX_UNREAD;
        if self.0.is_some_and(is_recent) {
            return Failure::Unread;
        }
        Failure::Unknown(error.to_string())
    }
}

/// Reserves memory for a response once there is room.
async fn reserve(reservation: &Reservation, size: Size, pause: &mut Pause) {
    let from = clock::now();
    let mut has_waited = false;
    while reservation.reserve(Cause::Response, size).is_err() {
        reservation.room().await;
        has_waited = true;
    }
    if has_waited {
        pause.record(from);
    }
}
