//! Path selection, and accounting of the KV memory that streams hold on their paths.

use std::rc::Rc;

use jujube_core::name::Service;
use jujube_core::pipeline::chooser::Context;
use jujube_core::pipeline::chooser::Continuation;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::server::Incarnation;
use jujube_program::clock;
use jujube_program::event;

use crate::probe;
use crate::state::State;

use super::interrupt::Cause;
use super::record::Stream;
use super::retry::may_run_again;

/// Keeps a stream registered and its memory accounted for until dropped.
pub(super) struct Registration<D> {
    pub(super) state: Rc<State<D>>,
    pub(super) stream: Rc<Stream>,
    pub(super) number: u64,
}

impl<D> Registration<D> {
    pub(super) fn new(state: &Rc<State<D>>, stream: &Rc<Stream>) -> Self {
        Self {
            state: state.clone(),
            stream: stream.clone(),
            number: state.streams.add(stream),
        }
    }
}

impl<D> Registration<D> {
    /// Records that an event arrived, which shows that every part of the path lives.
    pub(super) fn record_responded(&self) {
        let path = self.stream.path.borrow();
        for part in path.iter().flat_map(Path::parts) {
            probe::responded(&self.state, &part.server, "event");
        }
    }

    /// Records that every part of the path accepted the request.
    pub(super) fn record_accepted(&self) {
        if let Some(first) = self.stream.first_part() {
            self.state
                .served(&first.server, self.stream.features.request);
        }
        let path = self.stream.path.borrow();
        let mut load = self.state.load.borrow_mut();
        for part in path.iter().flat_map(Path::parts) {
            load.refusals.took(&part.server);
            load.rests
                .answered(self.stream.run_sent.get(), &part.server);
        }
    }
}

impl<D> Drop for Registration<D> {
    fn drop(&mut self) {
        // Cancels a run that is still being opened for a client that has disconnected.
        self.stream.expire();
        self.state.streams.remove(self.number);
        set_path(&self.state, &self.stream, None);
    }
}

/// Sets the path of a stream: reserves the memory on the new one and releases that on the old one.
pub fn set_path<D>(state: &State<D>, stream: &Stream, path: Option<Path>) {
    let mut load = state.load.borrow_mut();
    let tokens = stream.demand.tokens();
    if let Some(path) = &path {
        load.start_path(path, tokens);
    }
    if let Some(old) = stream.path.replace(path) {
        load.end_path(&old, tokens);
    }
}

/// Releases the memory on a path that the stream no longer runs on.
///
/// If it stayed reserved until the next run, streams interrupted by the same failure would block
/// each other from the remaining capacity, and the watchdog would order path changes for runs that
/// no longer exist.
pub fn release_path<D>(state: &State<D>, stream: &Stream) {
    if let Some(path) = stream.path.take() {
        let mut load = state.load.borrow_mut();
        load.end_path(&path, stream.demand.tokens());
        stream.previous_path.replace(Some(path));
    }
}

/// The path of a run that continues while its stream is opened elsewhere, with its reserved memory.
pub(super) struct HeldPath<D> {
    state: Rc<State<D>>,
    stream: Rc<Stream>,
    path: Option<Path>,
}

impl<D> HeldPath<D> {
    /// Detaches the path from a stream; its memory stays reserved.
    pub(super) fn detach(state: &Rc<State<D>>, stream: &Rc<Stream>) -> Self {
        let path = stream.path.take();
        if path.is_some() {
            stream.previous_path.replace(path.clone());
        }
        Self {
            state: state.clone(),
            stream: stream.clone(),
            path,
        }
    }

    /// Returns the first part of the path.
    pub(super) fn first(&self) -> Option<&Part> {
        self.path.as_ref()?.first()
    }

    /// Releases the memory because the run was lost.
    pub(super) fn release(&mut self) {
        if let Some(path) = self.path.take() {
            let tokens = self.stream.demand.tokens();
            self.state.load.borrow_mut().end_path(&path, tokens);
        }
    }

