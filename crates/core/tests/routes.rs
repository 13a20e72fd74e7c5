//! Routes, keys and the share of retries of a configuration that is one document.

use jujube_core::pipeline::budget::Budget;
use jujube_core::pipeline::budget::Policy;
use jujube_core::pipeline::document::Account;
use jujube_core::pipeline::document::Document;
use jujube_core::pipeline::document::Kind;
use jujube_core::pipeline::document::Route;
use jujube_core::pipeline::document::Table;
use jujube_core::pipeline::document::Target;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use proptest::prelude::*;

fn route(name: &str, prefix: &str, targets: &[(&str, u64)]) -> Route {
    let targets = targets.iter().map(|(service, weight)| Target {
        service: (*service).into(),
        weight: *weight,
    });
    Route {
        name: name.into(),
        host: "desk.example".into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Span(1_000),
        latency_target: Span(150),
        gap_target: Span(200),
        priority: 1,
        targets: targets.collect(),
        attempts: 2,
        public: false,
        resumable: false,
    }
}

fn table() -> Table {
    Table::new(Document {
        routes: vec![
            route("all", "/notes/", &[("desk", 1)]),
            route("old", "/notes/old/", &[("archive", 1)]),
        ],
        accounts: vec![Account {
            customer: "crew".into(),
            keys: vec!["k1".into(), "k2".into()],
            priority: None,
        }],
        ..Document::default()
    })
}

#[test]
fn the_longest_prefix_wins() {
    let table = table();

    let old = table.route("desk.example", "/notes/old/7").unwrap();
    let new = table.route("desk.example", "/notes/7").unwrap();

    assert_eq!(&*old.name, "old");
    assert_eq!(&*new.name, "all");
}

#[test]
fn other_hosts_and_paths_have_no_route() {
    let table = table();

    assert!(table.route("other.example", "/notes/7").is_none());
    assert!(table.route("desk.example", "/note").is_none());
}

#[test]
fn a_key_names_its_customer_and_nobody_elses() {
    let table = table();

    assert_eq!(&*table.account("k2").unwrap().customer.0, "crew");
    assert!(table.account("k3").is_none());
    assert!(table.account("").is_none());
}

#[test]
fn weights_divide_requests() {
    let route = route("split", "/", &[("new", 9), ("old", 1)]);

    let old = (0..1_000).filter(|draw| &*route.pick_target(*draw).unwrap().0 == "old");

    assert_eq!(old.count(), 100);
}

#[test]
fn weights_of_nothing_leave_the_first_target() {
    let route = route("split", "/", &[("new", 0), ("old", 0)]);

    assert_eq!(&*route.pick_target(5).unwrap().0, "new");
}

#[test]
fn streams_repeat_only_where_they_may_be_resumed() {
    let mut stream = route("stream", "/", &[("writer", 1)]);
    stream.kind = Kind::Stream;
    assert!(!stream.may_repeat());

    stream.resumable = true;
    assert!(stream.may_repeat());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In no window do entries together send more extra arrivals than the service allows, when each
    /// takes all that it can while its service fails; sites have from four to some tens of entries.
    #[test]
    fn all_entries_together_stay_below_the_budget(
        entries in 1_u64..60,
        gaps in proptest::collection::vec(0_u64..120, 50..300),
    ) {
        let terms = Policy { ratio: 0.2, slack: 100.0, window: Span(10_000) };
        let share = terms.slack / entries as f64;
        let all = entries as f64;
        let mut allowance = Budget::default();
        let mut requests = Vec::new();
        let mut extra = Vec::new();
        let mut now = 0;
        for gap in gaps {
            now += gap;
            allowance.request(Instant(now), &terms);
            requests.push(now);
            while allowance.take(Instant(now), &terms, share) {
                extra.push(now);
            }
        }
        for end in &extra {
            let inside = |time: &&u64| **time <= *end && *end - **time < terms.window.0;
            let sent = extra.iter().filter(inside).count() as f64;
            let asked = requests.iter().filter(inside).count() as f64;
            let earlier = requests.iter().filter(|time| **time <= *end && *end - **time < 2 * terms.window.0);
            let most = asked.max(earlier.count() as f64 - asked);
            prop_assert!(all * sent <= terms.ratio * all * most.max(asked) + terms.slack);
        }
    }
}
