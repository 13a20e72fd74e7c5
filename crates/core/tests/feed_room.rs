//! What a copy of the store keeps when there is no room for all keys.

use jujube_core::pipeline::feed::replica::Item;
use jujube_core::pipeline::feed::replica::Replica;
use jujube_core::pipeline::feed::replica::Rules;
use jujube_core::pipeline::feed::room::Kind;
use jujube_core::pipeline::memory::Size;
use jujube_core::revision::Revision;

/// Room for a few keys of each kind.
const ROOM: Size = Size(60_000);

fn kind_of(key: &str) -> Option<Kind> {
    match key.split('/').next() {
        Some("config") => Some(Kind::Configuration),
        Some("server") => Some(Kind::Registration),
        Some("other") => Some(Kind::Other),
        _ => None,
    }
}

fn replica() -> Replica<usize> {
    Replica::bounded(Rules {
        kind_of,
        size_of: |bytes| *bytes,
        room: ROOM,
    })
}

fn put(key: String, bytes: usize, revision: u64) -> Item<usize> {
    Item {
        key: key.into(),
        value: Some(bytes),
        revision: Revision(revision),
    }
}

fn removed(key: String, revision: u64) -> Item<usize> {
    Item {
        key: key.into(),
        value: None,
        revision: Revision(revision),
    }
}

/// Guards against a copy that grows with ever new keys, and against keys of one kind that keep out others.
#[test]
fn ever_new_keys_of_one_kind_are_left_out_and_others_kept() {
    let mut replica = replica();
    let new = (0..1_000).map(|number| put(format!("other/{number}"), 10, number));

    let left_out = replica.apply(new, Revision(1_000));
    let others = [
        put("server/a".into(), 100, 1_001),
        put("config".into(), 90_000, 1_002),
    ];
    let others_left_out = replica.apply(others, Revision(1_002));

    assert!(left_out.len() > 900, "{}", left_out.len());
    assert!(others_left_out.is_empty(), "{others_left_out:?}");
    assert_eq!(replica.all().len(), 1_000 - left_out.len() + 2);
}

/// Guards against an old value of a known key that stays in use because there is no room for the new one.
#[test]
fn known_key_without_room_for_its_new_value_counts_as_removed() {
    let mut replica = replica();
    replica.apply([put("other/a".into(), 10, 1)], Revision(1));

    let left_out = replica.apply([put("other/a".into(), 50_000, 2)], Revision(2));

    assert!(left_out.contains("other/a"));
    assert_eq!(replica.get("other/a"), None);
}

/// Guards against keys that stay unknown although those that took their room are gone.
#[test]
fn all_keys_are_to_be_read_again_once_there_is_room() {
    let mut replica = replica();
    let new = (0..1_000).map(|number| put(format!("other/{number}"), 10, number));
    replica.apply(new, Revision(1_000));
    let before = replica.has_room_again();

    let gone = (0..1_000).map(|number| removed(format!("other/{number}"), 1_000 + number));
    replica.apply(gone, Revision(2_000));

    assert!(!before);
    assert!(replica.has_room_again());
    replica.replace([], Revision(2_000));
    assert!(!replica.has_room_again(), "all were read");
}

/// Guards against room that is counted twice for a key that is written again and again.
#[test]
fn key_that_is_written_again_takes_its_room_once() {
    let mut replica = replica();

    for revision in 0..10_000 {
        let left_out = replica.apply([put("other/a".into(), 10, revision)], Revision(revision));

        assert!(left_out.is_empty(), "{revision}");
    }
}

/// Guards against keys that no entry reads, which were kept all the same.
#[test]
fn keys_that_nobody_reads_are_not_kept() {
    let mut replica = replica();

    let left_out = replica.apply([put("foreign/a".into(), 10, 1)], Revision(1));

    assert!(left_out.contains("foreign/a"));
    assert!(replica.all().is_empty());
    assert!(!replica.has_room_again());
}
