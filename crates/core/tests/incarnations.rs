//! Servers that restart under their names, with every order of events about two incarnations.
//!
//! The roster is compared with a naive model that derives the state from the whole history each
//! time.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

#[path = "support/registry.rs"]
mod registry;

use jujube_core::layer::Range;
use jujube_core::pipeline::digest::Digest;
use jujube_core::pipeline::load::Load;
use jujube_core::pipeline::outlier::Outliers;
use jujube_core::pipeline::roster::Effect;
use jujube_core::pipeline::roster::Roster;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_core::pipeline::server::StartTime;
use jujube_core::pipeline::server::State;
use jujube_core::pipeline::suspicion::Suspicion;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use proptest::prelude::*;

const EARLIER: Option<StartTime> = Some(StartTime(1_000));
const LATER: Option<StartTime> = Some(StartTime(9_000));
const HELD: Range = Range { start: 0, end: 8 };

fn incarnation(started_at: Option<StartTime>) -> Incarnation {
    Incarnation::new("a".into(), started_at)
}

fn server(started_at: Option<StartTime>, state: State) -> Server {
    let held = if started_at == EARLIER {
        HELD
    } else {
        Range::default()
    };
    Server {
        held,
        ..registry::server(incarnation(started_at), state)
    }
}

/// An event about the server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// Its registration.
    Registered(Option<StartTime>, State),
    /// Its registration cannot be read.
    Unreadable,
    /// Its registration was removed.
    Removed,
    /// The layers that the server itself reports.
    Reported(Option<StartTime>, Range),
    /// The store becomes unavailable.
    Unavailable,
    /// The store is available again, for long enough that every grace period ends.
    Available,
}

fn apply(roster: &mut Roster, now: Instant, event: Event) -> Effect {
    match event {
        Event::Registered(started_at, state) => roster.registered(now, server(started_at, state)),
        Event::Unreadable => roster.unreadable(&"a".into()),
        Event::Removed => roster.removed(now, &"a".into()),
        Event::Reported(started_at, held) => roster.reported(now, &incarnation(started_at), held),
        Event::Unavailable => {
            roster.store_lost();
            Effect::None
        }
        Event::Available => {
            roster.store_returned(now);
            roster.expire(now.plus(Span(10_000)));
            Effect::None
        }
    }
}

/// The state in the naive model.
#[derive(Clone, Debug, PartialEq)]
struct Known {
    started_at: Option<StartTime>,
    state: State,
    held: Range,
    is_lapsing: bool,
}

/// Derives the state from all events so far.
fn naive(events: &[Event]) -> Option<Known> {
    let mut known: Option<Known> = None;
    let mut is_away = false;
    for event in events {
        match *event {
            Event::Registered(started_at, state) => {
                let reported_start =
                    started_at.or(known.as_ref().and_then(|known| known.started_at));
                let held = server(started_at, state).held;
                known = Some(Known {
                    started_at: reported_start,
                    state,
                    held,
                    is_lapsing: false,
                });
            }
            Event::Unreadable => {
                if let Some(known) = &mut known {
                    known.state = State::Unreadable;
                    known.is_lapsing = false;
                }
            }
            Event::Removed => match &mut known {
                Some(known) if is_away && known.state == State::Ready => known.is_lapsing = true,
                _ => known = None,
            },
            Event::Reported(started_at, held) if is_away => match &mut known {
                Some(known) if known.started_at == started_at => known.held = held,
                Some(known)
                    if known.state == State::Ready
                        && known.started_at.is_some()
                        && started_at > known.started_at =>
                {
                    *known = Known {
                        started_at,
                        state: State::Ready,
                        held,
                        is_lapsing: false,
                    };
                }
                _ => {}
            },
            Event::Reported(..) => {}
            Event::Unavailable => is_away = true,
            Event::Available => {
                is_away = false;
                known = known.filter(|known| !known.is_lapsing);
            }
        }
    }
    known
}

