//! What is reserved for the heads that callers' connections send, and who may go on.

#![allow(clippy::unwrap_used, reason = "a test that fails must panic")]

#[path = "../src/crowd.rs"]
#[allow(dead_code, reason = "the intake uses a part of it")]
mod crowd;
#[path = "../src/delivery/intake.rs"]
#[allow(dead_code, reason = "bodies need a connection")]
mod intake;
#[allow(dead_code, reason = "the intake uses a part of it")]
#[path = "../src/memory.rs"]
mod memory;

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Wake;
use std::task::Waker;

use crowd::Crowd;
use intake::Admission;
use intake::Intake;
use intake::READ_STEP;
use jujube_core::pipeline::crowd::Visitor;
use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::Size;
use memory::Memory;

/// The largest head that callers may send.
const MAX_HEAD: u64 = 64 << 10;

#[derive(Default)]
struct Wakes(AtomicUsize);

impl Wake for Wakes {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

fn memory(capacity: u64) -> Rc<Memory> {
    Rc::new(Memory::new(Size(capacity)))
}

fn intake(memory: &Rc<Memory>) -> Rc<Intake> {
    let place = Crowd::new(None).admit(Visitor::Connection);
    Rc::new(Intake::new(place.unwrap(), memory))
}

fn admit(intake: &Intake) -> Admission {
    let context = Context::from_waker(Waker::noop());
    match intake.admit(&context, false) {
        // The library, which has no whole head, asks once more.
        Admission::Wait => intake.admit(&context, false),
        admission => admission,
    }
}

/// Reads in full steps for as long as that is allowed; returns the bytes that were read.
fn read(intake: &Intake, most: u64) -> u64 {
    let mut read = 0;
    while read < most && admit(intake) == Admission::Read {
        intake.record_read(READ_STEP as usize);
        read += READ_STEP;
    }
    read
}

/// Guards against heads whose memory nothing counts, and against a reservation that outlives its head.
#[test]
fn a_head_is_reserved_while_it_arrives() {
    let memory = memory(4 * MAX_HEAD);
    let intake = intake(&memory);

    let read = read(&intake, MAX_HEAD);

    // The library's buffer grows by doubling, and may have done so for the last step.
    let held = memory.held_for(Cause::RequestHead).0;
    assert!(
        read >= MAX_HEAD && held + 3 * READ_STEP >= 2 * read,
        "{held}"
    );
    let _reading = intake.begin();
    assert_eq!(memory.held_for(Cause::RequestHead), Size(0));
}

/// Guards against the usual small requests, one after the other, taking more than their connection's place.
#[test]
fn small_requests_reserve_nothing() {
    let memory = memory(0);
    let intake = intake(&memory);

    for _ in 0..100 {
        for _ in 0..2 {
            assert_eq!(admit(&intake), Admission::Read);
            intake.record_read(1_000);
        }
        let _reading = intake.begin();
    }
}

/// Guards against bytes of a body that count as a head, so that a large upload is refused.
#[test]
fn bodies_do_not_count_as_heads() {
    let memory = memory(MAX_HEAD);
    let intake = intake(&memory);
    let _reading = intake.begin();

    let read = read(&intake, 100 * MAX_HEAD);

    assert!(read >= 100 * MAX_HEAD);
    assert_eq!(memory.held_for(Cause::RequestHead), Size(0));
}

/// Guards against heads that take the room of requests: a quarter stays free of them.
#[test]
fn heads_without_room_are_refused() {
    let memory = memory(MAX_HEAD);
    let others: Vec<_> = (0..8).map(|_| intake(&memory)).collect();

    let refused = others
        .iter()
        .filter(|other| read(other, MAX_HEAD) < MAX_HEAD);

    assert!(refused.count() > 0);
    assert!(memory.held_for(Cause::RequestHead) <= Size(MAX_HEAD * 3 / 4));
    drop(others);
    assert_eq!(memory.held_for(Cause::RequestHead), Size(0));
}

/// Guards against a response that is cut because the head behind its request has no room, and against a
/// connection that nobody wakes after that.
#[test]
fn a_head_behind_a_request_waits_for_its_response() {
    let (memory, wakes) = (memory(READ_STEP), Arc::new(Wakes::default()));
    let intake = intake(&memory);
    drop(intake.begin());
    let occupied = intake.occupy();
    let waker = wakes.clone().into();
    let context = Context::from_waker(&waker);

    read(&intake, MAX_HEAD);
    let behind = intake.admit(&context, false);
    drop(occupied);
    let woken = wakes.0.load(Ordering::Relaxed);
    let blocked = intake.admit(&context, true);
    let after = [(); 2].map(|()| intake.admit(&context, false));

    assert_eq!((behind, woken), (Admission::Wait, 1));
    assert_eq!(blocked, Admission::Wait, "another response is not flushed");
    assert_eq!(after, [Admission::Wait, Admission::Refused]);
}

/// Guards against connections that count as at rest more than once, or while they have a request, after
/// requests that came together: what is kept of them would grow with each.
#[tokio::test]
async fn a_connection_is_at_rest_once_and_only_without_a_request() {
    let (memory, crowd) = (memory(MAX_HEAD), Crowd::new(None));
    let place = crowd.admit(Visitor::Connection).unwrap();
    let intake = Rc::new(Intake::new(place, &memory));
    intake.record_read(1_000);
    for _ in 0..3 {
        let _reading = intake.begin();
        let _occupied = intake.occupy();
        assert!(crowd.displace().await.is_none(), "it has a request");
    }

    let at_rest = crowd.displace().await;
    drop(intake);
    let gone = crowd.displace().await;

    assert!(at_rest.is_some());
    assert!(gone.is_none());
}

/// Guards against a whole head that is refused because the library reads on before it serves it.
#[test]
fn a_whole_head_is_served_without_room_for_more() {
    let memory = memory(READ_STEP);
    let intake = intake(&memory);
    read(&intake, MAX_HEAD);
    let context = Context::from_waker(Waker::noop());
    drop(intake.begin());
    for _ in 0..2 {
        intake.record_read(READ_STEP as usize);
    }

    let while_parsed = intake.admit(&context, false);
    let _reading = intake.begin();

    assert_eq!(while_parsed, Admission::Wait);
    assert_eq!(intake.admit(&context, false), Admission::Read);
}
