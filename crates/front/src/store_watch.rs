//! Watches the configuration and the registrations in the store.

use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use jujube_core::layer::Range;
use jujube_core::pipeline::document::Document;
use jujube_core::pipeline::document::Table;
use jujube_core::pipeline::pace;
use jujube_core::pipeline::roster::Effect;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_store::kv::Change;
use jujube_store::kv::Error;
use jujube_store::kv::Feed;
use jujube_store::kv::News;
use jujube_store::kv::Revision;
use jujube_store::orders;

use crate::dialect::Dialect;
use crate::dialect::Record;
use crate::fleet;
use crate::gossip;
use crate::limits;
use crate::quarantine;
use crate::restore;
use crate::slack;
use crate::state::State;

/// The longest pause of the planner between an answer with changes and the next call. It must be
/// shorter than the 0.7 s after which the planner considers the registrations complete, or servers
/// would be placed before all of them are known. With one call a second half of the servers were,
/// and a deployment served a third less all day.
pub const MAX_PLANNER_PAUSE: Span = Span(500);
/// The prefix of the keys that entries write.
const ENTRY_KEYS: &str = "jujube/";
/// The empty prefix: one watch covers the configuration, the registrations and the planner's lease.
const ALL_KEYS: &str = "";
/// How much shorter one call waits than the fault-free time after which the time limits apply.
///
/// A watch that began while the store delivered no changes may report no changes for its whole wait
/// although all other calls succeed. The next call must be answered before the time limits apply
/// again. A store that becomes silent altogether is detected by the renewals of this entry's lease.
const WAIT_MARGIN: Span = Span(1_000);
/// The shortest wait of one call.
const MIN_WAIT: Span = Span(500);
/// The wait of one call after the connection to the store was lost, short so that the recovery is
/// noticed even if nothing changes.
const WAIT_AFTER_LOSS: Span = Span(300);
/// The part of the time limit reserved for the next call after an answer that contained only keys
/// of entries. Such changes may wait longer than a configuration. A slow store answers within a
/// third of a second, and decoding a large snapshot takes as long on the smallest VMs.
const CALL_RESERVE: Span = Span(1_500);
/// The range of the random pause before a failed call is repeated, which keeps the entries from
/// calling in step.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 100..300;

/// The range of the random pause between two calls for the first snapshot, in milliseconds; a slow
/// store answers within it.
const FIRST_CALL_PAUSE_MS: std::ops::Range<u64> = 300..400;

