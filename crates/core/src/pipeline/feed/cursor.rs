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
    /// The page ends at or before the key after which it was to begin.
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

/// Where a read of a part of the store's keys goes on.
///
/// The store tells the keys of a prefix in order, page by page. Each page must end after the one before: a
/// store that misunderstands where the next page is to begin would be read for ever otherwise.
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
}

impl<'a> Cursor<'a> {
    /// Returns the beginning of a read.
    #[must_use]
    pub fn new(part: Part<'a>) -> Self {
        Self { part, after: None }
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
        if let Some(after) = self.after.as_ref().filter(|after| last <= after.as_str()) {
            return Err(Error::Back {
                after: after.clone(),
                last: last.into(),
            });
        }
        self.after = Some(last.into());
        // A key is the first of those that begin with it.
        Ok(matches!(self.part, Part::Prefix(_)))
    }
}
