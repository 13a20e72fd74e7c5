//! Looks after streams that have fallen silent.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use jujube_core::pipeline::chooser::Continuation;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use jujube_program::clock;

use crate::dialect::Dialect;
use crate::pool;
use crate::probe;
use crate::probe::Health;
use crate::state::State;
use crate::stream;
use crate::stream::Cause;
use crate::stream::Stream;
use crate::stream::Urge;

/// Streams in flight.
#[derive(Default)]
pub struct Streams {
    listed: RefCell<BTreeMap<u64, Rc<Stream>>>,
    next: Cell<u64>,
}

impl Streams {
    /// Lists a stream; returns its number.
    pub fn add(&self, stream: &Rc<Stream>) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        self.listed.borrow_mut().insert(number, stream.clone());
        number
    }

    /// Takes a stream off the list.
    pub fn remove(&self, number: u64) {
        self.listed.borrow_mut().remove(&number);
    }

    /// Has the streams that pass a server looked at soon, without waiting until each has been silent
    /// for long.
    pub fn look_at(&self, server: &Incarnation) {
        for stream in self.listed.borrow().values() {
            let path = stream.path.borrow();
            if path.as_ref().is_some_and(|path| path.passes(server)) {
                stream.is_urgent.set(true);
            }
        }
    }

    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.listed.borrow().len()
    }
}

/// How often the streams are looked through.
pub const PACE: Span = Span(25);
/// How long a stream may be silent before its path is looked at: a pause of 200 ms makes an answer
/// late, and an event usually takes under 50 ms.
const SILENT: Span = Span(120);
/// The same as a multiple of the stream's own pace.
const SILENT_PACES: f64 = 4.0;
/// The share of the longest pause that is on time after which the path is looked at in any case.
const GAP_SHARE: f64 = 0.75;
/// The share of the target that the first event may take before the path is looked at.
const FIRST_SHARE: f64 = 0.7;
/// How long a path that was found alive is left alone.
const LEFT_ALONE: Span = Span(400);
/// How long a stream may stand still between two events while every part of its path is well. A full
/// server preempts a request for up to half a second; callers leave after two seconds.
const STALLED: Span = Span(700);
/// The same before the first event, when others may be read first.
const STALLED_FIRST: Span = Span(1_200);
/// How long the order to change a path may take.
const REPAIR: Duration = Duration::from_millis(400);
/// How often a stream is taken off slow servers: each new part reads all tokens again, which makes
/// the next pause.
const MOST_DETOURS: u64 = 1;
/// How long a server has been draining when streams begin to leave it. It serves on for two seconds or
/// more; streams that end by themselves until then need not be moved.
const LEAVE_AFTER: Span = Span(1_000);
/// How long a stream that could not leave gently is left where it is.
const LEAVE_AGAIN: Span = Span(100);
/// How many streams leave at a look: each has its tokens read elsewhere, which takes some 8 ms.
const MOST_LEAVING: usize = 1;
/// How many paths are tried before the stream is continued elsewhere.
const MOST_REPAIRS: usize = 3;

/// Looks after streams until the process ends.
pub async fn run<D: Dialect>(state: Rc<State<D>>) {
    loop {
        tokio::time::sleep(Duration::from_millis(PACE.0)).await;
        let now = clock::now();
        state.pulse.borrow_mut().beat(now);
        let leaving = leaving(&state, now);
        let mut left = 0;
        let listed = state.streams.listed.borrow();
        for stream in listed.values() {
            if now >= stream.deadline {
                stream.expire();
                continue;
            }
            stream::settle(&state, stream);
            if is_silent(stream, now) {
                stream.is_checked.set(true);
                tokio::task::spawn_local(look_after(state.clone(), stream.clone()));
            } else if left < MOST_LEAVING && is_to_leave(stream, now, &leaving) {
                left += 1;
                stream.is_checked.set(true);
                tokio::task::spawn_local(leave(state.clone(), stream.clone()));
            }
        }
    }
}

