//! Digests of requests and of parts of prompts, which are the same wherever these come again.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use sha2::Digest as _;
use sha2::Sha256;

/// Set in the digests of parts of prompts, so that both kinds travel in one list.
const PART_BIT: u64 = 1 << 63;

/// What a digest stands for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A whole request.
    Request,
    /// A part that prompts share.
    Part,
}

/// The value of `kind=` in logs.
impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Request => "request",
            Self::Part => "part",
        })
    }
}

/// A digest of what a caller asks for: its method, URI, customer and body, but not its identifier;
/// or of a part of prompts.
///
/// The digest is the same at all entries and in all versions. It is cryptographic, so that no
/// customer can craft a request with the digest of another customer's.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::digest::Digest;
/// let digest = Digest::of([b"POST".as_slice(), b"/write/7", b"crew", b"body"]);
/// assert_eq!(digest, Digest::of([b"POST".as_slice(), b"/write/7", b"crew", b"body"]));
/// assert_ne!(digest, Digest::of([b"POST".as_slice(), b"/write/", b"7crew", b"body"]));
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub u64);

impl Digest {
    /// Returns the digest of a request's fields; each field's length is included.
    pub fn of<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        Self(hash(fields) & !PART_BIT)
    }

    /// Returns the digest of a request with some fields and a body that is kept in blocks: that of
    /// [`Digest::of`] with the whole body as the last field.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::digest::Digest;
    /// let digest = Digest::of_request([b"POST".as_slice()], [b"bo".as_slice(), b"dy"].into_iter());
    /// assert_eq!(digest, Digest::of([b"POST".as_slice(), b"body"]));
    /// ```
    pub fn of_request<'a>(
        fields: impl IntoIterator<Item = &'a [u8]>,
        body: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> Self {
        let mut hasher = Sha256::new();
        add_all(&mut hasher, fields);
        add(&mut hasher, body);
        Self(prefix(hasher) & !PART_BIT)
    }

    /// Returns the digest of a part of prompts, by its identifier.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::digest::Digest;
    /// # use jujube_core::pipeline::digest::Kind;
    /// assert_eq!(Digest::of_part("5c1e07a2").kind(), Kind::Part);
    /// assert_eq!(Digest::of([b"5c1e07a2".as_slice()]).kind(), Kind::Request);
    /// ```
    #[must_use]
    pub fn of_part(id: &str) -> Self {
        Self(hash([id.as_bytes()]) | PART_BIT)
    }

    /// Returns what the digest stands for.
    #[must_use]
    pub fn kind(self) -> Kind {
        match self.0 & PART_BIT {
            0 => Kind::Request,
            _ => Kind::Part,
        }
    }
}

/// Returns the first 64 bits of a hash of some fields and their lengths.
fn hash<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = Sha256::new();
    add_all(&mut hasher, fields);
    prefix(hasher)
}

fn add_all<'a>(hasher: &mut Sha256, fields: impl IntoIterator<Item = &'a [u8]>) {
    for field in fields {
        add(hasher, std::iter::once(field));
    }
}

/// Adds a field in blocks, with its length.
fn add<'a>(hasher: &mut Sha256, blocks: impl Iterator<Item = &'a [u8]> + Clone) {
    let size: u64 = blocks.clone().map(|block| block.len() as u64).sum();
    hasher.update(size.to_be_bytes());
    blocks.for_each(|block| hasher.update(block));
}

/// Returns the first 64 bits.
fn prefix(hasher: Sha256) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize()[..8]);
    u64::from_be_bytes(prefix)
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Digest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
