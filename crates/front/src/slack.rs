//! Acquires and returns pieces of the retry slack in the store.

use std::rc::Rc;
use std::time::Duration;

use jujube_core::name::Service;
use jujube_core::pipeline::document::Table;
use jujube_core::pipeline::key::Key;
use jujube_core::pipeline::key::Segment;
use jujube_core::pipeline::reserve;
use jujube_core::pipeline::reserve::LeaseId;
use jujube_core::pipeline::reserve::Piece;
use jujube_core::pipeline::reserve::Record;
use jujube_core::revision::Revision;
use jujube_program::event;
use jujube_store::kv::Change;
use jujube_store::kv::Condition;
use jujube_store::kv::Feed;
use jujube_store::kv::Lease;
use jujube_store::kv::Value;
use jujube_store::kv::Write;

use crate::restore;
use crate::state::State;

/// The most pieces per transaction, which takes 32 rows: each piece needs a condition and a write.
const MAX_PIECES_PER_CALL: usize = 12;
/// How often pieces are checked when nothing asks for any.
const CHECK_INTERVAL: Duration = Duration::from_millis(2_000);
/// How often pieces are checked while requests wait for retries: other entries may have won the
/// requested pieces or returned some.
const CHECK_INTERVAL_WAITING: Duration = Duration::from_millis(200);
/// The pause between two acquisitions, several times the store's usual response time: demand that
/// arrives meanwhile is served by one call.
const ACQUIRE_PAUSE: Duration = Duration::from_millis(40);

/// Returns the service and the piece that a key belongs to.
pub fn parse_key(key: &str) -> Option<(Segment, Piece)> {
    match key.parse() {
        Ok(Key::Piece(service, piece)) => Some((service, piece)),
        _ => None,
    }
}

fn key(service: &Service, piece: Piece) -> String {
    Key::Piece(service.into(), piece).to_string()
}

/// Returns the holder of a piece. A value that cannot be parsed counts as held by another writer,
/// so that the piece is not free.
pub fn parse_record(change: &Change) -> Option<Record> {
    let value = change.value.as_ref()?;
    let lease_id = match value {
        Value::Text(text) => text.parse().unwrap_or_default(),
        Value::Unreadable(_) => LeaseId::default(),
    };
    let revision = change.revision;
    Some(Record { lease_id, revision })
}

/// Acquires and returns pieces until the process ends.
pub async fn run<D, F: Feed>(state: Rc<State<D>>, store: F) {
    loop {
        let needed = state.retries.needed.notified();
        let has_waiters = state.retries.has_waiters();
        let pause = if has_waiters {
            CHECK_INTERVAL_WAITING
        } else {
            CHECK_INTERVAL
        };
        let is_requested = tokio::time::timeout(pause, needed).await.is_ok();
        let is_idle = !is_requested && !has_waiters;
        // The mark may have failed before; the first snapshot is not kept, so assume an earlier
        // era.
        restore::mark_era(&state, &store, true).await;
        for service in state.retries.services() {
            if is_gone(&state, &service) {
                return_all(&state, &store, &service).await;
            } else if !acquire(&state, &store, &service).await && is_idle {
                return_surplus(&state, &store, &service).await;
            }
        }
        tokio::time::sleep(ACQUIRE_PAUSE).await;
    }
}

/// Returns whether a service has left the configuration, and nothing that it did counts any more.
fn is_gone<D>(state: &State<D>, service: &Service) -> bool {
    let table = state.table();
    let is_configured = |table: &Table| table.document.services.contains_key(service);
    table.is_some_and(|table| !is_configured(&table)) && state.retries.is_unused(service)
}

/// Returns the pieces of a service that is gone, some in each call, and forgets it once none is left.
async fn return_all<D, F: Feed>(state: &State<D>, store: &F, service: &Service) {
    let pieces = give_back(state, service, 0);
    if state.retries.reserve.borrow().held(&service.into()) == 0 {
        state.retries.forget(service);
    }
    delete(state, store, service, pieces).await;
}

/// Removes pieces beyond `kept` from use, as many as one call returns.
fn give_back<D>(state: &State<D>, service: &Service, kept: u64) -> Vec<(Piece, Revision)> {
    let mut reserve = state.retries.reserve.borrow_mut();
    reserve.give_back(&service.into(), kept, MAX_PIECES_PER_CALL)
}

