//! Requests and parts of prompts that crash backend servers: records what ended under them, keeps those in quarantine
//! in the store, and applies what other entries found out.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::pipeline::digest::Digest;
use jujube_core::pipeline::key::Key;
use jujube_core::pipeline::quarantine::Source;
use jujube_core::pipeline::quarantine::features::Features;
use jujube_core::pipeline::quarantine::run::End;
use jujube_core::pipeline::quarantine::run::Run;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::summary::Summary;
use jujube_core::revision::Revision;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv::Change;
use jujube_store::kv::Condition;
use jujube_store::kv::Feed;
use jujube_store::kv::Write;

use crate::state::State;

/// How long an entry leaves the write to the one that quarantined a request. By then every entry
/// that reaches the store has received the change.
const OTHERS_DELAY: Span = Span(6_000);
/// The range of the random addition to a delay, so that one entry writes before the others try.
const DELAY_JITTER_MS: std::ops::Range<u64> = 0..6_000;
/// How often unwritten requests are looked for if nothing asks for it.
const STORE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The pause after a failed write.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(500);

fn key(digest: Digest) -> String {
    Key::Quarantine(digest).to_string()
}

/// Returns the cause of a refusal, for logs.
pub fn cause(digest: Digest) -> String {
    format!("digest-{digest}")
}

fn parse_key(key: &str) -> Option<Digest> {
    match key.parse() {
        Ok(Key::Quarantine(digest)) => Some(digest),
        _ => None,
    }
}

fn jitter() -> Span {
    Span(rand::random_range(DELAY_JITTER_MS))
}

/// Returns the ends of servers under a request, for logs and the store.
fn ends<D>(state: &State<D>, digest: Digest) -> String {
    let quarantine = state.quarantine.borrow();
    let ends: Vec<String> = quarantine.ends(digest).map(End::to_string).collect();
    if ends.is_empty() {
        return "-".into();
    }
    ends.join(",")
}

/// Records that a run was lost.
///
/// A draining server ends as planned, whatever it runs.
pub fn lost<D>(state: &State<D>, run: Run) {
    if state.roster.borrow().is_draining(&run.server) {
        return;
    }
    state.quarantine.borrow_mut().lost(clock::now(), run);
}

/// Records that a request failed at a server that lives.
pub fn failed<D>(state: &State<D>, digest: Digest) {
    state.quarantine.borrow_mut().survived(digest);
}

/// Records that a request was answered well, or survived its beginning on a server.
pub fn survived<D>(state: &State<D>, digest: Digest) {
    let is_released = state.quarantine.borrow_mut().answered(digest);
    if is_released {
        event!(Warn, "quarantine-released", digest, cause = "survived");
        state.quarantine_added.notify_one();
    }
}

/// Records that a server wrote on the parts of a request, sent to it at an instant, and lives.
pub fn lived<D>(state: &State<D>, sent: Instant, features: &Features) {
    let mut quarantine = state.quarantine.borrow_mut();
    quarantine.lived(clock::now(), sent, features.parts());
}

/// Records the lost runs whose servers have ended, and quarantines the requests to blame.
pub fn settle<D>(state: &State<D>) {
    let now = clock::now();
    let mut quarantine = state.quarantine.borrow_mut();
    let ended = quarantine.settle(now, |server| has_ended(state, server));
    drop(quarantine);
    for (features, end) in &ended {
        state.metrics.count("servers_ended_under_requests");
        event!(Info, "ended-under", _ = features, server = end);
    }
    if !ended.is_empty() {
        state.urgent_report.notify_waiters();
    }
    evaluate(state);
}

/// Returns whether a server on which a run was lost has ended.
///
/// A server that broke a response off and refuses new connections counts at once, since a request
/// that crashes servers reaches the next one within milliseconds.
fn has_ended<D>(state: &State<D>, server: &Incarnation) -> bool {
    state.liveness(server).has_ended() || state.suspicion.borrow().is_refusing(server)
}

fn evaluate<D>(state: &State<D>) {
    let added = state.quarantine.borrow_mut().evaluate(clock::now());
    for digest in &added {
        record_added(state, *digest, Source::Own);
    }
    if !added.is_empty() {
        state.urgent_report.notify_waiters();
        state.quarantine_added.notify_one();
    }
}

