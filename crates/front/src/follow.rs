//! Follows the configuration and the registrations in the store.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use jujube_core::pipeline::document::Document;
use jujube_core::pipeline::document::Table;
use jujube_core::pipeline::roster::Effect;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_store::kv::Error;
use jujube_store::kv::Feed;
use jujube_store::kv::News;
use jujube_store::kv::Pair;
use jujube_store::kv::Revision;
use jujube_store::orders;

use crate::dialect::Dialect;
use crate::dialect::Record;
use crate::fleet;
use crate::state::State;

/// Everything: one waiting call hears of configuration, registrations and the planner's lease.
const ALL: &str = "";
/// How long one call waits for changes.
///
/// A call that began while the store passed no changes on hears nothing for its whole wait, while all
/// other calls work: a configuration would be missed for that long. It must be in force within two
/// seconds of the store's being well again, which takes three to count. A store that falls silent as
/// a whole is noticed by the renewals of this entry's lease.
const WAIT: Span = Span(2_000);
/// The same while the store is lost: a short wait is answered soon after it is back, also when
/// nothing changes.
const WAIT_LOST: Span = Span(300);
/// The pause between an answer with changes and the next call. Changes come in bursts, and each call
/// is paid for by each entry; a tenth of the two seconds in which a configuration must be in force.
const GATHER: Duration = Duration::from_millis(500);
/// The shortest and longest pause before a store that failed is asked again; a random one between
/// them keeps the entries from asking together.
const PAUSE_MS: std::ops::Range<u64> = 100..300;

/// The pause between two calls for the first snapshot, in milliseconds; a slow store answers within.
const FIRST_PAUSE_MS: std::ops::Range<u64> = 300..400;

/// Follows the store until the process ends.
pub async fn run<D: Dialect, F: Feed>(state: Rc<State<D>>, store: F) {
    let mut after: Option<Revision> = None;
    let mut is_lost = false;
    loop {
        let wait = if is_lost { WAIT_LOST } else { WAIT };
        let step = async {
            match after {
                None => read(&state, &store).await,
                Some(revision) => follow(&state, &store, revision, wait).await,
            }
        };
        let step = tokio::select! {
            step = step => step,
            () = state.store_doubted.notified() => Err(Error::Unknown("lease-not-renewed".into())),
        };
        match step {
            Ok(next) => {
                after = next;
                if is_lost {
                    is_lost = false;
                    state.roster.borrow_mut().store_returned(clock::now());
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

/// Reads everything for the first time, however long the store takes.
///
/// Until then every caller is turned away. A call that was made while the store was silent stays
/// without an answer for its whole time, also when the store is back meanwhile; so another is made
/// every now and then, and those before it may still be answered by a slow store.
async fn first_snapshot<D: Dialect, F: Feed>(state: &State<D>, store: &F) -> (Vec<Pair>, Revision) {
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
    let (pairs, revision) = if state.registered.get() {
        state.metrics.count("store_reads");
        store.snapshot(ALL).await?
    } else {
        first_snapshot(state, store).await
    };
    // What came back after an outage is judged by when it came back, not by when it was lost.
    state.roster.borrow_mut().store_returned(clock::now());
    let mut servers = Vec::new();
    let mut is_held = false;
    for pair in &pairs {
        is_held |= pair.key == orders::HOLDER;
        state.peers.take(&pair.key, Some(&pair.value));
        match D::record(&pair.key, Some(&pair.value)) {
            Ok(Record::Configuration(document)) => take(state, document),
            Ok(Record::Server(server)) => servers.push(server),
            Ok(Record::Removed(_) | Record::Other) => {}
            Err(error) => malformed(&pair.key, &error),
        }
    }
    let effects = state.roster.borrow_mut().replace(clock::now(), servers);
    for (server, effect) in &effects {
        log::info!("event=registration server={server} effect={effect:?} revision={revision}");
    }
    state.registered.set(true);
    state.leadership.heard(is_held);
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
        state.peers.take(&change.key, change.value.as_deref());
        match D::record(&change.key, change.value.as_deref()) {
            Ok(Record::Configuration(document)) => take(state, document),
            Ok(Record::Server(server)) => {
                let name = server.name.clone();
                let held = server.held;
                let effect = state.roster.borrow_mut().seen(clock::now(), server);
                is_changed |= effect != Effect::None;
                if effect != Effect::None {
                    log::info!(
                        "event=registration server={name} effect={effect:?} held={held} \
                         revision={}",
                        change.revision
                    );
                }
            }
            Ok(Record::Removed(name)) => {
                let effect = state.roster.borrow_mut().removed(clock::now(), &name);
                is_changed |= effect != Effect::None;
                log::info!(
                    "event=registration server={name} effect={effect:?} revision={}",
                    change.revision
                );
            }
            Ok(Record::Other) => {}
            Err(error) => malformed(&change.key, &error),
        }
    }
    if is_changed {
        rebuild(state);
    }
    if !changes.is_empty() {
        tokio::time::sleep(GATHER).await;
    }
    Ok(Some(revision))
}

fn malformed(key: &str, error: &anyhow::Error) {
    let cause = format!("{error:#}").replace(' ', "-");
    log::error!("event=malformed key={key} cause={cause}");
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

/// Rebuilds what is derived from configuration and registrations.
pub fn rebuild<D>(state: &State<D>) {
    let Some(table) = state.table() else {
        return;
    };
    let roster = state.roster.borrow();
    *state.fleets.borrow_mut() = fleet::build(&table, &roster);
    let is_known = |server: &jujube_core::name::Server| roster.get(server).is_some();
    state.suspicion.borrow_mut().retain(is_known);
    state.load.borrow_mut().backlog.retain(is_known);
    state.outliers.borrow_mut().retain(is_known);
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
        state.pool.expire(|server| roster.get(server).is_some());
    }
}
