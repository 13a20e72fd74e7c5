//! Holding requests until the entry can serve them.

use std::cell::RefCell;
use std::time::Duration;

use jujube_core::pipeline::hold::Hold;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use tokio::sync::Notify;

/// The requests that wait at this entry.
#[derive(Default)]
pub struct Held {
    hold: RefCell<Hold>,
    changed: Notify,
}

impl Held {
    /// Has the waiting requests check again whether they can go on.
    pub fn check(&self) {
        self.changed.notify_waiters();
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.hold.borrow().waiting()
    }

    /// Waits until a request that has `time` left can go on; returns `false` if it cannot in time.
    pub async fn wait(&self, time: Option<Span>, can_go_on: impl Fn() -> bool) -> bool {
        let Some(place) = self.enter(time) else {
            return false;
        };
        while !can_go_on() {
            if !place.pause(MAX_PAUSE).await {
                return false;
            }
        }
        true
    }

    /// Lets a request that has `time` left wait; returns `None` if too many wait already.
    pub fn enter(&self, time: Option<Span>) -> Option<Place<'_>> {
        let patience = self.hold.borrow_mut().begin(time)?;
        let until = clock::now().plus(patience);
        Some(Place { held: self, until })
    }
}

/// The longest pause until a waiting request checks again whether it can go on.
const MAX_PAUSE: Span = Span(1_000);

/// A waiting request; its wait ends when this is dropped, also if the caller disconnects.
pub struct Place<'a> {
    held: &'a Held,
    until: Instant,
}

impl Place<'_> {
    /// Waits until something has changed, for `longest` at most; returns `false` if the request has
    /// waited for as long as it may.
    pub async fn pause(&self, longest: Span) -> bool {
        let left = self.until.since(clock::now());
        if left == Span(0) {
            return false;
        }
        let pause = Duration::from_millis(longest.min(left).0);
        let changed = self.held.changed.notified();
        let _changed_or_timeout = tokio::time::timeout(pause, changed).await;
        true
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.held.hold.borrow_mut().end();
    }
}
