//! Tasks that have to run for as long as the process does.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use jujube_program::event;
use tokio::task::spawn_local;

use crate::metrics::Metrics;

/// The pause before a task is begun again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Runs a task until it returns, and begins it again if it panics.
///
/// A panic ends only its task, and nobody waits for these: the process would go on without following
/// the store, without planning or without accepting callers, and nothing would show it.
pub fn keep<F>(metrics: &Rc<Metrics>, name: &'static str, begin: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let (metrics, begin) = (metrics.clone(), Rc::new(begin));
    spawn_local(async move {
        loop {
            let begin = begin.clone();
            let Err(error) = spawn_local(async move { begin().await }).await else {
                return;
            };
            if !error.is_panic() {
                return;
            }
            metrics.count("tasks_restarted");
            event!(Error, "task-restarted", task = name);
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    });
}
