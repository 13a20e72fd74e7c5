//! The other entries, as far as they are known.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;

use jujube_core::name::Zone;
use jujube_core::pipeline::cell::Directory;
use jujube_core::pipeline::cell::Location;
use jujube_core::pipeline::outage;
use jujube_core::pipeline::reports::Reports;
use jujube_core::pipeline::reserve::LeaseId;
use jujube_core::time::Instant;
use jujube_store::kv::Value;

/// What an entry says of itself in the store.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// Where it is.
    pub place: Location,
    /// The lease of the announcement, which tells this one from an earlier one of the same entry.
    pub tenure: LeaseId,
}

impl Announcement {
    /// Reads an announcement; `None` if somebody else wrote the value.
    pub fn read(value: &Value) -> Option<Self> {
        let Value::Text(text) = value else {
            return None;
        };
        let mut words = text.split(' ');
        let address = words.next()?.parse().ok()?;
        let zone: Zone = words.next()?.into();
        let tenure = words.next()?.parse().ok()?;
        let place = Location { zone, address };
        Some(Self { place, tenure })
    }

    /// Returns the value to write.
    pub fn text(&self) -> String {
        let Location { zone, address } = &self.place;
        format!("{address} {zone} {}", self.tenure)
    }
}

/// The other entries.
pub struct Peers {
    /// Who they are, in cells.
    pub directory: RefCell<Directory>,
    /// What they said.
    pub(super) board: RefCell<Reports>,
    /// When what they said was added up last.
    pub(super) summed: Cell<Instant>,
    heard: Cell<u64>,
    served: Cell<u64>,
    ready: Cell<Option<SocketAddr>>,
}

impl Peers {
    /// Returns the peers of an entry that knows none.
    pub fn new(own: Arc<str>, place: Location) -> Self {
        Self {
            directory: RefCell::new(Directory::new(own, place)),
            board: RefCell::default(),
            summed: Cell::default(),
            heard: Cell::default(),
            served: Cell::default(),
            ready: Cell::default(),
        }
    }

    /// Takes how many others are heard, how many of them the store answers, and the lowest address of those that
    /// could give orders.
    pub(super) fn set(&self, heard: u64, served: u64, ready: Option<SocketAddr>) {
        self.heard.set(heard);
        self.served.set(served);
        self.ready.set(ready);
    }

    /// Tells whether the store answers no other entry.
    pub fn is_store_away(&self) -> bool {
        outage::is_global(outage::Observation {
            peers: self.count().saturating_sub(1),
            reachable: self.heard.get(),
            with_store: self.served.get(),
        })
    }

    /// Returns the other entry with the lowest address of those that are heard and could give orders.
    pub fn ready(&self) -> Option<SocketAddr> {
        self.ready.get()
    }

    /// Returns how many entries are known, this one included.
    pub fn count(&self) -> u64 {
        self.directory.borrow().count() as u64
    }
}
