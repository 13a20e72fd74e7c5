//! Tests of the routes and keys of a document, and of the retry budget.

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
        accounts: Some(vec![Account {
            customer: "crew".into(),
            keys: vec!["k1".into(), "k2".into()],
            priority: None,
        }]),
        ..Document::default()
    })
}

#[test]
fn the_longest_matching_prefix_is_chosen() {
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
fn a_key_belongs_to_one_customer() {
    let table = table();

    assert_eq!(&*table.account("k2").unwrap().customer.0, "crew");
    assert!(table.account("k3").is_none());
    assert!(table.account("").is_none());
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("split", "/", &[("new", 9), ("old", 1)]);

    let old = (0..1_000).filter(|draw| &*route.pick_target(*draw).unwrap().0 == "old");

    assert_eq!(old.count(), 100);
}

#[test]
fn zero_weights_select_the_first_target() {
    let route = route("split", "/", &[("new", 0), ("old", 0)]);

    assert_eq!(&*route.pick_target(5).unwrap().0, "new");
}

#[test]
fn only_resumable_streams_may_be_retried() {
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

    /// Guards against entries that together retry more than a service allows in any window, when each
    /// uses its full share.
    #[test]
    fn all_entries_together_stay_below_the_budget(
        entries in 1_u64..60,
        gaps in proptest::collection::vec(0_u64..120, 50..300),
    ) {
        let policy = Policy { ratio: 0.2, slack: 100.0, window: Span(10_000) };
        let share = policy.slack / entries as f64;
        let entry_count = entries as f64;
        let mut budget = Budget::default();
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        let mut now = 0;
        for gap in gaps {
            now += gap;
            budget.request(Instant(now), &policy);
            requests.push(now);
            while budget.take(Instant(now), &policy, share) {
                retries.push(now);
            }
        }
        for end in &retries {
            let inside = |time: &&u64| **time <= *end && *end - **time < policy.window.0;
            let sent = retries.iter().filter(inside).count() as f64;
            let requested = requests.iter().filter(inside).count() as f64;
            let recent = |time: &&u64| **time <= *end && *end - **time < 2 * policy.window.0;
            let earlier = requests.iter().filter(recent);
            let max_requests = requested.max(earlier.count() as f64 - requested);
            let allowed = policy.ratio * entry_count * max_requests.max(requested) + policy.slack;
            prop_assert!(entry_count * sent <= allowed);
        }
    }
}
