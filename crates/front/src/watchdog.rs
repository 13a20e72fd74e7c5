//! Monitors streams, and moves them off dead, slow, stalled and draining servers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use futures::future::join_all;
use jujube_core::name::Service;
use jujube_core::pipeline::chooser::Continuation;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;
use jujube_program::event;

use crate::dialect::Dialect;
use crate::pool;
use crate::probe;
use crate::probe::Health;
use crate::quarantine;
use crate::state::State;
use crate::stream;
use crate::stream::Cause;
use crate::stream::Interrupt;
use crate::stream::Reader;
use crate::stream::Stream;
use crate::vitals;

/// Streams in flight.
pub struct Streams<D> {
    by_number: RefCell<BTreeMap<u64, Entry<D>>>,
    next: Cell<u64>,
}

struct Entry<D> {
    stream: Rc<Stream>,
    /// What reads the stream, once its response has begun.
    reader: Weak<Reader<D>>,
}

impl<D> Default for Streams<D> {
    fn default() -> Self {
        Self {
            by_number: RefCell::default(),
            next: Cell::default(),
        }
    }
}

impl<D> Streams<D> {
    /// Registers a stream and returns its number.
    pub fn add(&self, stream: &Rc<Stream>) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        let entry = Entry {
            stream: stream.clone(),
            reader: Weak::new(),
        };
        self.by_number.borrow_mut().insert(number, entry);
        number
    }

    /// Records what reads a stream.
    pub fn set_reader(&self, number: u64, reader: Weak<Reader<D>>) {
        if let Some(entry) = self.by_number.borrow_mut().get_mut(&number) {
            entry.reader = reader;
        }
    }

    /// Returns the mean time between two events of the streams of a service; `None` if there are none.
    pub fn mean_gap_ms(&self, service: &Service) -> Option<f64> {
        let streams = self.by_number.borrow();
        let streams = streams.values().map(|entry| &entry.stream);
        let under_way = streams.filter(|it| it.service == *service && it.events.get() > 1);
        let gaps: Vec<f64> = under_way.map(|it| it.mean_gap_ms.get()).collect();
        (!gaps.is_empty()).then(|| gaps.iter().sum::<f64>() / gaps.len() as f64)
    }

    /// Removes a stream.
    pub fn remove(&self, number: u64) {
        self.by_number.borrow_mut().remove(&number);
    }

    /// Marks the streams whose path includes a server for a check at the next tick, before they
    /// have been silent for long.
    pub fn request_check(&self, server: &Incarnation) {
        for Entry { stream, .. } in self.by_number.borrow().values() {
            let path = stream.path.borrow();
            if path.as_ref().is_some_and(|path| path.contains(server)) {
                stream.needs_check.set(true);
            }
        }
    }

    /// Returns the number of streams in flight.
    pub fn len(&self) -> usize {
        self.by_number.borrow().len()
    }
}

/// Interval between two passes over the streams.
pub const TICK: Span = Span(25);
/// Minimum silence before a stream's path is checked. Events usually arrive within 50 ms, and a gap
/// of 200 ms counts as late.
const MIN_SILENCE: Span = Span(120);
/// Silence before a path check, as a multiple of the stream's mean gap between events.
const SILENCE_IN_MEAN_GAPS: f64 = 4.0;
/// Maximum silence before a path check, as a share of the route's gap target.
const GAP_TARGET_SHARE: f64 = 0.75;
/// Silence before a path check while the first event is awaited, as a share of the route's target.
const FIRST_TARGET_SHARE: f64 = 0.7;
/// Minimum time between two checks of a stream, unless a server on its path becomes suspected.
const CHECK_INTERVAL: Span = Span(400);
/// How long a stream may stall between two events while its path is healthy. A full server preempts
/// a request for up to half a second, and clients disconnect after two seconds.
const STALL_TIMEOUT: Span = Span(700);
/// How long a stream may wait for its first event while its path is healthy and other prompts are
/// prefilled.
const FIRST_EVENT_STALL_TIMEOUT: Span = Span(1_200);
/// Timeout of an order to change a path.
const REPAIR_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum moves of a stream off slow servers; each new part recomputes all tokens, which pauses
/// the stream again.
const MAX_SLOW_MOVES: u64 = 1;
/// How long a server drains before streams are moved off it. It serves for at least two seconds,
/// and streams that finish by then need not move.
const DRAIN_DELAY: Span = Span(1_000);
/// Time between two attempts to move a stream off a draining server.
const DRAIN_MOVE_INTERVAL: Span = Span(100);
/// Maximum streams moved off draining servers per tick; each move costs another server some 8 ms of
/// prefill.
const MAX_DRAIN_MOVES_PER_TICK: usize = 1;
/// Maximum paths tried before the stream is reopened.
const MAX_REPAIR_ATTEMPTS: usize = 3;

