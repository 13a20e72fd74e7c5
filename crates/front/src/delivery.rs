//! Delivery of responses to callers: what their connections take, and what they do not.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Sleep;

use crate::memory::Evicted;
use crate::memory::Reservation;
use crate::metrics::Metrics;
use crate::request::Guard;

/// How long a caller may take nothing while data is waiting for it. Route timeouts are at most 25 s,
/// so a caller that takes nothing for longer has given up.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The progress of a caller's connection, shared with the requests on it.
pub struct Delivery {
    metrics: Rc<Metrics>,
    /// The request whose response began last, for logs.
    request: RefCell<Arc<str>>,
    written: Cell<u64>,
    /// Since when there is data that the connection does not take.
    blocked_since: Cell<Option<Instant>>,
    /// When the connection last took data while it was blocked.
    last_taken: Cell<Instant>,
    end: Cell<End>,
    /// The memory that waits for the caller.
    holder: RefCell<Option<Rc<Reservation>>>,
    /// The task that waits for its eviction; there is one only while the connection is blocked.
    eviction: RefCell<Option<AbortHandle>>,
    /// Wakes the blocked connection.
    blocked: RefCell<Option<Waker>>,
    /// The responses of which the HTTP layer has every byte, but not all were flushed yet.
    unflushed: RefCell<Vec<Receipt>>,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum End {
    /// The caller or the network closed it.
    #[default]
    Disconnected,
    /// The caller took nothing for [`IDLE_TIMEOUT`].
    Idle,
    /// It was evicted to free memory.
    Evicted,
}

/// The value of `cause=` in logs.
impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Disconnected => "disconnected",
            Self::Idle => "idle",
            Self::Evicted => "evicted",
        })
    }
}

impl Delivery {
    /// Creates the record of a connection that has taken nothing yet.
    pub fn new(metrics: Rc<Metrics>) -> Self {
        Self {
            metrics,
            request: RefCell::new("-".into()),
            written: Cell::default(),
            blocked_since: Cell::default(),
            last_taken: Cell::new(clock::now()),
            end: Cell::default(),
            holder: RefCell::default(),
            eviction: RefCell::default(),
            blocked: RefCell::default(),
            unflushed: RefCell::default(),
        }
    }

    /// Returns whether the connection has data that the caller does not take.
    pub fn is_blocked(&self) -> bool {
        self.blocked_since.get().is_some()
    }

    /// Returns since when the connection has had data that the caller does not take.
    pub fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since.get()
    }

    /// Sets the memory that waits for the caller; its eviction ends the connection.
    pub fn set_holder(self: &Rc<Self>, holder: Option<Rc<Reservation>>) {
        self.stop_waiting();
        self.holder.replace(holder);
        if self.is_blocked() {
            self.start_waiting();
        }
    }

    fn start_waiting(self: &Rc<Self>) {
        let holder = self.holder.borrow();
        let Some(holder) = holder.as_ref() else {
            return;
        };
        holder.set_waiting(true);
        let (delivery, holder) = (Rc::downgrade(self), holder.clone());
        let task = tokio::task::spawn_local(async move {
            let evicted = holder.evicted().await;
            if let Some(delivery) = delivery.upgrade() {
                delivery.evict(evicted);
            }
        });
        self.eviction.replace(Some(task.abort_handle()));
    }

    fn stop_waiting(&self) {
        if let Some(eviction) = self.eviction.take() {
            eviction.abort();
        }
        if let Some(holder) = self.holder.borrow().as_ref() {
            holder.set_waiting(false);
            // The task may not have run yet. What follows would not be counted, so the connection ends.
            if let Some(evicted) = holder.eviction() {
                self.evict(evicted);
            }
        }
    }

    fn evict(&self, evicted: Evicted) {
        if self.end.replace(End::Evicted) == End::Evicted {
            return;
        }
        self.metrics.count("callers_evicted");
        let request = self.request.borrow();
        let Evicted { idle, held } = evicted;
        log::info!("event=caller-evicted request={request} idle_ms={idle} bytes={held}");
        if let Some(blocked) = self.blocked.take() {
            blocked.wake();
        }
    }

    fn record_blocked(self: &Rc<Self>, context: &Context<'_>) {
        let mut blocked = self.blocked.borrow_mut();
        match &mut *blocked {
            Some(waker) => waker.clone_from(context.waker()),
            None => *blocked = Some(context.waker().clone()),
        }
        if !self.is_blocked() {
            let now = clock::now();
            self.blocked_since.set(Some(now));
            self.last_taken.set(now);
            self.start_waiting();
        }
    }

    fn record_written(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
        if self.is_blocked() {
            self.last_taken.set(clock::now());
            if let Some(holder) = self.holder.borrow().as_ref() {
                holder.progressed();
            }
        }
    }

    /// Records that the connection took every byte that it was given.
    fn record_flushed(&self) {
        if self.blocked_since.take().is_some() {
            self.stop_waiting();
        }
        if self.unflushed.borrow().is_empty() {
            return;
        }
        for receipt in self.unflushed.take() {
            receipt.record_delivered(&self.metrics);
        }
    }

    /// Records that the connection was ended because the caller took nothing.
    fn record_idle(&self) {
        if self.end.replace(End::Idle) == End::Idle {
            return;
        }
        let idle = clock::now().since(self.last_taken.get());
        self.metrics.count("callers_disconnected");
        let request = self.request.borrow();
        let bytes = self.written.get();
        log::info!("event=caller-disconnected request={request} idle_ms={idle} bytes={bytes}");
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.stop_waiting();
        for receipt in self.unflushed.take() {
            receipt.record_undelivered(self);
        }
    }
}

