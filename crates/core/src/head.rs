//! The head: the record of which bundle is in force, ordered by generation.

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
    /// The number of an accepted configuration. It always increases, also with a roll-back.
    Generation;
}

/// The record that a roll-out or roll-back stores by compare-and-swap.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// One more than the generation of the previous head.
    pub generation: Generation,
    /// The digest of the bundle in force.
    pub bundle: String,
    /// The operator who made the change.
    pub operator: Arc<str>,
    /// The reason for the change.
    pub reason: Arc<str>,
    /// A random value by which the operator's tool recognizes its own record after a lost response.
    pub nonce: String,
    /// The time of the change in milliseconds since the Unix epoch, by the operator's clock; for
    /// information only.
    pub at: u64,
    /// The digest of the previous head, which makes the audit trail a hash chain.
    pub previous: String,
    /// The operator's signature over all other fields.
    pub signature: Option<Signature>,
}

/// A head with its bundle, as processes exchange it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The head.
    pub head: Head,
    /// The text of the bundle and its signatures.
    pub signed: Signed,
}

/// Why a configuration was rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The configuration is not newer than the one in force.
    #[error("generation {offered} is not newer than {in_force}, which is in force")]
    NotNewer {
        /// The generation that was offered.
        offered: Generation,
        /// The generation in force.
        in_force: Generation,
    },
    /// The head's signature is invalid.
    #[error("head: {0}")]
    Head(SignatureError),
    /// The head's signature is missing.
    #[error("head: not signed by an operator")]
    Unsigned,
    /// The bundle's signatures are missing or invalid.
    #[error("bundle: {0}")]
    Bundle(#[from] SignatureError),
    /// The head refers to another bundle.
    #[error("the head refers to bundle {0}, which is not the one offered")]
    Mismatch(String),
    /// The text of the bundle has faults.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Faults(Vec<Fault>),
}

impl Head {
    /// Returns the digest that the operator signs and that the next head contains.
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
        // Length prefixes prevent two different records from having the same digest.
        let framed: Vec<String> = fields.iter().map(|f| format!("{}:{f}", f.len())).collect();
        bundle::digest(&framed.join(","))
    }

    /// Returns the head with a signature.
    #[must_use]
    pub fn signed(mut self, secret: &[u8; 32]) -> Self {
        self.signature = Some(bundle::sign(secret, &self.digest()));
        self
    }
}

/// Validates a configuration and returns the bundle to apply.
///
/// Peers exchange configurations directly while the key-value service is unavailable, so an older
/// one may arrive long after a newer one, for example from a process that was paused. Every
/// configuration passes through this function, which rejects it unless its generation is newer.
///
/// # Errors
///
/// Returns an error when the configuration is not newer, lacks valid signatures or has faults.
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
