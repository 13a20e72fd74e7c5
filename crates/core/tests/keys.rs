//! The keys that entries write to the store.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

use jujube_core::pipeline::digest::Digest;
use jujube_core::pipeline::era::Era;
use jujube_core::pipeline::key::Key;
use jujube_core::pipeline::key::Segment;
use jujube_core::pipeline::reserve::Piece;
use proptest::prelude::*;

/// The longest key that the platform's store takes.
const MAX_KEY_BYTES: usize = 200;

/// Draws names: any text, the signs of keys, and long ones that differ at their ends.
fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        ".*",
        "[~/0-9a-f]{0,12}",
        "~[0-9a-f]{64}",
        "x{155,165}[ab]",
        "(\u{e9}|/){75,300}",
    ]
}

fn key() -> impl Strategy<Value = Key> {
    prop_oneof![
        name().prop_map(|name| Key::Announcement(name.as_str().into())),
        (name(), any::<u64>())
            .prop_map(|(name, piece)| Key::Piece(name.as_str().into(), Piece(piece))),
        any::<u64>().prop_map(|digest| Key::Quarantine(Digest(digest))),
        any::<u64>().prop_map(|era| Key::Mark(Era(era))),
        any::<u64>().prop_map(|era| Key::Settling(Era(era))),
    ]
}

proptest! {
    /// Guards against keys that the store does not take, and keys that are read as another one.
    #[test]
    fn each_key_is_short_and_read_as_what_it_was_written_for(key in key()) {
        let text = key.to_string();

        prop_assert!(text.len() <= MAX_KEY_BYTES, "{} bytes", text.len());
        prop_assert_eq!(text.parse::<Key>(), Ok(key));
    }

    /// Guards against two services that share their pieces, or two entries that write one announcement.
    #[test]
    fn no_two_names_are_one_segment(one in name(), other in name()) {
        let segments = [&one, &other].map(|name| Segment::from(name.as_str()));

        prop_assert_eq!(segments[0] == segments[1], one == other);
        let digest = Segment::from(segments[0].as_str());
        prop_assert_eq!(digest == segments[0], segments[0].as_str() == one);
    }

    /// Guards against another writer's key that is taken for one of ours.
    #[test]
    fn no_other_text_is_read_as_a_key(
        prefix in "jujube/(slack|entries|quarantine|era)/",
        rest in prop_oneof![".*", "(desk/)?[+0]{0,2}[0-9a-fA-F]{1,17}(/settling)?"],
    ) {
        let text = format!("{prefix}{rest}");

        let key = text.parse::<Key>();

        prop_assert!(key.is_err() || key.unwrap().to_string() == text);
    }
}

/// Guards against keys of usual names that change: older entries run beside new ones.
#[test]
fn keys_of_usual_names_stay() {
    let cases = [
        (
            Key::Announcement("front-10.0.0.7".into()),
            "jujube/entries/front-10.0.0.7",
        ),
        (Key::Piece("a/b".into(), Piece(31)), "jujube/slack/a/b/31"),
        (
            Key::Quarantine(Digest(0xbeef)),
            "jujube/quarantine/000000000000beef",
        ),
        (Key::Mark(Era(5)), "jujube/era/5"),
        (Key::Settling(Era(5)), "jujube/era/5/settling"),
    ];
    for (key, text) in cases {
        assert_eq!(key.to_string(), text);
    }
}
