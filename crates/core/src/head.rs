//! The head: which bundle is in force, in one order that only grows.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::bundle;
use crate::bundle::Bundle;
use crate::bundle::Digest;
use crate::bundle::Fault;
use crate::bundle::Signature;
use crate::bundle::SignatureError;
use crate::bundle::Signed;
use crate::bundle::Trust;
use crate::number::numbers;

numbers! {
    /// The number of an accepted configuration; it only grows, a roll-back included.
    Generation;
}

/// The record that a roll-out or roll-back swaps in.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// One more than the head before.
    pub generation: Generation,
    /// The digest of the bundle in force.
    pub bundle: String,
    /// Who did it.
    pub operator: Arc<str>,
    /// Why.
    pub reason: Arc<str>,
    /// Drawn for this swap: after a lost answer the operator's tool knows its own record by it.
    pub nonce: String,
    /// When, in milliseconds of the Unix epoch, by the operator's clock; for people only.
    pub at: u64,
    /// The digest of the record before: the audit trail is a chain.
    pub previous: String,
    /// The operator's signature over all of the above.
    pub signature: Option<Signature>,
}

/// A head with the bundle that it names: what processes pass to each other.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Which one.
    pub head: Head,
    /// The text and its signatures.
    pub signed: Signed,
}

/// Why a configuration was not taken.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// Not newer than what is in force.
    #[error("generation {offered} is not newer than {in_force}, which is in force")]
    NotNewer {
        /// What came.
        offered: Generation,
        /// What stays.
        in_force: Generation,
    },
    /// The head's signature is missing or bad.
    #[error("head: {0}")]
    Head(SignatureError),
    /// The head's signature is missing.
    #[error("head: not signed by an operator")]
    Unsigned,
    /// The bundle's signatures are missing or bad.
    #[error("bundle: {0}")]
    Bundle(#[from] SignatureError),
    /// The head names another bundle.
    #[error("the head names bundle {0}, this one is another")]
    Mismatch(String),
    /// The text does not hold.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Faults(Vec<Fault>),
}

impl Head {
    /// Returns the digest that the operator signs and the next head refers to.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::head::Head;
    /// let head = Head::default();
    /// let next = Head { previous: head.digest().to_string(), ..Head::default() };
    /// assert_ne!(head.digest(), next.digest());
    /// ```
    #[must_use]
    pub fn digest(&self) -> Digest {
        let fields = [
            self.generation.to_string(),
            self.bundle.clone(),
            self.operator.to_string(),
            self.reason.to_string(),
            self.nonce.clone(),
            self.at.to_string(),
            self.previous.clone(),
        ];
        // Lengths in front keep two different records from giving the same text.
        let framed: Vec<String> = fields.iter().map(|f| format!("{}:{f}", f.len())).collect();
        bundle::digest(&framed.join(","))
    }

    /// Returns the same head, signed.
    #[must_use]
    pub fn signed(mut self, secret: &[u8; 32]) -> Self {
        self.signature = Some(bundle::sign(secret, &self.digest()));
        self
    }
}

/// Checks a configuration against what is in force and returns the bundle to apply.
///
/// Peers pass configurations on while the key-value service is away, so an older one may arrive
/// long after a newer one: a process that woke from a pause offers what it slept on. Comparing the
/// generation here, in the one place through which every configuration comes in, is enough.
///
/// # Errors
///
/// It is not newer, not signed as it must be, or does not hold.
pub fn accept(in_force: Generation, config: &Config, trust: &Trust) -> Result<Bundle, ConfigError> {
    let offered = config.head.generation;
    if offered <= in_force {
        return Err(ConfigError::NotNewer { offered, in_force });
    }
    let signature = config
        .head
        .signature
        .as_ref()
        .ok_or(ConfigError::Unsigned)?;
    let head = config.head.digest();
    trust.verify(&head, signature).map_err(ConfigError::Head)?;
    let digest = trust.accept(&config.signed)?;
    if digest.0 != config.head.bundle {
        return Err(ConfigError::Mismatch(config.head.bundle.clone()));
    }
    let bundle = bundle::parse(&config.signed.text).map_err(ConfigError::Faults)?;
    let faults = bundle::check(&bundle);
    if !faults.is_empty() {
        return Err(ConfigError::Faults(faults));
    }
    Ok(bundle)
}
