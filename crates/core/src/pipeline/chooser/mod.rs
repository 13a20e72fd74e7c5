//! The choice of a path through the layers that backend servers hold.
//!
//! A part may run any layers inside what its server holds, so a path is a walk over the positions
//! where held ranges begin and end. The choice is the walk that is predicted to end soonest, found
//! by dynamic programming over these positions.

mod walk;

use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::layer;
use crate::layer::Range;
use crate::name::Zone;
use crate::pipeline::engine::Engine;
use crate::pipeline::engine::Kind;
use crate::pipeline::load::Load;
use crate::pipeline::outlier::Outliers;
use crate::pipeline::path::Path;
use crate::pipeline::server::Incarnation;
use crate::pipeline::suspicion::Suspicion;
use crate::time::Instant;

/// A backend server as the choice sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub server: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The layers that it holds.
    pub held: Range,
    /// Its accelerator.
    pub kind: Kind,
    /// Its room for requests, in tokens times layers.
    pub room: f64,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens of the answer, as estimated.
    pub answer: f64,
}

impl Need {
    /// Returns the tokens to keep in memory by the end.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.prompt + self.answer
    }
}

/// The backend servers of one model.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The model.
    pub engine: Arc<Engine>,
    /// Its servers that hold layers.
    pub nodes: Vec<Node>,
    zones: BTreeSet<Zone>,
}

/// What a part on a server without room costs over its time, in milliseconds: it is taken only
/// where there is no other.
pub(super) const NO_ROOM_MS: f64 = 1e7;
/// What a suspected server costs, in milliseconds: only where nothing else completes the path.
pub(super) const SUSPECT_MS: f64 = 1e9;
/// How soon the next event must be predicted after a repair, in milliseconds, for the request to stay:
/// opening it elsewhere is an attempt and a retry, and a pause under 200 ms is on time.
const SOON_MS: f64 = 60.0;
/// What a server costs that fails too often, in milliseconds: what opening a request again costs its
/// caller, the time until a stall is noticed included.
const OUTLIER_MS: f64 = 2_000.0;
/// What a server costs that one other entry suspects, in milliseconds: less than a path in another availability
/// zone, so that one entry that accuses all moves no request by its word.
const DOUBTED_MS: f64 = 50.0;
/// What a path in another availability zone than the entry's costs, in milliseconds: each event
/// crosses the link once more, which shows in nothing but the bytes between zones.
const AWAY_MS: f64 = 60.0;

/// What the choice may look at besides the fleet.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: Instant,
    /// What is in flight.
    pub load: &'a Load,
    /// Who is suspected.
    pub suspicion: &'a Suspicion,
    /// Who fails too often.
    pub outliers: &'a Outliers,
    /// Who refused this request.
    pub avoid: &'a [Incarnation],
    /// The entry's availability zone.
    pub home: &'a Zone,
    /// How many requests of all entries this one stands for; they choose at the same moment.
    pub crowd: f64,
    /// A random number, drawn anew for each choice.
    pub draw: u64,
}

impl View<'_> {
    /// Returns how many of a crowd are taken to be ahead in an availability zone.
    ///
    /// Entries that choose at the same moment by the same figures would all choose alike. Each takes
    /// a random place in the crowd of each zone, so that together they spread as if one chose for all.
    fn ahead(&self, zone: &Zone) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.draw, zone).hash(&mut hasher);
        let share = hasher.finish() as f64 / u64::MAX as f64;
        share * (self.crowd - 1.0)
    }

    /// Returns what a server's record costs a request, in milliseconds.
    fn penalty_ms(&self, server: &Incarnation) -> f64 {
        if self.suspicion.is_suspected(server) || self.avoid.contains(server) {
            return SUSPECT_MS;
        }
        if self.outliers.contains(server) || self.suspicion.is_widely_suspected(server) {
            return OUTLIER_MS;
        }
        match self.suspicion.peer_reports(server) {
            0 => 0.0,
            _ => DOUBTED_MS,
        }
    }
}

/// A path and what is predicted for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The path.
    pub path: Path,
    /// The predicted time, in milliseconds; over [`Choice::is_forced`]'s bound it was the last
    /// resort.
    pub cost_ms: f64,
    /// How soon the parts that must read the request's tokens are predicted to have done so, in
    /// milliseconds: the time to the next event.
    pub ready_ms: f64,
}

/// How a request goes on after a part of its path was lost.
#[derive(Clone, Debug, PartialEq)]
pub enum Continuation {
    /// The first part stays; the engine is ordered to go on along this path.
    Repair(Choice),
    /// The request is opened again, on this path.
    Reopen(Choice),
}

impl Choice {
    /// Tells whether the path goes through a server that has no room.
    #[must_use]
    pub fn lacks_room(&self) -> bool {
        self.cost_ms >= NO_ROOM_MS
    }

    /// Tells whether the path goes through a suspected server.
    #[must_use]
    pub fn is_forced(&self) -> bool {
        self.cost_ms >= SUSPECT_MS
    }
}

