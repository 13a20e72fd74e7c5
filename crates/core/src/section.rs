//! A reader of INI sections whose errors name the section, the key and the expected value.

use core::net::Ipv4Addr;
use core::net::SocketAddr;
use core::net::SocketAddrV4;
use std::collections::BTreeSet;
use std::fmt;
use std::fmt::Write;
use std::str::FromStr;
use std::sync::Arc;

use ini::Ini;
use ini::Properties;

/// An error in an INI text.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("[{section}] {key}: {what}")]
pub struct Fault {
    /// The section's header.
    pub section: Arc<str>,
    /// The key, or `-` for the section as a whole.
    pub key: Arc<str>,
    /// What is wrong and what was expected.
    pub what: Arc<str>,
}

impl Fault {
    /// Returns a fault of a key in a section.
    pub fn new(section: &str, key: &str, what: impl fmt::Display) -> Self {
        Self {
            section: section.into(),
            key: key.into(),
            what: what.to_string().into(),
        }
    }
}

/// Parses INI text without processing escape sequences.
///
/// # Errors
///
/// Returns a fault when the text is not valid INI.
pub fn load(text: &str) -> Result<Ini, Fault> {
    Ini::load_from_str_noescape(text)
        .map_err(|error| Fault::new("-", "-", format!("not valid INI: {error}")))
}

/// The placeholder for an invalid address.
const UNSPECIFIED: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// Reads the values of one section and collects the faults.
pub struct Reader<'a> {
    section: &'a str,
    properties: &'a Properties,
    known: BTreeSet<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Returns a reader of one section.
    pub fn new(section: &'a str, properties: &'a Properties) -> Self {
        Self {
            section,
            properties,
            known: BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    /// Records a fault of a key.
    pub fn fault(&mut self, key: &str, what: impl fmt::Display) {
        self.faults.push(Fault::new(self.section, key, what));
    }

    /// Reads a value; the key is required when there is no default.
    pub fn value<T: FromStr + Default>(
        &mut self,
        key: &'static str,
        expected: &str,
        default: Option<T>,
    ) -> T {
        self.known.insert(key);
        let texts: Vec<&str> = self.properties.get_all(key).collect();
        if texts.len() > 1 {
            self.fault(key, "duplicate key");
        }
        match (texts.first(), default) {
            (Some(text), _) => match text.trim().parse() {
                Ok(value) => value,
                Err(_) => {
                    self.fault(key, format!("`{}`: expected {expected}", shorten(text)));
                    T::default()
                }
            },
            (None, Some(default)) => default,
            (None, None) => {
                self.fault(key, format!("missing: expected {expected}"));
                T::default()
            }
        }
    }

    /// Reads a whole number.
    pub fn number(&mut self, key: &'static str, default: Option<u64>) -> u64 {
        self.value(key, "a whole number", default)
    }

    /// Reads a text.
    pub fn text(&mut self, key: &'static str, expected: &str, default: Option<&str>) -> String {
        self.value(key, expected, default.map(str::to_string))
    }

    /// Reads an IP address and port.
    pub fn address(&mut self, key: &'static str) -> SocketAddr {
        let expected = "an IP number and port, such as `127.0.0.1:7000`";
        let text = self.text(key, expected, None);
        if text.is_empty() {
            return UNSPECIFIED;
        }
        text.trim().parse().unwrap_or_else(|_| {
            self.fault(key, format!("`{}`: expected {expected}", shorten(&text)));
            UNSPECIFIED
        })
    }

    /// Reads a comma-separated list of names.
    pub fn list(&mut self, key: &'static str) -> BTreeSet<Arc<str>> {
        let text = self.text(key, "names, separated by commas", Some(""));
        let names = text.split(',').map(str::trim);
        names.filter(|n| !n.is_empty()).map(Arc::from).collect()
    }

    /// Returns all faults, including those of unknown keys.
    pub fn finish(mut self) -> Vec<Fault> {
        let known = std::mem::take(&mut self.known);
        if known.is_empty() {
            return self.faults;
        }
        for (key, _) in self.properties.iter() {
            if known.contains(key) {
                continue;
            }
            let hint = suggest(key, known.iter().copied());
            self.fault(key, format!("unknown key{hint}"));
        }
        self.faults
    }
}

/// Truncates a value for an error message, so that invalid input of any length stays readable.
fn shorten(text: &str) -> String {
    const MAX_SHOWN_CHARS: usize = 40;
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text.trim().to_string();
    }
    let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    format!("{start}...")
}

/// Returns ` (did you mean ...?)` when a known name is similar, otherwise an empty string.
pub(crate) fn suggest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    const MAX_EDITS: usize = 2;
    let scored = known.map(|name| (edit_distance(word, name), name));
    let mut hint = String::new();
    if let Some((_, name)) = scored.filter(|(distance, _)| *distance <= MAX_EDITS).min() {
        // Writing to a `String` never fails.
        let _ = write!(hint, " (did you mean `{name}`?)");
    }
    hint
}

/// Returns the Levenshtein distance of two words.
fn edit_distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (i, a) in one.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in other.iter().enumerate() {
            let replace = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = replace.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[other.len()]
}
