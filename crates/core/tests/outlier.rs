//! Servers that fail part of their requests while they report to be healthy.
//!
//! The load: twenty entries send three servers of a plain service some requests a second each. One
//! server fails 45 %, the others 5 %.

use jujube_core::pipeline::digest::Digest;
use jujube_core::pipeline::outlier::Outliers;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::summary::Summary;
use jujube_core::time::Instant;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

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
            entry.failed(now, &server, Digest(step));
        } else {
            entry.served(now, &server, Digest(step));
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
            outliers.failed(now, &server, Digest(step));
        } else {
            outliers.served(now, &server, Digest(step));
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
    for request in 0..8 {
        outliers.failed(Instant(0), &server, Digest(request));
    }
    assert_eq!(outliers.evaluate(Instant(0)), std::slice::from_ref(&server));

    outliers.evaluate(Instant(6_000));

    assert!(!outliers.contains(&server));
}

/// A caller's requests that fail at every server, beside others that fail at none.
struct Odd {
    outliers: Outliers,
    draws: StdRng,
    /// The servers that were found to be avoided, at some time.
    avoided: Vec<Incarnation>,
}

impl Odd {
    fn new() -> Self {
        Self {
            outliers: Outliers::default(),
            draws: StdRng::seed_from_u64(7),
            avoided: Vec::new(),
        }
    }

    /// Sends ten requests a second for some seconds, and another caller's as often; `digest` names
    /// those that fail, by their number. Each is sent to `tries` of the servers.
    fn send(&mut self, seconds: u64, tries: usize, digest: impl Fn(u64) -> Digest) {
        for number in 0..seconds * 10 {
            let now = Instant(number * 100);
            let mut servers = servers();
            servers.shuffle(&mut self.draws);
            for server in servers.iter().take(tries) {
                self.outliers.failed(now, server, digest(number));
            }
            let other = Digest(1_000_000 + number);
            self.outliers.served(now, &servers[0], other);
            self.avoided.extend(self.outliers.evaluate(now));
        }
    }
}

/// Guards against avoiding sound servers because one caller's requests fail wherever they are sent.
#[test]
fn requests_that_fail_everywhere_condemn_nobody() {
    let mut odd = Odd::new();

    odd.send(20, 2, Digest);

    assert_eq!(odd.avoided, []);
}

/// Guards against the same for one request that is repeated, and runs on one server each time. The first
/// ones may all reach the same server, which then seems to fail until another one has had the request.
#[test]
fn repeated_request_that_fails_everywhere_condemns_nobody_for_long() {
    let mut odd = Odd::new();

    odd.send(20, 1, |_| Digest(1));

    assert!(odd.avoided.len() <= 1, "{:?}", odd.avoided);
    assert!(
        servers()
            .iter()
            .all(|server| !odd.outliers.contains(server))
    );
}

/// Guards against missing a failing server because requests that succeed elsewhere, the same ones again
/// and again, count against it no longer.
#[test]
fn requests_that_succeed_elsewhere_count() {
    let mut outliers = Outliers::default();
    let [sound, _, failing] = servers();
    for request in 0..3 {
        for number in 0..4 {
            let now = Instant(number * 100);
            outliers.failed(now, &failing, Digest(request));
            outliers.served(now, &sound, Digest(request));
        }
    }

    let avoided = outliers.evaluate(Instant(400));

    assert_eq!(avoided, [failing]);
}

/// Guards against forgetting what counts against a server when many requests fail there.
#[test]
fn failures_of_many_requests_count() {
    let mut outliers = Outliers::default();
    let server: Incarnation = "failing".into();
    for request in 0..1_000 {
        outliers.failed(Instant(0), &server, Digest(request));
    }

    let failed: Vec<f64> = outliers
        .own(Instant(0))
        .map(|(_, tally)| tally.failed)
        .collect();

    assert_eq!(failed, [1_000.0]);
}