/// Returns the servers that have been draining for so long that streams leave them.
fn leaving<D>(state: &State<D>, now: Instant) -> Vec<Incarnation> {
    let roster = state.roster.borrow();
    roster.draining(now, LEAVE_AFTER).cloned().collect()
}

fn is_to_leave(stream: &Stream, now: Instant, leaving: &[Incarnation]) -> bool {
    if leaving.is_empty() || stream.is_checked.get() || now < stream.leave_at.get() {
        return false;
    }
    let path = stream.path.borrow();
    let passes = |server| path.as_ref().is_some_and(|path| path.passes(server));
    stream.events.get() > 0 && leaving.iter().any(passes)
}

/// Takes a stream off servers that will soon be gone, before they are.
async fn leave<D: Dialect>(state: Rc<State<D>>, stream: Rc<Stream>) {
    let path = stream.path.borrow().clone();
    if let Some(path) = path {
        match repair(&state, &stream, &path, &[], Cause::Leaving).await {
            Repaired::Elsewhere => stream.abandon(Urge::Elsewhere),
            Repaired::Done | Repaired::Refused(_) | Repaired::Impossible => {}
        }
    }
    stream.leave_at.set(clock::now().plus(LEAVE_AGAIN));
    stream.is_checked.set(false);
}

fn is_silent(stream: &Stream, now: Instant) -> bool {
    if stream.is_checked.get() {
        return false;
    }
    if stream.is_urgent.replace(false) {
        return true;
    }
    now >= stream.check_at.get() && is_overdue(stream, now)
}

/// Tells whether a stream has been silent for longer than it usually is.
fn is_overdue(stream: &Stream, now: Instant) -> bool {
    let limit = if stream.events.get() == 0 {
        stream.route.target.0 as f64 * FIRST_SHARE
    } else {
        let gap = stream.route.gap_target.0 as f64 * GAP_SHARE;
        (stream.pace_ms.get() * SILENT_PACES)
            .min(gap)
            .max(SILENT.0 as f64)
    };
    now.since(stream.heard.get()).0 as f64 > limit
}

/// Finds out whether a part of a silent stream's path is dead, and goes around it.
async fn look_after<D: Dialect>(state: Rc<State<D>>, stream: Rc<Stream>) {
    let path = stream.path.borrow().clone();
    if let Some(path) = path {
        check(&state, &stream, path).await;
    }
    stream.check_at.set(clock::now().plus(LEFT_ALONE));
    stream.is_checked.set(false);
}

async fn check<D: Dialect>(state: &Rc<State<D>>, stream: &Rc<Stream>, path: Path) {
    let heard = stream.heard.get();
    let ill = ill_parts(state, &path).await;
    let is_dead = ill.iter().any(|(_, health)| *health == Health::Dead);
    if is_dead && stream.heard.get() != heard {
        return;
    }
    // Meanwhile the stream may have been opened elsewhere; what was found concerns its old path, and
    // would make a sound run count as lost.
    if stream.path.borrow().as_ref() != Some(&path) {
        return;
    }
    if ill.is_empty() {
        leave_stalled(state, stream, &path);
        return;
    }
    let is_first = |part: &Part| path.first().is_none_or(|first| first.server == part.server);
    let dead_first = ill
        .iter()
        .find(|(part, health)| *health == Health::Dead && is_first(part));
    if let Some((part, _)) = dead_first {
        if !is_only_refusing(state, stream, part) {
            stream.abandon(Urge::Lost);
        }
        return;
    }
    if !is_dead && stream.detours.get() >= MOST_DETOURS {
        return;
    }
    let mut avoid = Vec::new();
    if !is_dead {
        stream.detours.set(stream.detours.get() + 1);
    }
    for _ in 0..MOST_REPAIRS {
        let cause = if is_dead { Cause::Dead } else { Cause::Slow };
        match repair(state, stream, &path, &avoid, cause).await {
            Repaired::Done => return,
            Repaired::Refused(part) => avoid.push(part),
            Repaired::Elsewhere => {
                stream.abandon(Urge::Broken);
                return;
            }
            Repaired::Impossible => break,
        }
    }
    let is_on_it = stream.path.borrow().as_ref() == Some(&path);
    if is_dead && is_on_it {
        stream.abandon(Urge::Broken);
    }
}

