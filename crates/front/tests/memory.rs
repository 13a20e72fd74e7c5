//! The memory budget as tasks share it: release on drop, eviction, and waits for room.

#![allow(clippy::unwrap_used, reason = "a test that fails must panic")]

#[path = "../src/memory.rs"]
mod memory;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::Size;
use jujube_core::pipeline::total::Part;
use jujube_core::pipeline::total::Total;
use memory::Memory;
use memory::Reservation;

/// Longer than a caller must have taken nothing before it may be evicted.
const IDLE: Duration = Duration::from_millis(8_050);
/// Long enough for a wait that should have ended.
const SETTLE: Duration = Duration::from_millis(200);

fn full(memory: &Rc<Memory>, cause: Cause, size: u64) -> Reservation {
    let owner = Memory::open(memory);
    owner.reserve(cause, Size(size)).unwrap();
    owner
}

async fn is_ready(wait: impl Future) -> bool {
    tokio::time::timeout(SETTLE, wait).await.is_ok()
}

/// Guards against a limit of responses without a stated size that lets a few of them take all memory.
#[test]
fn few_responses_without_a_stated_size_leave_room() {
    let memory = Rc::new(Memory::new(Size(1_600)));
    let endless = || {
        let owner = Memory::open(&memory);
        owner
            .reserve(Cause::Response, owner.unbounded_limit())
            .unwrap();
        owner
    };

    let _held = [endless(), endless(), endless(), endless()];

    let other = Memory::open(&memory);
    assert!(other.reserve(Cause::RequestBody, Size(1_200)).is_ok());
}

/// Guards against memory that stays reserved after its request has ended.
#[test]
fn a_dropped_owner_holds_nothing() {
    let memory = Rc::new(Memory::new(Size(100)));
    let owner = full(&memory, Cause::RequestBody, 60);
    owner.transfer(Cause::RequestBody, Cause::Response, Size(20));
    owner.release(Cause::Response, Size(5));
    assert_eq!(owner.held(), Size(55));

    drop(owner);

    assert_eq!(
        Cause::ALL.map(|cause| memory.held_for(cause)),
        [Size(0); Cause::ALL.len()]
    );
    assert_eq!(memory.capacity(), Size(100));
}

/// Guards against an evicted owner that is not told, that still counts, or that takes the room of
/// others again, and against read-ahead that evicts.
#[tokio::test]
async fn an_owner_that_takes_nothing_is_evicted_for_a_request_and_not_for_read_ahead() {
    let memory = Rc::new(Memory::new(Size(100)));
    let (idle, reading) = (Memory::open(&memory), Memory::open(&memory));
    idle.reserve(Cause::Response, Size(60)).unwrap();
    reading.reserve(Cause::Response, Size(40)).unwrap();
    idle.set_waiting(true);
    reading.set_waiting(true);
    tokio::time::sleep(IDLE).await;
    reading.progressed();
    let new = Memory::open(&memory);
    assert!(new.reserve(Cause::ReadAhead, Size(1)).is_err());
    assert!(!is_ready(idle.evicted()).await);

    new.reserve(Cause::RequestBody, Size(30)).unwrap();

    let evicted = idle.evicted().await;
    assert_eq!(evicted.held, Size(60));
    assert!(evicted.idle.0 >= 8_000, "{evicted:?}");
    assert_eq!(idle.held(), Size(0));
    assert!(idle.reserve(Cause::Response, Size(1)).is_err());
    assert!(!is_ready(reading.evicted()).await);
}

/// Guards against an idle caller that has callers evicted who were idle for less long, in order to
/// hold more.
#[tokio::test]
async fn an_idle_owner_evicts_nobody_in_favour_of_itself() {
    let memory = Rc::new(Memory::new(Size(100)));
    let longest = full(&memory, Cause::Response, 50);
    longest.set_waiting(true);
    tokio::time::sleep(Duration::from_millis(20)).await;
    let other = full(&memory, Cause::Response, 50);
    other.set_waiting(true);
    tokio::time::sleep(IDLE).await;

    let reserved = longest.reserve(Cause::Response, Size(60));

    assert!(reserved.is_err());
    assert_eq!((longest.held(), other.held()), (Size(50), Size(50)));
}

