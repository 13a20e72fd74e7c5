//! Reading INI sections so that every fault names section, key and what was expected.

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

/// One thing that is wrong in an INI text.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("[{section}] {key}: {what}")]
pub struct Fault {
    /// The section's header.
    pub section: Arc<str>,
    /// The key, or `-` where the section as a whole is meant.
    pub key: Arc<str>,
    /// What is wrong and what was expected.
    pub what: Arc<str>,
}

impl Fault {
    /// Returns a fault.
    pub fn new(section: &str, key: &str, what: impl fmt::Display) -> Self {
        Self {
            section: section.into(),
            key: key.into(),
            what: what.to_string().into(),
        }
    }
}

/// Reads INI text without escapes.
///
/// # Errors
///
/// The text is no INI.
pub fn load(text: &str) -> Result<Ini, Fault> {
    Ini::load_from_str_noescape(text)
        .map_err(|error| Fault::new("-", "-", format!("no INI text: {error}")))
}

/// What a faulty address reads as.
const UNSPECIFIED: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// Takes keys out of one section and keeps what is wrong.
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

    /// Books a fault of a key.
    pub fn fault(&mut self, key: &str, what: impl fmt::Display) {
        self.faults.push(Fault::new(self.section, key, what));
    }

    /// Takes one value; without a default it must be there.
    pub fn value<T: FromStr + Default>(
        &mut self,
        key: &'static str,
        expected: &str,
        default: Option<T>,
    ) -> T {
        self.known.insert(key);
        let texts: Vec<&str> = self.properties.get_all(key).collect();
        if texts.len() > 1 {
            self.fault(key, "the key stands twice");
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

    /// Takes a whole number.
    pub fn number(&mut self, key: &'static str, default: Option<u64>) -> u64 {
        self.value(key, "a whole number", default)
    }

    /// Takes a text.
    pub fn text(&mut self, key: &'static str, expected: &str, default: Option<&str>) -> String {
        self.value(key, expected, default.map(str::to_string))
    }

    /// Takes an IP number and port.
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

    /// Takes names that commas separate.
    pub fn list(&mut self, key: &'static str) -> BTreeSet<Arc<str>> {
        let text = self.text(key, "names, separated by commas", Some(""));
        let names = text.split(',').map(str::trim);
        names.filter(|n| !n.is_empty()).map(Arc::from).collect()
    }

    /// Returns all faults, unknown keys among them.
    pub fn finish(mut self) -> Vec<Fault> {
        let known = std::mem::take(&mut self.known);
        if known.is_empty() {
            return self.faults;
        }
        for (key, _) in self.properties.iter() {
            if known.contains(key) {
                continue;
            }
            let hint = nearest(key, known.iter().copied());
            self.fault(key, format!("unknown key{hint}"));
        }
        self.faults
    }
}

/// Cuts a text for an error message: a megabyte of garbage must not fill the operator's screen.
fn shorten(text: &str) -> String {
    const LONGEST_SHOWN: usize = 40;
    if text.chars().count() <= LONGEST_SHOWN {
        return text.trim().to_string();
    }
    let start: String = text.chars().take(LONGEST_SHOWN).collect();
    format!("{start}...")
}

/// Returns ` (did you mean ...?)` when a known name is near, else nothing.
pub(crate) fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    const MOST_EDITS: usize = 2;
    let scored = known.map(|name| (edits(word, name), name));
    let mut hint = String::new();
    if let Some((_, name)) = scored.filter(|(n, _)| *n <= MOST_EDITS).min() {
        // Writing to a string does not fail.
        let _ = write!(hint, " (did you mean `{name}`?)");
    }
    hint
}

/// Returns the Levenshtein distance of two short words.
fn edits(one: &str, other: &str) -> usize {
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
