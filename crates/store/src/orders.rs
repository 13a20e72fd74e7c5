//! Who may give orders to engines: a lease in the key-value service, with a fencing number.

use jujube_core::fence::HeldLease;
use jujube_core::fence::Token;
use jujube_core::time::Instant;
use jujube_core::time::Span;

use crate::kv::Condition;
use crate::kv::Error;
use crate::kv::Lease;
use crate::kv::Revision;
use crate::kv::Store;
use crate::kv::Write;

/// The key of the current holder; it goes with the holder's lease.
pub const HOLDER: &str = "jujube/orders/holder";
/// The key of the last fencing number; it stays.
const TOKEN: &str = "jujube/orders/token";
/// The highest fencing number that can be one of ours; another writer may leave any text.
const MAX_TOKEN: Token = Token(1 << 62);

/// Reads the current fencing number; 0 before the first holder.
///
/// # Errors
///
/// The service gives no answer, or the value is malformed.
pub async fn current(store: &impl Store) -> Result<Token, Error> {
    let token = read(store).await?.0;
    token.ok_or_else(|| Error::Unknown("a malformed fencing number".into()))
}

/// Reads the fencing number, `None` if it is malformed, and its revision.
async fn read(store: &impl Store) -> Result<(Option<Token>, Revision), Error> {
    let Some(pair) = store.get(TOKEN).await? else {
        return Ok((Some(Token(0)), Revision(0)));
    };
    let token = pair.value.parse().ok();
    Ok((token.filter(|token| *token < MAX_TOKEN), pair.revision))
}

/// Returns the number that follows one read at a revision.
///
/// A malformed one is followed by a number above all that were given out: each took a revision, and
/// they began at `least`.
fn following(token: Option<Token>, revision: Revision, least: Token) -> Token {
    match token {
        Some(token) => token.next().max(least),
        None => Token(least.0.saturating_add(revision.0)),
    }
}

/// Tries to become the holder; `None` when somebody else is.
///
/// The number grows in the same transaction that takes the lease, so that no two holders ever share
/// one. It is at least `least`, for a store that has forgotten numbers. A malformed number is replaced.
///
/// # Errors
///
/// The service gives no answer. The lease may have been taken all the same; it then ends by itself,
/// and its number is never used.
pub async fn acquire(
    store: &impl Store,
    now: Instant,
    ttl: Span,
    name: &str,
    least: Token,
) -> Result<Option<(HeldLease, Lease)>, Error> {
    let (token, revision) = read(store).await?;
    if store.get(HOLDER).await?.is_some() {
        return Ok(None);
    }
    let lease = store.grant(ttl).await?;
    let conditions = [
        Condition {
            key: HOLDER.into(),
            revision: Revision(0),
        },
        Condition {
            key: TOKEN.into(),
            revision,
        },
    ];
    let token = following(token, revision, least);
    let writes = [
        Write::Put {
            key: HOLDER.into(),
            value: name.into(),
            lease: Some(lease),
        },
        Write::Put {
            key: TOKEN.into(),
            value: token.to_string(),
            lease: None,
        },
    ];
    let won = store.swap(&conditions, &writes).await?;
    let held = HeldLease {
        token,
        renewed: now,
        ttl,
    };
    Ok(won.then_some((held, lease)))
}
