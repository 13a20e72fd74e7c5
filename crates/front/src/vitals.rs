//! What tells how a process ended, if it ends: its memory, its stalls, tasks and panics, on the log.

use std::panic;
use std::rc::Rc;
use std::time::Duration;

use jujube_core::pipeline::memory::Cause;
use jujube_core::pipeline::memory::Size;
use jujube_core::time::Instant;
use jujube_program::event;

use crate::dialect::Dialect;
use crate::state::State;

/// How often the memory is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs each panic, which is otherwise told on standard error only.
pub fn log_panics() {
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        event!(Error, "panic", cause = [panic]);
        previous(panic);
    }));
}

/// Returns the memory that the process occupies; `None` if the system does not tell.
pub fn resident() -> Option<Size> {
    let kib = told("/proc/self/status", "VmRSS:")?;
    Some(Size(kib << 10))
}

/// Returns the first number behind a name in what the system tells of this process.
fn told(path: &str, name: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Records a tick of the event loop, and logs how late it came.
pub fn tick<D>(state: &State<D>, now: Instant) {
    let told = state.stalls.borrow_mut().tick(now);
    if let Some(stall) = told {
        state.metrics.count("loop_stalls");
        event!(Warn, "loop-stalled", ms = stall);
    }
}

/// Returns how many descriptors the process may open; `None` if the system does not tell.
pub fn descriptors() -> Option<u64> {
    told("/proc/self/limits", "Max open files")
}

/// Logs the memory and what is under way until the process ends.
pub async fn run<D: Dialect>(state: Rc<State<D>>) {
    loop {
        let resident = resident().map_or("-".into(), |size| size.0.to_string());
        let held: u64 = Cause::ALL
            .map(|cause| state.memory.held_for(cause).0)
            .iter()
            .sum();
        let crowd = state.crowd.view();
        let longest_stall = state.stalls.borrow_mut().take_longest();
        state.metrics.observe("longest_stall", longest_stall);
        event!(
            Info,
            "vitals",
            resident,
            held,
            capacity = state.memory.capacity().0,
            connections = crowd.connections(),
            crowd = crowd.held(),
            crowd_capacity = crowd.capacity(),
            in_flight = state.in_flight.get(),
            streams = state.streams.len(),
            longest_stall_ms = longest_stall
        );
        tokio::time::sleep(LOG_INTERVAL).await;
    }
}
