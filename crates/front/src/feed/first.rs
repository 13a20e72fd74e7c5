//! The first read of the store.

use std::pin::pin;
use std::time::Duration;

use futures::FutureExt;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use jujube_core::pipeline::feed::first_read::FirstRead;
use jujube_core::pipeline::feed::first_read::Notice;
use jujube_core::revision::Revision;
use jujube_core::time::Instant;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv;
use jujube_store::kv::Change;
use jujube_store::kv::Progress;

use crate::metrics::Metrics;

/// The range of the random pause before another call for the first snapshot, in milliseconds; a slow
/// store answers within it.
const CALL_PAUSE_MS: std::ops::Range<u64> = 300..400;

/// Reads all keys with a prefix, however long the store takes; they may be some seconds old.
///
/// A call made while the store was silent may stay unanswered even after the store has recovered, so
/// further calls are made at intervals unless pages still come, while the earlier ones may still be
/// answered by a slow store.
pub(super) async fn read<F: kv::Feed>(
    store: &F,
    prefix: &str,
    metrics: &Metrics,
) -> (Vec<Change>, Revision) {
    let began = clock::now();
    let progress = Progress::default();
    let mut first_read = FirstRead::default();
    let mut notice = Notice::new(began);
    let mut calls = FuturesUnordered::new();
    let mut failure = None;
    loop {
        if first_read.is_due(calls.len(), progress.pages()) {
            metrics.count("store_calls_start");
            calls.push(store.snapshot_stale(prefix, &progress));
        }
        if notice.is_due(clock::now()) {
            record_unfinished(began, &progress, calls.len(), failure.as_ref());
        }
        let pause = rand::random_range(CALL_PAUSE_MS);
        let mut pause = pin!(tokio::time::sleep(Duration::from_millis(pause)).fuse());
        loop {
            let answer = futures::select! {
                answer = calls.select_next_some() => answer,
                () = pause => break,
            };
            match answer {
                Ok((changes, revision)) => {
                    if failure.is_some() {
                        event!(Info, "store-regained");
                    }
                    record_finished(began, &progress, changes.len(), revision);
                    return (changes, revision);
                }
                Err(error) => {
                    if failure.is_none() {
                        event!(Warn, loss(&error), cause = error);
                    }
                    failure = Some(error);
                }
            }
        }
    }
}

/// Returns the event of a failed call.
fn loss(error: &kv::Error) -> &'static str {
    match error {
        kv::Error::Unusable(_) => "store-answer-unusable",
        _ => "store-lost",
    }
}

/// Records that the read has not ended, with the last failure if there was one.
fn record_unfinished(
    began: Instant,
    progress: &Progress,
    running: usize,
    failure: Option<&kv::Error>,
) {
    let took = clock::now().since(began);
    let cause = failure.map_or_else(String::new, ToString::to_string);
    event!(
        Warn,
        "first-read-unfinished",
        took_ms = took,
        pages = progress.pages(),
        running,
        last_key = progress.last_key(),
        cause
    );
}

fn record_finished(began: Instant, progress: &Progress, keys: usize, revision: Revision) {
    let took = clock::now().since(began);
    event!(
        Info,
        "first-read",
        took_ms = took,
        pages = progress.pages(),
        keys,
        revision
    );
}
