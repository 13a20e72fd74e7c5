//! The body of a stream, read from its server also while the caller is behind.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures::future::Either;
use futures::future::select;
use jujube_core::pipeline::memory::Cause;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use tokio::task::AbortHandle;

use crate::delivery::Completion;
use crate::delivery::Outbound;
use crate::dialect::Dialect;
use crate::memory;
use crate::memory::Reservation;
use crate::state::State;

use super::body::EventBody;
use super::record::Stream;

/// How long a caller's connection may be blocked before its stream is read ahead.
const MAX_BLOCKED: Span = Span(50);

/// What is left of a stream once its server is no longer read.
enum End {
    Complete(Completion),
    Aborted(io::Error),
}

/// Reads a stream for its caller.
///
/// Usually the caller's connection polls the events itself. If it stays blocked, a task reads them
/// into a queue until the caller has caught up.
pub struct Reader<D> {
    /// The events that are still to be read; `None` once there are none.
    events: RefCell<Option<EventBody<D>>>,
    end: RefCell<Option<End>>,
    outbound: RefCell<Outbound>,
    /// `None` once all was read, so that the request is no longer held.
    stream: RefCell<Option<Rc<Stream>>>,
    id: Arc<str>,
    state: Rc<State<D>>,
    queue: RefCell<VecDeque<Queued>>,
    /// The memory for the queue, and the task that fills it.
    ahead: RefCell<Option<Ahead>>,
    /// Whether it was logged that the caller is behind, which may happen many times.
    is_logged: Cell<bool>,
}

struct Queued {
    bytes: Bytes,
    is_reserved: bool,
}

struct Ahead {
    reservation: Rc<Reservation>,
    task: AbortHandle,
    has_paused: Cell<bool>,
}

impl Drop for Ahead {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Next = Option<io::Result<Bytes>>;

impl<D: Dialect> Reader<D> {
    /// Creates the reader of a stream.
    pub(super) fn new(events: EventBody<D>, outbound: Outbound) -> Rc<Self> {
        let stream = events.registration.stream.clone();
        let state = events.registration.state.clone();
        let number = events.registration.number;
        let reader = Rc::new(Self {
            events: RefCell::new(Some(events)),
            end: RefCell::default(),
            outbound: RefCell::new(outbound),
            id: stream.id.clone(),
            stream: RefCell::new(Some(stream)),
            state,
            queue: RefCell::default(),
            ahead: RefCell::default(),
            is_logged: Cell::default(),
        });
        let state = &reader.state;
        state.streams.set_reader(number, Rc::downgrade(&reader));
        reader
    }

    /// Polls for the next data, for the caller's connection.
    fn poll(&self, context: &mut Context<'_>) -> Poll<Next> {
        if self.outbound.borrow().delivery().is_blocked() {
            // The connection polls again once it has written what it has.
            return Poll::Pending;
        }
        if let Some(bytes) = self.pop() {
            return Poll::Ready(Some(Ok(bytes)));
        }
        if self.ahead.borrow().is_some() {
            self.stop_ahead();
        }
        if self.events.borrow().is_some() {
            if let Some(bytes) = std::task::ready!(self.poll_events(context)) {
                return Poll::Ready(Some(Ok(bytes)));
            }
        }
        Poll::Ready(self.take_end())
    }

    /// Polls for the next data from the server; `None` at the end, when the server and all that the
    /// request holds there are released.
    fn poll_events(&self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let mut events = self.events.borrow_mut();
        let Some(body) = events.as_mut() else {
            return Poll::Ready(None);
        };
        let end = match std::task::ready!(body.poll(context)) {
            Some(Ok(bytes)) => return Poll::Ready(Some(bytes)),
            Some(Err(error)) => End::Aborted(error),
            None => End::Complete(body.completion()),
        };
        let ended = events.take();
        drop(events);
        drop(ended);
        self.release_request();
        if let End::Complete(completion) = &end {
            self.outbound.borrow_mut().complete(completion.clone());
        }
        self.end.replace(Some(end));
        Poll::Ready(None)
    }

    /// Releases the request, which no run needs any more. Its memory is that of the queue's owner.
    fn release_request(&self) {
        if let Some(stream) = self.stream.take() {
            stream.outgoing.release_body();
        }
    }

    fn take_end(&self) -> Next {
        let mut outbound = self.outbound.borrow_mut();
        match self.end.take() {
            Some(End::Aborted(error)) => {
                outbound.abort();
                Some(Err(error))
            }
            Some(End::Complete(_)) | None => {
                outbound.finish();
                None
            }
        }
    }

