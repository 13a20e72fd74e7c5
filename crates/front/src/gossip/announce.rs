//! This entry's announcement in the store, by which the others find it and count it.

use std::rc::Rc;
use std::time::Duration;

use jujube_core::revision::Revision;
use jujube_program::clock;
use jujube_store::kv::Condition;
use jujube_store::kv::Error;
use jujube_store::kv::Feed;
use jujube_store::kv::Lease;
use jujube_store::kv::Write;

use crate::state::State;

use super::ENTRIES;

/// The key that the first of all entries writes.
const FIRST: &str = "jujube/first-entry";

/// How often the announcement is renewed. The renewal is also how a store that has fallen silent is noticed, within
/// the three seconds after which a change must not be missed; it costs a tenth of another call.
const RENEW: Duration = Duration::from_millis(1_300);
/// How long a renewal may take; a slow store takes a third of a second.
const ANSWER: Duration = Duration::from_millis(800);
/// How long after a failure to announce or to renew it is tried again.
const AGAIN: Duration = Duration::from_millis(700);
/// The same after another entry was the first of all; the next look finds it there.
const AFTER_ANOTHER: Duration = Duration::from_millis(20);

/// Announces this entry in the store until the process ends.
pub async fn announce<D, F: Feed>(state: Rc<State<D>>, store: F) {
    loop {
        match take(&state, &store).await {
            Ok(Some(lease)) => keep(&state, &store, lease).await,
            Ok(None) => {
                log::info!("event=not-announced cause=written-by-another");
                tokio::time::sleep(AFTER_ANOTHER).await;
                continue;
            }
            Err(error) => doubt(&state, "not-announced", &error),
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Announces this entry and returns the lease; `None` when somebody else wrote meanwhile.
///
/// The write holds only if the key is as it was read. A write under an earlier lease whose answer was lost, and
/// that is carried out late, would otherwise replace this one and take the key with it when that lease ends.
async fn take<D, F: Feed>(state: &State<D>, store: &F) -> Result<Option<Lease>, Error> {
    let key = format!("{ENTRIES}{}", state.settings.name);
    let began = clock::now();
    let mut conditions = Vec::new();
    let mut writes = Vec::new();
    let first = first(store).await?;
    let is_first = first.is_some();
    if let Some(condition) = first {
        writes.push(Write::Put {
            key: FIRST.into(),
            value: state.settings.name.to_string(),
            lease: None,
        });
        conditions.push(condition);
    }
    conditions.push(unchanged(store, &key).await?);
    let lease = store.grant(state.retries.lease).await?;
    writes.push(Write::Put {
        key: key.clone(),
        value: state.settings.gossip.to_string(),
        lease: Some(lease),
    });
    if !store.swap(&conditions, &writes).await? {
        return Ok(None);
    }
    let Some(written) = store.get(&key).await? else {
        return Ok(None);
    };
    let mut seat = state.retries.seat.borrow_mut();
    seat.taken(clock::now(), written.revision, began, is_first);
    log::info!(
        "event=announced revision={} first={is_first}",
        written.revision
    );
    Ok(Some(lease))
}

/// Returns the condition under which an entry is the first of all; `None` when others are announced.
///
/// Two that start together would both find nobody. Both write the same key under the condition that it is as it
/// was before they looked, so only one of them can be first.
async fn first<F: Feed>(store: &F) -> Result<Option<Condition>, Error> {
    if !store.snapshot(ENTRIES).await?.0.is_empty() {
        return Ok(None);
    }
    let condition = unchanged(store, FIRST).await?;
    let is_alone = store.snapshot(ENTRIES).await?.0.is_empty();
    Ok(is_alone.then_some(condition))
}

/// Returns the condition that a key is as it is now.
async fn unchanged<F: Feed>(store: &F, key: &str) -> Result<Condition, Error> {
    let pair = store.get(key).await?;
    Ok(Condition {
        key: key.into(),
        revision: pair.map_or(Revision::default(), |pair| pair.revision),
    })
}

/// Renews an announcement until it is no longer in force.
async fn keep<D, F: Feed>(state: &State<D>, store: &F, lease: Lease) {
    let mut pause = RENEW;
    loop {
        tokio::time::sleep(pause).await;
        let asked = clock::now();
        let renewal = tokio::time::timeout(ANSWER, store.renew(lease)).await;
        let renewal = renewal.unwrap_or_else(|_| Err(Error::Unknown("timeout".into())));
        let mut seat = state.retries.seat.borrow_mut();
        pause = match renewal {
            Ok(true) => {
                seat.renewed(asked);
                RENEW
            }
            Ok(false) => {
                seat.lost();
                AGAIN
            }
            Err(error) => {
                doubt(state, "not-renewed", &error);
                AGAIN
            }
        };
        seat.expire(clock::now());
        if !seat.is_taken() {
            log::info!("event=announcement-lost");
            return;
        }
    }
}

/// Has the call made again that waits for changes: it may wait in vain.
fn doubt<D>(state: &State<D>, event: &str, error: &Error) {
    state.store_doubted.notify_waiters();
    let cause = error.to_string().replace(' ', "-");
    log::info!("event={event} cause={cause}");
}
