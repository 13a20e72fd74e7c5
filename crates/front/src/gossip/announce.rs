//! This entry's announcement in the store, by which other entries find it, and the lease that
//! covers all its keys there.

use std::rc::Rc;
use std::time::Duration;

use jujube_core::pipeline::cell::Location;
use jujube_core::pipeline::pace;
use jujube_core::pipeline::pace::Times;
use jujube_core::pipeline::reserve::LeaseId;
use jujube_core::revision::Revision;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv::Condition;
use jujube_store::kv::Error;
use jujube_store::kv::Feed;
use jujube_store::kv::Lease;
use jujube_store::kv::Write;

use crate::state::Lifecycle;
use crate::state::State;

use super::Announcement;
use super::announcement_key;

/// The pause before a failed announcement or renewal is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// How often an entry that starts checks whether it has begun to serve.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Keeps this entry announced in the store until the process ends.
pub async fn announce<D, F: Feed>(state: Rc<State<D>>, store: F) {
    // Others divide limits among the entries that are announced, and this one gets no request yet. An
    // earlier process of the same name may also still be announced.
    while state.lifecycle.get() == Lifecycle::Starting {
        tokio::time::sleep(START_CHECK_INTERVAL).await;
    }
    loop {
        match write_announcement(&state, &store).await {
            Ok(Some(lease)) => renew(&state, &store, lease).await,
            Ok(None) => event!(Info, "not-announced", cause = "written-by-another"),
            Err(error) => cancel_watch(&state, "not-announced", &error),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Announces this entry and returns the lease; `None` if another writer interfered.
///
/// The write is conditional on the revision that was read, and at first on the key's absence.
/// Otherwise a delayed write under an earlier lease could replace the announcement and remove the
/// key when that lease expires.
async fn write_announcement<D, F: Feed>(
    state: &State<D>,
    store: &F,
) -> Result<Option<Lease>, Error> {
    let key = announcement_key(&state.settings.name);
    let Some((address, key)) = state.internal.get().zip(key) else {
        return Ok(None);
    };
    let started_at = clock::now();
    let lease = store.grant(state.retries.lease).await?;
    let lease_id = LeaseId(lease.0.unsigned_abs());
    let announcement = Announcement {
        place: Location {
            zone: state.settings.zone.clone(),
            address,
        },
        lease_id,
        key: Some(state.feed.public_key()),
    };
    let write = Write::Put {
        key: key.clone(),
        value: announcement.encode(),
        lease: Some(lease),
    };
    let mut revision = Revision::default();
    let at = |revision| Condition {
        key: key.clone(),
        revision,
    };
    state.metrics.add("store_calls_announce", 2);
    let mut written = store
        .swap_at(&[at(revision)], std::slice::from_ref(&write))
        .await?;
    if written.is_none() {
        state.metrics.add("store_calls_announce", 2);
        let current = store.get(&key).await?;
        revision = current.map_or(Revision::default(), |current| current.revision);
        written = store.swap_at(&[at(revision)], &[write]).await?;
    }
    let Some(written) = written else {
        return Ok(None);
    };
    state.retries.announced.set(written);
    state
        .retries
        .reserve
        .borrow_mut()
        .begun(lease_id, started_at);
    event!(Info, "announced", lease = lease_id, revision = written);
    Ok(Some(lease))
}

/// Renews the lease until it has expired or this announcement has been replaced.
async fn renew<D, F: Feed>(state: &State<D>, store: &F, lease: Lease) {
    let times = Times::within(state.settings.limits.contact);
    let interval = Duration::from_millis(times.renew_interval.0);
    let timeout = Duration::from_millis(times.renew_timeout.0);
    let mut renewed_at = clock::now();
    let mut pause = interval;
    loop {
        tokio::time::sleep(pause).await;
        if !is_held(state, lease) {
            return;
        }
        if clock::now().since(renewed_at) < renewal_interval(state) {
            // More entries than at the last renewal may be known.
            continue;
        }
        state.metrics.count("store_calls_renewal");
        let sent_at = clock::now();
        let renewal = tokio::time::timeout(timeout, store.renew(lease)).await;
        let renewal = renewal.unwrap_or_else(|_| Err(Error::Unknown("timeout".into())));
        let reserve = &state.retries.reserve;
        pause = match renewal {
            Ok(true) => {
                reserve.borrow_mut().renewed(sent_at);
                renewed_at = sent_at;
                interval
            }
            Ok(false) => {
                reserve.borrow_mut().lost();
                RETRY_PAUSE
            }
            Err(error) => {
                cancel_watch(state, "not-renewed", &error);
                RETRY_PAUSE
            }
        };
        if !is_held(state, lease) {
            return;
        }
    }
}

/// Returns whether this entry still holds a lease: it has not expired, and no other announcement has
/// replaced its own.
fn is_held<D>(state: &State<D>, lease: Lease) -> bool {
    let mut reserve = state.retries.reserve.borrow_mut();
    reserve.expire(clock::now());
    let is_held = reserve.lease_id() == Some(LeaseId(lease.0.unsigned_abs()));
    if !is_held {
        event!(Info, "announcement-lost");
    }
    is_held
}

/// Returns how long after a renewal the next one is due. Where a few entries read the store for all,
/// their followers detect by the age of what they are told that the store is silent.
fn renewal_interval<D>(state: &State<D>) -> Span {
    let entries = state.peers.directory.borrow().count();
    match state.feed.is_shared(entries) {
        true => pace::rare_renewal(state.retries.lease),
        false => Span(0),
    }
}

/// Cancels the pending watch so that it is made again: it may never be answered. A store that is
/// there but takes no more calls will answer it.
fn cancel_watch<D>(state: &State<D>, event: &str, error: &Error) {
    if !matches!(error, Error::Busy(_)) {
        state.store_call_failed.notify_waiters();
    }
    event!(Info, event, cause = error);
}
