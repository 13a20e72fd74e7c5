//! The planned end of the process, as its requests see it.

use std::cell::Cell;
use std::time::Duration;

use jujube_core::pipeline::departure::Departure;
use jujube_core::pipeline::departure::Work;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use tokio::sync::Notify;

/// The planned end of the process, once it is known.
#[derive(Default)]
pub struct Exit {
    departure: Cell<Option<Departure>>,
    planned: Notify,
}

impl Exit {
    /// Tells all requests when the process will exit.
    pub fn plan(&self, departure: Departure) {
        self.departure.set(Some(departure));
        self.planned.notify_waiters();
    }

    /// Returns whether the process stops.
    pub fn is_planned(&self) -> bool {
        self.departure.get().is_some()
    }

    /// Returns whether a request may be sent to a server now.
    pub fn allows(&self, work: Work) -> bool {
        let departure = self.departure.get();
        departure.is_none_or(|departure| departure.allows(clock::now(), work))
    }

    /// Returns whether each request still here has to be answered.
    pub fn is_due(&self) -> bool {
        let departure = self.departure.get();
        departure.is_some_and(|departure| clock::now() >= departure.last_answer())
    }

    /// Waits until each request still here has to be answered.
    pub async fn due(&self) {
        self.reached(|departure| departure.last_answer()).await;
    }

    /// Waits until a request may not be sent to a server any more.
    pub async fn forbids(&self, work: Work) {
        let last_start = |departure: Departure| departure.last_start(work).unwrap_or(Instant(0));
        self.reached(last_start).await;
    }

    async fn reached(&self, time: impl Fn(Departure) -> Instant) {
        loop {
            let planned = self.planned.notified();
            let Some(departure) = self.departure.get() else {
                planned.await;
                continue;
            };
            let left = time(departure).since(clock::now());
            if left > Span(0) {
                tokio::time::sleep(Duration::from_millis(left.0)).await;
            }
            return;
        }
    }
}
