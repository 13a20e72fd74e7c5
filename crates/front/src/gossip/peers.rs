//! What is known about the other entries.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;

use ed25519_dalek::PUBLIC_KEY_LENGTH;
use ed25519_dalek::VerifyingKey;
use jujube_core::name::Zone;
use jujube_core::pipeline::cell::Directory;
use jujube_core::pipeline::cell::Location;
use jujube_core::pipeline::memory::Size;
use jujube_core::pipeline::outage;
use jujube_core::pipeline::reports::Reports;
use jujube_core::pipeline::reserve::LeaseId;
use jujube_core::pipeline::share;
use jujube_core::time::Instant;
use jujube_store::kv::Value;
use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;

/// What is escaped in the words of an announcement: what ends one, and what begins an escape.
const NO_WORD: &AsciiSet = &CONTROLS.add(b' ').add(b'%');

/// An entry's announcement in the store.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// The zone and the gossip address of the entry.
    pub place: Location,
    /// The lease of the announcement, which distinguishes it from earlier ones of the same entry.
    pub lease_id: LeaseId,
    /// The key that signs what the entry passes on of the store; `None` if its program passes on
    /// nothing.
    pub key: Option<VerifyingKey>,
}

impl Announcement {
    /// Decodes an announcement; `None` if the value is not one.
    pub fn decode(value: &Value) -> Option<Self> {
        match value {
            Value::Text(text) => Self::parse(text),
            Value::Unreadable(_) => None,
        }
    }

    /// Parses an announcement; `None` if the text is not one.
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.split(' ');
        let address = words.next()?.parse().ok()?;
        let zone = percent_decode_str(words.next()?).decode_utf8().ok()?;
        let zone = Zone::from(zone.as_ref());
        let lease_id = words.next()?.parse().ok()?;
        let key = words.next().and_then(parse_key);
        let place = Location { zone, address };
        Some(Self {
            place,
            lease_id,
            key,
        })
    }

    /// Encodes the announcement.
    pub fn encode(&self) -> String {
        let Location { zone, address } = &self.place;
        let key = self
            .key
            .map_or_else(String::new, |key| format!(" {}", hex::encode(key)));
        let zone = utf8_percent_encode(&zone.0, NO_WORD);
        format!("{address} {zone} {}{key}", self.lease_id)
    }
}

fn parse_key(text: &str) -> Option<VerifyingKey> {
    let mut bytes = [0; PUBLIC_KEY_LENGTH];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}

/// What is known about the other entries.
pub struct Peers {
    /// The known entries, grouped in cells.
    pub directory: RefCell<Directory>,
    /// The latest report of each entry and cell.
    pub(super) reports: RefCell<Reports>,
    /// When the reports were last aggregated.
    pub(super) aggregated_at: Cell<Instant>,
    reachable: Cell<u64>,
    with_store: Cell<u64>,
    ready: Cell<Option<SocketAddr>>,
}

impl Peers {
    /// Creates the peers of an entry that knows no others, on a machine with so much memory.
    pub fn new(own: Arc<str>, place: Location, memory: Option<Size>) -> Self {
        Self {
            directory: RefCell::new(Directory::new(own, place)),
            reports: RefCell::new(Reports::new(share::reports_limit(memory))),
            aggregated_at: Cell::default(),
            reachable: Cell::default(),
            with_store: Cell::default(),
            ready: Cell::default(),
        }
    }

    /// Sets how many other entries sent reports, how many of them the store answers, and the
    /// lowest address of those that could become planner.
    pub(super) fn set_summary(&self, reachable: u64, with_store: u64, ready: Option<SocketAddr>) {
        self.reachable.set(reachable);
        self.with_store.set(with_store);
        self.ready.set(ready);
    }

    /// Returns whether the store answers none of the other entries.
    pub fn is_store_unavailable(&self) -> bool {
        outage::is_global(outage::Observation {
            peers: self.count().saturating_sub(1),
            reachable: self.reachable.get(),
            with_store: self.with_store.get(),
        })
    }

    /// Returns the lowest address of the other entries that could become planner.
    pub fn ready(&self) -> Option<SocketAddr> {
        self.ready.get()
    }

    /// Returns the number of known entries, including this one.
    pub fn count(&self) -> u64 {
        self.directory.borrow().count() as u64
    }
}