impl Fleet {
    /// Returns the fleet of a model.
    #[must_use]
    pub fn new(engine: Arc<Engine>, nodes: Vec<Node>) -> Self {
        let zones = nodes.iter().map(|node| node.zone.clone()).collect();
        Self {
            engine,
            nodes,
            zones,
        }
    }

    /// Returns the layers that no server holds, in order.
    #[must_use]
    pub fn missing(&self) -> Vec<Range> {
        layer::gaps(self.engine.layers, self.nodes.iter().map(|node| node.held))
    }

    /// Tells whether every layer has a holder.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.missing().is_empty()
    }

    /// Chooses the path that is predicted to end soonest.
    ///
    /// Paths inside one availability zone come first: activations between zones share one pipe.
    pub fn choose(&self, need: Need, view: &View<'_>) -> Option<Choice> {
        let mut best: Option<Choice> = None;
        for zone in &self.zones {
            let nodes = self.nodes.iter().filter(|node| node.zone == *zone);
            let Some(mut choice) = self.walk(nodes, need, view, None) else {
                continue;
            };
            if zone != view.home {
                choice.cost_ms += AWAY_MS;
            }
            if best
                .as_ref()
                .is_none_or(|best| choice.cost_ms < best.cost_ms)
            {
                best = Some(choice);
            }
        }
        if best.as_ref().is_some_and(|best| !best.is_forced()) {
            return best;
        }
        let across = self.walk(self.nodes.iter(), need, view, None);
        match (best, across) {
            (Some(best), Some(across)) if across.cost_ms < best.cost_ms => Some(across),
            (None, across) => across,
            (best, _) => best,
        }
    }

    /// Chooses another path for a request that is under way on `old`.
    ///
    /// The first part stays as it is: the engine there holds the stream. Parts that stay keep what
    /// they have read, the others read all tokens again.
    pub fn repair(&self, need: Need, view: &View<'_>, old: &Path) -> Option<Choice> {
        let first = old.first()?;
        let zone = self.nodes.iter().find(|node| node.server == first.server);
        let zone = zone.map(|node| &node.zone)?;
        let near = self.nodes.iter().filter(|node| node.zone == *zone);
        let near = self.walk(near, need, view, Some(old));
        if near.as_ref().is_some_and(|choice| !choice.is_forced()) {
            return near;
        }
        let across = self.walk(self.nodes.iter(), need, view, Some(old));
        across.filter(|choice| !choice.is_forced())
    }

    /// Chooses how a request goes on whose path `old` has lost a part other than the first.
    ///
    /// Whichever way the next event comes sooner is taken: the stand-in of a dead part reads the tokens
    /// of all requests that it takes over one after the other, and opening some of them elsewhere is
    /// quicker than to queue there.
    pub fn go_on(
        &self,
        need: Need,
        view: &View<'_>,
        old: &Path,
        may_reopen: bool,
    ) -> Option<Continuation> {
        let repair = self.repair(need, view, old)?;
        let may_reopen = may_reopen && repair.ready_ms > SOON_MS;
        let reopen = may_reopen.then(|| self.choose(need, view)).flatten();
        let reopen = reopen.filter(|choice| !choice.is_forced() && !choice.lacks_room());
        match reopen.filter(|choice| choice.ready_ms < repair.ready_ms) {
            Some(reopen) => Some(Continuation::Reopen(reopen)),
            None => Some(Continuation::Repair(repair)),
        }
    }

    /// Chooses how a request leaves servers of its path `old` that will soon be gone, if it can without a
    /// pause that shows.
    ///
    /// Left where it is, it would stall or break off when they go, together with all others there, and be
    /// late. Nothing is chosen while the servers that would have to read its tokens are busy: there is time.
    pub fn leave(
        &self,
        need: Need,
        view: &View<'_>,
        old: &Path,
        may_reopen: bool,
    ) -> Option<Continuation> {
        let is_gentle = |choice: &Choice| {
            choice.ready_ms <= SOON_MS && !choice.lacks_room() && !choice.is_forced()
        };
        if let Some(choice) = self.repair(need, view, old) {
            return is_gentle(&choice).then_some(Continuation::Repair(choice));
        }
        let reopen = may_reopen.then(|| self.choose(need, view)).flatten();
        reopen.filter(is_gentle).map(Continuation::Reopen)
    }

    /// Books what a request that takes `path` gives servers to read; parts of `old` have read it.
    ///
    /// `crowd` is how many requests this one stands for, see [`crate::pipeline::backlog::Backlog::crowd`].
    pub fn book_reading(
        &self,
        load: &mut Load,
        now: Instant,
        need: Need,
        path: &Path,
        old: Option<&Path>,
        crowd: f64,
    ) {
        let parts = path.parts().iter();
        let new = parts.filter(|part| old.is_none_or(|old| !old.parts().contains(part)));
        for part in new {
            let Some(node) = self.nodes.iter().find(|node| node.server == part.server) else {
                continue;
            };
            let requests = load.requests(&part.server);
            let held = part.layers.len();
            let read_ms = self.engine.read_ms(node.kind, held, need.prompt, requests);
            load.backlog.add(now, &part.server, read_ms * crowd);
        }
    }
}
