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

impl Part<'_> {
    /// Returns whether a key is of this part.
    #[must_use]
    pub fn contains(self, key: &str) -> bool {
        match self {
            Self::Key(own) => key == own,
            Self::Prefix(prefix) => key.starts_with(prefix),
        }
    }
}

/// A page that the read cannot go on after.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The page has no keys, and others are to follow.
    Empty,
    /// The page ends at a key at which an earlier page ended.
    Again(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a page without keys, and more to follow"),
            Self::Again(last) => write!(f, "a second page that ends at {last}"),
        }
    }
}

impl std::error::Error for Error {}

/// Where a read of a part of the store's keys goes on.
///
/// The store tells the keys of a prefix in an order of its own, page by page. No two pages may end at the
/// same key: a store that misunderstands where the next page is to begin would be read for ever otherwise.
/// What is remembered does not grow with the pages: one earlier end, taken ever more rarely, is met again
/// by any sequence that repeats itself.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::feed::cursor::Cursor;
/// # use jujube_core::pipeline::feed::cursor::Part;
/// let mut cursor = Cursor::new(Part::Prefix("servers/"));
/// assert_eq!((cursor.prefix(), cursor.after()), ("servers/", None));
/// assert_eq!(cursor.advance(Some("servers/b"), true), Ok(true));
/// assert_eq!(cursor.after(), Some("servers/b"));
/// assert!(cursor.advance(Some("servers/b"), true).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct Cursor<'a> {
    part: Part<'a>,
    after: Option<String>,
    /// An end of an earlier page.
    remembered: Option<String>,
    pages: u64,
}

impl<'a> Cursor<'a> {
    /// Returns the beginning of a read.
    #[must_use]
    pub fn new(part: Part<'a>) -> Self {
        Self {
            part,
            after: None,
            remembered: None,
            pages: 0,
        }
    }

    /// Returns the prefix of the keys to ask for.
    #[must_use]
    pub fn prefix(&self) -> &'a str {
        match self.part {
            Part::Key(text) | Part::Prefix(text) => text,
        }
    }

    /// Returns the key after which the next page is to begin; `None` for the first page.
    #[must_use]
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
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
        if [&self.after, &self.remembered]
            .into_iter()
            .flatten()
            .any(|earlier| earlier == last)
        {
            return Err(Error::Again(last.into()));
        }
        self.pages += 1;
        if self.pages.is_power_of_two() {
            self.remembered = Some(last.into());
        }
        self.after = Some(last.into());
        // A key is the first of those that begin with it.
        Ok(matches!(self.part, Part::Prefix(_)))
    }
}