/// Returns how many more pieces of a service are needed.
fn shortfall<D>(state: &State<D>, service: &Service) -> usize {
    let entries = state.peers.count();
    let held = state.retries.reserve.borrow().held(&service.into());
    let needed = state.retries.take_demand(service) as f64;
    let retries_per_piece = reserve::retries_per_piece(state.retries.policy().slack);
    let needed = if retries_per_piece > 0.0 {
        (needed / retries_per_piece).ceil() as u64
    } else {
        0
    };
    let rest = reserve::idle_pieces(entries).saturating_sub(held);
    let most = reserve::max_pieces(entries).saturating_sub(held);
    needed.max(rest).min(most) as usize
}

/// Acquires the pieces that are needed; returns whether any were requested.
async fn acquire<D, F: Feed>(state: &State<D>, store: &F, service: &Service) -> bool {
    let shortfall = shortfall(state, service).min(MAX_PIECES_PER_CALL);
    let lease_id = state.retries.reserve.borrow().lease_id();
    let is_marked = !state.settling.get().lacks_mark();
    let Some(lease_id) =
        lease_id.filter(|_| shortfall > 0 && is_marked && !state.is_store_unavailable())
    else {
        return false;
    };
    let mut free = state.retries.reserve.borrow().free(&service.into());
    let count = shortfall.min(free.len());
    if count == 0 {
        return false;
    }
    // Random ones, so that entries that acquire at the same time rarely conflict.
    let draw = |_| free.swap_remove(rand::random_range(0..free.len()));
    let pieces: Vec<Piece> = (0..count).map(draw).collect();
    let conditions = pieces.iter().map(|piece| Condition {
        key: key(service, *piece),
        revision: Revision::default(),
    });
    let writes = pieces.iter().map(|piece| Write::Put {
        key: key(service, *piece),
        value: lease_id.to_string(),
        lease: Some(Lease(lease_id.0 as i64)),
    });
    let (conditions, writes): (Vec<_>, Vec<_>) = (conditions.collect(), writes.collect());
    state.metrics.count("slack_calls");
    let outcome = match store.swap(&conditions, &writes).await {
        Ok(true) => {
            let mut reserve = state.retries.reserve.borrow_mut();
            reserve.took(lease_id, &service.into(), pieces);
            "taken".into()
        }
        Ok(false) => "met".into(),
        Err(error) => error.to_string(),
    };
    let held = state.retries.reserve.borrow().held(&service.into());
    event!(Info, "slack", service, asked = count, held, outcome);
    state.retries.changed.notify_one();
    true
}

/// Returns pieces beyond the resting number whose retries requests have paid for, once few are free
/// for other entries.
///
/// Every change in the store is sent to every entry, so pieces aren't returned only to be acquired
/// again for the next retry.
async fn return_surplus<D, F: Feed>(state: &State<D>, store: &F, service: &Service) {
    let pieces = take_surplus(state, service);
    delete(state, store, service, pieces).await;
}

/// Removes pieces that are no longer in use from the store.
async fn delete<D, F: Feed>(
    state: &State<D>,
    store: &F,
    service: &Service,
    pieces: Vec<(Piece, Revision)>,
) {
    if pieces.is_empty() {
        return;
    }
    let conditions = pieces.iter().map(|(piece, revision)| Condition {
        key: key(service, *piece),
        revision: *revision,
    });
    let writes = pieces.iter().map(|(piece, _)| Write::Delete {
        key: key(service, *piece),
    });
    let (conditions, writes): (Vec<_>, Vec<_>) = (conditions.collect(), writes.collect());
    state.metrics.count("slack_calls");
    let outcome = store.swap(&conditions, &writes).await;
    let count = pieces.len();
    event!(
        Info,
        "slack",
        service,
        returned = count,
        outcome = format_args!("{outcome:?}")
    );
}

/// Removes the pieces to return from use.
fn take_surplus<D>(state: &State<D>, service: &Service) -> Vec<(Piece, Revision)> {
    let rest = reserve::idle_pieces(state.peers.count());
    let kept = reserve::retries_per_piece(state.retries.policy().slack) * rest as f64;
    let reserve = state.retries.reserve.borrow();
    let is_needed = reserve.free(&service.into()).len() < reserve::MIN_FREE_PIECES;
    let is_over = reserve.held(&service.into()) > rest;
    if !is_needed || !is_over || !state.retries.can_return(service, kept) {
        return Vec::new();
    }
    drop(reserve);
    give_back(state, service, rest)
}
