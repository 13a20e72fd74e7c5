//! Others' text in a log line.

use std::fmt;
use std::fmt::Write;

/// The most characters of a text that are logged.
const MAX_CHARS: usize = 300;
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
/// # use jujube_program::word::Word;
/// assert_eq!(Word("desk\nevent=forged a=b").to_string(), "desk-event=forged-a=b");
/// assert_eq!(Word("").to_string(), "-");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Word<T>(pub T);

impl<T: fmt::Display> fmt::Display for Word<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut writer = Writer {
            output: f,
            written: 0,
        };
        write!(writer, "{}", self.0)?;
        match writer.written {
            0 => f.write_char(NOTHING),
            _ => Ok(()),
        }
    }
}

/// Writes what may stand in a word.
struct Writer<'a, 'b> {
    output: &'a mut fmt::Formatter<'b>,
    written: usize,
}

impl Write for Writer<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let left = MAX_CHARS - self.written;
        for char in text.chars().take(left) {
            let shown = if is_odd(char) { REPLACEMENT } else { char };
            self.output.write_char(shown)?;
            self.written += 1;
        }
        Ok(())
    }
}

/// Returns whether a character ends a word, a line, or changes how the rest of a line is shown.
fn is_odd(char: char) -> bool {
    let is_direction =
        matches!(char, '\u{200e}' | '\u{200f}' | '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}');
    char.is_whitespace() || char.is_control() || is_direction
}
