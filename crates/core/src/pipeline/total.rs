//! One bound for all that callers and servers take of an entry's memory.

use crate::pipeline::memory::Size;
use crate::pipeline::share::IDLE_CONNECTION;
use crate::pipeline::share::besides_program;

/// The part of a machine's memory for the program itself and all parts, in percent.
const SHARE_PERCENT: u64 = 55;
/// The part of a machine's memory for all parts at least, in percent: the budget's and the least of the
/// places.
const MIN_PERCENT: u64 = 50;
/// The part of the capacity that bytes leave to places beyond those that are taken: one in this many.
const REQUESTS_DIVISOR: u64 = 16;
/// How many idle connections are kept at least, however little is left.
const MIN_IDLE: u64 = 64;

/// What takes memory for callers and servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The places of connections and requests.
    Places,
    /// The bytes of the memory budget.
    Bytes,
}

/// What the parts of an entry's memory hold, and may hold together.
///
/// Each part has a bound of its own, and the sum of these exceeds what a machine can spare. A part may
/// hold what the other leaves; idle connections to servers may have what both leave, and are closed when
/// one of them grows.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::memory::Size;
/// # use jujube_core::pipeline::total::Part;
/// # use jujube_core::pipeline::total::Total;
/// let mut total = Total::of(Some(Size(200_000_000)));
/// assert_eq!(total.limit(Part::Bytes), Size(95_625_000));
/// assert_eq!(total.idle_connections(), 5_100);
/// total.record(Part::Places, Size(50_000_000));
/// assert_eq!(total.limit(Part::Bytes), Size(45_625_000));
/// total.record(Part::Bytes, Size(45_625_000));
/// assert_eq!(total.limit(Part::Places), Size(56_375_000));
/// assert_eq!(total.idle_connections(), 318);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Total {
    capacity: Size,
    places: Size,
    bytes: Size,
}

impl Total {
    /// Creates the total of an entry on a machine with this memory, of which nothing is held. If it is
    /// unknown or zero, assumes that of the smallest entry.
    #[must_use]
    pub fn of(memory: Option<Size>) -> Self {
        Self {
            capacity: besides_program(memory, SHARE_PERCENT, MIN_PERCENT),
            places: Size(0),
            bytes: Size(0),
        }
    }

    /// Returns how much all parts may hold.
    #[must_use]
    pub fn capacity(&self) -> Size {
        self.capacity
    }

    /// Records what a part holds.
    pub fn record(&mut self, part: Part, held: Size) {
        match part {
            Part::Places => self.places = held,
            Part::Bytes => self.bytes = held,
        }
    }

    /// Returns how much a part may hold. Bytes leave some room for the places of new requests.
    #[must_use]
    pub fn limit(&self, part: Part) -> Size {
        let others = match part {
            Part::Places => self.bytes.0,
            Part::Bytes => self.places.0 + self.capacity.0 / REQUESTS_DIVISOR,
        };
        Size(self.capacity.0.saturating_sub(others))
    }

    /// Returns how many idle connections to servers may be kept beside what is held.
    #[must_use]
    pub fn idle_connections(&self) -> usize {
        let held = self.places.0.saturating_add(self.bytes.0);
        let left = self.capacity.0.saturating_sub(held);
        (left / IDLE_CONNECTION.0).max(MIN_IDLE) as usize
    }
}
