//! Prompts that backend servers have been given to read and have not read yet.

use std::collections::BTreeMap;

use crate::pipeline::path::Path;
use crate::pipeline::server::Incarnation;
use crate::time::Instant;
use crate::time::Span;

/// How long the loss of a server explains that many streams are moved at once. Streams leave a dead
/// server within a few hundred milliseconds, and nothing new is sent there.
const LOSS: Span = Span(1_000);
/// The most streams that one moved stream of this entry stands for: a bound on a figure that rests on
/// other entries' word.
const MAX_HERD_SIZE: f64 = 64.0;

/// How long servers are busy with reading what they were given.
///
/// An engine reads prompts one after the other. When a server dies, all streams through it are moved
/// within milliseconds; sent to one stand-in, the last of a hundred would wait three quarters of a
/// second for its tokens to be read, while other servers have nothing to read. Reports lag by more
/// than that, so what was sent is counted here as it is sent.
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
    /// When each server has read all, in milliseconds of [`Instant`].
    read_at: BTreeMap<Incarnation, f64>,
    /// Servers that were lost, when, and how many streams one of this entry's stands for.
    lost: BTreeMap<Incarnation, (Instant, f64)>,
}

impl Backlog {
    /// Books reading that takes a server `work_ms` milliseconds.
    pub fn add(&mut self, now: Instant, server: &Incarnation, work_ms: f64) {
        let now = now.0 as f64;
        let read_at = self.read_at.entry(server.clone()).or_insert(now);
        *read_at = read_at.max(now) + work_ms;
    }

    /// Returns for how many milliseconds a server is busy with what it was given.
    #[must_use]
    pub fn wait_ms(&self, now: Instant, server: &Incarnation) -> f64 {
        let read_at = self.read_at.get(server);
        read_at.map_or(0.0, |at| (at - now.0 as f64).max(0.0))
    }

    /// Books that a server was lost with `all` requests of all entries, `own` of them this entry's.
    ///
    /// All entries move their streams at the same moment and hear of one another's moves too late.
    /// They choose by the same figures, so each takes it that the others do what it does.
    pub fn server_lost(&mut self, now: Instant, server: &Incarnation, own: u64, all: u64) {
        self.lost.retain(|_, (at, _)| now.since(*at) <= LOSS);
        let herd_size = all as f64 / own.max(1) as f64;
        let herd_size = herd_size.clamp(1.0, MAX_HERD_SIZE);
        self.lost.insert(server.clone(), (now, herd_size));
    }

    /// Returns how many streams one that leaves this path stands for; 1 when none of its servers was
    /// lost just now.
    #[must_use]
    pub fn herd_size(&self, now: Instant, path: &Path) -> f64 {
        let lost = path.parts().iter().filter_map(|part| {
            let (at, herd_size) = self.lost.get(&part.server)?;
            (now.since(*at) <= LOSS).then_some(*herd_size)
        });
        lost.fold(1.0, f64::max)
    }

    /// Keeps only the servers that are still registered.
    pub fn retain(&mut self, keep: impl Fn(&Incarnation) -> bool) {
        self.read_at.retain(|server, _| keep(server));
        self.lost.retain(|server, _| keep(server));
    }
}
