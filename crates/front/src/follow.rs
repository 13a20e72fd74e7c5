//! Follows the configuration and the registrations in the store.

use std::cell::RefCell;
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
use crate::restore;
use crate::slack;
use crate::state::State;

/// The longest such pause of the entry that places layers. It takes registrations for complete that have been quiet for
/// 0.7 s; looking once a second it placed half of the servers without knowing the others, and a deployment served a
/// third less all day.
pub const GATHER_PLANNER: Span = Span(500);
/// The start of the keys that entries write.
const OWN: &str = "jujube/";
/// Everything: one waiting call hears of configuration, registrations and the planner's lease.
const ALL: &str = "";
/// How much less one call waits for changes than a VM takes to count as being without trouble.
///
/// A call that began while the store passed no changes on hears nothing for its whole wait, while all
/// other calls work: a configuration would be missed for that long. The next call must have been answered by the
/// time from which delays count. A store that falls silent as a whole is noticed by the renewals of this entry's
/// lease.
const EARLIER: Span = Span(1_000);
/// The least that one call waits.
const LEAST_WAIT: Span = Span(500);
/// The same while the store is lost: a short wait is answered soon after it is back, also when
/// nothing changes.
const WAIT_LOST: Span = Span(300);
/// The share of the time in which a configuration must be in force that passes between an answer with changes and the
/// next call. Changes come in bursts, and each call is paid for by each entry: with half a second of two and a hundred
/// entries, calls to the store were a tenth of what a day with trouble earned.
const GATHER_SHARE: u64 = 4;
/// How much of that time is left for the next call after an answer that told only of entries and of what they hold in
/// the store: more of that may wait, a configuration may not. A slow store takes a third of a second, and reading a
/// large one as long on the smallest VMs.
const LEFT: Span = Span(1_500);
/// The shortest and longest pause before a store that failed is asked again; a random one between
/// them keeps the entries from asking together.
const PAUSE_MS: std::ops::Range<u64> = 100..300;

/// The pause between two calls for the first snapshot, in milliseconds; a slow store answers within.
const FIRST_PAUSE_MS: std::ops::Range<u64> = 300..400;