/// Tells whether a stream goes on at a server that refuses new connections.
///
/// One that is about to exit refuses them first and serves on those that it has. Its host answers, so if it had
/// died, the stream's own connection would have broken. Given up for the refusal, runs that would have ended well
/// are paid for twice, and their requests run on one more server.
fn is_only_refusing<D>(state: &State<D>, stream: &Stream, first: &Part) -> bool {
    let refuses = state.suspicion.borrow().refuses(&first.server);
    refuses && !is_overdue(stream, clock::now())
}

/// Opens a stream elsewhere that stands still although every part of its path is well.
///
/// A backend server may keep a request without working on it, and a connection may have gone silent
/// while new ones work. Neither shows in what a server says of itself; the caller would wait until
/// its patience ends.
fn leave_stalled<D: Dialect>(state: &Rc<State<D>>, stream: &Rc<Stream>, path: &Path) {
    let silent = clock::now().since(stream.heard.get());
    let limit = if stream.events.get() == 0 {
        STALLED_FIRST
    } else {
        STALLED
    };
    let Some(first) = path.first() else {
        return;
    };
    if silent < limit || !stream::may_reopen(state, stream) {
        return;
    }
    log::info!(
        "event=stalled request={} silent_ms={silent} events={} path={path}",
        stream.id,
        stream.events.get()
    );
    state.metrics.count("streams_stalled");
    state.failed(&first.server);
    stream.distrusted.borrow_mut().push(first.server.clone());
    stream.abandon(Urge::Elsewhere);
}

async fn ill_parts<D: Dialect>(state: &Rc<State<D>>, path: &Path) -> Vec<(Part, Health)> {
    let asked = path.parts().iter().map(|part| async move {
        let health = probe::health(state, &part.server, part.address).await;
        (part.clone(), health)
    });
    let mut parts = join_all(asked).await;
    parts.retain(|(_, health)| *health != Health::Healthy);
    parts
}

/// What became of an order to change a path.
enum Repaired {
    Done,
    /// A part of the new path is dead or has no room.
    Refused(Incarnation),
    /// Opening the stream again is quicker.
    Elsewhere,
    Impossible,
}

async fn repair<D: Dialect>(
    state: &Rc<State<D>>,
    stream: &Rc<Stream>,
    old: &Path,
    avoid: &[Incarnation],
    cause: Cause,
) -> Repaired {
    let choice = match stream::go_on(state, stream, old, avoid, cause) {
        Some(Continuation::Repair(choice)) => choice,
        Some(Continuation::Reopen(_)) => return Repaired::Elsewhere,
        None => return Repaired::Impossible,
    };
    let Some(first) = old.first() else {
        return Repaired::Impossible;
    };
    if choice.path == *old {
        // Staying is best: what is slow on this path is slower elsewhere.
        return Repaired::Done;
    }
    let body = D::repath(&stream.id, &choice.path);
    let asked = pool::send_order::<D>(&state.pool, &first.server, first.address, body);
    let answer = tokio::time::timeout(REPAIR, asked).await;
    let (status, body) = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            log::info!("event=repair-failed request={} cause={error}", stream.id);
            return Repaired::Impossible;
        }
        Err(_) => return Repaired::Impossible,
    };
    log::info!(
        "event=repaired request={} status={} events={} from={old} to={}",
        stream.id,
        status.as_u16(),
        stream.events.get(),
        choice.path
    );
    if status.is_success() {
        state.metrics.count("streams_repaired");
        stream.repairs.set(stream.repairs.get() + 1);
        stream::take_path(state, stream, Some(choice.path));
        return Repaired::Done;
    }
    let at_fault = D::part_at_fault(&body);
    match at_fault.and_then(|address| choice.path.at(address)) {
        Some(part) => Repaired::Refused(part.server.clone()),
        None => Repaired::Impossible,
    }
}
