//! What a request has in common with others that may crash servers.

use std::fmt;
use std::sync::Arc;

use crate::pipeline::digest::Digest;
use crate::word::Fields;

/// The most parts of a prompt that are looked at, the first ones; callers send some two to four.
pub const MAX_PARTS: usize = 64;

/// What a request may share with others: all that it asks for, or parts of its prompt.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::digest::Digest;
/// # use jujube_core::pipeline::quarantine::features::Features;
/// let features = Features::new(Digest(7), ["5c1e07a2", "91bd3f06", "5c1e07a2"]);
/// assert_eq!(features.parts(), [Digest::of_part("5c1e07a2"), Digest::of_part("91bd3f06")]);
/// assert_eq!(features.iter().count(), 3);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Features {
    /// The digest of the whole request.
    pub request: Digest,
    parts: Arc<[Digest]>,
}

impl Features {
    /// Creates the features of a request from its digest and the identifiers of the parts of its
    /// prompt that others may share. Of a part that comes twice, one counts.
    pub fn new<'a>(request: Digest, ids: impl IntoIterator<Item = &'a str>) -> Self {
        let mut parts: Vec<Digest> = Vec::new();
        for part in ids.into_iter().take(MAX_PARTS).map(Digest::of_part) {
            if !parts.contains(&part) {
                parts.push(part);
            }
        }
        Self {
            request,
            parts: parts.into(),
        }
    }

    /// Returns the digests of the parts.
    #[must_use]
    pub fn parts(&self) -> &[Digest] {
        &self.parts
    }

    /// Returns all digests, that of the request first.
    pub fn iter(&self) -> impl Iterator<Item = Digest> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }
}

/// A request without a prompt.
impl From<Digest> for Features {
    fn from(request: Digest) -> Self {
        Self::new(request, [])
    }
}

impl Fields for Features {}

/// The digests for logs, that of the request first.
impl fmt::Display for Features {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "digest={} parts=", self.request)?;
        if self.parts.is_empty() {
            return f.write_str("-");
        }
        for (number, part) in self.parts.iter().enumerate() {
            let separator = if number == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