/// Monitors streams. Never returns.
pub async fn run<D: Dialect>(state: Rc<State<D>>) {
    loop {
        tokio::time::sleep(Duration::from_millis(TICK.0)).await;
        let now = clock::now();
        state.local_health.borrow_mut().tick(now);
        vitals::tick(&state, now);
        quarantine::settle(&state);
        let draining = draining(&state, now);
        let mut moved = 0;
        let streams = state.streams.by_number.borrow();
        for Entry { stream, reader } in streams.values() {
            // Also at the deadline: a blocked connection does not poll the stream, which would not end.
            let is_paused = reader.upgrade().is_some_and(|reader| reader.check(now));
            let is_interrupted = stream.events.get() == 0 && state.exit.is_due();
            if now >= stream.deadline || is_interrupted {
                stream.expire();
                continue;
            }
            stream::settle(&state, stream);
            if is_paused {
                // The silence is the caller's.
                continue;
            }
            if is_check_due(stream, now) {
                stream.is_being_checked.set(true);
                tokio::task::spawn_local(check_stream(state.clone(), stream.clone()));
            } else if moved < MAX_DRAIN_MOVES_PER_TICK && should_leave(stream, now, &draining) {
                moved += 1;
                stream.is_being_checked.set(true);
                tokio::task::spawn_local(leave_draining(state.clone(), stream.clone()));
            }
        }
    }
}

/// Returns the servers that have been draining long enough for streams to move off them.
fn draining<D>(state: &State<D>, now: Instant) -> Vec<Incarnation> {
    let roster = state.roster.borrow();
    roster.draining(now, DRAIN_DELAY).cloned().collect()
}

fn should_leave(stream: &Stream, now: Instant, draining: &[Incarnation]) -> bool {
    if draining.is_empty() || stream.is_being_checked.get() || now < stream.next_drain_move.get() {
        return false;
    }
    let path = stream.path.borrow();
    let contains = |server| path.as_ref().is_some_and(|path| path.contains(server));
    stream.events.get() > 0 && draining.iter().any(contains)
}

/// Moves a stream off draining servers before they exit.
async fn leave_draining<D: Dialect>(state: Rc<State<D>>, stream: Rc<Stream>) {
    let path = stream.path.borrow().clone();
    if let Some(path) = path {
        match repair(&state, &stream, &path, &[], Cause::Draining).await {
            Repair::Reopen => stream.interrupt(Interrupt::Reopen),
            Repair::Done | Repair::Rejected(_) | Repair::Failed => {}
        }
    }
    stream
        .next_drain_move
        .set(clock::now().plus(DRAIN_MOVE_INTERVAL));
    stream.is_being_checked.set(false);
}

fn is_check_due(stream: &Stream, now: Instant) -> bool {
    if stream.is_being_checked.get() {
        return false;
    }
    if stream.needs_check.replace(false) {
        return true;
    }
    now >= stream.next_check.get() && is_overdue(stream, now)
}

/// Returns whether a stream has been silent for longer than usual.
fn is_overdue(stream: &Stream, now: Instant) -> bool {
    let limit = if stream.events.get() == 0 {
        stream.route.latency_target.0 as f64 * FIRST_TARGET_SHARE
    } else {
        let gap = stream.route.gap_target.0 as f64 * GAP_TARGET_SHARE;
        (stream.mean_gap_ms.get() * SILENCE_IN_MEAN_GAPS)
            .min(gap)
            .max(MIN_SILENCE.0 as f64)
    };
    now.since(stream.last_activity.get()).0 as f64 > limit
}

/// Checks the path of a silent stream.
async fn check_stream<D: Dialect>(state: Rc<State<D>>, stream: Rc<Stream>) {
    let path = stream.path.borrow().clone();
    if let Some(path) = path {
        check_path(&state, &stream, path).await;
    }
    stream.next_check.set(clock::now().plus(CHECK_INTERVAL));
    stream.is_being_checked.set(false);
}

async fn check_path<D: Dialect>(state: &Rc<State<D>>, stream: &Rc<Stream>, path: Path) {
    let last_activity = stream.last_activity.get();
    let unhealthy = unhealthy_parts(state, &path).await;
    let is_dead = unhealthy.iter().any(|(_, health)| *health == Health::Dead);
    if is_dead && stream.last_activity.get() != last_activity {
        return;
    }
    // The stream may have been reopened on another path during the check; its new run must not be
    // interrupted.
    if stream.path.borrow().as_ref() != Some(&path) {
        return;
    }
    if unhealthy.is_empty() {
        reopen_stalled(state, stream, &path);
        return;
    }
    let is_first = |part: &Part| path.first().is_none_or(|first| first.server == part.server);
    let dead_first = unhealthy
        .iter()
        .find(|(part, health)| *health == Health::Dead && is_first(part));
    if let Some((part, _)) = dead_first {
        if !is_only_refusing(state, stream, part) {
            stream.interrupt(match state.liveness(&part.server).has_ended() {
                true => Interrupt::FirstDead,
                false => Interrupt::FirstSilent,
            });
        }
        return;
    }
    blame_for_dead_parts(state, stream, &unhealthy);
    if !is_dead && stream.slow_moves.get() >= MAX_SLOW_MOVES {
        return;
    }
    let mut avoid = Vec::new();
    if !is_dead {
        stream.slow_moves.set(stream.slow_moves.get() + 1);
    }
    for _ in 0..MAX_REPAIR_ATTEMPTS {
        let cause = if is_dead { Cause::Dead } else { Cause::Slow };
        match repair(state, stream, &path, &avoid, cause).await {
            Repair::Done => return,
            Repair::Rejected(part) => avoid.push(part),
            Repair::Reopen => {
                stream.interrupt(Interrupt::PartDead);
                return;
            }
            Repair::Failed => break,
        }
    }
    let is_current = stream.path.borrow().as_ref() == Some(&path);
    if is_dead && is_current {
        stream.interrupt(Interrupt::PartDead);
    }
}

