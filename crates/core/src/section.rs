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

use crate::pipeline::key::Segment;
use crate::time::Span;
use crate::word::Fields;
use crate::word::Word;

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

/// A value that cannot be used, and what is used in its place.
///
/// # Examples
///
/// ```
/// # use jujube_core::section::Replacement;
/// let replacement = Replacement::new("store", "contact_ms", "not so", 3_000);
/// assert_eq!(replacement.to_string(), "key=store.contact_ms value=not-so used=3000");
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replacement {
    section: Arc<str>,
    key: Arc<str>,
    value: Arc<str>,
    used: Arc<str>,
}

impl Replacement {
    /// Returns the replacement of a value by another one.
    pub fn new(section: &str, key: &str, value: &str, used: impl fmt::Display) -> Self {
        Self {
            section: section.into(),
            key: key.into(),
            value: word(value),
            used: word(&used.to_string()),
        }
    }

    /// Returns the replacement of the same value by another one.
    #[must_use]
    pub fn by(&self, used: &str) -> Self {
        Self {
            used: word(used),
            ..self.clone()
        }
    }

    /// Returns whether this is the value of a key.
    #[must_use]
    pub fn is_of(&self, section: &str, key: &str) -> bool {
        *self.section == *section && *self.key == *key
    }
}

impl fmt::Display for Replacement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            section,
            key,
            value,
            used,
        } = self;
        write!(f, "key={section}.{key} value={value} used={used}")
    }
}

impl Fields for Replacement {}

/// Returns a text as one short word of a log line.
fn word(text: &str) -> Arc<str> {
    const NOTHING: &str = "none";
    let text = shorten(text);
    if text.is_empty() {
        return NOTHING.into();
    }
    Word(text).to_string().into()
}

/// What is wrong in a section, and what the program can use in its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// What is wrong.
    pub fault: Fault,
    /// What is used instead; `None` if the program cannot do without the value.
    pub replacement: Option<Replacement>,
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
    // The library joins the next line to one that ends in a backslash, unless a return stands between.
    let text = text.replace("\\\n", "\\\r\n");
    Ini::load_from_str_opt(&text, options).map_err(|error| not_valid(&error))
}

fn not_valid(error: &ParseError) -> Fault {
    Fault::new("-", "-", format!("not valid INI: {error}"))
}

/// The longest time that can be set: a year.
const MAX_SPAN: Span = Span(365 * 24 * 3_600_000);

/// What an address looks like.
const EXPECTED_ADDRESS: &str = "an IP number and port, such as `127.0.0.1:7000`";

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
    findings: Vec<Finding>,
}

impl<'a> Reader<'a> {
    /// Returns a reader of one section.
    pub fn new(section: &'a str, properties: &'a Properties) -> Self {
        Self {
            section,
            properties,
            known: BTreeSet::new(),
            findings: Vec::new(),
        }
    }

    /// Records a fault of a key.
    pub fn fault(&mut self, key: &str, what: impl fmt::Display) {
        self.findings.push(Finding {
            fault: Fault::new(self.section, key, what),
            replacement: None,
        });
    }

    /// Records a fault of a key whose value the program can do without.
    fn replace(&mut self, key: &str, what: String, value: &str, used: impl fmt::Display) {
        self.findings.push(Finding {
            fault: Fault::new(self.section, key, what),
            replacement: Some(Replacement::new(self.section, key, value, used)),
        });
    }

