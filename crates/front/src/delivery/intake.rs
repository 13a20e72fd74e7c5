//! What the HTTP library keeps of what a caller's connection sends.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::Size;

use crate::crowd::Place;
use crate::crowd::Rest;
use crate::memory::Memory;
use crate::memory::Reservation;

/// The most bytes of one read: one less than the library's first buffer. It doubles its buffer after a
/// read that fills it, and keeps it for as long as the connection lasts.
pub const READ_STEP: u64 = (8 << 10) - 1;

/// The bytes that were read for the library and that it may still keep.
///
/// A head is kept until it is whole. Otherwise the library reads only once nothing is left of an earlier
/// read, so that what [`Place`] counts for a connection suffices.
pub struct Intake {
    #[expect(dead_code, reason = "takes a place until dropped")]
    place: Place,
    rest: Rest,
    reservation: Reservation,
    /// The bytes of the head that arrives.
    head: Cell<u64>,
    /// What is reserved for the head.
    reserved: Cell<u64>,
    /// What needs a request that was read: its response, and the reader of its body.
    users: Cell<u64>,
    /// The requests that are served, up to the last byte of their responses.
    busy: Cell<u64>,
    /// Wakes the connection once it is no longer busy.
    reader: RefCell<Option<Waker>>,
    /// Whether the last step found no room. The head may be whole all the same, and the library about
    /// to tell: it also reads on to learn whether the caller is gone.
    is_short: Cell<bool>,
}

/// Whether more may be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// At most [`READ_STEP`] bytes.
    Read,
    /// Not now: responses are under way, or the library has not told yet whether the head is whole.
    Wait,
    /// There is no room for the rest of the head.
    Refused,
}

impl Intake {
    /// Creates the record of a connection from which nothing was read.
    pub fn new(place: Place, memory: &Rc<Memory>) -> Self {
        Self {
            rest: place.rest(),
            place,
            reservation: Memory::open(memory),
            head: Cell::default(),
            reserved: Cell::default(),
            users: Cell::default(),
            busy: Cell::default(),
            reader: RefCell::default(),
            is_short: Cell::default(),
        }
    }

    /// Returns whether more may be read now; `is_blocked` tells that bytes for the caller are waiting.
    pub fn admit(&self, context: &Context<'_>, is_blocked: bool) -> Admission {
        if self.users.get() > 0 {
            self.head.set(0);
        }
        // The library's buffer grows by doubling; that of the first step belongs to the connection.
        let head = Some(self.head.get()).filter(|head| *head > READ_STEP);
        let needed = head.map_or(0, |head| 2 * head - READ_STEP);
        let missing = needed.saturating_sub(self.reserved.get());
        let is_refused = missing > 0
            && self
                .reservation
                .reserve(Cause::RequestHead, Size(missing))
                .is_err();
        if !is_refused {
            self.reserved.set(self.reserved.get().max(needed));
            self.is_short.set(false);
            return Admission::Read;
        }
        if self.busy.get() > 0 || is_blocked {
            self.reader.replace(Some(context.waker().clone()));
            return Admission::Wait;
        }
        if !self.is_short.replace(true) {
            context.waker().wake_by_ref();
            return Admission::Wait;
        }
        Admission::Refused
    }

    /// Records that bytes were read.
    pub fn record_read(&self, bytes: usize) {
        if bytes > 0 {
            self.rest.end();
        }
        self.head.set(self.head.get() + bytes as u64);
    }

    /// Records that the library has read a head. What is behind it came with the last read. Until the
    /// returned value is dropped, the library reads nothing of the next head.
    pub fn begin(self: &Rc<Self>) -> Reading {
        // It may have come with an earlier one, in one read.
        self.rest.end();
        self.head.set(0);
        self.is_short.set(false);
        let reserved = self.reserved.take();
        self.reservation.release(Cause::RequestHead, Size(reserved));
        self.read()
    }

    /// Records that a part of a request is read until the returned value is dropped.
    pub fn read(self: &Rc<Self>) -> Reading {
        self.users.set(self.users.get() + 1);
        Reading(self.clone())
    }

    /// Waits until the connection is asked to close, because it is at rest and a new one needs its place.
    pub async fn displaced(&self) {
        self.rest.displaced().await;
    }

    /// Records that a request is served until the returned value is dropped.
    pub fn occupy(self: &Rc<Self>) -> Occupied {
        self.busy.set(self.busy.get() + 1);
        Occupied(self.clone())
    }
}

/// A request of a connection is read until this is dropped.
pub struct Reading(Rc<Intake>);

impl Drop for Reading {
    fn drop(&mut self) {
        let Self(intake) = self;
        intake.users.set(intake.users.get() - 1);
        if intake.users.get() == 0 {
            intake.head.set(0);
        }
    }
}

/// The body of a request, of which the library keeps nothing that was handed out.
pub struct Inbound {
    body: Incoming,
    #[expect(dead_code, reason = "tells that the body is read until dropped")]
    reading: Reading,
}

impl Inbound {
    /// Wraps the body of a request of this connection.
    pub fn new(body: Incoming, intake: &Rc<Intake>) -> Self {
        let reading = intake.read();
        Self { body, reading }
    }
}

impl Body for Inbound {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A request of a connection is served until this is dropped.
pub struct Occupied(Rc<Intake>);

impl Occupied {
    /// Returns the record of the connection.
    pub fn intake(&self) -> &Rc<Intake> {
        &self.0
    }
}

impl Drop for Occupied {
    fn drop(&mut self) {
        let Self(intake) = self;
        intake.busy.set(intake.busy.get() - 1);
        if intake.busy.get() > 0 {
            return;
        }
        if intake.head.get() == 0 {
            intake.rest.begin();
        }
        if let Some(reader) = intake.reader.take() {
            reader.wake();
        }
    }
}
