//! Which entries read the store, and whom the others ask, in fleets of any size.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use jujube_core::pipeline::cell::Directory;
use jujube_core::pipeline::cell::Location;
use jujube_core::pipeline::cell::Role;
use jujube_core::pipeline::feed::bounds::Bounds;
use jujube_core::time::Instant;
use jujube_core::time::Span;

const NOW: Instant = Instant(10_000);
/// Reading calls a second that the smallest store takes.
const MAX_CALLS: u64 = 2_000;
/// The calls of a day that a worth of 0.90 allows an entry in all, a few of them for changes.
const MAX_CALLS_A_MINUTE: f64 = 3.7;

fn name(number: usize) -> Arc<str> {
    format!("entry-{number}").into()
}

fn location(number: usize, zones: usize) -> Location {
    let host = [10, (number >> 16) as u8, (number >> 8) as u8, number as u8];
    Location {
        zone: format!("zone-{}", number % zones).as_str().into(),
        address: (host, 7340).into(),
    }
}

/// Returns the directories of some of `entries` entries, all of which hear each other.
fn directories(entries: usize, zones: usize) -> impl Iterator<Item = (Arc<str>, Directory)> {
    (0..entries).map(move |own| {
        let mut directory = Directory::new(name(own), location(own, zones));
        let all = (0..entries).map(|number| (name(number), location(number, zones)));
        directory.replaced(all);
        for number in 0..entries {
            directory.observe(NOW, &name(number), location(number, zones));
        }
        (name(own), directory)
    })
}

fn roles(entries: usize, zones: usize) -> BTreeMap<Arc<str>, Role> {
    let directories = directories(entries, zones);
    directories
        .map(|(name, directory)| (name, directory.role(NOW)))
        .collect()
}

fn readers(roles: &BTreeMap<Arc<str>, Role>) -> BTreeSet<Arc<str>> {
    let readers = roles.iter().filter(|(_, role)| **role == Role::Reader);
    readers.map(|(name, _)| name.clone()).collect()
}

/// Guards against calls to the store that grow with the number of entries: before, each entry
/// followed the store for itself, 29 calls a day and entry at 470.
#[test]
fn four_entries_read_the_store_whatever_the_size() {
    let bounds = Bounds::new(Span(6_000), Span(5_000));
    for entries in [40, 103, 470, 1_000] {
        let readers = readers(&roles(entries, 5)).len();

        let calls = readers as u64 * 60_000 / bounds.reader_wait.0;
        assert!((2..=4).contains(&readers), "{entries}: {readers}");
        println!("{entries} entries: {readers} readers, {calls} calls a minute at the most");
        if entries >= 470 {
            assert!(calls as f64 <= MAX_CALLS_A_MINUTE / 2.0 * entries as f64);
        }
    }
}

/// Guards against changes that take more hops, or an entry that more others ask, in larger fleets.
#[test]
fn every_entry_is_two_hops_from_a_reader_and_few_ask_one() {
    for (entries, zones) in [(20, 3), (40, 1), (103, 5), (370, 36), (470, 5), (1_000, 5)] {
        let roles = roles(entries, zones);
        let readers = readers(&roles);
        let mut asked: BTreeMap<&str, usize> = BTreeMap::new();
        for (own, role) in &roles {
            let Role::Follower { sources, .. } = role else {
                continue;
            };
            *asked.entry(&sources[0]).or_default() += 1;
            assert!(!sources.contains(own));
            for source in sources {
                let is_near = match &roles[source] {
                    Role::Reader => true,
                    Role::Follower { sources, .. } => sources.iter().all(|s| readers.contains(s)),
                };
                assert!(is_near, "{entries}: {own} asks {source}");
            }
        }
        let most = asked.values().max().copied().unwrap_or_default();
        println!("{entries} entries in {zones} zones: at most {most} ask one");
        assert!(most <= 48, "{entries} entries in {zones} zones: {most}");
    }
}

/// Guards against readers that the loss of one availability zone takes away together.
#[test]
fn readers_are_in_two_zones_where_there_are_several_cells() {
    for entries in [40, 103, 470] {
        let readers = readers(&roles(entries, 5));

        let zones: BTreeSet<usize> = readers
            .iter()
            .filter_map(|reader| reader.strip_prefix("entry-")?.parse::<usize>().ok())
            .map(|number| number % 5)
            .collect();
        assert_eq!(zones.len(), 2, "{entries}: {readers:?}");
    }
}

/// Guards against a store that entries which all read it overload, and against looks that leave no
/// time for a second one within the limit.
#[test]
fn looks_of_any_number_of_entries_leave_the_store_room() {
    for (contact, apply) in [(3_000, 2_000), (6_000, 5_000), (1_000, 1_000)] {
        let bounds = Bounds::new(Span(contact), Span(apply));
        for entries in 1..=1_000 {
            let readers = match bounds.is_shared(entries) {
                true => 4,
                false => entries as u64,
            };
            let calls = readers * 1_000 / bounds.pause.0;
            assert!(calls < MAX_CALLS / 2, "{entries} entries");
        }
        assert!(bounds.pause.0 * 4 <= apply, "a second look is in time");
    }
}

/// Guards against knowledge that is passed on so late that no time is left to read the store.
#[test]
fn ages_leave_time_for_the_next_step_within_the_limit() {
    for (contact, apply) in [(3_000, 2_000), (6_000, 5_000)] {
        let bounds = Bounds::new(Span(contact), Span(apply));

        // A reader's knowledge counts from the call before the one that is under way.
        let oldest = 2 * bounds.reader_wait.0 + bounds.pause.0;
        assert!(oldest < bounds.next_source.0);
        assert!(bounds.next_source < bounds.speaker_age);
        assert!(bounds.speaker_age < bounds.member_age);
        assert!(
            apply - bounds.member_age.0 >= 800,
            "a slow store answers in 0.3 s"
        );
    }
}

/// Guards against hundreds of entries that all read the store when they start together, each taking
/// itself for the only active one.
#[test]
fn entries_that_have_heard_nobody_do_not_all_read() {
    for entries in [103, 470] {
        let deaf = directories(entries, 5).map(|(_, directory)| directory.role(Instant(90_000)));
        let readers = deaf.filter(|role| *role == Role::Reader).count();

        assert_eq!(readers, 4, "{entries} entries");
    }
}
