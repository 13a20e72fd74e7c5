//! Recovery after the store was restored from an older backup.

use jujube_core::pipeline::era::Era;
use jujube_core::pipeline::key::Key;
use jujube_core::revision::Revision;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv::Change;
use jujube_store::kv::Condition;
use jujube_store::kv::Feed;
use jujube_store::kv::Write;

use crate::state::State;

/// Handles a restore of the store, which starts a later era.
///
/// The configuration in force stays, since an older version is never applied. Registrations are
/// kept until they have been read again. Leases and pieces of the retry slack are dropped, because
/// the store may have lost them.
pub fn handle_restore<D>(state: &State<D>, era: Era) {
    let pieces = state.retries.pieces();
    state.roster.borrow_mut().restored(clock::now());
    state.retries.reserve.borrow_mut().restored();
    state.retries.announced.set(Revision::default());
    state.leadership.restored();
    state.metrics.count("store_restores");
    event!(
        Warn,
        "store-restored",
        era,
        version = state.table().map_or(0, |table| table.document.version.0),
        servers = state.roster.borrow().usable().count(),
        pieces_dropped = pieces
    );
}

/// Records whether an era is marked and settling, if a change says so.
pub fn apply_mark<D>(state: &State<D>, change: &Change) {
    let mut settling = state.settling.get();
    let exists = change.value.is_some();
    match change.key.parse() {
        Ok(Key::Settling(era)) => settling.set_held(era, exists),
        Ok(Key::Mark(era)) => settling.set_marked(era, exists),
        _ => return,
    }
    state.settling.set(settling);
}

/// Records the era of a snapshot and its marks.
pub fn apply_snapshot<D>(state: &State<D>, era: Option<Era>, changes: &[Change]) {
    let mut settling = state.settling.get();
    settling.set_era(era);
    if let Some(era) = era {
        settling.set_marked(era, false);
        settling.set_held(era, false);
    }
    state.settling.set(settling);
    for change in changes {
        apply_mark(state, change);
    }
    update_settling(state);
}

/// Allows or forbids the use of pieces according to the current era.
pub fn update_settling<D>(state: &State<D>) {
    let is_settling = !state.settling.get().is_over();
    let mut reserve = state.retries.reserve.borrow_mut();
    reserve.set_settling(is_settling);
}

/// Returns whether a snapshot contains a mark of an era or a held piece.
pub fn shows_earlier_era(changes: &[Change]) -> bool {
    let is_earlier = |change: &Change| {
        let key = change.key.parse();
        matches!(key, Ok(Key::Mark(_) | Key::Settling(_) | Key::Piece(..)))
    };
    changes.iter().any(is_earlier)
}

/// Marks the current era unless it is marked already; `shows_earlier` says whether the snapshot
/// contained traces of an earlier era.
///
/// Pieces are acquired only once a mark exists, so a store with neither has never had pieces held.
pub async fn mark_era<D, F: Feed>(state: &State<D>, store: &F, shows_earlier: bool) {
    let Some(era) = store.era().filter(|_| state.settling.get().lacks_mark()) else {
        return;
    };
    let key = Key::Mark(era).to_string();
    let conditions = [Condition {
        key: key.clone(),
        revision: Revision::default(),
    }];
    let mut writes = vec![Write::Put {
        key: key.clone(),
        value: state.settings.name.to_string(),
        lease: None,
    }];
    if state.settling.get().had_before(shows_earlier) {
        let lease = match store.grant(state.retries.lease).await {
            Ok(lease) => lease,
            Err(error) => return log_failure(era, &error.to_string()),
        };
        writes.push(Write::Put {
            key: Key::Settling(era).to_string(),
            value: state.settings.name.to_string(),
            lease: Some(lease),
        });
    }
    match store.swap(&conditions, &writes).await {
        Ok(is_own) => event!(Info, "era-marked", era, is_mine = is_own),
        Err(error) => log_failure(era, &error.to_string()),
    }
}

/// Logs the failure. The slack task marks the era later; until then no pieces are used.
fn log_failure(era: Era, cause: &str) {
    event!(Info, "era-not-marked", era, cause);
}
