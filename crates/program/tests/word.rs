//! Others' text in log lines.

use jujube_program::word::Word;
use proptest::prelude::*;

/// The most characters of a text that a line shows.
const MAX_CHARS: usize = 300;

proptest! {
    /// Guards against a text that forges a line or a field of one.
    #[test]
    fn any_text_is_one_word(text in any::<String>()) {
        let word = Word(&text).to_string();

        prop_assert!(!word.is_empty());
        prop_assert!(word.chars().count() <= MAX_CHARS);
        prop_assert_eq!(word.split_whitespace().collect::<Vec<_>>(), [&word]);
        prop_assert!(!word.contains(char::is_control));
    }

    /// Guards against a text that several writes make longer than one may be.
    #[test]
    fn the_length_has_a_bound_over_several_writes(text in "\\PC{0,400}", number: u64) {
        let word = Word(format_args!("{text}{number}{text}")).to_string();

        prop_assert!(word.chars().count() <= MAX_CHARS);
    }
}

#[test]
fn a_text_without_odd_characters_stays_as_it_is() {
    let texts = [
        "servers/h5-467227",
        "a=b&c",
        "invalid-type:-map",
        "\u{e9}\u{1f600}",
    ];
    for text in texts {
        assert_eq!(Word(text).to_string(), text);
    }
}

/// Guards against a text that turns the direction in which a terminal shows the rest of its line.
#[test]
fn directions_are_replaced() {
    assert_eq!(Word("a\u{202e}b\u{2066}c").to_string(), "a-b-c");
}
