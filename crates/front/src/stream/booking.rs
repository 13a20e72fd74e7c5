//! The memory that a stream holds on its path, and the choice of a path beside what others hold.

use std::rc::Rc;

use jujube_core::name::Service;
use jujube_core::pipeline::chooser::Context;
use jujube_core::pipeline::chooser::Continuation;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::path::Part;
use jujube_core::pipeline::path::Path;
use jujube_core::pipeline::server::Incarnation;
use jujube_program::clock;

use crate::state::State;

use super::open::may_run_again;
use super::record::Stream;

/// Keeps a stream listed, and its memory booked, until it is dropped.
pub(super) struct Registration<D> {
    pub(super) state: Rc<State<D>>,
    pub(super) stream: Rc<Stream>,
    number: u64,
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
    /// Books that every part of the path took the request.
    pub(super) fn took(&self) {
        if let Some(first) = self.stream.first() {
            self.state.served(&first.server);
        }
        let path = self.stream.path.borrow();
        let mut load = self.state.load.borrow_mut();
        for part in path.iter().flat_map(Path::parts) {
            load.refusals.took(&part.server);
        }
    }
}

impl<D> Drop for Registration<D> {
    fn drop(&mut self) {
        // A run that is only being opened for a caller that has left is given up.
        self.stream.expire();
        self.state.streams.remove(self.number);
        take_path(&self.state, &self.stream, None);
    }
}

/// Books the memory of a new path and returns that of the old one.
pub fn take_path<D>(state: &State<D>, stream: &Stream, path: Option<Path>) {
    let mut load = state.load.borrow_mut();
    let tokens = stream.need.tokens();
    if let Some(path) = &path {
        load.start_path(path, tokens);
    }
    if let Some(old) = stream.path.replace(path) {
        load.end_path(&old, tokens);
    }
}

/// Returns the memory of a path on which the stream runs no more.
///
/// A run that was lost or refused holds nothing at the servers. Were it booked until the next run begins,
/// up to 1.4 s later, the streams that a death leaves without a path would keep one another from the room
/// that is left; and whoever looks after silent streams would order moves of runs that are gone.
pub fn leave_path<D>(state: &State<D>, stream: &Stream) {
    if let Some(left) = stream.path.take() {
        let mut load = state.load.borrow_mut();
        load.end_path(&left, stream.need.tokens());
        stream.left.replace(Some(left));
    }
}

/// The path of a run that goes on while its stream is opened elsewhere, and the memory that it holds there.
pub(super) struct Kept<D> {
    state: Rc<State<D>>,
    stream: Rc<Stream>,
    path: Option<Path>,
}

impl<D> Kept<D> {
    /// Takes the path off a stream; its memory stays booked.
    pub(super) fn take(state: &Rc<State<D>>, stream: &Rc<Stream>) -> Self {
        let path = stream.path.take();
        if path.is_some() {
            stream.left.replace(path.clone());
        }
        Self {
            state: state.clone(),
            stream: stream.clone(),
            path,
        }
    }

    /// Returns the server that holds the stream.
    pub(super) fn first(&self) -> Option<&Part> {
        self.path.as_ref()?.first()
    }

    /// Returns the memory: the run was lost.
    pub(super) fn release(&mut self) {
        if let Some(path) = self.path.take() {
            let tokens = self.stream.need.tokens();
            self.state.load.borrow_mut().end_path(&path, tokens);
        }
    }

    /// Gives the path back to its stream, which stays on it.
    pub(super) fn give_back(mut self) {
        leave_path(&self.state, &self.stream);
        self.stream.path.replace(self.path.take());
    }
}

impl<D> Drop for Kept<D> {
    fn drop(&mut self) {
        self.release();
    }
}

/// Why a stream is to leave a part of its path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// It is dead.
    Dead,
    /// It is slow.
    Slow,
    /// It drains.
    Leaving,
}

/// Chooses how a stream goes on whose path `old` has a part that it is to leave.
///
/// What is chosen is booked at once, so that the next stream sees it. A path to be opened on is kept in
/// the stream until it is.
pub fn go_on<D>(
    state: &State<D>,
    stream: &Stream,
    old: &Path,
    avoid: &[Incarnation],
    cause: Cause,
) -> Option<Continuation> {
    // A run that goes on slowly is not given up for another that may be refused.
    let may_reopen = cause != Cause::Slow && may_reopen(state, stream);
    let now = clock::now();
    let crowd = match cause {
        Cause::Leaving => leaving_crowd(state, old),
        Cause::Dead | Cause::Slow => state.load.borrow().backlog.herd_size(now, old),
    };
    let (chosen, fleet, need) =
        choose_with(state, &stream.service, avoid, crowd, |fleet, view| {
            let need = stream.need(fleet.model.tokens_per_event);
            let chosen = match cause {
                Cause::Leaving => fleet.evacuate(need, view, old, may_reopen),
                Cause::Dead | Cause::Slow => fleet.recover(need, view, old, may_reopen),
            };
            (chosen, fleet.clone(), need)
        })?;
    if !matches!(chosen, Some(Continuation::Reopen(_))) {
        // Others may need the retry more.
        stream.retry.take();
    }
    let chosen = chosen?;
    let (way, ready_ms) = match &chosen {
        Continuation::Reopen(choice) => ("reopen", choice.first_event_ms),
        Continuation::Repair(choice) => ("repair", choice.first_event_ms),
    };
    log::info!(
        "event=moving request={} cause={cause:?} way={way} ready_ms={ready_ms:.0} crowd={crowd:.0} from={old}",
        stream.id,
    );
    let mut load = state.load.borrow_mut();
    match &chosen {
        Continuation::Reopen(choice) => {
            fleet.record_prefill(&mut load, now, need, &choice.path, None, crowd);
            stream.planned.replace(Some(choice.path.clone()));
        }
        Continuation::Repair(choice) => {
            fleet.record_prefill(&mut load, now, need, &choice.path, Some(old), crowd);
        }
    }
    Some(chosen)
}

/// Returns how many entries move a stream off a path at the same time: all that have one there, as far as is known.
///
/// Taken for all entries there are, a hundred made every move look too slow to be gentle, and no stream left a
/// server before it was gone.
fn leaving_crowd<D>(state: &State<D>, old: &Path) -> f64 {
    let load = state.load.borrow();
    let requests = old.parts().iter().map(|part| load.requests(&part.server));
    let most = requests.max().unwrap_or(1);
    most.clamp(1, state.peers.count()) as f64
}

/// Tells whether a stream that runs may be given up for another run; the retry for it is in hand then.
pub fn may_reopen<D>(state: &State<D>, stream: &Stream) -> bool {
    stream.route.resumable && may_run_again(state, stream)
}

/// Chooses with what this entry knows; `avoid` are servers that refused this request.
pub fn choose_with<D, T>(
    state: &State<D>,
    service: &Service,
    avoid: &[Incarnation],
    crowd: f64,
    choose: impl FnOnce(&Rc<Fleet>, &Context<'_>) -> T,
) -> Option<T> {
    let fleet = state.fleets.borrow().get(service)?.clone();
    let suspicion = state.suspicion.borrow();
    let outliers = state.outliers.borrow();
    let load = state.load.borrow();
    let view = Context {
        now: clock::now(),
        load: &load,
        suspicion: &suspicion,
        outliers: &outliers,
        avoid,
        local_zone: &state.settings.zone,
        herd_size: crowd,
        random: rand::random(),
    };
    Some(choose(&fleet, &view))
}
