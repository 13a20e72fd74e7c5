//! Servers that fail a part of their requests while they say that they are well.
//!
//! The pattern of load: twenty entries send three servers of a plain service some requests a second
//! each. One server fails 45 in 100, the others 5 in 100: the users' figures for servers that fail by
//! themselves, and for requests that fail wherever they run.

use jujube_core::pipeline::outlier::Outliers;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::summary::Summary;
use jujube_core::time::Instant;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ENTRIES: usize = 20;
/// The pause between two requests of all entries, in milliseconds.
const PAUSE: u64 = 30;
/// How often entries tell one another, in milliseconds.
const TELL: u64 = 300;

fn servers() -> [Incarnation; 3] {
    ["sound-1", "sound-2", "failing"].map(Into::into)
}

fn fails(server: &Incarnation, draw: f64) -> bool {
    let share = if &*server.server.0 == "failing" {
        0.45
    } else {
        0.05
    };
    draw < share
}

fn tell(now: Instant, entries: &mut [Outliers]) {
    let told: Vec<Vec<_>> = entries
        .iter()
        .map(|entry| entry.own(now).map(|(name, tally)| (name.clone(), tally)))
        .map(Iterator::collect)
        .collect();
    for (index, entry) in entries.iter_mut().enumerate() {
        let mut sum = Summary::default();
        for (_, tallies) in told.iter().enumerate().filter(|(other, _)| *other != index) {
            let ended = tallies.iter().cloned().collect();
            sum.merge(&Summary {
                outcomes: ended,
                ..Summary::default()
            });
        }
        entry.set_others(sum.outcomes);
        entry.evaluate(now);
    }
}

/// Plays a number of seconds; returns how many requests failed.
///
/// Each request goes to a random server of those that are not avoided.
fn play(seconds: u64, speaks: bool) -> u64 {
    let mut draws = StdRng::seed_from_u64(11);
    let mut entries = vec![Outliers::default(); ENTRIES];
    let servers = servers();
    let mut failed = 0;
    for step in 0..seconds * 1_000 / PAUSE {
        let now = Instant(step * PAUSE);
        if speaks && now.0 % TELL == 0 {
            tell(now, &mut entries);
        }
        let entry = &mut entries[draws.random_range(0..ENTRIES)];
        let usable: Vec<&Incarnation> = servers.iter().filter(|s| !entry.contains(s)).collect();
        let server = usable[draws.random_range(0..usable.len())].clone();
        if fails(&server, draws.random()) {
            failed += 1;
            entry.failed(now, &server);
        } else {
            entry.served(now, &server);
        }
    }
    failed
}

/// Callers see less than half as many failures as when nobody is avoided.
///
/// A single entry sends the failing server one request in two seconds and would notice after ten.
#[test]
fn entries_notice_a_failing_server_together() {
    let silent = play(20, false);

    let told = play(20, true);

    assert!(
        told * 2 < silent,
        "{told} failed, {silent} when nobody is avoided"
    );
}

/// No server is avoided because a few requests failed that fail wherever they run.
#[test]
fn usual_failures_condemn_nobody() {
    let mut draws = StdRng::seed_from_u64(3);
    let mut outliers = Outliers::default();
    let server: Incarnation = "sound".into();
    let mut avoided = 0;

    for step in 0..2_000 {
        let now = Instant(step * PAUSE);
        if draws.random::<f64>() < 0.05 {
            outliers.failed(now, &server);
        } else {
            outliers.served(now, &server);
        }
        avoided += outliers.evaluate(now).len();
    }

    assert_eq!(avoided, 0);
}

/// A server that works again is used again.
#[test]
fn an_outlier_is_tried_again() {
    let mut outliers = Outliers::default();
    let server: Incarnation = "restless".into();
    for _ in 0..8 {
        outliers.failed(Instant(0), &server);
    }
    assert_eq!(outliers.evaluate(Instant(0)), std::slice::from_ref(&server));

    outliers.evaluate(Instant(6_000));

    assert!(!outliers.contains(&server));
}
