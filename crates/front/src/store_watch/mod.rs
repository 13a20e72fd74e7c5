//! Watches the configuration and the registrations in the store.

mod apply;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::pipeline::cell::Role;
use jujube_core::pipeline::feed::contact::Failure;
use jujube_core::pipeline::feed::contact::Observer;
use jujube_core::pipeline::feed::contact::Step;
use jujube_core::pipeline::roster::Effect;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv::Change;
use jujube_store::kv::Error;
use jujube_store::kv::Feed;
use jujube_store::kv::News;
use jujube_store::orders;

use crate::dialect::Dialect;
use crate::dialect::Record;
use crate::feed::Source;
use crate::feed::kind::ENTRY_KEYS;
use crate::gossip;
use crate::quarantine;
use crate::restore;
use crate::slack;
use crate::state::State;

use apply::apply_announcements;
use apply::apply_change;
pub use apply::apply_check;
use apply::apply_configuration;
pub use apply::apply_leaving;
use apply::apply_piece;
pub use apply::apply_reported_layers;
use apply::check_own_announcement;
pub use apply::displace;
pub use apply::expire;
use apply::log_registration;
pub use apply::rebuild;

/// The part of the time limit reserved for the next call after an answer that contained only keys
/// of entries. Such changes may wait longer than a configuration. A slow store answers within a
/// third of a second, and decoding a large snapshot takes as long on the smallest VMs.
const CALL_RESERVE: Span = Span(1_500);
/// The range of the random pause before a failed call is repeated, which keeps the entries from
/// calling in step.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 100..300;

