//! The pieces of the retry budget's slack in the store: taken when they are needed, given back later.

use std::rc::Rc;
use std::time::Duration;

use jujube_core::name::Service;
use jujube_core::pipeline::reserve;
use jujube_core::pipeline::reserve::LeaseId;
use jujube_core::pipeline::reserve::Piece;
use jujube_core::pipeline::reserve::Record;
use jujube_core::revision::Revision;
use jujube_store::kv::Change;
use jujube_store::kv::Condition;
use jujube_store::kv::Feed;
use jujube_store::kv::Lease;
use jujube_store::kv::Value;
use jujube_store::kv::Write;

use crate::restore;
use crate::state::State;

/// The start of the keys of pieces; the service and the number follow.
const PIECES: &str = "jujube/slack/";
/// The most pieces of one call: a transaction takes 32 rows, and each piece has a condition and a write.
const MOST_AT_ONCE: usize = 12;
/// How often pieces are looked after when nobody asks for any.
const LOOK: Duration = Duration::from_millis(2_000);
/// How often while requests wait for retries: others may have taken the pieces that were asked for, or have given
/// some back.
const LOOK_AWAITED: Duration = Duration::from_millis(200);
/// How long after pieces were asked for more are asked for: as long as the store usually takes for both, some
/// times over, so that the need that is known by then is served with few calls.
const AGAIN: Duration = Duration::from_millis(40);

/// Returns the piece that a key is of.
pub fn piece(key: &str) -> Option<(Service, Piece)> {
    let (service, piece) = key.strip_prefix(PIECES)?.rsplit_once('/')?;
    Some((service.into(), piece.parse().ok()?))
}

fn key(service: &Service, piece: Piece) -> String {
    format!("{PIECES}{service}/{piece}")
}

/// Returns a piece as the store tells it. A value that cannot be read is somebody else's: the piece is not free.
pub fn record(change: &Change) -> Option<Record> {
    let value = change.value.as_ref()?;
    let tenure = match value {
        Value::Text(text) => text.parse().unwrap_or_default(),
        Value::Unreadable(_) => LeaseId::default(),
    };
    let revision = change.revision;
    Some(Record { tenure, revision })
}

/// Takes and gives back pieces until the process ends.
pub async fn run<D, F: Feed>(state: Rc<State<D>>, store: F) {
    loop {
        let needed = state.retries.needed.notified();
        let is_awaited = state.retries.is_awaited();
        let pause = if is_awaited { LOOK_AWAITED } else { LOOK };
        let is_told = tokio::time::timeout(pause, needed).await.is_ok();
        let is_idle = !is_told && !is_awaited;
        // A mark may have been refused; what the store showed then is not known any more.
        restore::mark(&state, &store, true).await;
        for service in state.retries.services() {
            if !take(&state, &store, &service).await && is_idle {
                give_back(&state, &store, &service).await;
            }
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Returns how many more pieces of a service to hold.
fn lack<D>(state: &State<D>, service: &Service) -> usize {
    let entries = state.peers.count();
    let held = state.retries.reserve.borrow().held(service);
    let needed = state.retries.take_needed(service) as f64;
    let worth = reserve::retries_per_piece(state.retries.terms().slack);
    let needed = if worth > 0.0 {
        (needed / worth).ceil() as u64
    } else {
        0
    };
    let rest = reserve::idle_pieces(entries).saturating_sub(held);
    let most = reserve::max_pieces(entries).saturating_sub(held);
    needed.max(rest).min(most) as usize
}

/// Takes pieces that are needed; tells whether any were.
async fn take<D, F: Feed>(state: &State<D>, store: &F, service: &Service) -> bool {
    let lack = lack(state, service).min(MOST_AT_ONCE);
    let tenure = state.retries.reserve.borrow().tenure();
    let is_marked = !state.settling.get().lacks_mark();
    let Some(tenure) = tenure.filter(|_| lack > 0 && is_marked && !state.is_store_away()) else {
        return false;
    };
    let mut free = state.retries.reserve.borrow().free(service);
    let count = lack.min(free.len());
    if count == 0 {
        return false;
    }
    // Any of them, so that entries that need some at the same moment seldom want the same.
    let draw = |_| free.swap_remove(rand::random_range(0..free.len()));
    let pieces: Vec<Piece> = (0..count).map(draw).collect();
    let conditions = pieces.iter().map(|piece| Condition {
        key: key(service, *piece),
        revision: Revision::default(),
    });
    let writes = pieces.iter().map(|piece| Write::Put {
        key: key(service, *piece),
        value: tenure.to_string(),
        lease: Some(Lease(tenure.0 as i64)),
    });
    let (conditions, writes): (Vec<_>, Vec<_>) = (conditions.collect(), writes.collect());
    state.metrics.count("slack_calls");
    let outcome = match store.swap(&conditions, &writes).await {
        Ok(true) => {
            let mut reserve = state.retries.reserve.borrow_mut();
            reserve.took(tenure, service, pieces);
            "taken".into()
        }
        Ok(false) => "met".into(),
        Err(error) => error.to_string().replace(' ', "-"),
    };
    let held = state.retries.reserve.borrow().held(service);
    log::info!("event=slack service={service} asked={count} held={held} outcome={outcome}");
    state.retries.changed.notify_one();
    true
}

/// Gives back pieces that requests have paid for and that are over what is held at rest, once few are left for others.
///
/// Each change to the store is told to every entry and paid for by it: given back at once, and taken again at the next
/// need, a hundred entries' pieces were most of all calls to the store on a calm day.
async fn give_back<D, F: Feed>(state: &State<D>, store: &F, service: &Service) {
    let pieces = spare(state, service);
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
    log::info!("event=slack service={service} returned={count} outcome={outcome:?}");
}

/// Takes pieces out of use that are to be given back.
fn spare<D>(state: &State<D>, service: &Service) -> Vec<(Piece, Revision)> {
    let rest = reserve::idle_pieces(state.peers.count());
    let kept = reserve::retries_per_piece(state.retries.terms().slack) * rest as f64;
    let mut reserve = state.retries.reserve.borrow_mut();
    let is_needed = reserve.free(service).len() < reserve::MIN_FREE_PIECES;
    let is_over = reserve.held(service) > rest;
    if !is_needed || !is_over || !state.retries.can_spare(service, kept) {
        return Vec::new();
    }
    reserve.give_back(service, rest, MOST_AT_ONCE)
}
