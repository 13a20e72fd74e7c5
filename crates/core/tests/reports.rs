//! Reports that name ever new entries and servers.

use std::sync::Arc;

use jujube_core::pipeline::cell::Directory;
use jujube_core::pipeline::cell::Id;
use jujube_core::pipeline::cell::Location;
use jujube_core::pipeline::load::Usage;
use jujube_core::pipeline::outlier::Tally;
use jujube_core::pipeline::reports::Fragment;
use jujube_core::pipeline::reports::Reports;
use jujube_core::pipeline::reports::Scope;
use jujube_core::pipeline::summary::Summary;
use jujube_core::time::Instant;

const NOW: Instant = Instant(0);
const SENDERS: usize = 200_000;

/// Returns a report of one request on a server.
fn report(server: &str) -> Summary {
    let usage = Usage {
        tokens: 1.0,
        requests: 1,
    };
    Summary {
        entries: 1,
        usage: [(server.into(), usage)].into(),
        ..Summary::default()
    }
}

/// Guards against sums that grow with the names that reports contain.
#[test]
fn reports_of_ever_new_senders_take_a_limited_size() {
    let mut reports = Reports::default();
    for number in 0..SENDERS {
        let sender = format!("entry-{number}");
        let summary = report(&format!("server-{number}"));
        reports.receive(NOW, sender, Scope::Own, Fragment::default(), summary);
    }
    let others = reports.others(NOW);
    assert!(others.entries > 1_000, "{}", others.entries);
    assert!(others.entries < SENDERS as u64 / 4, "{}", others.entries);
}

/// Guards against the same for the fragments of one report.
#[test]
fn fragments_of_one_report_take_a_limited_size() {
    let mut reports = Reports::default();
    let last = u16::MAX;
    for number in 0..=last {
        let summary = report(&format!("server-{number}"));
        reports.receive(NOW, "a", Scope::Rest, Fragment { number, last }, summary);
    }
    let servers = reports.others(NOW).usage.len();
    assert!(servers < usize::from(last) / 2, "{servers}");
}

/// Guards against reports of known entries that are left out while others use all room.
#[test]
fn report_replaces_the_previous_one_while_there_is_no_room() {
    let mut reports = Reports::default();
    let first = report("server");
    reports.receive(NOW, "known", Scope::Own, Fragment::default(), first);
    for number in 0..SENDERS {
        let sender = format!("entry-{number}");
        reports.receive(NOW, sender, Scope::Own, Fragment::default(), report("x"));
    }
    let second = report("others");
    let replaced = reports.receive(NOW, "known", Scope::Own, Fragment::default(), second);
    assert!(replaced);
    assert!(reports.others(NOW).usage.contains_key(&"others".into()));
}

/// Guards against a directory that grows with the names that messages contain.
#[test]
fn directory_knows_a_limited_number_of_entries_by_messages_only() {
    let location = |host| Location {
        zone: "z".into(),
        address: ([10, 0, 0, host], 7340).into(),
    };
    let mut directory = Directory::new("a", location(1));
    for number in 0..4_000 {
        let name: Arc<str> = format!("entry-{number}").into();
        directory.observe(NOW, &name, location(2));
    }
    assert!(directory.count() < 2_000, "{}", directory.count());
    directory.announced("b", location(3));
    assert!(directory.observe(NOW, &"b".into(), location(3)));
}

/// Guards against a limit that the reports of a large fleet reach: a speaker's own cell, two speakers
/// of each other cell, and the other speaker of its own.
#[test]
fn reports_of_a_thousand_entries_on_five_hundred_servers_fit() {
    let servers = (0..500).map(|number| format!("server-in-zone-{number}"));
    let reported = servers.map(|server| report(&server));
    let mut whole = Summary::default();
    reported.for_each(|summary| whole.merge(&summary));
    let servers = whole.usage.keys().cloned();
    whole.outcomes = servers.map(|server| (server, Tally::default())).collect();
    let mut reports = Reports::default();
    let own = (0..32).map(|number| (format!("own-{number}"), Scope::Own));
    let others = (0..62).map(|number| {
        let cell = Id(format!("zone/{}", number / 2).into());
        (format!("other-{number}"), Scope::Cell(cell))
    });
    let rest = [("own-1".into(), Scope::Rest)];
    for (sender, scope) in own.chain(others).chain(rest) {
        assert!(reports.receive(NOW, sender, scope, Fragment::default(), whole.clone()));
    }
}
