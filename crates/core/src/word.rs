//! Others' text in lines of a log.

use std::fmt;
use std::fmt::Write;

/// The most characters of a text that are logged.
const MAX_WORD_CHARS: usize = 300;
/// The most characters of a list that are logged.
const MAX_LIST_CHARS: usize = 4_000;
/// The most bytes of a line, without its end.
const MAX_LINE_BYTES: usize = 8_000;
/// What stands for a text without characters.
const NOTHING: char = '-';
/// What stands for a character that would end a word or a line.
const REPLACEMENT: char = '-';

/// Others' text as one word of a log line.
///
/// A line has fields of the form `name=value`, separated by blanks. A name or an error that is written as
/// it came may hold a blank or a line end, and with them a field or a whole line that nobody logged.
///
/// # Examples
///
/// ```
/// # use jujube_core::word::Word;
/// assert_eq!(Word("desk\nevent=forged a=b").to_string(), "desk-event=forged-a=b");
/// assert_eq!(Word("").to_string(), "-");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Word<T>(pub T);

impl<T: fmt::Display> fmt::Display for Word<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_word(f, &self.0, MAX_WORD_CHARS)
    }
}

/// Several texts as one word of a log line, such as a path or what is wrong in a file. More of it is
/// logged than of a [`Word`].
///
/// # Examples
///
/// ```
/// # use jujube_core::word::List;
/// assert_eq!(List("s1,s 2").to_string(), "s1,s-2");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct List<T>(pub T);

impl<T: fmt::Display> fmt::Display for List<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_word(f, &self.0, MAX_LIST_CHARS)
    }
}

/// Several fields of a log line, each of whose values is a word.
///
/// # Examples
///
/// ```
/// # use std::fmt;
/// # use jujube_core::word::Fields;
/// # use jujube_core::word::Word;
/// struct Server {
///     name: String,
///     slots: u64,
/// }
///
/// impl Fields for Server {}
///
/// impl fmt::Display for Server {
///     fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
///         write!(f, "server={} slots={}", Word(&self.name), self.slots)
///     }
/// }
/// ```
pub trait Fields: fmt::Display {}

impl<T: Fields + ?Sized> Fields for &T {}

/// One line of a log, whatever its message holds.
///
/// # Examples
///
/// ```
/// # use jujube_core::word::Line;
/// assert_eq!(Line("event=a b=c\nevent=d").to_string(), "event=a b=c-event=d");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Line<T>(pub T);

impl<T: fmt::Display> fmt::Display for Line<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut writer = Writer {
            output: f,
            left: MAX_LINE_BYTES,
            size: char::len_utf8,
            is_odd: |char| char != ' ' && is_odd(char),
        };
        write!(writer, "{}", self.0)
    }
}

fn write_word(
    f: &mut fmt::Formatter<'_>,
    text: impl fmt::Display,
    max_chars: usize,
) -> fmt::Result {
    let mut writer = Writer {
        output: f,
        left: max_chars,
        size: |_| 1,
        is_odd,
    };
    write!(writer, "{text}")?;
    match writer.left == max_chars {
        true => f.write_char(NOTHING),
        false => Ok(()),
    }
}

/// Writes a text up to a size, and replaces odd characters.
struct Writer<'a, 'b> {
    output: &'a mut fmt::Formatter<'b>,
    left: usize,
    size: fn(char) -> usize,
    is_odd: fn(char) -> bool,
}

impl Write for Writer<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for char in text.chars() {
            let shown = if (self.is_odd)(char) {
                REPLACEMENT
            } else {
                char
            };
            let Some(left) = self.left.checked_sub((self.size)(shown)) else {
                self.left = 0;
                return Ok(());
            };
            self.left = left;
            self.output.write_char(shown)?;
        }
        Ok(())
    }
}

/// Returns whether a character ends a word, a line, or changes how the rest of a line is shown.
fn is_odd(char: char) -> bool {
    let is_direction = matches!(
        char,
        '\u{61c}' | '\u{200e}' | '\u{200f}' | '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}'
    );
    char.is_whitespace() || char.is_control() || is_direction
}
