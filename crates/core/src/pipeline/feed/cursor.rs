//! Where a read of the store's keys goes on after each of its pages.

use std::fmt;

/// Keys that are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part<'a> {
    /// One key.
    Key(&'a str),
    /// All keys with a prefix.
    Prefix(&'a str),
}

impl<'a> Part<'a> {
    /// Returns whether a key is of this part.
    #[must_use]
    pub fn contains(self, key: &str) -> bool {
        match self {
            Self::Key(own) => key == own,
            Self::Prefix(prefix) => key.starts_with(prefix),
        }
    }

    fn first(self) -> &'a str {
        match self {
            Self::Key(text) | Self::Prefix(text) => text,
        }
    }

    /// Returns whether no key of this part comes after `key`.
    fn is_passed(self, key: &str) -> bool {
        match self {
            Self::Key(own) => key >= own,
            Self::Prefix(prefix) => key > prefix && !key.starts_with(prefix),
        }
    }
}

/// An order of keys.
///
/// The store does not name its own. All agree on ASCII, with which the needed keys begin; beyond it, the
/// order of bytes is not that of the units of UTF-16, by which some languages compare texts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Order {
    Bytes,
    Units,
}

impl Order {
    fn is_after(self, key: &str, other: &str) -> bool {
        match self {
            Self::Bytes => key > other,
            Self::Units => key.encode_utf16().gt(other.encode_utf16()),
        }
    }
}

/// A page that the read cannot go on after.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The page has no keys, and others are to follow.
    Empty,
    /// The page ends at or before the key after which it was to begin, in any order of keys.
    Back {
        /// The key after which it was to begin.
        after: String,
        /// Its last key.
        last: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a page without keys, and more to follow"),
            Self::Back { after, last } => write!(f, "a page after {after} that ends at {last}"),
        }
    }
}

impl std::error::Error for Error {}

/// Where a read of the store's keys goes on.
///
/// The store tells keys in an order of its own, page by page, and others may have any number of keys of
/// any size in
/// it. A read that takes them all is as long as they are many: so it goes on at the next key that is
/// needed. Each page must end after the one before; a store that misunderstands where the next page is to
/// begin would be read for ever otherwise.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::feed::cursor::Cursor;
/// # use jujube_core::pipeline::feed::cursor::Part;
/// let mut cursor = Cursor::new(&[Part::Prefix("b/"), Part::Key("x/y")]);
/// assert_eq!(cursor.after(), "b.~");
/// // The page ends among other keys: the read goes on at the next part.
/// assert_eq!(cursor.advance(Some("c/1"), true), Ok(true));
/// assert_eq!(cursor.after(), "x/x~");
/// // It ends after the last part.
/// assert_eq!(cursor.advance(Some("x/z"), true), Ok(false));
/// ```
#[derive(Clone, Debug)]
pub struct Cursor<'a> {
    parts: Vec<Part<'a>>,
    after: String,
    /// The orders in which all pages so far went on.
    orders: Vec<Order>,
}

impl<'a> Cursor<'a> {
    /// Returns the beginning of a read of some parts.
    #[must_use]
    pub fn new(parts: &[Part<'a>]) -> Self {
        let mut parts = parts.to_vec();
        parts.sort_by_key(|part| part.first());
        let after = parts
            .first()
            .map_or_else(String::new, |part| before(part.first()));
        let orders = vec![Order::Bytes, Order::Units];
        Self {
            parts,
            after,
            orders,
        }
    }

    /// Returns the key after which the next page is to begin.
    #[must_use]
    pub fn after(&self) -> &str {
        &self.after
    }

    /// Goes on after a page, given its last key and whether more pages follow; returns whether another
    /// one is to be read.
    ///
    /// # Errors
    ///
    /// The next page cannot be told from those before.
    pub fn advance(&mut self, last: Option<&str>, has_more: bool) -> Result<bool, Error> {
        if !has_more {
            return Ok(false);
        }
        let last = last.ok_or(Error::Empty)?;
        self.orders
            .retain(|order| order.is_after(last, &self.after));
        if self.orders.is_empty() {
            return Err(Error::Back {
                after: self.after.clone(),
                last: last.into(),
            });
        }
        let Some(next) = self.parts.iter().find(|part| !part.is_passed(last)) else {
            return Ok(false);
        };
        self.after = before(next.first()).max(last.into());
        Ok(true)
    }
}

/// Returns a text that comes before a key, and after nearly all keys that do so.
fn before(key: &str) -> String {
    /// The last printable character of ASCII.
    const LAST: char = '~';
    let mut text = key.to_string();
    let previous = text
        .pop()
        .and_then(|last| char::from_u32(u32::from(last).wrapping_sub(1)));
    text.extend(previous);
    if previous.is_some() {
        text.push(LAST);
    }
    text
}