/// Guards against a wait for room that misses a release, also one between the refusal and the wait,
/// or that ends without one.
#[tokio::test]
async fn a_wait_for_room_ends_with_a_release() {
    let memory = Rc::new(Memory::new(Size(100)));
    let (holder, waiter) = (full(&memory, Cause::Response, 100), Memory::open(&memory));
    waiter.reserve(Cause::ReadAhead, Size(1)).unwrap_err();
    assert!(!is_ready(waiter.room()).await);

    let release = async { holder.release(Cause::Response, Size(50)) };
    let (is_woken, ()) = tokio::join!(is_ready(waiter.room()), release);
    assert!(is_woken);

    waiter.reserve(Cause::ReadAhead, Size(60)).unwrap_err();
    holder.release(Cause::Response, Size(1_000));
    assert!(!is_ready(waiter.room()).await, "nothing was released");
    drop(holder);
    assert!(is_ready(waiter.room()).await, "released before the wait");
}

/// A read buffer that is known to be freed once its count of holders is zero.
struct Buffer(Arc<[u8]>);

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

fn read_buffer() -> (Bytes, Weak<[u8]>) {
    let bytes: Arc<[u8]> = vec![b'a'; 8_192].into();
    let buffer = Arc::downgrade(&bytes);
    (Bytes::from_owner(Buffer(bytes)), buffer)
}

/// Guards against small events that each keep a read buffer of 8 KiB, of which a hundredth is counted.
#[test]
fn kept_data_does_not_keep_its_read_buffer() {
    let (bytes, buffer) = read_buffer();

    let event = memory::detach(&bytes.slice(..98));
    drop(bytes);

    assert_eq!(event.len(), 98);
    assert!(buffer.upgrade().is_none(), "the buffer is still in use");
    assert!(memory::kept_size(&event) > Size(98));
}

/// Guards against a budget that is given out while the places of callers have taken the memory, and against a
/// total that does not hear of what is released.
#[test]
fn a_budget_within_a_total_yields_to_what_others_hold() {
    let total = Rc::new(RefCell::new(Total::of(None)));
    let capacity = total.borrow().capacity();
    let memory = Rc::new(Memory::new(capacity).within(total.clone()));
    total.borrow_mut().record(Part::Places, Size(1_000));
    let owner = Memory::open(&memory);

    let left = total.borrow().limit(Part::Bytes);
    assert!(left.0 <= capacity.0 - 1_000);
    assert!(owner.reserve(Cause::Response, Size(left.0 + 1)).is_err());
    assert!(owner.reserve(Cause::Response, left).is_ok());
    let places = Size(capacity.0 - left.0);
    assert_eq!(total.borrow().limit(Part::Places), places);

    owner.release(Cause::Response, Size(500));
    let places = Size(places.0 + 500);
    assert_eq!(total.borrow().limit(Part::Places), places);
    drop(owner);
    assert_eq!(total.borrow().limit(Part::Places), capacity);
}

/// Guards against an owner that is evicted for room that could be done without.
#[tokio::test]
async fn a_reservation_of_free_memory_evicts_nobody() {
    let memory = Rc::new(Memory::new(Size(100)));
    let slow = full(&memory, Cause::Response, 60);
    slow.set_waiting(true);
    tokio::time::sleep(IDLE).await;
    let other = Memory::open(&memory);

    assert!(other.reserve_free(Cause::Response, Size(50)).is_err());
    assert_eq!(slow.held(), Size(60));
    assert!(other.reserve_free(Cause::Response, Size(40)).is_ok());
    assert!(other.reserve(Cause::Response, Size(50)).is_ok());
    assert_eq!(slow.held(), Size(0));
}
