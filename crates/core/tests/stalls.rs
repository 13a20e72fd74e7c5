//! How long the event loop did not run, and how often that is told.

use jujube_core::pipeline::stalls::Stalls;
use jujube_core::time::Instant;
use jujube_core::time::Span;

const INTERVAL: Span = Span(25);

/// Guards against a log that stalls fill: on a machine without processor time each tick is late.
#[test]
fn lines_about_stalls_are_bounded() {
    let mut stalls = Stalls::new(Instant(0), INTERVAL);

    let told = (1..=1_000).filter_map(|tick| stalls.tick(Instant(tick * 200)));

    assert_eq!(told.count(), 200, "one a second of 200 s");
}

/// Guards against a short stall that hides a longer one in the figures.
#[test]
fn longest_stall_is_kept_until_it_is_taken() {
    let mut stalls = Stalls::new(Instant(1_000), INTERVAL);
    for now in [1_000, 1_025, 9_050, 9_080] {
        stalls.tick(Instant(now));
    }

    assert_eq!(stalls.take_longest(), Span(8_000));
}
