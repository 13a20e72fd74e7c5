//! The memory that a stream holds on its path, and the choice of a path beside what others hold.

use std::rc::Rc;

use jujube_core::name::Server as Name;
use jujube_core::name::Service;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::chooser::View;
use jujube_core::pipeline::path::Path;
use jujube_program::clock;

use crate::state::State;

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
        let path = self.stream.path.borrow();
        let mut load = self.state.load.borrow_mut();
        for part in path.iter().flat_map(Path::parts) {
            load.took(&part.server);
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
        load.open_path(path, tokens);
    }
    if let Some(old) = stream.path.replace(path) {
        load.close_path(&old, tokens);
    }
}

/// Chooses with what this entry knows; `avoid` are servers that refused this request.
pub fn choose_with<D, T>(
    state: &State<D>,
    service: &Service,
    avoid: &[Name],
    choose: impl FnOnce(&Fleet, &View<'_>) -> T,
) -> Option<T> {
    let fleet = state.fleets.borrow().get(service)?.clone();
    let suspicion = state.suspicion.borrow();
    let load = state.load.borrow();
    let view = View {
        now: clock::now(),
        load: &load,
        suspicion: &suspicion,
        avoid,
        home: &state.settings.zone,
    };
    Some(choose(&fleet, &view))
}
