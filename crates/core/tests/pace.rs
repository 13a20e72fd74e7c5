//! The looks of all entries at the store, from a few entries to hundreds.

use jujube_core::pipeline::pace::Times;
use jujube_core::pipeline::pace::pause;
use jujube_core::time::Span;

const APPLY: Span = Span(2_000);
/// Reading calls a second that the smallest store takes.
const MAX_CALLS: f64 = 2_000.0;

fn calls_a_second(entries: usize) -> f64 {
    entries as f64 / (pause(APPLY, entries).0 as f64 / 1e3)
}

/// Guards against entries that learn late of servers that join, load or leave, although hardly
/// anybody else asks.
#[test]
fn few_entries_look_soon() {
    assert!(pause(APPLY, 5) <= pause(APPLY, 24));
    assert!(pause(APPLY, 5).0 * 4 < APPLY.0, "a second look is in time");
}

/// Guards against hundreds of entries whose looks use up what the store takes.
#[test]
fn hundreds_of_entries_leave_the_store_room() {
    for entries in [24, 100, 370] {
        assert!(
            calls_a_second(entries) < MAX_CALLS / 2.0,
            "{entries} entries"
        );
    }
}

/// Guards against a pause that leaves no time for another look within the time limit.
#[test]
fn every_pause_leaves_time_for_a_second_look() {
    for entries in 1..=400 {
        assert!(pause(APPLY, entries).0 * 4 <= APPLY.0, "{entries} entries");
        assert!(
            pause(APPLY, entries) >= pause(APPLY, entries - 1),
            "{entries} entries"
        );
    }
}

/// Guards against hundreds of entries that each ask for every change, and against pauses after which a
/// look that takes a second or two is late.
#[test]
fn hundreds_of_entries_look_rarely_where_there_is_time() {
    let apply = Span(5_000);

    assert_eq!(pause(apply, 199), Span(1_250));
    assert_eq!(pause(apply, 470), Span(2_000));
    assert_eq!(pause(Span(3_000), 470), Span(750));
    for entries in 1..=1_000 {
        assert!(
            pause(apply, entries).0 + 3_000 <= apply.0,
            "{entries} entries"
        );
    }
}

/// Guards against times of calls that leave no time for another one within the contact time.
#[test]
fn silent_store_is_detected_within_the_contact_time() {
    for contact in [1_000, 3_000, 4_000, 6_000] {
        let times = Times::within(Span(contact));

        let detected = times.renew_interval.0 + times.renew_timeout.0;
        assert!(detected < contact.max(3_000), "{contact} ms: {times:?}");
    }
}
