//! Signatures of the author and the reviewer of a bundle.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// The SHA-256 digest of a text, in hex.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub String);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Digest {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match hex::decode(text) {
            Ok(bytes) if bytes.len() == 32 => Ok(Self(text.to_ascii_lowercase())),
            _ => Err("expected 64 hex digits"),
        }
    }
}

/// Returns the digest of a text.
///
/// # Examples
///
/// ```
/// # use jujube_core::bundle::digest;
/// assert_eq!(digest("").to_string().len(), 64);
/// ```
#[must_use]
pub fn digest(text: &str) -> Digest {
    digest_bytes(text.as_bytes())
}

/// Returns the digest of arbitrary bytes.
#[must_use]
pub fn digest_bytes(bytes: &[u8]) -> Digest {
    Digest(hex::encode(Sha256::digest(bytes)))
}

/// One person's signature.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Signature {
    /// The public key, in hex.
    pub key: String,
    /// The signature over the digest, in hex.
    pub signature: String,
}

/// The text of a bundle with its signatures.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Signed {
    /// The INI text.
    pub text: Arc<str>,
    /// The signatures over the digest of the text.
    pub signatures: Vec<Signature>,
}

/// The keys that a process trusts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Trust {
    /// The public keys of authors and reviewers, in hex.
    pub keys: BTreeSet<Arc<str>>,
}

/// Why signatures were rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SignatureError {
    /// The key is not configured as trusted.
    #[error("key {0} is not among the trusted keys")]
    Untrusted(String),
    /// The signature does not match the text.
    #[error("the signature by key {0} does not match this text")]
    Mismatch(String),
    /// Fewer than two people signed.
    #[error("signed by {0} of the 2 different people required")]
    TooFew(usize),
}

/// Signs a digest.
///
/// # Examples
///
/// ```
/// # use jujube_core::bundle::digest;
/// # use jujube_core::bundle::sign;
/// let signature = sign(&[7; 32], &digest("text"));
/// assert_eq!(signature.key.len(), 64);
/// ```
#[must_use]
pub fn sign(secret: &[u8; 32], digest: &Digest) -> Signature {
    let key = SigningKey::from_bytes(secret);
    Signature {
        key: hex::encode(key.verifying_key().to_bytes()),
        signature: hex::encode(key.sign(digest.0.as_bytes()).to_bytes()),
    }
}

impl Trust {
    /// Verifies a signature of a digest.
    ///
    /// # Errors
    ///
    /// Returns an error when the key is not trusted or the signature does not match.
    pub fn verify(&self, digest: &Digest, signature: &Signature) -> Result<(), SignatureError> {
        if !self.keys.contains(signature.key.as_str()) {
            return Err(SignatureError::Untrusted(signature.key.clone()));
        }
        let mismatch = || SignatureError::Mismatch(signature.key.clone());
        let key = decode::<32>(&signature.key).ok_or_else(mismatch)?;
        let bytes = decode::<64>(&signature.signature).ok_or_else(mismatch)?;
        let key = VerifyingKey::from_bytes(&key).map_err(|_| mismatch())?;
        let signature = ed25519_dalek::Signature::from_bytes(&bytes);
        key.verify_strict(digest.0.as_bytes(), &signature)
            .map_err(|_| mismatch())
    }

    /// Checks that two different trusted people signed a bundle, and returns its digest.
    ///
    /// # Errors
    ///
    /// Returns an error when any signature is invalid or fewer than two people signed. Signatures
    /// with the same key count once.
    pub fn accept(&self, signed: &Signed) -> Result<Digest, SignatureError> {
        const MIN_SIGNERS: usize = 2;
        let digest = digest(&signed.text);
        let mut signers = BTreeSet::new();
        for signature in &signed.signatures {
            self.verify(&digest, signature)?;
            signers.insert(signature.key.as_str());
        }
        if signers.len() < MIN_SIGNERS {
            return Err(SignatureError::TooFew(signers.len()));
        }
        Ok(digest)
    }
}

fn decode<const N: usize>(text: &str) -> Option<[u8; N]> {
    hex::decode(text).ok()?.try_into().ok()
}