/// Follows the store until the process ends.
pub async fn run<D: Dialect, F: Feed>(state: Rc<State<D>>, store: F) {
    let mut after: Option<Revision> = None;
    let mut era = store.era();
    let mut is_lost = false;
    loop {
        if state.roster.borrow().is_to_be_read(clock::now()) {
            // What lives has written again; what the copy still showed and is dead is gone.
            after = None;
        }
        let wait = if is_lost { WAIT_LOST } else { wait(&state) };
        let step = async {
            match after {
                None => read(&state, &store).await,
                Some(revision) => follow(&state, &store, revision, wait).await,
            }
        };
        let step = tokio::select! {
            step = step => step,
            () = state.store_doubted.notified() => Err(Error::Unknown("lease-not-renewed".into())),
            () = store.risen(era) => Ok(None),
        };
        let (before, now) = (era, store.era());
        era = now;
        if let Some(risen) = now.filter(|now| before.is_some_and(|before| *now > before)) {
            // Whatever this step has learned may be of both eras.
            restore::take(&state, risen);
            after = None;
            continue;
        }
        match step {
            Ok(next) => {
                after = next;
                if is_lost {
                    is_lost = false;
                    state.roster.borrow_mut().store_returned(clock::now());
                    state.told.borrow_mut().clear();
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
                let pause = rand::random_range(PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }
}

/// Returns how long one call waits for changes.
fn wait<D>(state: &State<D>) -> Span {
    let contact = state.settings.fresh.contact;
    Span(contact.0.saturating_sub(EARLIER.0)).max(LEAST_WAIT)
}

/// Reads everything for the first time, however long the store takes.
///
/// Until then every caller is turned away. A call that was made while the store was silent stays
/// without an answer for its whole time, also when the store is back meanwhile; so another is made
/// every now and then, and those before it may still be answered by a slow store.
async fn first_snapshot<D: Dialect, F: Feed>(
    state: &State<D>,
    store: &F,
) -> (Vec<Change>, Revision) {
    let mut calls = FuturesUnordered::new();
    let mut is_lost = false;
    loop {
        state.metrics.count("store_reads");
        calls.push(store.snapshot(ALL));
        let pause = rand::random_range(FIRST_PAUSE_MS);
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
                // The store is known to be lost, and the next call is due soon.
                Err(_) => {}
            }
        }
    }
}

/// Reads everything; returns the revision to follow from.
async fn read<D: Dialect, F: Feed>(state: &State<D>, store: &F) -> Result<Option<Revision>, Error> {
    let (changes, revision) = if state.registered.get() {
        state.metrics.count("store_reads");
        store.snapshot(ALL).await?
    } else {
        first_snapshot(state, store).await
    };
    // What came back after an outage is judged by when it came back, not by when it was lost.
    state.roster.borrow_mut().store_returned(clock::now());
    if state.roster.borrow().is_to_be_read(clock::now()) {
        state.roster.borrow_mut().read_again();
    }
    restore::take_all(state, store.era(), &changes);
    restore::mark(state, store, restore::shows_earlier(&changes)).await;
    let mut servers = Vec::new();
    let mut unreadable = Vec::new();
    let mut is_held = false;
    let mut entries = BTreeMap::new();
    let mut pieces = BTreeMap::new();
    for change in &changes {
        if let (Some(entry), Some(value)) = (gossip::announced(&change.key), &change.value) {
            let announcement = gossip::Announcement::read(value);
            entries.extend(announcement.map(|read| (Arc::from(entry), read)));
        }
        if let (Some(piece), Some(record)) = (slack::piece(&change.key), slack::record(change)) {
            pieces.insert(piece, record);
        }
        is_held |= change.key == orders::HOLDER;
        match D::record(&change.key, change.value.as_ref()) {
            Record::Configuration(document) => take(state, document),
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
    state.registered.set(true);
    state.leadership.heard(is_held);
    let mut reserve = state.retries.reserve.borrow_mut();
    reserve.replaced(&pieces, revision);
    drop(reserve);
    let own = entries.get(&state.settings.name);
    check_own(state, own, revision);
    let places = entries.into_iter().map(|(name, read)| (name, read.place));
    state.peers.directory.borrow_mut().replaced(places);
    rebuild(state);
    Ok(Some(revision))
}

/// Waits for changes; returns the revision to follow from, `None` to read everything.
async fn follow<D: Dialect, F: Feed>(
    state: &State<D>,
    store: &F,
    after: Revision,
    wait: Span,
) -> Result<Option<Revision>, Error> {
    state.metrics.count("store_watches");
    let (changes, revision) = match store.follow(ALL, after, wait).await? {
        News::Forgotten => {
            log::info!("event=history-lost revision={after}");
            return Ok(None);
        }
        News::Changes(changes, revision) => (changes, revision),
    };
    // Registrations that vanish in the first answer after an outage lapsed in it.
    state.roster.borrow_mut().store_returned(clock::now());
    let mut is_changed = false;
    for change in &changes {
        if change.key == orders::HOLDER {
            state.leadership.heard(change.value.is_some());
        }
        take_announcement(state, change);
        take_piece(state, change);
        restore::take_mark(state, change);
        is_changed |= apply(state, change) != Effect::None;
    }
    restore::allow_pieces(state);
    state.retries.reserve.borrow_mut().followed(revision);
    if is_changed {
        rebuild(state);
    }
    if !changes.is_empty() {
        let pause = gather(state, &changes);
        tokio::time::sleep(Duration::from_millis(pause.0)).await;
    }
    Ok(Some(revision))
}

/// Returns for how long changes are gathered after an answer with these.
fn gather<D>(state: &State<D>, changes: &[Change]) -> Span {
    let is_own = |change: &Change| change.key.starts_with(OWN);
    let apply = state.settings.fresh.apply;
    let gather = Span(apply.0 / GATHER_SHARE);
    let pause = match changes.iter().all(is_own) {
        true => gather.max(Span(apply.0.saturating_sub(LEFT.0))),
        false => gather,
    };
    match state.leadership.own() {
        Some(_) => pause.min(GATHER_PLANNER),
        None => pause,
    }
}

/// Takes where another entry is, if the change tells that.
fn take_announcement<D>(state: &State<D>, change: &Change) {
    let Some(entry) = gossip::announced(&change.key) else {
        return;
    };
    let announcement = change.value.as_ref().and_then(gossip::Announcement::read);
    if *entry == *state.settings.name {
        check_own(state, announcement.as_ref(), change.revision);
        return;
    }
    let mut directory = state.peers.directory.borrow_mut();
    match announcement {
        Some(announcement) => directory.announced(entry, announcement.place),
        None => directory.removed(entry),
    }
}

/// Gives up the lease of this entry's announcement if another one has taken its place, for it to be made anew.
///
/// A write of an earlier lease that is carried out late takes the announcement with it when that lease ends, and
/// entries that start later would never hear of this one. What the store tells of times before this announcement
/// says nothing of it.
fn check_own<D>(state: &State<D>, announcement: Option<&gossip::Announcement>, told: Revision) {
    if told <= state.retries.announced.get() {
        return;
    }
    let mut reserve = state.retries.reserve.borrow_mut();
    let stands = announcement.map(|announcement| announcement.tenure);
    if reserve.tenure().is_some() && reserve.tenure() != stands {
        log::info!("event=announcement-overtaken by={stands:?}");
        reserve.lost();
    }
}

/// Takes who holds a piece of the retry budget's slack, if the change tells that.
fn take_piece<D>(state: &State<D>, change: &Change) {
    let Some((service, piece)) = slack::piece(&change.key) else {
        return;
    };
    let mut reserve = state.retries.reserve.borrow_mut();
    match slack::record(change) {
        Some(record) => reserve.written(&service, piece, record),
        None => reserve.removed(&service, piece, change.revision),
    }
    state.retries.changed.notify_one();
}

/// Takes one change; returns what it meant for the registrations.
fn apply<D: Dialect>(state: &State<D>, change: &Change) -> Effect {
    let now = clock::now();
    let mut roster = state.roster.borrow_mut();
    let (name, effect) = match D::record(&change.key, change.value.as_ref()) {
        Record::Configuration(document) => {
            drop(roster);
            take(state, document);
            return Effect::None;
        }
        Record::Server(server) => {
            let name = server.incarnation.server.clone();
            (name, roster.seen(now, server))
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

/// The values that could not be read and that were logged.
///
/// The whole store is read again after each gap in its history; without this an entry that somebody
/// else wrote once would be reported each time.
#[derive(Default)]
pub struct Malformed(RefCell<BTreeMap<String, Revision>>);

/// How many keys are remembered; a writer that makes up new ones must not fill the memory.
const MOST_MALFORMED: usize = 1_000;

impl Malformed {
    fn log(&self, change: &Change, error: &anyhow::Error) {
        let mut logged = self.0.borrow_mut();
        if logged.get(&change.key) == Some(&change.revision) {
            return;
        }
        if logged.len() >= MOST_MALFORMED {
            logged.clear();
        }
        logged.insert(change.key.clone(), change.revision);
        let cause = format!("{error:#}").replace(char::is_whitespace, "-");
        log::error!(
            "event=malformed key={} revision={} cause={cause}",
            change.key,
            change.revision
        );
    }
}

/// Takes a configuration, unless one that is newer is in force.
///
/// A read may be older than what a watch has shown; going back to it would route by a configuration
/// that was replaced.
fn take<D: Dialect>(state: &State<D>, document: Document) {
    let version = document.version;
    let known = state.table().map(|table| table.document.version);
    if known.is_some_and(|known| known >= version) {
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

/// Takes what a server itself says it holds, and has the other entries told, while the store, which would
/// tell all, is away.
pub fn take_held<D>(state: &State<D>, server: &Incarnation, held: Range) {
    let mut roster = state.roster.borrow_mut();
    let effect = roster.reported(clock::now(), server, held);
    drop(roster);
    if effect == Effect::None {
        return;
    }
    log::info!("event=reported server={server} effect={effect:?} held={held}");
    state.told.borrow_mut().insert(server.clone(), held);
    rebuild(state);
}

/// Rebuilds what is derived from configuration and registrations.
pub fn rebuild<D>(state: &State<D>) {
    let Some(table) = state.table() else {
        return;
    };
    state.roster.borrow_mut().tell_dead(
        clock::now(),
        &state.suspicion.borrow(),
        &state.pulse.borrow(),
    );
    let roster = state.roster.borrow();
    *state.fleets.borrow_mut() = fleet::build(&table, &roster);
    if state.registered.get() {
        state
            .gaps
            .log(clock::now(), &state.fleets.borrow(), &state.metrics);
    }
    let is_known = |server: &Incarnation| roster.get(server).is_some();
    state.suspicion.borrow_mut().retain(is_known);
    state.load.borrow_mut().backlog.retain(is_known);
    state.outliers.borrow_mut().retain(is_known);
    drop(roster);
    for earlier in state.roster.borrow_mut().take_replaced() {
        // Streams through it go on elsewhere at once, without waiting until they have been silent.
        state.accuse(&earlier, "restarted");
    }
    state.roster_changed.notify_waiters();
}

/// How often lapsed registrations and idle connections are looked through. A lapse ends two seconds
/// after the store's return, and what is missing then must get nothing a second later.
const TIDY: Duration = Duration::from_millis(100);

/// Drops what has run out until the process ends.
pub async fn tidy<D: Dialect>(state: Rc<State<D>>) {
    loop {
        tokio::time::sleep(TIDY).await;
        let gone = state.roster.borrow_mut().expire(clock::now());
        for server in &gone {
            log::info!("event=registration server={server} effect=GraceOver");
        }
        if !gone.is_empty() {
            rebuild(&state);
        }
        let roster = state.roster.borrow();
        state
            .pool
            .close_expired(|server| roster.get(server).is_some());
    }
}
