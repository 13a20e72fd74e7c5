//! Servers that start again under their names: every order of words about two starts of one server.
//!
//! The roster is compared with a naive version that keeps the whole history and reads the present state
//! from it, each time anew.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

#[path = "support/registry.rs"]
mod registry;

use jujube_core::layer::Range;
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

fn start(born: Option<StartTime>) -> Incarnation {
    Incarnation::new("a".into(), born)
}

fn server(born: Option<StartTime>, state: State) -> Server {
    let held = if born == EARLIER {
        HELD
    } else {
        Range::default()
    };
    Server {
        held,
        ..registry::server(start(born), state)
    }
}

/// One word about the server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Word {
    /// Its registration.
    Registered(Option<StartTime>, State),
    /// Its registration cannot be read.
    Unreadable,
    /// Its registration was removed.
    Removed,
    /// It says itself what it holds.
    Reported(Option<StartTime>, Range),
    /// The store falls silent.
    Lost,
    /// The store answers again, long enough for every grace to end.
    Back,
}

fn hear(roster: &mut Roster, now: Instant, word: Word) -> Effect {
    match word {
        Word::Registered(born, state) => roster.seen(now, server(born, state)),
        Word::Unreadable => roster.unreadable(&"a".into()),
        Word::Removed => roster.removed(now, &"a".into()),
        Word::Reported(born, held) => roster.reported(now, &start(born), held),
        Word::Lost => {
            roster.store_lost();
            Effect::None
        }
        Word::Back => {
            roster.store_returned(now);
            roster.expire(now.plus(Span(10_000)));
            Effect::None
        }
    }
}

/// What the naive version knows.
#[derive(Clone, Debug, PartialEq)]
struct Known {
    born: Option<StartTime>,
    state: State,
    held: Range,
    lapsing: bool,
}

/// Reads the present state from all words so far.
fn naive(words: &[Word]) -> Option<Known> {
    let mut known: Option<Known> = None;
    let mut is_away = false;
    for word in words {
        match *word {
            Word::Registered(born, state) => {
                let told = born.or(known.as_ref().and_then(|known| known.born));
                let held = server(born, state).held;
                known = Some(Known {
                    born: told,
                    state,
                    held,
                    lapsing: false,
                });
            }
            Word::Unreadable => {
                if let Some(known) = &mut known {
                    known.state = State::Unreadable;
                    known.lapsing = false;
                }
            }
            Word::Removed => match &mut known {
                Some(known) if is_away && known.state == State::Ready => known.lapsing = true,
                _ => known = None,
            },
            Word::Reported(born, held) if is_away => match &mut known {
                Some(known) if known.born == born => known.held = held,
                Some(known)
                    if known.state == State::Ready && known.born.is_some() && born > known.born =>
                {
                    *known = Known {
                        born,
                        state: State::Ready,
                        held,
                        lapsing: false,
                    };
                }
                _ => {}
            },
            Word::Reported(..) => {}
            Word::Lost => is_away = true,
            Word::Back => {
                is_away = false;
                known = known.filter(|known| !known.lapsing);
            }
        }
    }
    known
}

fn words() -> impl Strategy<Value = Word> {
    let born = prop_oneof![Just(EARLIER), Just(LATER), Just(None)];
    let state = prop_oneof![Just(State::Ready), Just(State::Draining)];
    let held = prop_oneof![Just(HELD), Just(Range::new(4, 6))];
    prop_oneof![
        3 => (born.clone(), state).prop_map(|(born, state)| Word::Registered(born, state)),
        1 => Just(Word::Unreadable),
        1 => Just(Word::Removed),
        2 => (born, held).prop_map(|(born, held)| Word::Reported(born, held)),
        1 => Just(Word::Lost),
        1 => Just(Word::Back),
    ]
}

proptest! {
    /// Whatever is said of two starts in whatever order, the roster knows what the words add up to.
    #[test]
    fn every_order_of_words_ends_as_in_the_naive_version(words in prop::collection::vec(words(), 0..12)) {
        let mut roster = Roster::default();
        let mut present = None;
        for (count, word) in words.iter().enumerate() {
            // Words are far apart, so that no outage echoes in a later one.
            let now = Instant(count as u64 * 100_000);
            hear(&mut roster, now, *word);
            let known = naive(&words[..=count]);
            let member = known.as_ref().and_then(|known| roster.get(&start(known.born)));
            prop_assert_eq!(member.is_some(), known.is_some());
            if let (Some(member), Some(known)) = (member, &known) {
                prop_assert_eq!(member.state, known.state);
                prop_assert_eq!(member.held, known.held);
            }
            // Each start that was replaced is told once, and only then.
            let born = known.as_ref().map(|known| known.born);
            let replaced = match (present, born) {
                (Some(before), Some(after)) if before != after => vec![start(before)],
                _ => Vec::new(),
            };
            prop_assert_eq!(roster.take_replaced(), replaced);
            present = born;
        }
    }
}

/// What was remembered of the earlier start does not follow the server into the later one.
///
/// A server that was suspected, failing, slow, refusing and full of requests crashes and starts again
/// under its name. It is empty and well, and gets work like any new server.
#[test]
fn a_later_start_begins_without_a_record() {
    let mut load = Load::default();
    let mut suspicion = Suspicion::default();
    let mut outliers = Outliers::default();
    let (now, earlier, later) = (Instant(0), start(EARLIER), start(LATER));
    load.start_request(&earlier, 50_000.0);
    load.record_slowness(now, &earlier, 5.0);
    load.refusals.refused(now, &earlier);
    load.backlog.add(now, &earlier, 400.0);
    suspicion.suspect(now, &earlier);
    for _ in 0..5 {
        outliers.failed(now, &earlier);
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
        "the record is the earlier start's"
    );
}

/// A server whose clock was set back is a new start all the same.
#[test]
fn a_start_that_looks_earlier_is_a_start() {
    let mut roster = Roster::default();
    roster.seen(Instant(0), server(LATER, State::Ready));

    let effect = roster.seen(Instant(5_000), server(EARLIER, State::Ready));

    assert_eq!(effect, Effect::Restarted);
    assert!(roster.has_restarted(&start(LATER)));
    assert_eq!(roster.age(Instant(5_500), &start(EARLIER)), Some(Span(500)));
    assert_eq!(roster.age(Instant(5_500), &start(LATER)), None);
}
