//! Holding requests until the entry can serve them.

use std::cell::RefCell;
use std::time::Duration;

use jujube_core::pipeline::hold::Hold;
use jujube_core::time::Span;
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
        let Some(patience) = self.hold.borrow_mut().begin(time) else {
            return false;
        };
        let _place = Place(self);
        let waiting = async {
            loop {
                let changed = self.changed.notified();
                if can_go_on() {
                    return;
                }
                changed.await;
            }
        };
        let patience = Duration::from_millis(patience.0);
        tokio::time::timeout(patience, waiting).await.is_ok()
    }
}

/// A waiting request; its wait ends when this is dropped, also if the caller disconnects.
struct Place<'a>(&'a Held);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.hold.borrow_mut().end();
    }
}