    /// Takes data from the queue.
    fn pop(&self) -> Option<Bytes> {
        let queued = self.queue.borrow_mut().pop_front()?;
        if let Some(ahead) = self.ahead.borrow().as_ref().filter(|_| queued.is_reserved) {
            let size = memory::kept_size(&queued.bytes);
            ahead.reservation.release(Cause::ReadAhead, size);
        }
        Some(queued.bytes)
    }

    fn stop_ahead(&self) {
        self.outbound.borrow().delivery().set_holder(None);
        self.ahead.take();
        if let Some(stream) = self.stream.borrow().as_ref() {
            stream.continue_reading(clock::now());
        }
    }

    /// Starts to read ahead if the caller is behind. Returns whether the stream is paused for its
    /// caller.
    pub fn check(self: &Rc<Self>, now: Instant) -> bool {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref() else {
            return false;
        };
        if self.ahead.borrow().is_some() {
            return stream.is_paused();
        }
        let blocked = self.outbound.borrow().delivery().blocked_since();
        let Some(since) = blocked else {
            return false;
        };
        if now.since(since) >= MAX_BLOCKED {
            stream.pause_reading(since);
            stream.continue_reading(now);
            self.start_ahead(stream);
            return false;
        }
        true
    }

    fn start_ahead(self: &Rc<Self>, stream: &Rc<Stream>) {
        let reservation = stream.outgoing.reservation.clone();
        let reading = read_ahead(Rc::downgrade(self), stream.clone(), reservation.clone());
        let task = tokio::task::spawn_local(reading);
        self.ahead.replace(Some(Ahead {
            reservation: reservation.clone(),
            task: task.abort_handle(),
            has_paused: Cell::new(false),
        }));
        let outbound = self.outbound.borrow();
        outbound.delivery().set_holder(Some(reservation));
        self.state.metrics.count("read_ahead_started");
        if self.is_logged.replace(true) {
            return;
        }
        log::info!(
            "event=read-ahead request={} bytes={}",
            self.id,
            outbound.written()
        );
    }

    /// Reserves the memory for what was queued last; returns whether there was room.
    fn reserve(&self, reservation: &Reservation) -> bool {
        let mut queue = self.queue.borrow_mut();
        let Some(last) = queue.back_mut().filter(|last| !last.is_reserved) else {
            // The caller has taken it meanwhile.
            return true;
        };
        let size = memory::kept_size(&last.bytes);
        last.is_reserved = reservation.reserve(Cause::ReadAhead, size).is_ok();
        last.is_reserved
    }

    fn record_paused(&self, reservation: &Reservation) {
        let ahead = self.ahead.borrow();
        let is_first = |ahead: &Ahead| !ahead.has_paused.replace(true);
        if ahead.as_ref().is_some_and(is_first) {
            self.state.metrics.count("read_ahead_paused");
            let held = reservation.held();
            log::info!("event=read-ahead-paused request={} held={held}", self.id);
        }
    }
}

/// Reads a stream into its queue until the caller has caught up or all was read.
async fn read_ahead<D: Dialect>(
    reader: Weak<Reader<D>>,
    stream: Rc<Stream>,
    reservation: Rc<Reservation>,
) {
    loop {
        let next = poll_fn(|context| match reader.upgrade() {
            Some(reader) => reader.poll_events(context),
            None => Poll::Ready(None),
        });
        let Some(bytes) = next.await else {
            return;
        };
        let Some(reader) = reader.upgrade() else {
            return;
        };
        reader.queue.borrow_mut().push_back(Queued {
            bytes: memory::detach(bytes),
            is_reserved: false,
        });
        while !reader.reserve(&reservation) {
            stream.pause_reading(clock::now());
            reader.record_paused(&reservation);
            let (room, expired) = (pin!(reservation.room()), pin!(stream.expired()));
            if let Either::Right(_) = select(room, expired).await {
                break;
            }
        }
        stream.continue_reading(clock::now());
    }
}

/// The body of a stream's response.
pub struct Events<D: Dialect>(Rc<Reader<D>>);

impl<D: Dialect> Events<D> {
    /// Creates the body.
    pub(super) fn new(events: EventBody<D>, outbound: Outbound) -> Self {
        Self(Reader::new(events, outbound))
    }

    /// Polls for the next data.
    pub fn poll(&self, context: &mut Context<'_>) -> Poll<Next> {
        self.0.poll(context)
    }
}

impl<D: Dialect> Drop for Events<D> {
    fn drop(&mut self) {
        // Ends the task, so that nothing keeps the reader of a caller that has disconnected.
        if self.0.ahead.borrow().is_some() {
            self.0.stop_ahead();
        }
    }
}
