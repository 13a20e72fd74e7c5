//! Digests of requests, which are the same whenever a caller sends the same request again.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use sha2::Digest as _;
use sha2::Sha256;

/// A digest of what a caller asks for: its method, URI, customer and body, but not its identifier.
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
    /// Returns the digest of a request's parts; each part's length is included.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize()[..8]);
        Self(u64::from_be_bytes(prefix))
    }
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
