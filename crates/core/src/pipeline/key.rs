//! The keys that entries write to the store.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use sha2::Digest as _;
use sha2::Sha256;

use crate::name::Service;

use super::digest::Digest;
use super::era::Era;
use super::reserve::Piece;

/// The prefix of all keys that entries write.
pub const ALL: &str = "jujube/";
/// The prefix of the keys under which entries announce their addresses.
pub const ANNOUNCEMENTS: &str = "jujube/entries/";
/// The prefix of the keys of pieces of the slack.
pub const PIECES: &str = "jujube/slack/";
/// The prefix of the keys of requests in quarantine.
pub const QUARANTINE: &str = "jujube/quarantine/";
/// The prefix of the keys that mark eras.
pub const ERAS: &str = "jujube/era/";
/// The suffix of the key that accompanies a mark while pieces held in an earlier era may still be
/// in use.
const SETTLING_SUFFIX: &str = "/settling";

/// The most bytes of a name in a key. Stores take keys of 200 bytes, and the rest of a key has up to 34.
const MAX_SEGMENT_BYTES: usize = 160;
/// What a segment begins with that stands for a name by its digest.
const DIGEST_SIGN: char = '~';
/// The hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 64;

/// Others' text as a part of a key.
///
/// A usual name stands for itself. A long one, which the store would not take, is replaced by its digest;
/// so is one that reads like a digest, so that no two names are one segment.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::key::Segment;
/// assert_eq!(Segment::from("desk/7").to_string(), "desk/7");
/// assert!(Segment::from("x".repeat(2_000).as_str()).to_string().starts_with('~'));
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Segment(Arc<str>);

impl Segment {
    /// Returns the text that stands in keys.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_plain(text: &str) -> bool {
    text.len() <= MAX_SEGMENT_BYTES && !text.starts_with(DIGEST_SIGN)
}

fn is_digest(text: &str) -> bool {
    let digits = text.strip_prefix(DIGEST_SIGN);
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    digits.is_some_and(|digits| digits.len() == DIGEST_DIGITS && digits.bytes().all(is_digit))
}

impl From<&Arc<str>> for Segment {
    fn from(text: &Arc<str>) -> Self {
        match is_plain(text) {
            true => Self(text.clone()),
            false => Self(format!("{DIGEST_SIGN}{}", hex::encode(Sha256::digest(&**text))).into()),
        }
    }
}

impl From<&str> for Segment {
    fn from(text: &str) -> Self {
        Self::from(&Arc::from(text))
    }
}

impl From<&Service> for Segment {
    fn from(service: &Service) -> Self {
        Self::from(&service.0)
    }
}

impl fmt::Display for Segment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Reads a segment as it stands in a key.
impl FromStr for Segment {
    type Err = Foreign;

    fn from_str(text: &str) -> Result<Self, Foreign> {
        match is_plain(text) || is_digest(text) {
            true => Ok(Self(text.into())),
            false => Err(Foreign),
        }
    }
}

/// A key that no entry writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Foreign;

impl fmt::Display for Foreign {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a key of entries")
    }
}

impl std::error::Error for Foreign {}

/// A key that entries write.
///
/// Only the very text that a key is written as is read as that key: another writer's `desk/03` is not
/// piece 3 of `desk`.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::key::Key;
/// # use jujube_core::pipeline::reserve::Piece;
/// let key = Key::Piece("desk".into(), Piece(3));
/// assert_eq!(key.to_string(), "jujube/slack/desk/3");
/// assert_eq!("jujube/slack/desk/3".parse(), Ok(key));
/// assert!("jujube/slack/desk/03".parse::<Key>().is_err());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Key {
    /// The announcement of the entry with a name.
    Announcement(Segment),
    /// A piece of a service's slack.
    Piece(Segment, Piece),
    /// A request or a part of prompts in quarantine.
    Quarantine(Digest),
    /// The mark of an era.
    Mark(Era),
    /// What accompanies a mark while pieces held in an earlier era may still be in use.
    Settling(Era),
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Announcement(entry) => write!(f, "{ANNOUNCEMENTS}{entry}"),
            Self::Piece(service, piece) => write!(f, "{PIECES}{service}/{piece}"),
            Self::Quarantine(digest) => write!(f, "{QUARANTINE}{digest}"),
            Self::Mark(era) => write!(f, "{ERAS}{era}"),
            Self::Settling(era) => write!(f, "{ERAS}{era}{SETTLING_SUFFIX}"),
        }
    }
}

impl FromStr for Key {
    type Err = Foreign;

    fn from_str(text: &str) -> Result<Self, Foreign> {
        let key = read(text).ok_or(Foreign)?;
        match key.to_string() == text {
            true => Ok(key),
            false => Err(Foreign),
        }
    }
}

/// Reads a key that may be written in another way.
fn read(text: &str) -> Option<Key> {
    if let Some(entry) = text.strip_prefix(ANNOUNCEMENTS) {
        return Some(Key::Announcement(entry.parse().ok()?));
    }
    if let Some(rest) = text.strip_prefix(PIECES) {
        let (service, piece) = rest.rsplit_once('/')?;
        return Some(Key::Piece(service.parse().ok()?, piece.parse().ok()?));
    }
    if let Some(digest) = text.strip_prefix(QUARANTINE) {
        return Some(Key::Quarantine(digest.parse().ok()?));
    }
    let era = text.strip_prefix(ERAS)?;
    Some(match era.strip_suffix(SETTLING_SUFFIX) {
        Some(era) => Key::Settling(era.parse().ok()?),
        None => Key::Mark(era.parse().ok()?),
    })
}
