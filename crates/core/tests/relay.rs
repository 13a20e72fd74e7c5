//! Compares the relay of events with the original stream, for every cut of the bytes.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

use bytes::Bytes;
use jujube_core::pipeline::memory::Size;
use jujube_core::pipeline::relay::Fault;
use jujube_core::pipeline::relay::Relay;
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

fn concatenated(out: &[Bytes]) -> String {
    let bytes: Vec<u8> = out.iter().flatten().copied().collect();
    String::from_utf8(bytes).unwrap()
}

/// Guards against truncated, missing and duplicate events. The first engine breaks off at any byte;
/// the second one continues after the last complete event, or some events earlier.
#[test]
fn every_cut_is_carried_on_without_a_seam() {
    let whole = events(1..=6);
    for cut in 0..=whole.len() {
        let mut relay = Relay::default();
        let mut out = Vec::new();
        relay
            .feed(Bytes::from(whole[..cut].to_string()), &mut out)
            .unwrap();
        let last = relay.last().unwrap_or(0);
        for back in 0..=last {
            let mut relay = relay.clone();
            let mut out = out.clone();
            relay.restart();

            let rest = events(last + 1 - back.min(last)..=6);
            relay.feed(Bytes::from(rest), &mut out).unwrap();

            assert_eq!(concatenated(&out), whole, "cut at {cut}, repeated {back}");
            assert_eq!(relay.end(), Ok(()));
        }
    }
}

#[test]
fn a_missing_event_is_not_passed_over() {
    let mut relay = Relay::default();
    let mut out = Vec::new();

    let outcome = relay.feed(Bytes::from(event(1) + &event(3)), &mut out);

    assert_eq!(outcome, Err(Fault::MissingEvent));
    assert_eq!(concatenated(&out), event(1));
}

#[test]
fn an_event_that_goes_back_within_a_run_is_refused() {
    let mut relay = Relay::default();
    let mut out = Vec::new();

    let outcome = relay.feed(Bytes::from(event(4) + &event(5) + &event(5)), &mut out);

    assert_eq!(outcome, Err(Fault::OutOfOrder));
    assert_eq!(concatenated(&out), event(4) + &event(5));
}

#[test]
fn a_stream_that_the_caller_resumes_starts_after_its_last_event() {
    let mut relay = Relay::after(Some(12));
    let mut out = Vec::new();

    relay
        .feed(Bytes::from(event(12) + &event(13)), &mut out)
        .unwrap();

    assert_eq!(concatenated(&out), event(13));
}

#[test]
fn an_end_inside_an_event_is_no_end() {
    let mut relay = Relay::default();
    let mut out = Vec::new();
    relay.feed(Bytes::from("id: 1\ndata"), &mut out).unwrap();

    assert_eq!(relay.end(), Err(Fault::Truncated));
    assert!(out.is_empty());
}

#[test]
fn bytes_that_are_no_events_are_refused() {
    let mut relay = Relay::default();
    let mut out = Vec::new();

    let outcome = relay.feed(Bytes::from("data: without a number\n\n"), &mut out);

    assert_eq!(outcome, Err(Fault::NoIdentifier));
}

#[test]
fn an_event_without_an_end_is_bounded() {
    let mut relay = Relay::default();
    let mut out = Vec::new();

    let outcome = relay.feed(Bytes::from(endless("id: 1\ndata: ")), &mut out);

    assert_eq!(outcome, Err(Fault::TooLarge));
}

/// Guards against giving up a stream for bytes that are not the beginning of an event: another run
/// gives something else, while an event that is too large comes again.
#[test]
fn bytes_without_an_end_that_are_no_event_are_bounded() {
    for beginning in ["", "data: without a number ", "id: none\ndata: "] {
        let mut relay = Relay::default();
        let mut out = Vec::new();

        let outcome = relay.feed(Bytes::from(endless(beginning)), &mut out);

        assert_eq!(outcome, Err(Fault::NoIdentifier), "{beginning}");
    }
}

fn endless(beginning: &str) -> Vec<u8> {
    [beginning.as_bytes(), &vec![b'x'; 300 << 10]].concat()
}

/// The most that the buffer of an incomplete event may be larger than what has arrived of it.
const MAX_SPARE_BYTES: u64 = 16 << 10;

/// Guards against buffers that are much larger than the part of an event in them, and against a buffer
/// that is kept after its event was passed on.
#[test]
fn an_incomplete_event_uses_little_more_than_its_size() {
    for size in [98, 4_000, 60_000, 250_000] {
        let event = format!("id: 1\ndata: {}\n\n", "x".repeat(size));
        for chunk in [50, 1_460, 16 << 10] {
            let mut relay = Relay::default();
            let mut out = Vec::new();
            let mut arrived = 0;
            for bytes in event.as_bytes().chunks(chunk) {
                relay.feed(Bytes::copy_from_slice(bytes), &mut out).unwrap();
                arrived += bytes.len() as u64;
                let held = relay.held();
                assert!(
                    held <= Size(arrived + MAX_SPARE_BYTES.min(arrived)),
                    "{held} of {arrived}"
                );
            }
            assert_eq!(concatenated(&out), event);
            assert_eq!(relay.held(), Size(0));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The output does not depend on how a stream is divided into chunks.
    #[test]
    fn chunks_do_not_matter(count in 1_u64..20, sizes in proptest::collection::vec(1_usize..40, 1..60)) {
        let whole = events(1..=count);
        let mut relay = Relay::default();
        let mut out = Vec::new();
        let mut rest = whole.as_bytes();
        let mut sizes = sizes.iter().cycle();
        while !rest.is_empty() {
            let size = (*sizes.next().unwrap()).min(rest.len());
            relay.feed(Bytes::copy_from_slice(&rest[..size]), &mut out).unwrap();
            rest = &rest[size..];
        }
        prop_assert_eq!(concatenated(&out), whole);
        prop_assert_eq!(relay.events(), count);
    }

    /// Any input leads to a result, and no output without an event.
    #[test]
    fn garbage_is_survived(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut relay = Relay::default();
        let mut out = Vec::new();
        let outcome = relay.feed(Bytes::from(bytes), &mut out);
        prop_assert!(outcome.is_ok() || outcome.is_err());
        prop_assert_eq!(out.is_empty(), relay.events() == 0);
    }
}
