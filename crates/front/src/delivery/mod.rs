//! Delivery of responses to callers: what their connections take, and what they do not.

mod intake;
mod io;
mod outbound;

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Waker;
use std::time::Duration;

use jujube_core::time::Instant;
use jujube_program::clock;
use jujube_program::event;
use tokio::task::AbortHandle;

use crate::memory::Evicted;
use crate::memory::Reservation;
use crate::metrics::Metrics;
use crate::turn_away;

use outbound::Receipt;

pub use intake::Inbound;
pub use intake::Intake;
pub use intake::Occupied;
pub use io::Io;
pub use outbound::Completion;
pub use outbound::Outbound;

/// How long a caller may take nothing while data is waiting for it. Route timeouts are at most 25 s,
/// so a caller that takes nothing for longer has given up.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The progress of a caller's connection, shared with the requests on it.
pub struct Delivery {
    metrics: Rc<Metrics>,
    /// The request whose response began last, for logs.
    request: RefCell<Arc<str>>,
    written: Cell<u64>,
    /// How often the connection had taken every byte that it was given.
    flushes: Cell<u64>,
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
            flushes: Cell::default(),
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

    /// Returns how often the connection had taken every byte that it was given.
    pub fn flushes(&self) -> u64 {
        self.flushes.get()
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
        event!(
            Info,
            "caller-evicted",
            request,
            idle_ms = idle,
            bytes = held
        );
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
        self.flushes.set(self.flushes.get() + 1);
        if self.blocked_since.take().is_some() {
            self.stop_waiting();
            // The HTTP library may have ended a response with this flush, and then waits for an event
            // although the next request is in its buffer.
            if let Some(blocked) = self.blocked.take() {
                blocked.wake();
            }
        }
        if self.unflushed.borrow().is_empty() {
            return;
        }
        for receipt in self.unflushed.take() {
            receipt.record_delivered(&self.metrics);
        }
    }

    /// Records that the connection was ended because there was no room for the head that arrived.
    fn record_refused(&self) {
        self.metrics.count("callers_turned_away");
        turn_away::log("head");
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
        event!(Info, "caller-disconnected", request, idle_ms = idle, bytes);
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