    /// Reattaches the path to its stream, which stays on it.
    pub(super) fn restore(mut self) {
        release_path(&self.state, &self.stream);
        self.stream.path.replace(self.path.take());
    }
}

impl<D> Drop for HeldPath<D> {
    fn drop(&mut self) {
        self.release();
    }
}

/// Chooses how a stream continues when a part of the path `old` must be left.
///
/// Reserves the result immediately, so that the next stream takes it into account. The path for
/// reopening is stored in the stream.
pub fn recover<D>(
    state: &State<D>,
    stream: &Stream,
    old: &Path,
    avoid: &[Incarnation],
    cause: Cause,
) -> Option<Continuation> {
    // A slow run is not given up for another one that may be rejected.
    let may_reopen = cause != Cause::Slow && may_reopen(state, stream);
    let now = clock::now();
    let herd_size = match cause {
        Cause::Draining => draining_herd_size(state, old),
        Cause::Dead | Cause::Slow => state.load.borrow().backlog.herd_size(now, old),
    };
    let (chosen, fleet, demand) = choose_with(
        state,
        &stream.service,
        avoid,
        herd_size,
        |fleet, context| {
            let demand = stream.demand(fleet.model.tokens_per_event);
            let chosen = match cause {
                Cause::Draining => fleet.evacuate(demand, context, old, may_reopen),
                Cause::Dead | Cause::Slow => fleet.recover(demand, context, old, may_reopen),
            };
            (chosen, fleet.clone(), demand)
        },
    )?;
    if !matches!(chosen, Some(Continuation::Reopen(_))) {
        // Leaves the unused retry to other requests.
        stream.retry.take();
    }
    let chosen = chosen?;
    let (method, first_event_ms) = match &chosen {
        Continuation::Reopen(choice) => ("reopen", choice.first_event_ms),
        Continuation::Repair(choice) => ("repair", choice.first_event_ms),
    };
    event!(
        Info,
        "moving",
        request = stream.id,
        cause,
        way = method,
        ready_ms = format_args!("{first_event_ms:.0}"),
        crowd = format_args!("{herd_size:.0}"),
        from = [old]
    );
    let mut load = state.load.borrow_mut();
    match &chosen {
        Continuation::Reopen(choice) => {
            fleet.record_prefill(&mut load, now, demand, &choice.path, None, herd_size);
            stream.planned_path.replace(Some(choice.path.clone()));
        }
        Continuation::Repair(choice) => {
            fleet.record_prefill(&mut load, now, demand, &choice.path, Some(old), herd_size);
        }
    }
    Some(chosen)
}

/// Returns the assumed number of entries that move a stream off a path at the same time: those that
/// have streams there, as far as known.
///
/// Assuming all entries would overestimate the contention, and no stream would move before its
/// server exits.
fn draining_herd_size<D>(state: &State<D>, old: &Path) -> f64 {
    let load = state.load.borrow();
    let requests = old.parts().iter().map(|part| load.requests(&part.server));
    let max = requests.max().unwrap_or(1);
    max.clamp(1, state.peers.count()) as f64
}

/// Returns whether a running stream may be reopened; reserves a retry if so.
pub fn may_reopen<D>(state: &State<D>, stream: &Stream) -> bool {
    stream.route.resumable && may_run_again(state, stream)
}

/// Calls `choose` with the fleet of the service and what this entry knows about it. Excludes the
/// servers in `avoid`.
pub fn choose_with<D, T>(
    state: &State<D>,
    service: &Service,
    avoid: &[Incarnation],
    herd_size: f64,
    choose: impl FnOnce(&Rc<Fleet>, &Context<'_>) -> T,
) -> Option<T> {
    let fleet = state.fleets.borrow().get(service)?.clone();
    let suspicion = state.suspicion.borrow();
    let outliers = state.outliers.borrow();
    let load = state.load.borrow();
    let context = Context {
        now: clock::now(),
        load: &load,
        suspicion: &suspicion,
        outliers: &outliers,
        avoid,
        local_zone: &state.settings.zone,
        herd_size,
        random: rand::random(),
    };
    Some(choose(&fleet, &context))
}
