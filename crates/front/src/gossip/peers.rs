//! The other entries, as far as they are known.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use jujube_core::pipeline::outage;
use jujube_core::pipeline::outage::Word;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_store::kv::Value;

use super::ENTRIES;

/// How long an entry whose announcement has ended is still told, after it was last heard: the
/// announcement also ends when the store is away.
const HEARD: Span = Span(5_000);
/// How long another entry's word on the store counts.
const FRESH: Span = Span(1_500);

#[derive(Clone, Copy, Debug)]
struct Peer {
    is_announced: bool,
    heard: Instant,
    /// Whether it says that the store does not answer it.
    is_store_away: bool,
}

/// The other entries.
#[derive(Default)]
pub struct Peers(RefCell<BTreeMap<SocketAddr, Peer>>);

impl Peers {
    /// Takes a key of the store, if it is an entry's announcement.
    pub fn take(&self, key: &str, value: Option<&Value>) {
        let Some(_name) = key.strip_prefix(ENTRIES) else {
            return;
        };
        let Some(value) = value else {
            // The address is in the value that is gone: those not heard any more drop out.
            for peer in self.0.borrow_mut().values_mut() {
                peer.is_announced = false;
            }
            return;
        };
        let Value::Text(value) = value else {
            // Somebody else wrote it; the entry that it names is known by what it tells.
            return;
        };
        if let Ok(address) = value.parse() {
            let peer = Peer {
                is_announced: true,
                heard: clock::now(),
                is_store_away: false,
            };
            self.0.borrow_mut().insert(address, peer);
        }
    }

    pub(super) fn heard(&self, address: SocketAddr, is_store_away: bool) {
        let mut peers = self.0.borrow_mut();
        let peer = peers.entry(address).or_insert(Peer {
            is_announced: false,
            heard: clock::now(),
            is_store_away,
        });
        peer.heard = clock::now();
        peer.is_store_away = is_store_away;
    }

    /// Tells whether the store answers no other entry; `own` is this entry's address.
    pub fn is_store_away(&self, own: SocketAddr) -> bool {
        let now = clock::now();
        let peers = self.0.borrow();
        let others = peers.iter().filter(|(address, _)| **address != own);
        let words = others.map(|(_, peer)| match now.since(peer.heard) <= FRESH {
            false => Word::Silent,
            true if peer.is_store_away => Word::Away,
            true => Word::Served,
        });
        outage::is_for_all(words)
    }

    /// Returns how many entries are known, this one included.
    pub fn count(&self) -> u64 {
        self.0.borrow().len().max(1) as u64
    }

    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let mut peers = self.0.borrow_mut();
        peers.retain(|_, peer| peer.is_announced || now.since(peer.heard) <= HEARD);
        peers.keys().copied().collect()
    }
}