    /// Returns the text of a key unless it is empty: a platform that fills in settings leaves empty what
    /// it has no value for.
    fn given(&mut self, key: &'static str) -> Option<&'a str> {
        self.known.insert(key);
        let texts: Vec<&str> = self.properties.get_all(key).collect();
        if texts.len() > 1 {
            self.fault(key, "duplicate key");
        }
        let text = texts.first().map(|text| text.trim());
        text.filter(|text| !text.is_empty())
    }

    /// Reads a value; the key is required when there is no default. An empty one counts as missing.
    pub fn value<T: FromStr + Default>(
        &mut self,
        key: &'static str,
        expected: &str,
        default: Option<T>,
    ) -> T {
        match (self.given(key), default) {
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

    /// Reads a number that may be a fraction; it is finite and not negative. The default replaces any
    /// other value.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::section::Reader;
    /// let ini = jujube_core::section::load_plain("ratio = true\n").unwrap();
    /// let mut reader = Reader::new("retry", ini.general_section());
    /// assert_eq!(reader.amount("ratio", "a number", 0.2), 0.2);
    /// let findings = reader.finish();
    /// assert!(findings[0].replacement.is_some());
    /// ```
    pub fn amount(&mut self, key: &'static str, expected: &str, default: f64) -> f64 {
        let Some(text) = self.given(key) else {
            return default;
        };
        if let Ok(Amount(number)) = text.parse() {
            return number;
        }
        let what = format!("`{}`: expected {expected}", shorten(text));
        self.replace(key, what, text, default);
        default
    }

    /// Reads a time in milliseconds; a part of a millisecond is dropped.
    pub fn millis(&mut self, key: &'static str, default: Span) -> Span {
        self.span(key, "a time in milliseconds", default, 1.0)
    }

    /// Reads a time in seconds; a part of a millisecond is dropped.
    pub fn seconds(&mut self, key: &'static str, default: Span) -> Span {
        self.span(key, "a time in seconds", default, 1_000.0)
    }

    /// Reads a time in units of some milliseconds; the default replaces one that is too long for sums of
    /// times.
    fn span(&mut self, key: &'static str, expected: &str, default: Span, unit: f64) -> Span {
        let usual = default.0 as f64 / unit;
        let amount = self.amount(key, expected, usual);
        if amount * unit > MAX_SPAN.0 as f64 {
            let what = format!("expected at most {} ms", MAX_SPAN.0);
            self.replace(key, what, &amount.to_string(), usual);
            return default;
        }
        Span((amount * unit) as u64)
    }

    /// Reads a text.
    pub fn text(&mut self, key: &'static str, expected: &str, default: Option<&str>) -> String {
        self.value(key, expected, default.map(str::to_string))
    }

    /// Reads a name; another one replaces a name that is missing, or that does not stand for itself in keys
    /// of the store.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::section::Reader;
    /// let ini = jujube_core::section::load_plain("name =\n").unwrap();
    /// let mut reader = Reader::new("entry", ini.general_section());
    /// assert_eq!(reader.name("name", "a name", "10.0.0.1"), "10.0.0.1");
    /// ```
    pub fn name(&mut self, key: &'static str, expected: &str, instead: &str) -> String {
        let Some(name) = self.given(key) else {
            self.replace(key, format!("missing: expected {expected}"), "", instead);
            return instead.to_string();
        };
        let used = Segment::from(name).to_string();
        if used != name {
            let shown = shorten(name);
            let what = format!("`{shown}`: expected {expected} that fits into a key");
            self.replace(key, what, name, &used);
        }
        used
    }

    /// Reads an IP address and port.
    pub fn address(&mut self, key: &'static str) -> SocketAddr {
        let expected = EXPECTED_ADDRESS;
        let text = self.text(key, expected, None);
        if text.is_empty() {
            return UNSPECIFIED;
        }
        text.trim().parse().unwrap_or_else(|_| {
            self.fault(key, format!("`{}`: expected {expected}", shorten(&text)));
            UNSPECIFIED
        })
    }

    /// Reads an IP address and port that the program works without; `None` if either is missing or wrong.
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
        let text = self.given(key)?;
        if text.starts_with(':') || text.ends_with(':') {
            return None;
        }
        let address = text.parse().ok();
        if address.is_none() {
            let what = format!("`{}`: expected {EXPECTED_ADDRESS}", shorten(text));
            self.replace(key, what, text, "none");
        }
        address
    }

    /// Reads a comma-separated list of names.
    pub fn list(&mut self, key: &'static str) -> BTreeSet<Arc<str>> {
        let text = self.text(key, "names, separated by commas", Some(""));
        let names = text.split(',').map(str::trim);
        names.filter(|n| !n.is_empty()).map(Arc::from).collect()
    }

    /// Returns all that is wrong, including unknown keys.
    pub fn finish(mut self) -> Vec<Finding> {
        let known = std::mem::take(&mut self.known);
        if known.is_empty() {
            return self.findings;
        }
        for (key, _) in self.properties.iter() {
            if known.contains(key) {
                continue;
            }
            let hint = suggest(key, known.iter().copied());
            self.fault(key, format!("unknown key{hint}"));
        }
        self.findings
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