/// Watches the store until the process ends.
pub async fn run<D: Dialect, F: Feed>(state: Rc<State<D>>, store: F) {
    let mut after: Option<Revision> = None;
    let mut era = store.era();
    let mut is_lost = false;
    loop {
        if state.roster.borrow().needs_reread(clock::now()) {
            // Running servers have registered again by now; a new snapshot no longer contains
            // the dead ones of the backup.
            after = None;
        }
        let wait = if is_lost {
            WAIT_AFTER_LOSS
        } else {
            wait_time(&state)
        };
        let step = async {
            match after {
                None => read_snapshot(&state, &store).await,
                Some(revision) => watch(&state, &store, revision, wait).await,
            }
        };
        let step = tokio::select! {
            step = step => step,
            () = state.store_call_failed.notified() => Err(Error::Unknown("lease-not-renewed".into())),
            () = store.risen(era) => Ok(None),
        };
        let (previous, current) = (era, store.era());
        era = current;
        if let Some(later) =
            current.filter(|current| previous.is_some_and(|previous| *current > previous))
        {
            // The result of this step may mix the state of both eras.
            restore::handle_restore(&state, later);
            after = None;
            continue;
        }
        match step {
            Ok(next) => {
                after = next;
                if is_lost {
                    is_lost = false;
                    state.roster.borrow_mut().store_returned(clock::now());
                    state.reported_layers.borrow_mut().clear();
                    log::info!("event=store-regained");
                }
            }
            Err(error) => {
                state.metrics.count("store_failures");
                if !is_lost {
                    is_lost = true;
                    state.roster.borrow_mut().store_lost();
                    log::warn!(
                        "event=store-lost cause={}",
                        error.to_string().replace(' ', "-")
                    );
                }
                let pause = rand::random_range(RETRY_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }
}

/// Returns how long one call waits for changes.
fn wait_time<D>(state: &State<D>) -> Span {
    let contact = state.settings.limits.contact;
    Span(contact.0.saturating_sub(WAIT_MARGIN.0)).max(MIN_WAIT)
}

/// Reads the first snapshot, however long the store takes.
///
/// Until then every caller is refused. A call made while the store was silent may stay unanswered
/// even after the store has recovered, so further calls are made at intervals, while the earlier
/// ones may still be answered by a slow store.
async fn first_snapshot<D: Dialect, F: Feed>(
    state: &State<D>,
    store: &F,
) -> (Vec<Change>, Revision) {
    let mut calls = FuturesUnordered::new();
    let mut is_lost = false;
    loop {
        state.metrics.count("store_reads");
        calls.push(store.snapshot(ALL_KEYS));
        let pause = rand::random_range(FIRST_CALL_PAUSE_MS);
        let mut pause = pin!(tokio::time::sleep(Duration::from_millis(pause)).fuse());
        loop {
            let answer = futures::select! {
                answer = calls.select_next_some() => answer,
                () = pause => break,
            };
            match answer {
                Ok(snapshot) => {
                    if is_lost {
                        log::info!("event=store-regained");
                    }
                    return snapshot;
                }
                Err(error) if !is_lost => {
                    is_lost = true;
                    let cause = error.to_string().replace(' ', "-");
                    log::warn!("event=store-lost cause={cause}");
                }
                // The loss is logged already, and the next call follows soon.
                Err(_) => {}
            }
        }
    }
}

/// Reads a snapshot of the store; returns the revision to watch from.
async fn read_snapshot<D: Dialect, F: Feed>(
    state: &State<D>,
    store: &F,
) -> Result<Option<Revision>, Error> {
    let (changes, revision) = if state.registrations_read.get() {
        state.metrics.count("store_reads");
        store.snapshot(ALL_KEYS).await?
    } else {
        first_snapshot(state, store).await
    };
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
    let mut entries = BTreeMap::new();
    let mut pieces = BTreeMap::new();
    for change in &changes {
        if let (Some(entry), Some(value)) = (gossip::announced(&change.key), &change.value) {
            let announcement = gossip::Announcement::decode(value);
            entries.extend(announcement.map(|read| (Arc::from(entry), read)));
        }
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
        let held = state.roster.borrow().held(server).unwrap_or_default();
        log::info!(
            "event=registration server={server} effect={effect:?} held={held} revision={revision}"
        );
    }
    state.registrations_read.set(true);
    state.leadership.set_held(is_held);
    let mut reserve = state.retries.reserve.borrow_mut();
    reserve.replaced(&pieces, revision);
    drop(reserve);
    let own = entries.get(&state.settings.name);
    check_own_announcement(state, own, revision);
    let places = entries.into_iter().map(|(name, read)| (name, read.place));
    state.peers.directory.borrow_mut().replaced(places);
    rebuild(state);
    Ok(Some(revision))
}

/// Waits for changes; returns the revision to continue from, or `None` if a snapshot is needed.
async fn watch<D: Dialect, F: Feed>(
    state: &State<D>,
    store: &F,
    after: Revision,
    wait: Span,
) -> Result<Option<Revision>, Error> {
    state.metrics.count("store_watches");
    let (changes, revision) = match store.follow(ALL_KEYS, after, wait).await? {
        News::Forgotten => {
            log::info!("event=history-lost revision={after}");
            return Ok(None);
        }
        News::Changes(changes, revision) => (changes, revision),
    };
    // Registrations removed in the first answer after an outage expired during the outage.
    state.roster.borrow_mut().store_returned(clock::now());
    let mut is_changed = false;
    for change in &changes {
        if change.key == orders::HOLDER {
            state.leadership.set_held(change.value.is_some());
        }
        apply_announcement(state, change);
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
    if !changes.is_empty() {
        let pause = pause_after(state, &changes);
        tokio::time::sleep(Duration::from_millis(pause.0)).await;
    }
    Ok(Some(revision))
}

/// Returns the pause after an answer with changes, in which further changes accumulate.
fn pause_after<D>(state: &State<D>, changes: &[Change]) -> Span {
    let is_of_entry = |change: &Change| change.key.starts_with(ENTRY_KEYS);
    let apply = state.settings.limits.apply;
    let usual = pace::pause(apply, state.peers.directory.borrow().count());
    let pause = match changes.iter().all(is_of_entry) {
        true => usual.max(Span(apply.0.saturating_sub(CALL_RESERVE.0))),
        false => usual,
    };
    match state.leadership.own() {
        Some(_) => pause.min(MAX_PLANNER_PAUSE),
        None => pause,
    }
}

/// Records the address of another entry if the change is an announcement.
fn apply_announcement<D>(state: &State<D>, change: &Change) {
    let Some(entry) = gossip::announced(&change.key) else {
        return;
    };
    let announcement = change.value.as_ref().and_then(gossip::Announcement::decode);
    if *entry == *state.settings.name {
        check_own_announcement(state, announcement.as_ref(), change.revision);
        return;
    }
    let mut directory = state.peers.directory.borrow_mut();
    match announcement {
        Some(announcement) => directory.announced(entry, announcement.place),
        None => directory.removed(entry),
    }
}

/// Drops the lease of this entry's announcement if another announcement has replaced it, so that it
/// is written again.
///
/// A delayed write under an earlier lease can replace the announcement and remove it when that
/// lease expires, and entries that start later would not find this one. Revisions up to that of
/// this entry's own write say nothing about it.
fn check_own_announcement<D>(
    state: &State<D>,
    announcement: Option<&gossip::Announcement>,
    revision: Revision,
) {
    if revision <= state.retries.announced.get() {
        return;
    }
    let mut reserve = state.retries.reserve.borrow_mut();
    let lease_id = announcement.map(|announcement| announcement.lease_id);
    if reserve.lease_id().is_some() && reserve.lease_id() != lease_id {
        let by = lease_id.map_or("None".into(), |lease_id| {
            format!("Some(Tenure({lease_id}))")
        });
        log::info!("event=announcement-overtaken by={by}");
        reserve.lost();
    }
}

/// Records the holder of a piece of the retry slack if the change is about one.
fn apply_piece<D>(state: &State<D>, change: &Change) {
    let Some((service, piece)) = slack::parse_key(&change.key) else {
        return;
    };
    let mut reserve = state.retries.reserve.borrow_mut();
    match slack::parse_record(change) {
        Some(record) => reserve.written(&service, piece, record),
        None => reserve.removed(&service, piece, change.revision),
    }
    state.retries.changed.notify_one();
}

/// Applies one change; returns its effect on the registrations.
fn apply_change<D: Dialect>(state: &State<D>, change: &Change) -> Effect {
    let now = clock::now();
    let mut roster = state.roster.borrow_mut();
    let (name, effect) = match D::record(&change.key, change.value.as_ref()) {
        Record::Configuration(document) => {
            drop(roster);
            apply_configuration(state, document);
            return Effect::None;
        }
        Record::Server(server) => {
            let name = server.incarnation.server.clone();
            (name, roster.registered(now, server))
        }
        Record::Removed(name) => {
            let effect = roster.removed(now, &name);
            (name, effect)
        }
        Record::UnreadableServer(name, error) => {
            state.malformed.log(change, &error);
            let effect = roster.unreadable(&name);
            (name, effect)
        }
        Record::Unreadable(error) => {
            state.malformed.log(change, &error);
            return Effect::None;
        }
        Record::Other => return Effect::None,
    };
    if effect != Effect::None {
        let held = roster.held(&name).unwrap_or_default();
        log::info!(
            "event=registration server={name} effect={effect:?} held={held} revision={}",
            change.revision
        );
    }
    effect
}

/// Applies a configuration unless the one in force is as new.
///
/// A snapshot may be older than changes already watched; applying it would route by a superseded
/// configuration.
fn apply_configuration<D: Dialect>(state: &State<D>, document: Document) {
    let version = document.version;
    let current = state.table().map(|table| table.document.version);
    if current.is_some_and(|current| current >= version) {
        return;
    }
    log::info!(
        "event=configuration version={version} routes={} services={} customers={}",
        document.routes.len(),
        document.services.len(),
        document.accounts.len()
    );
    state.metrics.count("configurations");
    *state.table.borrow_mut() = Some(Rc::new(Table::new(document)));
    rebuild(state);
}

/// Applies the layers that a server reports while the store, the usual source, is unavailable, and
/// shares them with the other entries.
pub fn apply_reported_layers<D>(state: &State<D>, server: &Incarnation, held: Range) {
    let mut roster = state.roster.borrow_mut();
    let effect = roster.reported(clock::now(), server, held);
    drop(roster);
    if effect == Effect::None {
        return;
    }
    log::info!("event=reported server={server} effect={effect:?} held={held}");
    state
        .reported_layers
        .borrow_mut()
        .insert(server.clone(), held);
    rebuild(state);
}

/// Records that servers say that they are leaving, as this entry heard or others reported.
pub fn apply_leaving<'a, D>(
    state: &State<D>,
    servers: impl IntoIterator<Item = &'a Incarnation>,
    source: &str,
) {
    let mut is_changed = false;
    for server in servers {
        let mut roster = state.roster.borrow_mut();
        if roster.announced_leaving(clock::now(), server) != Effect::None {
            is_changed = true;
            state.metrics.count("servers_leaving");
            log::info!("event=leaving server={server} source={source}");
        }
    }
    if is_changed {
        rebuild(state);
    }
}

/// Records whether a start that replaced a leaver answered a health check.
pub fn apply_check<D>(state: &State<D>, server: &Incarnation, is_answered: bool) {
    let mut roster = state.roster.borrow_mut();
    let may_get_requests = roster.leavers.checked(clock::now(), server, is_answered);
    drop(roster);
    if may_get_requests {
        log::info!("event=not-leaving server={server} is_answered={is_answered}");
        rebuild(state);
    }
}

/// Removes a server at whose address another one has answered.
pub fn displace<D>(state: &State<D>, server: &Incarnation) {
    log::info!("event=displaced server={server}");
    state.roster.borrow_mut().displaced(clock::now(), server);
    rebuild(state);
}

/// Rebuilds the state derived from the configuration and the registrations.
pub fn rebuild<D>(state: &State<D>) {
    let Some(table) = state.table() else {
        return;
    };
    state.roster.borrow_mut().record_deaths(
        clock::now(),
        &state.suspicion.borrow(),
        &state.local_health.borrow(),
    );
    let replaced = state.roster.borrow_mut().take_replaced();
    let roster = state.roster.borrow();
    for earlier in &replaced {
        if let Some(later) = roster.incarnation(&earlier.server) {
            state.load.borrow_mut().rests.inherit(earlier, later);
        }
    }
    *state.fleets.borrow_mut() = fleet::build(&table, &roster);
    if state.registrations_read.get() {
        state
            .gaps
            .log(clock::now(), &state.fleets.borrow(), &state.metrics);
    }
    let is_known = |server: &Incarnation| roster.get(server).is_some();
    state.suspicion.borrow_mut().retain(is_known);
    state.load.borrow_mut().retain(is_known);
    state.outliers.borrow_mut().retain(is_known);
    drop(roster);
    limits::divide(state);
    for replaced in replaced {
        // Streams through the old incarnation switch paths at once instead of waiting for a
        // timeout.
        state.suspect(&replaced, "restarted");
    }
    state.roster_changed.notify_waiters();
    state.held.check();
}

/// How often expired registrations and idle connections are removed. The grace period ends two
/// seconds after the store's recovery, and a server that is missing then must get no requests a
/// second later.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);

/// Removes expired registrations and idle connections until the process ends.
pub async fn expire<D: Dialect>(state: Rc<State<D>>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        let expired = state.roster.borrow_mut().expire(clock::now());
        for server in &expired {
            log::info!("event=registration server={server} effect=GraceOver");
        }
        if !expired.is_empty() {
            rebuild(&state);
        }
        let roster = state.roster.borrow();
        state.pool.close_expired(|server| {
            roster.get(server).is_some() || roster.missing.contains(server)
        });
    }
}
