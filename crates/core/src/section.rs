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
use ini::ParseError;
use ini::ParseOption;
use ini::Properties;

use crate::time::Span;

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
    Ini::load_from_str_noescape(text).map_err(|error| not_valid(&error))
}

/// Parses INI text in which a quote is a part of its value.
///
/// The platform fills in names as they are, and one that begins with a quote would take in the lines after
/// it.
///
/// # Errors
///
/// Returns a fault when the text is not valid INI.
///
/// # Examples
///
/// ```
/// # use jujube_core::section::load_plain;
/// let ini = load_plain("[entry]\nname = \"front\nzone = 'a\n").unwrap();
/// assert_eq!(ini.get_from(Some("entry"), "name"), Some("\"front"));
/// assert_eq!(ini.get_from(Some("entry"), "zone"), Some("'a"));
/// ```
pub fn load_plain(text: &str) -> Result<Ini, Fault> {
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(text, options).map_err(|error| not_valid(&error))
}

fn not_valid(error: &ParseError) -> Fault {
    Fault::new("-", "-", format!("not valid INI: {error}"))
}

/// The longest time that can be set: a year.
const MAX_SPAN: Span = Span(365 * 24 * 3_600_000);

/// The placeholder for an invalid address.
const UNSPECIFIED: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// A number that is finite and not negative.
///
/// # Examples
///
/// ```
/// # use jujube_core::section::Amount;
/// assert_eq!("2.5".parse(), Ok(Amount(2.5)));
/// assert!("-1".parse::<Amount>().is_err());
/// assert!("nan".parse::<Amount>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amount(pub f64);

/// A text is no number, or one that is negative or not finite.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("neither zero nor a positive number")]
pub struct NoAmount;

impl FromStr for Amount {
    type Err = NoAmount;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: f64 = text.parse().map_err(|_| NoAmount)?;
        let is_valid = number.is_finite() && number >= 0.0;
        is_valid.then_some(Self(number)).ok_or(NoAmount)
    }
}

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

    /// Reads a value; the key is required when there is no default. An empty one counts as missing
    /// then: a platform that fills in settings leaves empty what it has no value for.
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
        let text = texts.first().map(|text| text.trim());
        match (text.filter(|text| !text.is_empty()), default) {
            (Some(text), _) => match text.parse() {
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

    /// Reads a number that may be a fraction; it is finite and not negative.
    pub fn amount(&mut self, key: &'static str, expected: &str, default: f64) -> f64 {
        self.value(key, expected, Some(Amount(default))).0
    }

    /// Reads a time in milliseconds; a part of a millisecond is dropped.
    pub fn millis(&mut self, key: &'static str, default: Span) -> Span {
        let millis = self.amount(key, "a time in milliseconds", default.0 as f64);
        self.span(key, millis)
    }

    /// Reads a time in seconds; a part of a millisecond is dropped.
    pub fn seconds(&mut self, key: &'static str, default: Span) -> Span {
        let seconds = self.amount(key, "a time in seconds", default.0 as f64 / 1_000.0);
        self.span(key, seconds * 1_000.0)
    }

    /// Returns a time; one that is too long for sums of times is a fault.
    fn span(&mut self, key: &str, millis: f64) -> Span {
        if millis > MAX_SPAN.0 as f64 {
            self.fault(key, format!("expected at most {} ms", MAX_SPAN.0));
            return Span::default();
        }
        Span(millis as u64)
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

    /// Reads an IP address and port that the program works without; `None` if either is missing.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::section::Reader;
    /// let ini = jujube_core::section::load_plain("metrics = :9464\n").unwrap();
    /// let mut reader = Reader::new("entry", ini.general_section());
    /// assert_eq!(reader.optional_address("metrics"), None);
    /// ```
    pub fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let text = self.properties.get(key).unwrap_or_default().trim();
        let is_part = text.is_empty() || text.starts_with(':') || text.ends_with(':');
        if is_part {
            self.known.insert(key);
            return None;
        }
        Some(self.address(key))
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
