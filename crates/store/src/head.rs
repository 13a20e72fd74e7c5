//! Heads, bundles and the audit trail in the key-value service.

use jujube_core::bundle::Signed;
use jujube_core::head::Config;
use jujube_core::head::Generation;
use jujube_core::head::Head;

use crate::kv::Condition;
use crate::kv::Error;
use crate::kv::Pair;
use crate::kv::Revision;
use crate::kv::Store;
use crate::kv::Write;

/// The key of the head.
pub const HEAD: &str = "jujube/head";
/// The prefix of the audit trail; the generation follows, in 20 digits.
pub const AUDIT: &str = "jujube/audit/";
/// The prefix of bundles; the digest follows.
pub const BUNDLE: &str = "jujube/bundle/";

/// What came of a swap of the head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swapped {
    /// The new head is in force.
    Won,
    /// Somebody else's head is.
    Lost(Head),
}

fn malformed(error: &serde_json::Error) -> Error {
    Error::Unknown(format!("a malformed value: {error}"))
}

fn parse<T: serde::de::DeserializeOwned>(pair: &Pair) -> Result<T, Error> {
    serde_json::from_str(&pair.value).map_err(|error| malformed(&error))
}

/// Reads the head with the revision of its key.
///
/// # Errors
///
/// The service gives no answer, or the value is malformed.
pub async fn read(store: &impl Store) -> Result<Option<(Head, Revision)>, Error> {
    let Some(pair) = store.get(HEAD).await? else {
        return Ok(None);
    };
    Ok(Some((parse(&pair)?, pair.revision)))
}

/// Reads the bundle of a digest.
///
/// # Errors
///
/// As [`read`].
pub async fn bundle(store: &impl Store, digest: &str) -> Result<Option<Signed>, Error> {
    let pair = store.get(&format!("{BUNDLE}{digest}")).await?;
    pair.as_ref().map(parse).transpose()
}

/// Reads the head with its bundle.
///
/// # Errors
///
/// As [`read`].
pub async fn config(store: &impl Store) -> Result<Option<(Config, Revision)>, Error> {
    let Some((head, revision)) = read(store).await? else {
        return Ok(None);
    };
    let Some(signed) = bundle(store, &head.bundle).await? else {
        return Ok(None);
    };
    Ok(Some((Config { head, signed }, revision)))
}

/// Reads the audit trail, oldest first.
///
/// # Errors
///
/// As [`read`].
pub async fn audit(store: &impl Store) -> Result<Vec<Head>, Error> {
    let pairs = store.list(AUDIT).await?;
    pairs.iter().map(parse).collect()
}

/// Swaps in a head, with its bundle and its line of the audit trail, in one transaction.
///
/// An answer that is lost after the swap took effect would have the operator try again and find
/// "somebody else" in the way. The head is read back instead, and the nonce tells whose it is.
///
/// # Errors
///
/// The service gives no answer to the swap and to reading back.
pub async fn swap(
    store: &impl Store,
    before: Option<&(Head, Revision)>,
    config: &Config,
) -> Result<Swapped, Error> {
    let head = &config.head;
    let revision = before.map_or(Revision(0), |(_, revision)| *revision);
    let condition = Condition {
        key: HEAD.into(),
        revision,
    };
    let write = |key: String, value: String| Write::Put {
        key,
        value,
        lease: None,
    };
    let text = serde_json::to_string(head).map_err(|e| malformed(&e))?;
    let signed = serde_json::to_string(&config.signed).map_err(|e| malformed(&e))?;
    let writes = [
        write(HEAD.into(), text.clone()),
        write(audit_key(head.generation), text),
        write(format!("{BUNDLE}{}", head.bundle), signed),
    ];
    match store.swap(&[condition], &writes).await {
        Ok(true) => Ok(Swapped::Won),
        Ok(false) | Err(Error::Unknown(_) | Error::Cut(_) | Error::Unusable(_)) => {
            read_back(store, head).await
        }
        Err(down) => Err(down),
    }
}

/// Returns the key of a generation's line of the audit trail.
#[must_use]
pub fn audit_key(generation: Generation) -> String {
    format!("{AUDIT}{:020}", generation.0)
}

/// Looks up who won a generation: the audit trail says so even after later generations.
///
/// The swap was sent. Whatever goes wrong from here on, its outcome is not known; to pass on "cannot
/// be reached" would tell the operator that nothing happened while the bundle may be in force.
async fn read_back(store: &impl Store, ours: &Head) -> Result<Swapped, Error> {
    const TRIES: u32 = 5;
    const PAUSE: std::time::Duration = std::time::Duration::from_millis(200);
    for _ in 0..TRIES {
        if let Ok(Some(pair)) = store.get(&audit_key(ours.generation)).await {
            let winner: Head = parse(&pair)?;
            let won = winner.nonce == ours.nonce;
            return Ok(if won {
                Swapped::Won
            } else {
                Swapped::Lost(winner)
            });
        }
        tokio::time::sleep(PAUSE).await;
    }
    let what = "the outcome is not known; see `jujube-ctl audit` when the service is back";
    Err(Error::Unknown(what.into()))
}
