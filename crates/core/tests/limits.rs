//! Limits that servers name: what single responses and reports say.

use std::collections::BTreeMap;
use std::sync::Arc;

use jujube_core::name::Zone;
use jujube_core::pipeline::limits::Limits;
use jujube_core::pipeline::limits::Rate;
use jujube_core::pipeline::limits::Report;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;

fn rate(per_second: f64) -> Option<Rate> {
    Rate::new(per_second).ok()
}

fn server() -> Incarnation {
    "s".into()
}

/// Returns the limits of an entry that shares them with nobody.
fn alone(observed: Option<Rate>) -> Limits {
    let mut limits = Limits::default();
    limits.observe(Instant(0), Instant(10), &server(), observed);
    limits.divide("a", 1, |_| Some("z".into()), |_| vec!["a".into()]);
    limits
}

#[test]
fn requests_are_paced_by_the_limit() {
    let mut limits = alone(rate(4.0));
    let mut sent = 0;
    for now in (10..4_010).step_by(10) {
        if limits.is_open(Instant(now), &server()) {
            limits.sent(Instant(now), &server());
            sent += 1;
        }
    }

    assert_eq!(sent, 16);
}

#[test]
fn response_without_a_limit_ends_it() {
    let mut limits = alone(rate(0.5));
    limits.sent(Instant(20), &server());

    assert!(limits.observe(Instant(30), Instant(40), &server(), None));

    assert!(limits.is_open(Instant(40), &server()));
}

/// Guards against a response from before the limit that arrives after it and ends it.
#[test]
fn overtaken_response_ends_no_limit() {
    let mut limits = alone(rate(0.5));
    limits.sent(Instant(20), &server());

    assert!(!limits.observe(Instant(5), Instant(30), &server(), None));

    assert!(!limits.is_open(Instant(30), &server()));
}

/// Guards against a higher limit of an overtaken response; a lower one is taken to be safe.
#[test]
fn overtaken_response_only_lowers_a_limit() {
    let mut limits = alone(rate(2.0));

    assert!(!limits.observe(Instant(5), Instant(30), &server(), rate(8.0)));
    assert!(limits.observe(Instant(5), Instant(31), &server(), rate(1.0)));

    assert_eq!(limits.get(&server()).map(|(rate, _)| rate), rate(1.0));
}

/// Guards against taking no limit at all for a limit of zero, and against never learning that it
/// has ended: only responses say so.
#[test]
fn limit_of_zero_lets_one_request_through_in_four_seconds() {
    let mut limits = alone(rate(0.0));
    limits.sent(Instant(20), &server());

    assert!(!limits.is_open(Instant(4_019), &server()));
    assert!(limits.is_open(Instant(4_020), &server()));
}

/// Guards against reports that bring back a limit which has ended since.
#[test]
fn older_report_changes_nothing() {
    let mut limits = alone(rate(2.0));
    limits.observe(Instant(500), Instant(600), &server(), None);
    let old = Report {
        rate: rate(2.0),
        age: Span(400),
    };

    assert!(!limits.receive(Instant(900), &server(), old));
    assert!(limits.is_open(Instant(900), &server()));
}

/// Guards against a limit that stays in force at entries without a share, since they get no
/// responses.
#[test]
fn end_of_a_limit_is_reported() {
    let mut user = alone(rate(2.0));
    let mut other = Limits::default();
    let reports = |limits: &Limits, now| -> BTreeMap<Incarnation, Report> {
        let reports = limits.reports(Instant(now));
        reports
            .map(|(server, report)| (server.clone(), report))
            .collect()
    };
    other.receive(Instant(20), &server(), reports(&user, 20)[&server()]);
    other.divide("b", 1, |_| Some("z".into()), |_| vec!["a".into()]);
    assert!(!other.is_open(Instant(20), &server()));

    user.observe(Instant(30), Instant(40), &server(), None);
    other.receive(Instant(50), &server(), reports(&user, 50)[&server()]);

    assert!(other.is_open(Instant(50), &server()));
}

/// Guards against a small limit that is exceeded because each of many entries sends one request.
#[test]
fn few_entries_share_a_small_limit() {
    let names: Vec<Arc<str>> = (0..370).map(|number| format!("e{number}").into()).collect();
    let shares = names.iter().map(|name| {
        let mut limits = Limits::default();
        limits.observe(Instant(0), Instant(0), &server(), rate(3.5));
        limits.divide(name, 1, |_| Some("z".into()), |_| names.clone());
        limits.get(&server()).map_or(0.0, |(_, share)| share)
    });
    let shares: Vec<f64> = shares.filter(|share| *share > 0.0).collect();

    assert_eq!(shares.len(), 3);
    assert!((shares.iter().sum::<f64>() - 3.5).abs() < 1e-9);
}

/// Guards against a share that was computed while the server was not registered, or was in another
/// zone: entries of several zones would each take the whole limit.
#[test]
fn share_follows_the_zone_of_a_server() {
    let nearest = |zone: &Zone| match &*zone.0 {
        "a" => vec!["in-a".into()],
        _ => vec!["in-b".into()],
    };
    let mut limits = Limits::default();
    limits.observe(Instant(0), Instant(10), &server(), rate(5.0));
    let mut share = |zone: Option<&str>| {
        limits.divide("in-b", 1, |_| zone.map(Zone::from), nearest);
        limits.get(&server()).map(|(_, share)| share)
    };

    assert_eq!(share(None), Some(0.0));
    assert_eq!(share(Some("a")), Some(0.0));
    assert_eq!(share(Some("b")), Some(5.0));
    assert_eq!(share(None), Some(0.0));
}
