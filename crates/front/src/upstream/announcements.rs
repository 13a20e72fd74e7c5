//! Heads that announce a response (status 100 to 199).

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use hyper::Request;
use tokio::sync::Notify;

use crate::blocks::Blocks;

/// How many heads may announce a response (status 100 to 199) before it counts as none. Servers send
/// one or two.
const MAX_ANNOUNCEMENTS: u32 = 32;

/// The heads that announced a response.
#[derive(Clone, Default)]
pub(super) struct Announcements(Arc<Announced>);

#[derive(Default)]
struct Announced {
    count: AtomicU32,
    has_exceeded: Notify,
}

impl Announcements {
    /// Counts those of the response to a request.
    pub(super) fn watch(request: &mut Request<Blocks>) -> Self {
        let announcements = Self::default();
        let counted = announcements.0.clone();
        hyper::ext::on_informational(request, move |_| {
            if counted.count.fetch_add(1, Ordering::Relaxed) == MAX_ANNOUNCEMENTS {
                counted.has_exceeded.notify_one();
            }
        });
        announcements
    }

    /// Waits until there are more than a sound server sends.
    pub(super) async fn too_many(&self) {
        self.0.has_exceeded.notified().await;
    }
}
