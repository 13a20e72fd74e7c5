//! The crowd that meets entries which do not know their configuration yet: what waits, and how long.

use jujube_core::pipeline::hold::Hold;
use jujube_core::time::Span;

const CROWD: usize = 5_000;
/// A request and its connection, in bytes, as an upper bound.
const REQUEST_BYTES: usize = 32 << 10;
/// What the smallest entries may use for requests that wait, of their 160 MB.
const MAX_BYTES: usize = 32 << 20;

/// Guards against a crowd that uses up the memory of an entry that starts.
#[test]
fn a_crowd_waits_within_the_memory_of_an_entry() {
    let mut hold = Hold::default();

    let waiting = (0..CROWD).filter_map(|_| hold.begin(Some(Span(20_000))));

    assert!(waiting.count() * REQUEST_BYTES <= MAX_BYTES);
}

/// Guards against requests that wait until nobody can serve them in time any more.
#[test]
fn a_wait_leaves_time_to_be_served() {
    for time in [Some(Span(600)), Some(Span(2_500)), Some(Span(25_000)), None] {
        let patience = Hold::default().begin(time).unwrap_or_default();

        assert!(
            time.is_none_or(|time| patience.0 * 3 <= time.0 * 2),
            "{time:?}"
        );
    }
}

/// Guards against an entry that holds nobody any more after a crowd has left.
#[test]
fn a_place_is_free_again_when_its_request_leaves() {
    let mut hold = Hold::default();
    while hold.begin(None).is_some() {}

    hold.end();

    assert!(hold.begin(None).is_some());
}
