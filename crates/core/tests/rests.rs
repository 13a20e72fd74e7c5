//! The rest that servers ask for: what single responses say, and what is sent meanwhile.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

#[path = "support/pipeline.rs"]
mod pipeline;

use jujube_core::name::Zone;
use jujube_core::pipeline::chooser::Choice;
use jujube_core::pipeline::chooser::Context;
use jujube_core::pipeline::chooser::Demand;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::load::Load;
use jujube_core::pipeline::outlier::Outliers;
use jujube_core::pipeline::placement::plan;
use jujube_core::pipeline::rests::Rests;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::StartTime;
use jujube_core::pipeline::suspicion::Suspicion;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use proptest::prelude::*;

use pipeline::carried_out;
use pipeline::fleet;
use pipeline::model;
use pipeline::region;

/// From when on after a response with a rest requests count, and how many are allowed.
const GRACE: u64 = 500;
const ALLOWED: usize = 2;
/// The longest time until a response; longer than requests may take that are on their way when the
/// rest is asked for.
const MAX_LATENCY: u64 = 400;

fn server() -> Incarnation {
    "s".into()
}

fn asked(at: u64, rest: u64) -> Rests {
    let mut rests = Rests::default();
    rests.asked(Instant(at), &server(), Span(rest));
    rests
}

/// Guards against taking a date, a sign or an overflow for a time of rest.
#[test]
fn only_numbers_of_seconds_are_times_of_rest() {
    let read = |text| Span::parse_retry_after(text).ok();

    assert_eq!(read("3"), Some(Span(3_000)));
    assert_eq!(read(" 1.5 "), Some(Span(1_500)));
    assert_eq!(read("0"), Some(Span(0)));
    assert_eq!(read("0.0001"), Some(Span(1)));
    assert_eq!(read("1e300"), Some(Span(u64::MAX)));
    for text in [
        "",
        "-1",
        "NaN",
        "inf",
        "soon",
        "Wed, 21 Oct 2015 07:28:00 GMT",
    ] {
        assert_eq!(read(text), None, "{text}");
    }
}

/// Guards against a shorter rest, in a response that was overtaken or to an earlier request, that
/// ends a longer one.
#[test]
fn latest_end_of_all_rests_counts() {
    let mut rests = asked(0, 3_000);

    rests.asked(Instant(100), &server(), Span(1_000));

    assert!(rests.contains(Instant(2_999), &server()));
    assert!(!rests.contains(Instant(3_000), &server()));
}

/// Guards against forgetting a rest when a request is served that was sent before it was asked for.
#[test]
fn response_to_an_earlier_request_ends_no_rest() {
    let mut rests = asked(100, 3_000);

    assert!(!rests.answered(Instant(90), &server()));

    assert!(rests.contains(Instant(200), &server()));
}

/// Guards against sending everything that waits to a server as soon as its rest is over.
#[test]
fn one_request_is_sent_after_a_rest_until_it_is_answered() {
    let mut rests = asked(0, 3_000);
    assert_eq!(rests.opens_at(&server()), Instant(3_000));

    rests.sent(Instant(3_010), &server());
    assert!(rests.opens_at(&server()) > Instant(3_100));
    assert!(rests.answered(Instant(3_010), &server()));

    assert_eq!(rests.opens_at(&server()), Instant(0));
}

/// Guards against leaving a server out for good when the first request after its rest is lost.
#[test]
fn another_request_is_sent_if_the_first_one_after_a_rest_is_lost() {
    let mut rests = asked(0, 3_000);

    rests.sent(Instant(3_010), &server());

    assert!(rests.opens_at(&server()) <= Instant(4_010));
}

/// Guards against sending requests in a rest that a server asked for after it had restarted, and
/// before this entry knew that it had.
#[test]
fn rest_counts_for_the_start_that_becomes_known_afterwards() {
    let start = |at| Incarnation::new("s".into(), Some(StartTime(at)));
    let mut rests = Rests::default();
    rests.asked(Instant(0), &start(1), Span(3_000));
    rests.asked(Instant(0), &start(2), Span(1_000));

    rests.inherit(&start(1), &start(3));
    rests.inherit(&start(2), &start(3));

    assert!(rests.contains(Instant(2_999), &start(3)));
    assert!(!rests.contains(Instant(0), &start(1)));
}

