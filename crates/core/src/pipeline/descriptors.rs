//! How an entry shares out the descriptors that it may open.

/// The part of the descriptors for the program itself: one in this many.
const PROGRAM_DIVISOR: u64 = 4;
/// The most descriptors for the program itself: checks and metrics, other entries, the store, its log.
const MAX_PROGRAM: u64 = 800;
/// The part of the descriptors for idle connections to servers: one in this many.
const IDLE_DIVISOR: u64 = 8;
/// The part of the descriptors for checks, and for readers of the metrics: one in this many each.
const CHECKS_DIVISOR: u64 = 16;
/// The most connections of checks, and of readers of the metrics.
const MAX_CHECKS: u64 = 256;

/// The number of descriptors that a process may open.
///
/// A process without a free descriptor accepts nobody, answers no check of its readiness and cannot
/// call the store. Each part therefore has a number of its own, and their sum is the whole.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::descriptors::Descriptors;
/// let descriptors = Descriptors::new(Some(4_200));
/// assert_eq!(descriptors.callers(), 2_875);
/// assert_eq!(descriptors.idle_connections(), 525);
/// assert_eq!(descriptors.checks(), 256);
/// assert_eq!(Descriptors::new(None).checks(), 256, "as many as are wanted");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Descriptors(u64);

impl Descriptors {
    /// Returns the descriptors of a process; without a number there is no limit.
    #[must_use]
    pub fn new(limit: Option<u64>) -> Self {
        Self(limit.unwrap_or(u64::MAX))
    }

    /// Returns how many callers' connections and requests in flight there may be. A request has a
    /// connection to a server.
    #[must_use]
    pub fn callers(self) -> u64 {
        let program = (self.0 / PROGRAM_DIVISOR).min(MAX_PROGRAM);
        self.0 - program - self.0 / IDLE_DIVISOR
    }

    /// Returns how many idle connections to servers are kept at most.
    #[must_use]
    pub fn idle_connections(self) -> usize {
        usize::try_from(self.0 / IDLE_DIVISOR).unwrap_or(usize::MAX)
    }

    /// Returns how many connections of checks there may be, and of readers of the metrics as many.
    #[must_use]
    pub fn checks(self) -> usize {
        (self.0 / CHECKS_DIVISOR).clamp(1, MAX_CHECKS) as usize
    }
}
