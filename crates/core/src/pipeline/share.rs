//! Which part of a machine's memory the store and other entries may fill.

use crate::pipeline::memory::Size;
use crate::pipeline::memory::known;

/// The part of a machine's memory that one answer of the store may have: one in this many bytes.
const ANSWER_DIVISOR: u64 = 40;
/// What one answer may have at least: four of the store's pages.
const MIN_ANSWER: Size = Size(4_000_000);
/// The part of a machine's memory that all keys may have as the store sends them: one in this many
/// bytes. They are kept once as they were read and once as they are used.
const SNAPSHOT_DIVISOR: u64 = 8;
/// The part of a machine's memory that the reports of other entries may have: one in this many bytes.
/// Their sums take as much again a few times. Sums of a thousand entries on five hundred servers fit.
const REPORTS_DIVISOR: u64 = 10;
/// The part of a machine's memory that idle connections to servers may have: one in this many bytes.
const IDLE_DIVISOR: u64 = 8;
/// What an idle connection holds: its task, and buffers for reading and writing.
pub(super) const IDLE_CONNECTION: Size = Size(20_000);
/// What the program uses without any connection.
const PROGRAM: Size = Size(8_000_000);

/// Returns a share of a machine's memory less what the program uses, or a smaller share if that is more,
/// both in percent. If the memory is unknown or zero, assumes that of the smallest entry.
pub(super) fn besides_program(memory: Option<Size>, share: u64, least: u64) -> Size {
    let percent = known(memory).0 / 100;
    let besides_program = (percent * share).saturating_sub(PROGRAM.0);
    Size(besides_program.max(percent * least))
}

/// Returns how many idle connections to servers are kept on a machine. If its memory is unknown or
/// zero, assumes that of the smallest entry.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::share::idle_connections;
/// assert_eq!(idle_connections(None), 1_000);
/// ```
#[must_use]
pub fn idle_connections(memory: Option<Size>) -> usize {
    (known(memory).0 / IDLE_DIVISOR / IDLE_CONNECTION.0) as usize
}

/// Returns how much the reports of other entries may have on a machine. If its memory is unknown or
/// zero, assumes that of the smallest entry.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::memory::Size;
/// # use jujube_core::pipeline::share::reports_limit;
/// assert_eq!(reports_limit(None), Size(16_000_000));
/// ```
#[must_use]
pub fn reports_limit(memory: Option<Size>) -> Size {
    Size(known(memory).0 / REPORTS_DIVISOR)
}

/// How much of what the store sends an entry takes. A store that has no more to tell than an entry
/// can keep never comes near these limits.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::memory::Size;
/// # use jujube_core::pipeline::share::StoreLimits;
/// assert_eq!(StoreLimits::of(None).answer, Size(4_000_000));
/// assert_eq!(StoreLimits::of(Some(Size(320_000_000))).snapshot, Size(40_000_000));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreLimits {
    /// The largest answer.
    pub answer: Size,
    /// The most that all pages of a snapshot may have.
    pub snapshot: Size,
}

impl StoreLimits {
    /// Returns the limits on a machine. If its memory is unknown or zero, assumes that of the smallest
    /// entry.
    #[must_use]
    pub fn of(memory: Option<Size>) -> Self {
        let memory = known(memory).0;
        Self {
            answer: Size(memory / ANSWER_DIVISOR).max(MIN_ANSWER),
            snapshot: Size(memory / SNAPSHOT_DIVISOR),
        }
    }
}
