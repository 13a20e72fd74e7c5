//! Servers that fail part of their requests while they report to be healthy.
//!
//! The load: twenty entries send three servers of a plain service some requests a second each. One
//! server fails 45 %, the others 5 %.

use jujube_core::pipeline::outlier::Outliers;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::summary::Summary;
use jujube_core::time::Instant;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ENTRIES: usize = 20;
/// The interval between two requests over all entries, in milliseconds.
const REQUEST_INTERVAL: u64 = 30;
/// How often entries report to each other, in milliseconds.
const REPORT_INTERVAL: u64 = 300;

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

fn exchange_reports(now: Instant, entries: &mut [Outliers]) {
    let reports: Vec<Vec<_>> = entries
        .iter()
        .map(|entry| entry.own(now).map(|(name, tally)| (name.clone(), tally)))
        .map(Iterator::collect)
        .collect();
    for (index, entry) in entries.iter_mut().enumerate() {
        let mut sum = Summary::default();
        for (_, tallies) in reports
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
        {
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

/// Simulates a number of seconds; returns the number of failed requests.
///
/// Each request goes to a random server among those that are not avoided.
fn simulate(seconds: u64, shares_reports: bool) -> u64 {
    let mut draws = StdRng::seed_from_u64(11);
    let mut entries = vec![Outliers::default(); ENTRIES];
    let servers = servers();
    let mut failed = 0;
    for step in 0..seconds * 1_000 / REQUEST_INTERVAL {
        let now = Instant(step * REQUEST_INTERVAL);
        if shares_reports && now.0 % REPORT_INTERVAL == 0 {
            exchange_reports(now, &mut entries);
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

/// Sharing outcomes more than halves the failures. A single entry sends the failing server one
/// request every two seconds, and would notice only after ten.
#[test]
fn entries_notice_a_failing_server_together() {
    let unshared = simulate(20, false);

    let shared = simulate(20, true);

    assert!(
        shared * 2 < unshared,
        "{shared} failed, {unshared} when no server is avoided"
    );
}

/// Guards against avoiding a server because of failures that are common to all servers.
#[test]
fn usual_failures_condemn_nobody() {
    let mut draws = StdRng::seed_from_u64(3);
    let mut outliers = Outliers::default();
    let server: Incarnation = "sound".into();
    let mut avoided = 0;

    for step in 0..2_000 {
        let now = Instant(step * REQUEST_INTERVAL);
        if draws.random::<f64>() < 0.05 {
            outliers.failed(now, &server);
        } else {
            outliers.served(now, &server);
        }
        avoided += outliers.evaluate(now).len();
    }

    assert_eq!(avoided, 0);
}

/// A server that recovered is used again.
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