/// Records that a run was lost on dead servers further along its path, as on its first one.
fn blame_for_dead_parts<D>(state: &State<D>, stream: &Stream, unhealthy: &[(Part, Health)]) {
    for (part, _) in unhealthy
        .iter()
        .filter(|(_, health)| *health == Health::Dead)
    {
        quarantine::lost(state, stream.run_on(&part.server, stream.run_began.get()));
    }
}

/// Returns whether a stream is still running on a server that refuses new connections.
///
/// A server that is about to exit refuses new connections but finishes its requests. Interrupting
/// them would waste a retry and run the request on another server.
fn is_only_refusing<D>(state: &State<D>, stream: &Stream, first: &Part) -> bool {
    let refuses = state.suspicion.borrow().is_refusing(&first.server);
    refuses && !is_overdue(stream, clock::now())
}

/// Reopens a stream that has stalled although all parts of its path are healthy.
///
/// A server may hold a request without working on it, or the connection may be dead while new ones
/// work; neither shows in health checks.
fn reopen_stalled<D: Dialect>(state: &Rc<State<D>>, stream: &Rc<Stream>, path: &Path) {
    let silent = clock::now().since(stream.last_activity.get());
    let limit = if stream.events.get() == 0 {
        FIRST_EVENT_STALL_TIMEOUT
    } else {
        STALL_TIMEOUT
    };
    let Some(first) = path.first() else {
        return;
    };
    if silent < limit || !stream::may_reopen(state, stream) {
        return;
    }
    event!(
        Info,
        "stalled",
        request = stream.id,
        silent_ms = silent,
        events = stream.events.get(),
        path = [path]
    );
    state.metrics.count("streams_stalled");
    state.failed(&first.server, stream.features.request);
    stream.excluded.borrow_mut().push(first.server.clone());
    stream.interrupt(Interrupt::Reopen);
}

async fn unhealthy_parts<D: Dialect>(state: &Rc<State<D>>, path: &Path) -> Vec<(Part, Health)> {
    let checks = path.parts().iter().map(|part| async move {
        let health = probe::health(state, &part.server, part.address).await;
        (part.clone(), health)
    });
    let mut parts = join_all(checks).await;
    parts.retain(|(_, health)| *health != Health::Healthy);
    parts
}

/// The outcome of an order to change a path.
enum Repair {
    /// The stream runs on the best path.
    Done,
    /// A part of the new path is dead or has no capacity.
    Rejected(Incarnation),
    /// Reopening the stream is faster.
    Reopen,
    /// There is no other path, or the first part did not apply the order.
    Failed,
}

async fn repair<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Rc<Stream>,
    old: &Path,
    avoid: &[Incarnation],
    cause: Cause,
) -> Repair {
    if state.quarantine_cause(&stream.features).is_some() {
        return Repair::Failed;
    }
    let choice = match stream::recover(state, stream, old, avoid, cause) {
        Some(Continuation::Repair(choice)) => choice,
        Some(Continuation::Reopen(_)) => return Repair::Reopen,
        None => return Repair::Failed,
    };
    let Some(first) = old.first() else {
        return Repair::Failed;
    };
    if choice.path == *old {
        // The current path is the best: other servers would be slower.
        return Repair::Done;
    }
    let body = D::repath(&stream.id, &choice.path);
    let response = pool::send_order::<D>(&state.pool, &first.server, first.address, body);
    let result = tokio::time::timeout(REPAIR_TIMEOUT, response).await;
    let (status, body) = match result {
        Ok(Ok(response)) => (response.status(), response.into_body()),
        Ok(Err(error)) => {
            event!(Info, "repair-failed", request = stream.id, cause = error);
            return Repair::Failed;
        }
        Err(_) => return Repair::Failed,
    };
    event!(
        Info,
        "repaired",
        request = stream.id,
        status = status.as_u16(),
        events = stream.events.get(),
        from = [old],
        to = [choice.path]
    );
    if status.is_success() {
        state.metrics.count("streams_repaired");
        stream.repairs.set(stream.repairs.get() + 1);
        stream::set_path(state, stream, Some(choice.path));
        return Repair::Done;
    }
    let at_fault = D::part_at_fault(&body);
    match at_fault.and_then(|address| choice.path.part_at(address)) {
        Some(part) => Repair::Rejected(part.server.clone()),
        None => Repair::Failed,
    }
}