fn events() -> impl Strategy<Value = Event> {
    let started_at = prop_oneof![Just(EARLIER), Just(LATER), Just(None)];
    let state = prop_oneof![Just(State::Ready), Just(State::Draining)];
    let held = prop_oneof![Just(HELD), Just(Range::new(4, 6))];
    prop_oneof![
        3 => (started_at.clone(), state).prop_map(|(started_at, state)| Event::Registered(started_at, state)),
        1 => Just(Event::Unreadable),
        1 => Just(Event::Removed),
        2 => (started_at, held).prop_map(|(started_at, held)| Event::Reported(started_at, held)),
        1 => Just(Event::Unavailable),
        1 => Just(Event::Available),
    ]
}

proptest! {
    /// The roster agrees with the naive model after every order of events about two incarnations.
    #[test]
    fn every_order_of_words_ends_as_in_the_naive_version(events in prop::collection::vec(events(), 0..12)) {
        let mut roster = Roster::default();
        let mut present = None;
        for (count, event) in events.iter().enumerate() {
            // Events are far apart, so that an outage does not affect later ones.
            let now = Instant(count as u64 * 100_000);
            apply(&mut roster, now, *event);
            let known = naive(&events[..=count]);
            let member = known.as_ref().and_then(|known| roster.get(&incarnation(known.started_at)));
            prop_assert_eq!(member.is_some(), known.is_some());
            if let (Some(member), Some(known)) = (member, &known) {
                prop_assert_eq!(member.state, known.state);
                prop_assert_eq!(member.held, known.held);
            }
            // Each replaced incarnation is returned exactly once.
            let started_at = known.as_ref().map(|known| known.started_at);
            let replaced = match (present, started_at) {
                (Some(before), Some(after)) if before != after => vec![incarnation(before)],
                _ => Vec::new(),
            };
            prop_assert_eq!(roster.take_replaced(), replaced);
            present = started_at;
        }
    }
}

/// Guards against applying state of an earlier incarnation to a later one: a server that was
/// suspected, failing, slow, refusing and loaded restarts, and gets work like a new server.
#[test]
fn a_later_start_begins_without_a_record() {
    let mut load = Load::default();
    let mut suspicion = Suspicion::default();
    let mut outliers = Outliers::default();
    let (now, earlier, later) = (Instant(0), incarnation(EARLIER), incarnation(LATER));
    load.start_request(&earlier, 50_000.0);
    load.record_slowness(now, &earlier, 5.0);
    load.refusals.refused(now, &earlier);
    load.backlog.add(now, &earlier, 400.0);
    suspicion.suspect(now, &earlier);
    for request in 0..5 {
        outliers.failed(now, &earlier, Digest(request));
    }
    outliers.evaluate(now);

    assert_eq!(load.requests(&later), 0);
    assert_eq!(load.slowness(now, &later), 1.0);
    assert!(!load.refusals.contains(now, &later));
    assert_eq!(load.backlog.wait_ms(now, &later), 0.0);
    assert!(!suspicion.is_suspected(&later));
    assert!(!outliers.contains(&later));
    assert!(
        outliers.contains(&earlier),
        "the record is the earlier incarnation's"
    );
}

/// A server whose clock was set back is a new incarnation as well.
#[test]
fn a_start_that_looks_earlier_is_a_start() {
    let mut roster = Roster::default();
    roster.registered(Instant(0), server(LATER, State::Ready));

    let effect = roster.registered(Instant(5_000), server(EARLIER, State::Ready));

    assert_eq!(effect, Effect::Restarted);
    assert!(roster.has_restarted(&incarnation(LATER)));
    assert_eq!(
        roster.age(Instant(5_500), &incarnation(EARLIER)),
        Some(Span(500))
    );
    assert_eq!(roster.age(Instant(5_500), &incarnation(LATER)), None);
}
