//! How much the keys of the store may take, by kind.

use crate::pipeline::memory::Size;

/// What a key of the store is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The configuration, which is one key.
    Configuration,
    /// The registration of a backend server.
    Registration,
    /// The announcement of an entry.
    Announcement,
    /// A piece of a retry budget.
    Piece,
    /// A request in quarantine.
    Quarantine,
    /// Another key of the entries, such as the planner's lease.
    Other,
}

impl Kind {
    const COUNT: usize = 6;

    /// Returns the part of all room that keys of this kind may take, in percent. The configuration is
    /// bounded by the largest answer of the store, and always has room.
    fn percent(self) -> u64 {
        match self {
            Self::Configuration => 100,
            Self::Registration => 70,
            Self::Announcement => 15,
            Self::Piece | Self::Quarantine | Self::Other => 5,
        }
    }

    /// Returns what an entry keeps of one key besides the key and its value: the tables in which it
    /// stands, and what is made of it.
    fn overhead(self) -> u64 {
        match self {
            Self::Registration => 1_024,
            Self::Announcement => 640,
            Self::Configuration | Self::Piece | Self::Quarantine | Self::Other => 384,
        }
    }
}

/// How much the keys of each kind take, and may take.
///
/// Each kind has a share of its own, so that ever new keys of one kind keep out no others. New keys leave
/// a quarter of it to the growth of those that are known.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::feed::room::Kind;
/// # use jujube_core::pipeline::feed::room::Room;
/// # use jujube_core::pipeline::memory::Size;
/// let mut room = Room::new(Size(20_000));
/// let cost = Room::cost(Kind::Piece, "jujube/slack/desk/7", 16);
/// assert!(room.take_new(Kind::Piece, cost));
/// assert!(!room.take_new(Kind::Piece, cost), "a quarter is left");
/// assert!(room.take(Kind::Piece, cost));
/// assert!(!room.take(Kind::Piece, cost));
/// assert!(room.take_new(Kind::Registration, cost));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Room {
    total: Size,
    taken: [u64; Kind::COUNT],
}

impl Room {
    /// Creates room of which nothing is taken.
    #[must_use]
    pub fn new(total: Size) -> Self {
        Self {
            total,
            taken: [0; Kind::COUNT],
        }
    }

    /// Returns what a key takes with a value of some bytes.
    #[must_use]
    pub fn cost(kind: Kind, key: &str, value: usize) -> u64 {
        kind.overhead() + key.len() as u64 + value as u64
    }

    fn share(&self, kind: Kind) -> u64 {
        self.total.0 / 100 * kind.percent()
    }

    /// Takes room for a key that is not known; returns whether there is any.
    pub fn take_new(&mut self, kind: Kind, cost: u64) -> bool {
        self.take_of(self.share(kind) / 4 * 3, kind, cost)
    }

    /// Takes room for a known key; returns whether there is any.
    pub fn take(&mut self, kind: Kind, cost: u64) -> bool {
        self.take_of(self.share(kind), kind, cost)
    }

    fn take_of(&mut self, most: u64, kind: Kind, cost: u64) -> bool {
        let taken = &mut self.taken[kind as usize];
        let has_room = kind == Kind::Configuration || *taken + cost <= most;
        if has_room {
            *taken += cost;
        }
        has_room
    }

    /// Gives back the room of a key.
    pub fn give_back(&mut self, kind: Kind, cost: u64) {
        let taken = &mut self.taken[kind as usize];
        *taken = taken.saturating_sub(cost);
    }

    /// Returns whether a kind takes less than half of its share.
    #[must_use]
    pub fn is_wide(&self, kind: Kind) -> bool {
        self.taken[kind as usize] < self.share(kind) / 2
    }
}
