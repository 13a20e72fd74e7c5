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

    holding.release(&owner, Size(0));
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

/// What an event may take, of which a part has arrived.
const MOST: Size = Size(270_000);
const PARTIAL: Size = Size(20_000);

/// Guards against an event that reserves all it may take while it is small, so that few of them close an
/// entry to others.
#[test]
fn an_event_reserves_twice_what_has_arrived_of_it() {
    let memory = Rc::new(Memory::new(Size(2 * MOST.0)));
    let (owner, holding) = (Memory::open(&memory), Holding::default());

    assert!(holding.adjust_event(&owner, PARTIAL, MOST, READING));
    assert_eq!(owner.held(), Size(2 * PARTIAL.0 + READING.0));

    let arrived = Size(MOST.0 - 1);
    assert!(holding.adjust_event(&owner, arrived, MOST, READING));
    assert_eq!(owner.held(), Size(MOST.0 + READING.0));

    let large = Bytes::from(vec![b'a'; 250_000]);
    holding.record_passed(&large);
    assert!(holding.adjust_event(&owner, Size(0), MOST, READING));
    assert_eq!(owner.held(), Size(memory::kept_size(&large).0 + READING.0));

    holding.record_flushes(1);
    assert!(holding.adjust_event(&owner, Size(0), MOST, READING));
    assert_eq!(owner.held(), Size(0));
}

/// Guards against events that have a part of the memory each, so that none is ever whole, and against one
/// that waits although others were taken.
#[test]
fn one_of_many_events_can_always_become_whole() {
    const EVENTS: usize = 50;
    let memory = Rc::new(Memory::new(Size(3 * MOST.0)));
    let streams: Vec<_> = (0..EVENTS)
        .map(|_| (Memory::open(&memory), Holding::default()))
        .collect();
    let mut arrived = vec![PARTIAL.0; EVENTS];
    let mut whole = 0;

    while whole < EVENTS {
        let mut has_moved = false;
        for ((owner, holding), arrived) in streams.iter().zip(&mut arrived) {
            let may_read =
                *arrived < MOST.0 && holding.adjust_event(owner, Size(*arrived), MOST, READING);
            if !may_read {
                continue;
            }
            has_moved = true;
            *arrived = (*arrived + 16_384).min(MOST.0);
            let held = streams.iter().map(|(owner, _)| owner.held().0);
            assert!(held.sum::<u64>() <= 3 * MOST.0);
            if *arrived == MOST.0 {
                holding.shrink_event(owner, 0);
                whole += 1;
            }
        }
        assert!(has_moved, "{whole} of {EVENTS} are whole: {arrived:?}");
    }
}

/// Guards against a reservation for every small event, which is in the place of its request.
#[test]
fn events_of_one_read_need_no_reservation() {
    let memory = Rc::new(Memory::new(Size(0)));
    let (owner, holding) = (Memory::open(&memory), Holding::default());

    holding.record_passed(&event());

    assert!(holding.adjust_event(&owner, Size(1_000), MOST, READING));
    assert!(!holding.has_event());
}

/// Guards against an event that is counted twice, or not released, once its caller is behind.
#[test]
fn an_event_counts_once_while_its_caller_is_behind() {
    let memory = Rc::new(Memory::new(Size(1_000_000)));
    let (owner, holding) = (Memory::open(&memory), Holding::default());
    assert!(holding.adjust_event(&owner, PARTIAL, MOST, READING));

    let arrived = Size(PARTIAL.0 + READING.0);
    assert!(holding.adjust(&owner, arrived));
    assert_eq!(owner.held(), arrived);
    let grown = Size(3 * PARTIAL.0 + READING.0);
    assert!(holding.adjust(&owner, grown));
    assert_eq!(owner.held(), grown);

    holding.release(&owner, Size(0));
    holding.shrink_event(&owner, 0);
    assert_eq!(owner.held(), Size(0));
}

/// Guards against a part of an event that is kept and in no account once its caller is not behind any more,
/// where others have taken the rest of the memory.
#[test]
fn what_is_held_stays_reserved_once_the_caller_has_caught_up() {
    let memory = Rc::new(Memory::new(Size(200_000)));
    let (owner, other) = (Memory::open(&memory), Memory::open(&memory));
    let holding = Holding::default();
    let reading = Size(PARTIAL.0 + READING.0);
    assert!(holding.adjust(&owner, reading));
    let left = Size(200_000 - owner.held().0);
    other.reserve(Cause::Response, left).unwrap();

    holding.release(&owner, reading);

    assert_eq!(owner.held(), reading);
    assert!(!holding.adjust_event(&owner, PARTIAL, MOST, READING));
    assert_eq!(owner.held(), reading);
    drop(other);
    assert!(holding.adjust_event(&owner, Size(0), MOST, READING));
    assert_eq!(owner.held(), Size(0));
}