fn record_added<D>(state: &State<D>, digest: Digest, source: Source) {
    state.metrics.count("requests_quarantined");
    let servers = ends(state, digest);
    let kind = digest.kind();
    event!(
        Warn,
        "quarantined",
        digest,
        kind,
        source,
        servers = [servers]
    );
}

/// Applies what other entries reported.
pub fn apply_reports<D>(state: &State<D>, others: &Summary) {
    let now = clock::now();
    let mut quarantine = state.quarantine.borrow_mut();
    for (end, digests) in &others.ended_under {
        for digest in digests {
            quarantine.receive(now, *digest, end);
        }
    }
    for (part, life) in &others.lives {
        quarantine.receive_life(*part, *life);
    }
    quarantine.receive_runs(others.runs);
    drop(quarantine);
    for digest in &others.quarantined {
        insert(state, *digest, Source::Report);
    }
    if !others.ended_under.is_empty() {
        evaluate(state);
    }
}

fn insert<D>(state: &State<D>, digest: Digest, source: Source) {
    let now = clock::now();
    let store_at = now.plus(OTHERS_DELAY).plus(jitter());
    let mut quarantine = state.quarantine.borrow_mut();
    let is_new = quarantine.insert(now, digest, source, store_at);
    drop(quarantine);
    if is_new {
        record_added(state, digest, source);
    }
}

/// Applies a change of the store. A request whose key an operator removed is released.
pub fn apply_change<D>(state: &State<D>, change: &Change) {
    let Some(digest) = parse_key(&change.key) else {
        return;
    };
    if change.value.is_some() {
        insert(state, digest, Source::Store);
    } else if state.quarantine.borrow_mut().release(digest) {
        event!(Warn, "quarantine-released", digest, cause = "store");
    }
}

/// Applies a snapshot of the store. What it lacks, such as after a restore, is written again.
pub fn apply_snapshot<D>(state: &State<D>, changes: &[Change]) {
    let contained: BTreeSet<Digest> = changes
        .iter()
        .filter_map(|change| parse_key(&change.key))
        .collect();
    for digest in &contained {
        insert(state, *digest, Source::Store);
    }
    let store_at = clock::now().plus(jitter());
    state.quarantine.borrow_mut().replaced(&contained, store_at);
}

/// Writes requests in quarantine to the store until the process ends.
pub async fn run<D, F: Feed>(state: Rc<State<D>>, store: F) {
    loop {
        let added = state.quarantine_added.notified();
        // A timeout looks for requests that other entries have not written.
        let _requested = tokio::time::timeout(STORE_INTERVAL, added).await;
        if state.is_store_unavailable() {
            continue;
        }
        let unstored = state.quarantine.borrow().unstored(clock::now());
        for digest in unstored {
            if !put(&state, &store, digest).await {
                tokio::time::sleep(STORE_RETRY_PAUSE).await;
            }
        }
        let evicted = state.quarantine.borrow_mut().take_evicted();
        for digest in evicted {
            remove(&store, digest).await;
        }
    }
}

/// Writes a request to the store unless another entry has; returns whether it is there.
async fn put<D, F: Feed>(state: &State<D>, store: &F, digest: Digest) -> bool {
    let condition = Condition {
        key: key(digest),
        revision: Revision::default(),
    };
    let write = Write::Put {
        key: key(digest),
        value: ends(state, digest),
        lease: None,
    };
    let outcome = match store.swap(&[condition], &[write]).await {
        Ok(true) => "written".into(),
        Ok(false) => "present".into(),
        Err(error) => error.to_string(),
    };
    event!(Info, "quarantine-stored", digest, outcome);
    let is_stored = outcome == "written" || outcome == "present";
    if is_stored {
        state.quarantine.borrow_mut().stored(digest);
    }
    is_stored
}

/// Removes a request that left the quarantine from the store.
async fn remove<F: Feed>(store: &F, digest: Digest) {
    let write = Write::Delete { key: key(digest) };
    if let Err(error) = store.swap(&[], &[write]).await {
        event!(Info, "quarantine-not-removed", digest, cause = error);
    }
}
