//! The body of a stream, read from its server also while the caller is behind.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures::future::Either;
use futures::future::select;
use jujube_core::pipeline::memory::Size;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use tokio::task::AbortHandle;
use tokio::time::Sleep;

use crate::delivery::Completion;
use crate::delivery::Outbound;
use crate::dialect::Dialect;
use crate::memory;
use crate::memory::Reservation;
use crate::pool;
use crate::state::State;

use super::body::EventBody;
use super::holding::Holding;
use super::record::Stream;

/// How long a caller's connection may be blocked before its stream is read ahead.
const MAX_BLOCKED: Span = Span(50);

/// How often a stream that waits for room for an event looks for it.
const ROOM_INTERVAL: Duration = Duration::from_millis(50);

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
    queue: RefCell<VecDeque<Bytes>>,
    holding: Holding,
    /// The memory of the request.
    reservation: Rc<Reservation>,
    /// Until when a stream waits for room for an event; `None` if it does not.
    room: RefCell<Option<Pin<Box<Sleep>>>>,
    /// The task that fills the queue.
    ahead: RefCell<Option<Ahead>>,
    /// Whether it was logged that the caller is behind, which may happen many times.
    is_logged: Cell<bool>,
}

struct Ahead {
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
        let reservation = stream.outgoing.reservation.clone();
        let reader = Rc::new(Self {
            events: RefCell::new(Some(events)),
            end: RefCell::default(),
            outbound: RefCell::new(outbound),
            id: stream.id.clone(),
            stream: RefCell::new(Some(stream)),
            state,
            queue: RefCell::default(),
            holding: Holding::default(),
            reservation,
            room: RefCell::default(),
            ahead: RefCell::default(),
            is_logged: Cell::default(),
        });
        let state = &reader.state;
        state.streams.set_reader(number, Rc::downgrade(&reader));
        reader
    }

    /// Polls for the next data, for the caller's connection.
    fn poll(&self, context: &mut Context<'_>) -> Poll<Next> {
        let delivery = self.outbound.borrow().delivery().clone();
        if delivery.is_blocked() {
            // The connection polls again once it has written what it has.
            return Poll::Pending;
        }
        self.holding.record_flushes(delivery.flushes());
        if let Some(bytes) = self.pop() {
            return Poll::Ready(Some(Ok(bytes)));
        }
        if self.ahead.borrow().is_some() {
            self.stop_ahead();
        }
        if self.events.borrow().is_some() {
            let may_read = self.may_read(context);
            if !may_read && self.reservation.eviction().is_some() {
                // Nothing is written any more that would tell the connection.
                self.outbound.borrow_mut().abort();
                return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
            }
            if let Some(bytes) = std::task::ready!(self.poll_events(context, may_read)) {
                self.holding.record_passed(&bytes);
                return Poll::Ready(Some(Ok(bytes)));
            }
        }
        Poll::Ready(self.take_end())
    }

    /// Returns whether there is room for what the caller's connection reads from the server; looks again
    /// later if not.
    fn may_read(&self, context: &mut Context<'_>) -> bool {
        let (partial, most) = match self.events.borrow().as_ref() {
            Some(body) => (body.relay.held(), body.relay.most()),
            None => return true,
        };
        let had_event = self.holding.has_event();
        let reading = Size(pool::READ_BYTES);
        let has_room = self
            .holding
            .adjust_event(&self.reservation, partial, most, reading);
        if self.holding.has_event() != had_event {
            self.set_holder();
        }
        if has_room {
            self.end_wait();
        } else {
            self.begin_wait(context);
        }
        has_room
    }

    fn begin_wait(&self, context: &mut Context<'_>) {
        if let Some(stream) = self.stream.borrow().as_ref() {
            stream.pause_reading(clock::now());
        }
        let mut room = self.room.borrow_mut();
        if room.is_none() {
            self.state.metrics.count("events_waiting");
            let held = self.reservation.held();
            event!(Info, "event-waits", request = self.id, held);
        }
        let wait = room.get_or_insert_with(|| Box::pin(tokio::time::sleep(ROOM_INTERVAL)));
        while wait.as_mut().poll(context).is_ready() {
            wait.as_mut()
                .reset(tokio::time::Instant::now() + ROOM_INTERVAL);
        }
    }

    fn end_wait(&self) {
        if self.room.take().is_none() {
            return;
        }
        if let Some(stream) = self.stream.borrow().as_ref() {
            stream.continue_reading(clock::now());
        }
    }

    /// Has what is reserved for the caller freed if the caller takes nothing for long.
    fn set_holder(&self) {
        let holds = self.holding.has_event() || self.ahead.borrow().is_some();
        let holder = holds.then(|| self.reservation.clone());
        self.outbound.borrow().delivery().set_holder(holder);
    }

    /// Polls for the next data from the server; `None` at the end, when the server and all that the
    /// request holds there are released.
    fn poll_events(&self, context: &mut Context<'_>, may_read: bool) -> Poll<Option<Bytes>> {
        let mut events = self.events.borrow_mut();
        let Some(body) = events.as_mut() else {
            return Poll::Ready(None);
        };
        let end = match std::task::ready!(body.poll(context, may_read)) {
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

    /// Takes data from the queue for the caller's connection.
    fn pop(&self) -> Option<Bytes> {
        let bytes = self.queue.borrow_mut().pop_front()?;
        self.holding.record_popped(&bytes);
        if self.ahead.borrow().is_some() {
            self.holding.shrink(&self.reservation, self.reading());
        }
        Some(bytes)
    }

    /// Polls for the next data from the server, for the queue; `None` at the end.
    ///
    /// Is also ready if more memory is needed for the part of an event that has arrived.
    fn poll_ahead(&self, context: &mut Context<'_>) -> Poll<Option<()>> {
        match self.poll_events(context, true) {
            Poll::Ready(Some(bytes)) => {
                self.queue(&bytes);
                Poll::Ready(Some(()))
            }
            Poll::Ready(None) => {
                self.holding.shrink(&self.reservation, self.reading());
                Poll::Ready(None)
            }
            Poll::Pending if self.has_room() => Poll::Pending,
            Poll::Pending => Poll::Ready(Some(())),
        }
    }

    fn queue(&self, bytes: &Bytes) {
        let bytes = memory::detach(bytes);
        self.holding.record_queued(&bytes);
        self.queue.borrow_mut().push_back(bytes);
    }

    /// Adjusts the reserved memory to what is held; returns whether there was room.
    fn has_room(&self) -> bool {
        self.holding.adjust(&self.reservation, self.reading())
    }

    /// Returns how much memory the reading of the response from its server uses.
    fn reading(&self) -> Size {
        let events = self.events.borrow();
        let partial = events.as_ref().map(|body| body.relay.held().0);
        Size(partial.map_or(0, |partial| partial + pool::READ_BYTES))
    }

    fn stop_ahead(&self) {
        if self.ahead.take().is_some() {
            self.holding.release(&self.reservation, self.reading());
        }
        self.set_holder();
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
            return stream.is_paused();
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
        let reservation = self.reservation.clone();
        let reading = read_ahead(Rc::downgrade(self), stream.clone(), reservation);
        let task = tokio::task::spawn_local(reading);
        self.ahead.replace(Some(Ahead {
            task: task.abort_handle(),
            has_paused: Cell::new(false),
        }));
        self.set_holder();
        self.end_wait();
        self.state.metrics.count("read_ahead_started");
        if self.is_logged.replace(true) {
            return;
        }
        event!(
            Info,
            "read-ahead",
            request = self.id,
            bytes = self.outbound.borrow().written()
        );
    }

    fn record_paused(&self) {
        let ahead = self.ahead.borrow();
        let is_first = |ahead: &Ahead| !ahead.has_paused.replace(true);
        if ahead.as_ref().is_some_and(is_first) {
            self.state.metrics.count("read_ahead_paused");
            let held = self.reservation.held();
            event!(Info, "read-ahead-paused", request = self.id, held);
        }
    }
}

/// Reads a stream into its queue until the caller has caught up or all was read. Does not read on
/// while there is no room for what the stream holds already.
async fn read_ahead<D: Dialect>(
    reader: Weak<Reader<D>>,
    stream: Rc<Stream>,
    reservation: Rc<Reservation>,
) {
    loop {
        wait_for_room(&reader, &stream, &reservation).await;
        stream.continue_reading(clock::now());
        let next = poll_fn(|context| match reader.upgrade() {
            Some(reader) => reader.poll_ahead(context),
            None => Poll::Ready(None),
        });
        if next.await.is_none() {
            return;
        }
    }
}

/// Waits until there is room for what a stream holds, or the stream has expired.
async fn wait_for_room<D: Dialect>(
    reader: &Weak<Reader<D>>,
    stream: &Stream,
    reservation: &Reservation,
) {
    while let Some(reader) = reader.upgrade() {
        if reader.has_room() {
            return;
        }
        stream.pause_reading(clock::now());
        reader.record_paused();
        drop(reader);
        let (room, expired) = (pin!(reservation.room()), pin!(stream.expired()));
        if let Either::Right(_) = select(room, expired).await {
            return;
        }
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
        if self.0.holding.has_event() {
            self.0.holding.shrink_event(&self.0.reservation, 0);
            self.0.set_holder();
        }
    }
}
