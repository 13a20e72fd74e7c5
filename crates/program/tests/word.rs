//! Others' text in log lines.

use jujube_program::word::Line;
use jujube_program::word::List;
use jujube_program::word::Word;
use proptest::prelude::*;

/// The most characters of a text that a line shows.
const MAX_CHARS: usize = 300;
/// The most characters of a list that a line shows.
const MAX_LIST_CHARS: usize = 4_000;
/// The most bytes of a line without its end.
const MAX_LINE_BYTES: usize = 8_000;

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

    /// Guards against a message that makes two lines of one record, or one that is shown differently.
    #[test]
    fn any_text_is_one_line(text in any::<String>(), count in 0..4_000_usize) {
        let line = Line(text.repeat(count)).to_string();

        prop_assert!(line.len() <= MAX_LINE_BYTES);
        prop_assert!(!line.contains(char::is_control));
        prop_assert!(!line.contains(|char: char| char.is_whitespace() && char != ' '));
    }

    /// Guards against a list that is cut as early as a name, or not at all.
    #[test]
    fn a_list_is_a_longer_word(text in "\\PC{1,40}", count in 1..1_000_usize) {
        let list = List(text.repeat(count)).to_string();

        let chars = text.chars().count() * count;
        prop_assert_eq!(list.chars().count(), chars.min(MAX_LIST_CHARS));
        prop_assert!(!list.contains(char::is_whitespace));
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

#[test]
fn a_line_without_odd_characters_stays_as_it_is() {
    let line = "time=1 level=INFO role=entry event=sent request=a\u{e9} path=127.0.0.1:9=0-8";
    assert_eq!(Line(line).to_string(), line);
}

/// Guards against a text that turns the direction in which a terminal shows the rest of its line.
#[test]
fn directions_are_replaced() {
    assert_eq!(Word("a\u{202e}b\u{2066}c").to_string(), "a-b-c");
}
