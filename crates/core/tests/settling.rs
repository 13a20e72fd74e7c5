//! When the planner takes silence for the end of the joining of servers.

use jujube_core::pipeline::settling::Settling;
use jujube_core::time::Instant;
use jujube_core::time::Span;

const CHECK_INTERVAL: Span = Span(50);
const SERVERS: usize = 3_000;
/// When servers start to register, and when the last one has.
const FIRST: Instant = Instant(100);
const LAST: Instant = Instant(3_400);
/// How long the moment of the last call to the store may precede its news at an entry that is told.
const WAY: Span = Span(400);

/// Returns how many servers had registered at a moment.
fn registered(at: Instant) -> usize {
    let joined = SERVERS as u64 * at.since(FIRST).0 / LAST.since(FIRST).0;
    SERVERS.min(joined as usize)
}

/// Returns when a planner that is told what was registered every `interval` plans for servers, and
/// for how many.
fn first_plan(interval: Span) -> Option<(Instant, usize)> {
    let mut settling = Settling::default();
    let mut asked_at = Instant(0);
    for step in 0..400 {
        let now = Instant(step * CHECK_INTERVAL.0);
        if now.since(asked_at).0 >= interval.0 + WAY.0 {
            asked_at = Instant(now.0 - WAY.0);
        }
        let count = registered(asked_at);
        if !settling.must_wait(now, Some(asked_at), false, count) && count > 0 {
            return Some((now, count));
        }
    }
    None
}

/// A planner that is told of registrations in batches plans for all servers.
///
/// Three thousand servers register within 3.3 s. An entry that reads the store passes them on each
/// 0.2 to 2.4 s; in between the planner hears of none, for longer than servers that join one after
/// the other are apart.
#[test]
fn a_pause_of_those_who_tell_is_not_the_end_of_the_joining() {
    for interval in (200..=2_400).step_by(50).map(Span) {
        let (at, count) = first_plan(interval).expect("it plans");
        assert_eq!(count, SERVERS, "planned at {at:?}, told each {interval}");
        let latest = LAST.0 + 3 * interval.0 + 2 * WAY.0 + 1_000;
        assert!(at.0 <= latest, "planned at {at:?}, told each {interval}");
    }
}

/// A planner that is told of nothing any more waits until it is told, or until nobody can tell.
#[test]
fn silence_without_knowledge_says_nothing() {
    let mut settling = Settling::default();
    let asked_at = Some(Instant(500));
    assert!(settling.must_wait(Instant(1_000), asked_at, false, 300));
    assert!(settling.must_wait(Instant(9_000), asked_at, false, 300));
    assert!(!settling.must_wait(Instant(9_050), None, false, 300));
}

/// A planner that never stops hearing of more servers plans at last, counted in what it knows.
#[test]
fn endless_joining_does_not_hold_up_the_plan() {
    let mut settling = Settling::default();
    let waits = (0..200).take_while(|step| {
        let now = Instant(step * CHECK_INTERVAL.0);
        settling.must_wait(now, Some(now), false, 1 + *step as usize)
    });
    let waited = waits.count() as u64 * CHECK_INTERVAL.0;
    assert_eq!(waited, 4_500);
}