/// What is recorded once a caller has received a whole response.
#[derive(Clone, Debug)]
pub enum Completion {
    /// A stream.
    Streamed {
        events: u64,
        first_event_after: Span,
        longest_gap: Span,
        runs: usize,
        repairs: u64,
    },
    /// A plain response.
    Answered { status: u16 },
}

/// A response that the caller has not received yet.
struct Receipt {
    request: Arc<str>,
    arrived: Instant,
    written_before: u64,
    /// Whether its head was passed to the connection.
    has_begun: bool,
    /// `None` while the response is incomplete.
    completion: Option<Completion>,
    #[expect(dead_code, reason = "counts the request in flight until dropped")]
    guard: Guard,
}

impl Receipt {
    fn record_delivered(self, metrics: &Metrics) {
        let request = &self.request;
        let elapsed = clock::now().since(self.arrived);
        match &self.completion {
            Some(Completion::Streamed {
                events,
                first_event_after,
                longest_gap,
                runs,
                repairs,
            }) => {
                metrics.count("streams_completed");
                metrics.observe("stream", elapsed);
                log::info!(
                    "event=streamed request={request} events={events} took_ms={elapsed} \
                     first_ms={first_event_after} longest_pause_ms={longest_gap} runs={runs} \
                     repairs={repairs}"
                );
            }
            Some(Completion::Answered { status }) => {
                metrics.count("requests_answered");
                metrics.observe("answer", elapsed);
                log::info!("event=answered request={request} status={status} took_ms={elapsed}");
            }
            None => {}
        }
    }

    fn record_undelivered(self, delivery: &Delivery) {
        delivery.metrics.count("responses_undelivered");
        log::info!(
            "event=undelivered request={} bytes={} cause={} is_complete={}",
            self.request,
            delivery.written.get() - self.written_before,
            delivery.end.get(),
            self.completion.is_some()
        );
    }
}

/// A response to a caller. If it has begun and is dropped before the connection has all of it, it is
/// recorded as undelivered.
pub struct Outbound {
    receipt: Option<Receipt>,
    delivery: Rc<Delivery>,
}

impl Outbound {
    /// Prepares to send the response to a request.
    pub fn new(delivery: Rc<Delivery>, guard: Guard, request: Arc<str>, arrived: Instant) -> Self {
        let receipt = Receipt {
            request,
            arrived,
            written_before: delivery.written.get(),
            has_begun: false,
            completion: None,
            guard,
        };
        Self {
            receipt: Some(receipt),
            delivery,
        }
    }

