//! Prefill work that backend servers have been sent and have not finished.

use std::collections::BTreeMap;

use crate::pipeline::path::Path;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// How long after the loss of a server its streams are expected to move. They leave a dead server
/// within a few hundred milliseconds, and nothing new is sent there.
const LOSS_WINDOW: Span = Span(1_000);
/// Bounds the herd size, which is computed from other entries' reports.
const MAX_HERD_SIZE: f64 = 64.0;

/// Estimates how long servers are busy with prefill work.
///
/// An engine prefills prompts one after the other. When a server dies, all its streams move within
/// milliseconds and would queue at a single replacement while other servers are idle. Reports
/// arrive too late to prevent that, so work is counted as it is sent.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::backlog::Backlog;
/// # use jujube_core::time::Instant;
/// let mut backlog = Backlog::default();
/// backlog.add(Instant(0), &"a".into(), 30.0);
/// backlog.add(Instant(0), &"a".into(), 30.0);
/// assert_eq!(backlog.wait_ms(Instant(20), &"a".into()), 40.0);
/// assert_eq!(backlog.wait_ms(Instant(80), &"a".into()), 0.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// When each server finishes its prefill work, in milliseconds of [`Instant`].
    idle_at: BTreeMap<Incarnation, f64>,
    /// When each server was lost, and the herd size of its streams.
    lost: BTreeMap<Incarnation, (Instant, f64)>,
}

impl Backlog {
    /// Records prefill work that takes a server `work_ms` milliseconds.
    pub fn add(&mut self, now: Instant, server: &Incarnation, work_ms: f64) {
        let now = now.0 as f64;
        let idle_at = self.idle_at.entry(server.clone()).or_insert(now);
        *idle_at = idle_at.max(now) + work_ms;
    }

    /// Returns the time until a server finishes its prefill work, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, now: Instant, server: &Incarnation) -> f64 {
        let idle_at = self.idle_at.get(server);
        idle_at.map_or(0.0, |at| (at - now.0 as f64).max(0.0))
    }

    /// Records that a server was lost with `all` requests of all entries, `own` of them this
    /// entry's.
    ///
    /// All entries move their streams at once, before they receive reports of each other's moves,
    /// so each assumes that the others choose as it does.
    pub fn server_lost(&mut self, now: Instant, server: &Incarnation, own: u64, all: u64) {
        self.lost.retain(|_, (at, _)| now.since(*at) <= LOSS_WINDOW);
        let herd_size = all as f64 / own.max(1) as f64;
        let herd_size = herd_size.clamp(1.0, MAX_HERD_SIZE);
        self.lost.insert(server.clone(), (now, herd_size));
    }

    /// Returns how many streams of all entries move for each stream of this entry that leaves the
    /// path; 1 if none of its servers was lost recently.
    #[must_use]
    pub fn herd_size(&self, now: Instant, path: &Path) -> f64 {
        let lost = path.parts().iter().filter_map(|part| {
            let (at, herd_size) = self.lost.get(&part.server)?;
            (now.since(*at) <= LOSS_WINDOW).then_some(*herd_size)
        });
        lost.fold(1.0, f64::max)
    }

    /// Drops the servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Incarnation) -> bool) {
        self.idle_at.retain(|server, _| keep(server));
        self.lost.retain(|server, _| keep(server));
    }
}
