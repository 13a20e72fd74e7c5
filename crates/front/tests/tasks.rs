//! Tasks that have to run for as long as the process does.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

#[path = "../src/metrics/mod.rs"]
#[allow(dead_code, reason = "the entry uses the rest of it")]
mod metrics;
#[path = "../src/tasks.rs"]
mod tasks;

use std::cell::Cell;
use std::rc::Rc;

use metrics::Metrics;
use tokio::sync::Notify;
use tokio::task::LocalSet;

/// Guards against an entry that lives on and follows the store no more, because the task panicked.
#[tokio::test]
async fn a_task_that_panics_is_begun_again() {
    let metrics = Rc::new(Metrics::default());
    let (begun, second) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
    let local = LocalSet::new();
    let ended = second.clone();

    local
        .run_until(async {
            tasks::keep(&metrics, "test", move || {
                begun.set(begun.get() + 1);
                let (number, second) = (begun.get(), second.clone());
                async move {
                    assert!(number > 1, "the first run of the task panics");
                    second.notify_one();
                }
            });
            ended.notified().await;
        })
        .await;

    assert!(metrics.text(&[]).contains("jujube_tasks_restarted_total 1"));
}
