//! Keys and signatures in files.

use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use ed25519_dalek::SigningKey;
use jujube_core::bundle;
use jujube_core::bundle::Signature;
use jujube_core::bundle::Signed;

/// A secret key.
pub type Secret = [u8; 32];

/// Draws a secret key and returns it with its public key in hex.
///
/// # Examples
///
/// ```
/// let (_secret, public) = jujube_ctl::keys::generate();
/// assert_eq!(public.len(), 64);
/// ```
#[must_use]
pub fn generate() -> (Secret, String) {
    let secret: Secret = rand::random();
    (secret, public(&secret))
}

/// Returns a secret key's public key in hex.
#[must_use]
pub fn public(secret: &Secret) -> String {
    hex::encode(SigningKey::from_bytes(secret).verifying_key().to_bytes())
}

/// Writes a new secret key that only its owner may read, and returns the public key.
///
/// # Errors
///
/// The file exists already or cannot be written.
pub fn create(path: &Path) -> Result<String> {
    const OWNER_ONLY: u32 = 0o600;
    let (secret, public) = generate();
    let file = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(OWNER_ONLY)
        .open(path);
    let mut file = file.with_context(|| path.display().to_string())?;
    writeln!(file, "{}", hex::encode(secret))?;
    Ok(public)
}

/// Reads a secret key.
///
/// # Errors
///
/// The file cannot be read or holds something else.
pub fn read(path: &Path) -> Result<Secret> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let bytes = hex::decode(text.trim()).ok();
    let secret = bytes.and_then(|bytes| bytes.try_into().ok());
    secret.with_context(|| format!("{}: expected 64 hex digits", path.display()))
}

fn signatures_of(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".signatures");
    name.into()
}

/// Adds a signature to those beside a bundle.
///
/// # Errors
///
/// A file cannot be read or written, or this key has signed already.
pub fn sign(bundle: &Path, secret: &Secret) -> Result<()> {
    let mut signed = load(bundle)?;
    let signature = bundle::sign(secret, &bundle::digest(&signed.text));
    if signed
        .signatures
        .iter()
        .any(|other| other.key == signature.key)
    {
        bail!(
            "key {} has signed already; another person must review",
            signature.key
        );
    }
    signed.signatures.push(signature);
    let text = serde_json::to_string_pretty(&signed.signatures)?;
    std::fs::write(signatures_of(bundle), text)?;
    Ok(())
}

/// Reads a bundle with the signatures that fit its present text.
///
/// # Errors
///
/// A file cannot be read.
pub fn load(bundle: &Path) -> Result<Signed> {
    let bytes = std::fs::read(bundle).with_context(|| bundle.display().to_string())?;
    let text = String::from_utf8(bytes);
    let text = text.with_context(|| format!("{}: expected UTF-8 text", bundle.display()))?;
    let beside = signatures_of(bundle);
    let signatures: Vec<Signature> = match std::fs::read_to_string(&beside) {
        Ok(json) => serde_json::from_str(&json).with_context(|| beside.display().to_string())?,
        Err(_) => Vec::new(),
    };
    let text = text.into();
    Ok(Signed { text, signatures })
}
