//! What entries announce about themselves in the store.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

#[path = "../src/gossip/peers.rs"]
#[allow(dead_code, reason = "the entry uses the rest of it")]
mod peers;

use ed25519_dalek::SigningKey;
use jujube_core::pipeline::cell::Location;
use jujube_core::pipeline::reserve::LeaseId;
use peers::Announcement;
use proptest::prelude::*;

proptest! {
    /// Guards against zones whose entries nobody finds, because their name has a blank.
    #[test]
    fn an_entry_in_any_zone_is_read_as_it_was_announced(zone in any::<String>(), lease: u64) {
        let announced = Announcement {
            place: Location { zone: zone.into(), address: "127.0.0.1:7340".parse().unwrap() },
            lease_id: LeaseId(lease),
            key: Some(SigningKey::from_bytes(&[1; 32]).verifying_key()),
        };

        let read = Announcement::parse(&announced.encode()).unwrap();

        prop_assert_eq!(read.place, announced.place);
        prop_assert_eq!(read.lease_id, announced.lease_id);
        prop_assert_eq!(read.key, announced.key);
    }
}

/// Guards against announcements that an earlier version of the program cannot read.
#[test]
fn a_plain_zone_is_announced_as_it_is() {
    let text = "127.0.0.1:7340 fukuoka-hall/1_a.b:c 5";

    assert_eq!(Announcement::parse(text).unwrap().encode(), text);
}
