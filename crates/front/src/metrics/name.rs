//! The names of metrics.

use std::borrow::Cow;
use std::fmt;

/// What stands for a character that the format does not allow in a name.
const REPLACEMENT: char = '_';

/// The name of a metric without its prefix and its ending: ASCII letters, digits and underscores.
///
/// A scraper drops a whole page for one name with another character. Each such character of a text that
/// becomes a name is replaced, so that there is no name with one.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Name(Cow<'static, str>);

impl From<&'static str> for Name {
    fn from(text: &'static str) -> Self {
        if text.chars().all(is_allowed) {
            return Self(text.into());
        }
        let replace = |char| if is_allowed(char) { char } else { REPLACEMENT };
        Self(text.chars().map(replace).collect())
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

fn is_allowed(char: char) -> bool {
    char.is_ascii_alphanumeric() || char == REPLACEMENT
}