/// Returns the fleet of a region, and the path that an entry in one of its zones chooses.
fn choose(fleet: &Fleet, load: &Load, now: u64) -> Option<Choice> {
    let zone: Zone = "b".into();
    let (suspicion, outliers) = (Suspicion::default(), Outliers::default());
    let context = Context {
        now: Instant(now),
        load,
        suspicion: &suspicion,
        outliers: &outliers,
        avoid: &[],
        local_zone: &zone,
        herd_size: 1.0,
        random: 0,
    };
    let demand = Demand {
        prompt_tokens: 760.0,
        answer_tokens: 200.0,
    };
    fleet.choose(demand, &context)
}

fn placed() -> Fleet {
    let model = model();
    fleet(&model, &carried_out(&region(), &plan(&model, &region())))
}

/// Guards against a rest that is only a price: where all other servers are full, the one that rests
/// would be chosen all the same.
#[test]
fn full_servers_come_before_one_that_rests() {
    let fleet = placed();
    let mut load = Load::default();
    let local = choose(&fleet, &load, 0).unwrap();
    let first = local.path.first().unwrap().server.clone();
    load.rests.asked(Instant(0), &first, Span(3_000));
    for candidate in &fleet.candidates {
        load.start_request(&candidate.server, candidate.kv_capacity * 1.2);
    }

    let choice = choose(&fleet, &load, 100).unwrap();

    assert!(!choice.is_closed());
    assert_ne!(choice.path.first().unwrap().server, first);
}

/// Guards against refusing requests while all first servers of a zone rest, and those of others do
/// not.
#[test]
fn path_begins_in_another_zone_while_local_first_servers_rest() {
    let fleet = placed();
    let mut load = Load::default();
    let is_local_first = |server: &&Incarnation| server.server.0.starts_with("b-");
    let resting: Vec<Incarnation> = fleet
        .first_servers()
        .filter(is_local_first)
        .cloned()
        .collect();
    for server in &resting {
        load.rests.asked(Instant(0), server, Span(3_000));
    }

    let choice = choose(&fleet, &load, 100).unwrap();

    assert!(!resting.is_empty());
    assert!(!choice.is_closed());
    assert!(!resting.contains(&choice.path.first().unwrap().server));
}

/// Guards against choosing a path, and waiting for it, while all first servers rest.
#[test]
fn path_is_closed_while_all_first_servers_rest() {
    let fleet = placed();
    let mut load = Load::default();
    for server in fleet.first_servers() {
        load.rests.asked(Instant(0), server, Span(3_000));
    }

    assert!(choose(&fleet, &load, 2_999).unwrap().is_closed());
    assert!(!choose(&fleet, &load, 3_000).unwrap().is_closed());
}

/// A response to a request: when it was sent and arrives, and the rest that it asks for, if any.
#[derive(Clone, Copy, Debug)]
struct Response {
    sent: u64,
    due: u64,
    rest: Option<u64>,
}

/// Plays an entry with a request each few milliseconds before a server that turns some of them
/// away. Returns the most requests in any time of rest.
fn most_in_a_rest(latencies: &[u64], rests_asked: &[Option<u64>]) -> usize {
    let (mut load, server) = (Load::default(), server());
    let (mut arrivals, mut asked) = (Vec::new(), Vec::new());
    let mut pending: Vec<Response> = Vec::new();
    for now in (0..20_000).step_by(10) {
        let (due, later) = pending.into_iter().partition(|r| r.due <= now);
        pending = later;
        let due: Vec<Response> = due;
        for response in due {
            match response.rest {
                Some(rest) => {
                    load.rests.asked(Instant(now), &server, Span(rest));
                    asked.push((response.due, rest));
                }
                None => {
                    load.rests.answered(Instant(response.sent), &server);
                }
            }
        }
        if load.is_open(Instant(now), &server) {
            load.sent(Instant(now), &server);
            let number = arrivals.len();
            arrivals.push(now);
            pending.push(Response {
                sent: now,
                due: now + latencies[number % latencies.len()],
                rest: rests_asked[number % rests_asked.len()],
            });
        }
    }
    let in_rest = |(at, rest): &(u64, u64)| {
        let span = at + GRACE..at + rest;
        arrivals.iter().filter(|at| span.contains(at)).count()
    };
    asked.iter().map(in_rest).max().unwrap_or(0)
}

proptest! {
    /// Guards against any order of responses in which a server gets more in its rest than it allows.
    #[test]
    fn server_gets_its_rest_in_any_order_of_responses(
        latencies in prop::collection::vec(1..MAX_LATENCY, 1..20),
        rests in prop::collection::vec(prop::option::of(0..6_000_u64), 1..20),
    ) {
        prop_assert!(most_in_a_rest(&latencies, &rests) <= ALLOWED);
    }
}
