//! This entry's announcement in the store, by which other entries find it, and the lease that
//! covers all its keys there.

use std::rc::Rc;
use std::time::Duration;

use jujube_core::pipeline::cell::Place;
use jujube_core::pipeline::reserve::Tenure;
use jujube_core::revision::Revision;
use jujube_program::clock;
use jujube_store::kv::Condition;
use jujube_store::kv::Error;
use jujube_store::kv::Feed;
use jujube_store::kv::Lease;
use jujube_store::kv::Write;

use crate::state::State;

use super::Announcement;
use super::ENTRIES;

/// How often the lease is renewed. A failed renewal is also how a silent store is detected, within
/// the three seconds after which no change may be missed.
const RENEW: Duration = Duration::from_millis(1_300);
/// How long a renewal may take; a slow store answers within a third of a second.
const ANSWER: Duration = Duration::from_millis(800);
/// The pause before a failed announcement or renewal is retried.
const AGAIN: Duration = Duration::from_millis(700);

/// Keeps this entry announced in the store until the process ends.
pub async fn announce<D, F: Feed>(state: Rc<State<D>>, store: F) {
    loop {
        match take(&state, &store).await {
            Ok(Some(lease)) => keep(&state, &store, lease).await,
            Ok(None) => log::info!("event=not-announced cause=written-by-another"),
            Err(error) => doubt(&state, "not-announced", &error),
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Announces this entry and returns the lease; `None` if another writer interfered.
///
/// The write is conditional on the revision that was read, and at first on the key's absence.
/// Otherwise a delayed write under an earlier lease could replace the announcement and remove the
/// key when that lease expires.
async fn take<D, F: Feed>(state: &State<D>, store: &F) -> Result<Option<Lease>, Error> {
    let key = format!("{ENTRIES}{}", state.settings.name);
    let began = clock::now();
    let lease = store.grant(state.retries.lease).await?;
    let tenure = Tenure(lease.0.unsigned_abs());
    let announcement = Announcement {
        place: Place {
            zone: state.settings.zone.clone(),
            address: state.settings.gossip,
        },
        tenure,
    };
    let write = Write::Put {
        key: key.clone(),
        value: announcement.text(),
        lease: Some(lease),
    };
    let mut revision = Revision::default();
    let is_there = |revision| Condition {
        key: key.clone(),
        revision,
    };
    if !store
        .swap(&[is_there(revision)], std::slice::from_ref(&write))
        .await?
    {
        let pair = store.get(&key).await?;
        revision = pair.map_or(Revision::default(), |pair| pair.revision);
        if !store.swap(&[is_there(revision)], &[write]).await? {
            return Ok(None);
        }
    }
    let Some(written) = store.get(&key).await? else {
        return Ok(None);
    };
    state.retries.announced.set(written.revision);
    state.retries.reserve.borrow_mut().begun(tenure, began);
    log::info!(
        "event=announced lease={tenure} revision={}",
        written.revision
    );
    Ok(Some(lease))
}

/// Renews the lease until it has expired or this announcement has been replaced.
async fn keep<D, F: Feed>(state: &State<D>, store: &F, lease: Lease) {
    let mut pause = RENEW;
    loop {
        tokio::time::sleep(pause).await;
        let asked = clock::now();
        let renewal = tokio::time::timeout(ANSWER, store.renew(lease)).await;
        let renewal = renewal.unwrap_or_else(|_| Err(Error::Unknown("timeout".into())));
        let mut reserve = state.retries.reserve.borrow_mut();
        pause = match renewal {
            Ok(true) => {
                reserve.renewed(asked);
                RENEW
            }
            Ok(false) => {
                reserve.lost();
                AGAIN
            }
            Err(error) => {
                doubt(state, "not-renewed", &error);
                AGAIN
            }
        };
        reserve.expire(clock::now());
        if reserve.tenure() != Some(Tenure(lease.0.unsigned_abs())) {
            log::info!("event=announcement-lost");
            return;
        }
    }
}

/// Cancels the pending watch so that it is made again: it may never be answered.
fn doubt<D>(state: &State<D>, event: &str, error: &Error) {
    state.store_doubted.notify_waiters();
    let cause = error.to_string().replace(' ', "-");
    log::info!("event={event} cause={cause}");
}
