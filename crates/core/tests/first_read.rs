//! How often an entry begins its first read, before stores of all kinds.

use jujube_core::pipeline::feed::first_read::FirstRead;
use jujube_core::pipeline::feed::first_read::MAX_READS;
use proptest::prelude::*;

/// The time between two decisions, in milliseconds.
const PAUSE_MS: u64 = 350;
/// When a call without an answer is given up, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// A store that tells a page after another, whichever read asks.
struct Store {
    /// How long a page takes, in milliseconds.
    page_ms: u64,
    /// The pages that tell all keys.
    pages: u64,
}

/// Returns how many pages a store tells until the first read has all, with reads that take turns.
fn pages_told(store: &Store) -> u64 {
    let mut first_read = FirstRead::default();
    let mut reads: Vec<u64> = Vec::new();
    let (mut told, mut next) = (0, 0);
    loop {
        if first_read.is_due(reads.len(), told) {
            reads.push(0);
        }
        assert!(reads.len() <= MAX_READS);
        for _ in 0..(PAUSE_MS / store.page_ms).max(1) {
            next = (next + 1) % reads.len();
            reads[next] += 1;
            told += 1;
            if reads[next] == store.pages {
                return told;
            }
        }
    }
}

proptest! {
    /// Guards against a first read that takes more the longer the store takes to tell all keys.
    #[test]
    fn a_store_that_tells_pages_is_read_once(page_ms in 1..PAUSE_MS, pages in 1_u64..20_000) {
        let told = pages_told(&Store { page_ms, pages });

        prop_assert_eq!(told, pages);
    }
}

/// Guards against an entry that waits for calls that stay unanswered: a silent store is asked as often as
/// before.
#[test]
fn a_silent_store_is_asked_again_at_each_pause() {
    let mut first_read = FirstRead::default();
    let mut begun_at: Vec<u64> = Vec::new();

    for now in (0..60_000).step_by(PAUSE_MS as usize) {
        let running = begun_at
            .iter()
            .filter(|begun_at| now - **begun_at < CALL_TIMEOUT_MS);
        if first_read.is_due(running.count(), 0) {
            begun_at.push(now);
        }
    }

    assert_eq!(begun_at.len() as u64, 60_000_u64.div_ceil(PAUSE_MS));
}

/// Guards against a store that falls silent in the middle of a read.
#[test]
fn a_read_whose_pages_stop_is_begun_again() {
    let mut first_read = FirstRead::default();

    assert!(first_read.is_due(0, 0));
    assert!(!first_read.is_due(1, 7));
    assert!(first_read.is_due(1, 7));
}

/// Guards against an entry that gives up after its reads have failed.
#[test]
fn a_read_is_begun_when_none_runs() {
    let mut first_read = FirstRead::default();

    assert!(first_read.is_due(0, 0));
    assert!(first_read.is_due(0, 3));
    assert!(first_read.is_due(0, 9));
}

/// Guards against reads without end before a store whose calls stay unanswered.
#[test]
fn no_more_reads_run_at_once_than_a_silent_store_leaves_unanswered() {
    let mut first_read = FirstRead::default();

    assert!(first_read.is_due(MAX_READS - 1, 0));
    assert!(!first_read.is_due(MAX_READS, 0));
}
