//! What a stream holds for a caller that is behind, as the memory budget counts it.

#![allow(clippy::unwrap_used, reason = "a test that fails must panic")]

#[path = "../src/stream/holding.rs"]
mod holding;
#[allow(dead_code, reason = "streams use a part of it")]
#[path = "../src/memory.rs"]
mod memory;

use std::rc::Rc;

use bytes::Bytes;
use holding::Holding;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::Size;
use memory::Memory;

/// What is held for the server's response.
const READING: Size = Size(50);

fn event() -> Bytes {
    Bytes::from(vec![b'a'; 1_000])
}

/// What the budget counts for one event.
fn event_size() -> u64 {
    memory::kept_size(&event()).0
}

/// Guards against data that is not counted any more while it still waits in the connection, or that
/// counts after that.
#[test]
fn data_counts_until_the_connection_has_taken_all() {
    let memory = Rc::new(Memory::new(Size(100_000)));
    let (owner, holding) = (Memory::open(&memory), Holding::default());
    holding.record_flushes(1);
    holding.record_passed(&event());
    holding.record_queued(&event());
    assert!(holding.adjust(&owner, READING));
    assert_eq!(owner.held(), Size(2 * event_size() + READING.0));

    holding.record_flushes(1);
    holding.record_popped(&event());
    holding.shrink(&owner, READING);
    assert_eq!(owner.held(), Size(2 * event_size() + READING.0));

    holding.record_flushes(2);
    holding.shrink(&owner, READING);
    assert_eq!(owner.held(), READING);

    holding.release(&owner);
    assert_eq!(owner.held(), Size(0));
}

/// Guards against a part that is reserved twice, or not at all, once there is room.
#[test]
fn what_found_no_room_is_reserved_later() {
    let memory = Rc::new(Memory::new(Size(8_000)));
    let (owner, other) = (Memory::open(&memory), Memory::open(&memory));
    other.reserve(Cause::Response, Size(5_000)).unwrap();
    let holding = Holding::default();
    assert!(holding.adjust(&owner, READING));
    holding.record_queued(&event());
    assert!(!holding.adjust(&owner, READING));
    assert_eq!(owner.held(), READING);

    drop(other);

    assert!(holding.adjust(&owner, READING));
    assert!(holding.adjust(&owner, READING));
    assert_eq!(owner.held(), Size(event_size() + READING.0));
    assert!(holding.adjust(&owner, Size(0)));
    assert_eq!(owner.held(), Size(event_size()));
}