/// Watches the store until the process ends.
pub async fn run<D: Dialect, F: Feed>(state: Rc<State<D>>, store: F, mut source: Source<F>) {
    let mut is_read = false;
    let mut era = store.era();
    let mut observer = Observer::default();
    loop {
        if state.roster.borrow().needs_reread(clock::now()) {
            // Running servers have registered again by now; a new snapshot no longer contains
            // the dead ones of the backup.
            is_read = false;
        }
        let is_told = matches!(
            source.role(&state.peers.directory),
            Some(Role::Follower { .. })
        );
        let step = async {
            match is_read {
                false => read_snapshot(&state, &store, &mut source).await,
                true => watch(&state, &mut source).await,
            }
        };
        let step = tokio::select! {
            step = step => step,
            // Others may tell what the store does not tell this entry. A read of all keys is not cut: it
            // would begin anew at each such call, and each of its own calls has a time limit.
            () = state.store_call_failed.notified(), if is_read && !is_told => {
                Err(Error::Unknown("lease-not-renewed".into()))
            }
            () = store.risen(era) => Ok(false),
        };
        let (previous, current) = (era, store.era());
        era = current;
        if let Some(later) =
            current.filter(|current| previous.is_some_and(|previous| *current > previous))
        {
            // The result of this step may mix the state of both eras.
            restore::handle_restore(&state, later);
            is_read = false;
            continue;
        }
        match step {
            Ok(next) => {
                is_read = next;
                if observer.answered() {
                    state.roster.borrow_mut().store_returned(clock::now());
                    state.reported_layers.borrow_mut().clear();
                    event!(Info, "store-regained");
                }
                source.set_contact(observer.contact());
            }
            Err(error) => {
                state.metrics.count("store_failures");
                let step = observer.failed(clock::now(), failure(&error));
                source.set_contact(observer.contact());
                record_failure(&state, step, &error);
                if step != Step::AskAtOnce {
                    let pause = rand::random_range(RETRY_PAUSE_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }
}

/// Records what follows from a failed call.
fn record_failure<D>(state: &State<D>, step: Step, error: &Error) {
    match step {
        Step::AskAtOnce | Step::AskLater => {
            state.metrics.count("store_doubts");
            event!(Info, "store-doubted", cause = error, _ = state.feed.view());
        }
        Step::Lose => {
            state.roster.borrow_mut().store_lost();
            event!(Warn, "store-lost", cause = error, _ = state.feed.view());
        }
        Step::StayLost => {}
    }
}

fn failure(error: &Error) -> Failure {
    match error {
        Error::Cut(_) => Failure::Cut,
        Error::Busy(_) => Failure::Busy,
        Error::Down(_) | Error::Unknown(_) | Error::Unusable(_) => Failure::Silent,
    }
}

/// Reads a snapshot of the store; returns whether its changes can be watched.
async fn read_snapshot<D: Dialect, F: Feed>(
    state: &State<D>,
    store: &F,
    source: &mut Source<F>,
) -> Result<bool, Error> {
    if !state.registrations_read.get() {
        let (changes, _) = source.read_first().await;
        learn_entries(state, &changes);
    }
    let (changes, revision) = source.snapshot(&state.peers.directory).await?;
    // A registration that reappears after an outage counts from the recovery, not from the start of
    // the outage.
    state.roster.borrow_mut().store_returned(clock::now());
    if state.roster.borrow().needs_reread(clock::now()) {
        state.roster.borrow_mut().start_reread();
    }
    restore::apply_snapshot(state, store.era(), &changes);
    quarantine::apply_snapshot(state, &changes);
    restore::mark_era(state, store, restore::shows_earlier_era(&changes)).await;
    let mut servers = Vec::new();
    let mut unreadable = Vec::new();
    let mut is_held = false;
    let mut pieces = BTreeMap::new();
    for change in &changes {
        if let (Some(piece), Some(record)) =
            (slack::parse_key(&change.key), slack::parse_record(change))
        {
            pieces.insert(piece, record);
        }
        is_held |= change.key == orders::HOLDER;
        match D::record(&change.key, change.value.as_ref()) {
            Record::Configuration(document) => apply_configuration(state, document),
            Record::Server(server) => servers.push(server),
            Record::UnreadableServer(server, error) => {
                state.malformed.log(change, &error);
                unreadable.push(server);
            }
            Record::Unreadable(error) => state.malformed.log(change, &error),
            Record::Removed(_) | Record::Other => {}
        }
    }
    let mut roster = state.roster.borrow_mut();
    let effects = roster.replace(clock::now(), servers, &unreadable);
    drop(roster);
    for (server, effect) in &effects {
        log_registration(&state.roster.borrow(), server, *effect, revision);
    }
    state.registrations_read.set(true);
    state.leadership.set_held(is_held);
    let mut reserve = state.retries.reserve.borrow_mut();
    reserve.replaced(&pieces, revision);
    drop(reserve);
    let own = learn_entries(state, &changes);
    check_own_announcement(state, own.as_ref(), revision);
    rebuild(state);
    Ok(true)
}

/// Replaces the known entries by those that a snapshot announces; returns the announcement of this
/// one.
fn learn_entries<D>(state: &State<D>, changes: &[Change]) -> Option<gossip::Announcement> {
    let announcements = changes.iter().filter_map(|change| {
        let entry = gossip::announced(&change.key)?;
        let announcement = gossip::Announcement::decode(change.value.as_ref()?)?;
        Some((Arc::from(entry), announcement))
    });
    let mut entries: BTreeMap<Arc<str>, gossip::Announcement> = announcements.collect();
    let own = entries.remove(&state.settings.name);
    let places = entries.into_iter().map(|(name, read)| (name, read.place));
    state.peers.directory.borrow_mut().replaced(places);
    own
}

/// Waits for changes; returns whether to go on, or a snapshot is needed.
async fn watch<D: Dialect, F: Feed>(
    state: &State<D>,
    source: &mut Source<F>,
) -> Result<bool, Error> {
    let (changes, revision, is_part) = match source.follow(&state.peers.directory).await? {
        News::Forgotten => return Ok(false),
        News::Changes(changes, revision) => (changes, revision, false),
        News::Part(changes, revision) => (changes, revision, true),
    };
    // Registrations removed in the first answer after an outage expired during the outage.
    state.roster.borrow_mut().store_returned(clock::now());
    apply_announcements(state, &changes);
    let mut is_changed = false;
    for change in &changes {
        if change.key == orders::HOLDER {
            state.leadership.set_held(change.value.is_some());
        }
        apply_piece(state, change);
        restore::apply_mark(state, change);
        quarantine::apply_change(state, change);
        is_changed |= apply_change(state, change) != Effect::None;
    }
    restore::update_settling(state);
    state.retries.reserve.borrow_mut().followed(revision);
    if is_changed {
        rebuild(state);
    }
    if !changes.is_empty() && !is_part {
        let pause = pause_after(state, source, &changes);
        tokio::time::sleep(Duration::from_millis(pause.0)).await;
    }
    Ok(true)
}

/// Returns the pause after an answer with changes, in which further changes accumulate.
fn pause_after<D, F: Feed>(state: &State<D>, source: &Source<F>, changes: &[Change]) -> Span {
    if source.was_told() {
        return Span(0);
    }
    let usual = source.bounds().pause;
    if source.role(&state.peers.directory).is_some() {
        return usual;
    }
    let is_of_entry = |change: &Change| change.key.starts_with(ENTRY_KEYS);
    if state.leadership.own().is_some() || !changes.iter().all(is_of_entry) {
        return usual;
    }
    let apply = state.settings.limits.apply;
    usual.max(Span(apply.0.saturating_sub(CALL_RESERVE.0)))
}
