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
use crate::upstream::Failure;

/// A server may have cut off a response of which nothing was read for longer than this.
const MAX_UNREAD: Span = Span(1_000);

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
        let mut received = Self {
            frames: VecDeque::new(),
            reservation,
        };
        let mut paused_until = None;
        while let Some(frame) = body.frame().await {
            let data = match frame {
                Ok(frame) => memory::detach(&frame.into_data().unwrap_or_default()),
                Err(error) => return Err(broken(&error, paused_until)),
            };
            size.0 += data.len() as u64;
            if is_unbounded && size > limit {
                return Err(Failure::Unknown("response does not end".into()));
            }
            let arrived = clock::now();
            if received.wait_for_room(&data).await {
                let now = clock::now();
                let is_long = now.since(arrived) > MAX_UNREAD;
                paused_until = is_long.then_some(now).or(paused_until);
            }
            received.frames.push_back(data);
        }
        Ok(received)
    }

    /// Reserves the memory for data; returns whether it had to wait.
    async fn wait_for_room(&self, data: &Bytes) -> bool {
        let mut has_waited = false;
        let size = memory::kept_size(data);
        while self.reservation.reserve(Cause::Response, size).is_err() {
            self.reservation.room().await;
            has_waited = true;
        }
        has_waited
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

fn broken(error: &hyper::Error, paused_until: Option<Instant>) -> Failure {
    let is_recent = |until| clock::now().since(until) <= MAX_UNREAD;
    if paused_until.is_some_and(is_recent) {
        return Failure::Unread;
    }
    Failure::Unknown(error.to_string())
}