    /// Returns the progress of the caller's connection.
    pub fn delivery(&self) -> &Rc<Delivery> {
        &self.delivery
    }

    /// Records that the head of the response is sent.
    pub fn begin(&mut self) {
        if let Some(receipt) = &mut self.receipt {
            receipt.has_begun = true;
            self.delivery.request.replace(receipt.request.clone());
        }
    }

    /// Returns how many bytes the connection has taken since the request arrived.
    pub fn written(&self) -> u64 {
        let before = self.receipt.as_ref().map(|receipt| receipt.written_before);
        self.delivery.written.get() - before.unwrap_or_default()
    }

    /// Records that the response is complete at this entry.
    pub fn complete(&mut self, completion: Completion) {
        if let Some(receipt) = &mut self.receipt {
            receipt.completion = Some(completion);
        }
    }

    /// Records that every byte was passed to the connection, which may not have written all yet.
    pub fn finish(&mut self) {
        let mut unflushed = self.delivery.unflushed.borrow_mut();
        unflushed.extend(self.receipt.take());
    }

    /// Records that the response is aborted; the caller sees a truncated body.
    pub fn abort(&mut self) {
        self.receipt.take();
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        if let Some(receipt) = self.receipt.take().filter(|receipt| receipt.has_begun) {
            receipt.record_undelivered(&self.delivery);
        }
    }
}

/// A caller's connection that records its progress.
pub struct Io {
    stream: TcpStream,
    delivery: Rc<Delivery>,
    /// Wakes the connection while it is blocked; left armed when data is taken again, and armed anew
    /// when it expires early.
    idle: Option<Pin<Box<Sleep>>>,
}

impl Io {
    /// Wraps a caller's connection.
    pub fn new(stream: TcpStream, delivery: Rc<Delivery>) -> Self {
        Self {
            stream,
            delivery,
            idle: None,
        }
    }

    fn handle_write(
        &mut self,
        context: &mut Context<'_>,
        polled: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match polled {
            Poll::Ready(Ok(bytes)) => {
                self.delivery.record_written(bytes);
                Poll::Ready(Ok(bytes))
            }
            Poll::Ready(Err(error)) => {
                if error.kind() == io::ErrorKind::TimedOut {
                    self.delivery.record_idle();
                }
                Poll::Ready(Err(error))
            }
            Poll::Pending => {
                self.delivery.record_blocked(context);
                self.poll_idle(context).map(Err)
            }
        }
    }

    /// Returns an error if the caller was evicted: its memory is no longer counted.
    fn check_evicted(&self) -> io::Result<()> {
        match self.delivery.end.get() {
            End::Evicted => Err(io::ErrorKind::ConnectionAborted.into()),
            End::Disconnected | End::Idle => Ok(()),
        }
    }

    /// Returns an error once the caller has taken nothing for [`IDLE_TIMEOUT`] or was evicted.
    fn poll_idle(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        if let Err(evicted) = self.check_evicted() {
            return Poll::Ready(evicted);
        }
        let idle = clock::now().since(self.delivery.last_taken.get());
        let Some(left) = IDLE_TIMEOUT.checked_sub(Duration::from_millis(idle.0)) else {
            self.delivery.record_idle();
            return Poll::Ready(io::ErrorKind::TimedOut.into());
        };
        let left = left.max(Duration::from_millis(1));
        let sleep = self
            .idle
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(left)));
        while sleep.as_mut().poll(context).is_ready() {
            let deadline = tokio::time::Instant::now() + left;
            sleep.as_mut().reset(deadline);
        }
        Poll::Pending
    }
}

impl AsyncRead for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Err(error)) = &polled {
            // The system reports its user timeout to whichever operation comes first.
            if error.kind() == io::ErrorKind::TimedOut && self.delivery.is_blocked() {
                self.delivery.record_idle();
            }
        }
        polled
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_evicted()?;
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.handle_write(context, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_evicted()?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.handle_write(context, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(polled, Poll::Ready(Ok(()))) {
            // The HTTP layer flushes only once it has written all that it was given.
            self.delivery.record_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
