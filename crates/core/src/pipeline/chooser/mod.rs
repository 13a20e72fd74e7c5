//! Selection of a path through the layers that backend servers hold.
//!
//! A part may run any layers inside the range that its server holds, so a path is a sequence of
//! steps between the positions where held ranges start and end. Dynamic programming over these
//! positions finds the path with the earliest predicted end.

mod sample;
mod search;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::hash;
use crate::layer;
use crate::layer::Range;
use crate::name::Zone;
use crate::pipeline::load::Load;
use crate::pipeline::model::Model;
use crate::pipeline::model::Profile;
use crate::pipeline::outlier::Outliers;
use crate::pipeline::path::Path;
use crate::pipeline::server::Incarnation;
use crate::pipeline::suspicion::Suspicion;
use crate::time::Instant;

use sample::Kinds;

/// A backend server that a path may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub server: Incarnation,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The layers that it holds.
    pub held: Range,
    /// The profile of its accelerator.
    pub profile: Profile,
    /// Its KV capacity, in token-layers.
    pub kv_capacity: f64,
}

/// The size of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Prompt length.
    pub prompt_tokens: f64,
    /// Estimated answer length.
    pub answer_tokens: f64,
}

impl Demand {
    /// Returns the tokens in KV memory at the end of the request.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// The backend servers of one model.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The model.
    pub model: Arc<Model>,
    /// The servers that hold layers.
    pub candidates: Vec<Candidate>,
    zones: BTreeMap<Zone, Kinds>,
}

/// Which servers a search looks at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    /// A few of each kind.
    Sample,
    All,
}

/// Cost of a server without free KV capacity: it is used only if there is no other.
pub(super) const NO_CAPACITY_MS: f64 = 1e7;
/// Cost of a first server that may not be sent a request now: more than that of a path of servers
/// without free capacity, which may still accept the request.
pub(super) const CLOSED_MS: f64 = 5e8;
/// Cost of a suspected server: it is used only if no other path is complete.
pub(super) const SUSPECT_MS: f64 = 1e9;
/// Cost of a server that may not be sent a request, whatever else there is: more than that of a path of
/// suspected servers that may.
const BARRED_MS: f64 = 1e12;
/// Predicted pause up to which a repair is preferred over reopening the request, which uses an
/// attempt and a retry. A pause under 200 ms is on time.
const ACCEPTABLE_PAUSE_MS: f64 = 60.0;
/// Cost of a server that fails too often: the delay of reopening a request, including the detection
/// of a stall.
const OUTLIER_MS: f64 = 2_000.0;
/// Cost of a server that a single other entry suspects. Lower than [`REMOTE_ZONE_MS`], so that one
/// entry that suspects all servers moves no requests.
const REPORTED_SUSPECT_MS: f64 = 50.0;
/// Cost of a path outside the entry's availability zone, for the traffic between zones: each event
/// crosses the link once more.
const REMOTE_ZONE_MS: f64 = 60.0;

/// Inputs to the choice besides the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Instant,
    /// Requests in flight.
    pub load: &'a Load,
    /// Suspected servers.
    pub suspicion: &'a Suspicion,
    /// Servers that fail too often.
    pub outliers: &'a Outliers,
    /// Servers that refused this request.
    pub avoid: &'a [Incarnation],
    /// The entry's availability zone.
    pub local_zone: &'a Zone,
    /// Number of requests of all entries that this one represents, all choosing at the same moment.
    pub herd_size: f64,
    /// A random number, different for each choice.
    pub random: u64,
}

impl Context<'_> {
    /// Returns this request's assumed position in the herd in an availability zone.
    ///
    /// Entries that choose at the same moment from the same data would all choose the same servers.
    /// A random position per zone spreads them as if a single entry chose for all.
    fn herd_position(&self, zone: &Zone) -> f64 {
        let share = hash::of((self.random, zone)) as f64 / u64::MAX as f64;
        share * (self.herd_size - 1.0)
    }

    /// Returns the cost of a server's suspicions, refusals and failures, in milliseconds.
    fn penalty_ms(&self, server: &Incarnation) -> f64 {
        if self.avoid.contains(server) {
            return BARRED_MS;
        }
        if self.suspicion.is_suspected(server) {
            return match self.suspicion.may_try(self.now, server) {
                true => SUSPECT_MS,
                false => BARRED_MS,
            };
        }
        if self.outliers.contains(server) || self.suspicion.is_widely_suspected(server) {
            return OUTLIER_MS;
        }
        match self.suspicion.peer_reports(server) {
            0 => 0.0,
            _ => REPORTED_SUSPECT_MS,
        }
    }
}

/// A path and its predicted cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The path.
    pub path: Path,
    /// The predicted time with all penalties, in milliseconds.
    pub cost_ms: f64,
    /// The predicted time to the next event, when all new parts have finished prefill, in
    /// milliseconds.
    pub first_event_ms: f64,
}

/// How a request continues after the loss of a part of its path.
#[derive(Clone, Debug, PartialEq)]
pub enum Continuation {
    /// The first part stays, and its engine is ordered to continue on this path.
    Repair(Choice),
    /// The request is reopened on this path.
    Reopen(Choice),
}

impl Choice {
    /// Returns whether the path uses a server without free KV capacity.
    #[must_use]
    pub fn lacks_capacity(&self) -> bool {
        self.cost_ms >= NO_CAPACITY_MS
    }

    /// Returns whether the request cannot be sent along the path now: its first server may not be
    /// sent one, or it uses a suspected server.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.cost_ms >= CLOSED_MS
    }

    /// Returns whether the path uses a suspected server that may not be sent a request, or one that
    /// refused this one.
    #[must_use]
    pub fn is_barred(&self) -> bool {
        self.cost_ms >= BARRED_MS
    }

    /// Returns whether the path uses a suspected server.
    #[must_use]
    pub fn is_last_resort(&self) -> bool {
        self.cost_ms >= SUSPECT_MS
    }
}

impl Fleet {
    /// Creates the fleet of a model.
    #[must_use]
    pub fn new(model: Arc<Model>, candidates: Vec<Candidate>) -> Self {
        Self {
            model,
            zones: Kinds::by_zone(&candidates),
            candidates,
        }
    }

    /// Returns the layers that no server holds, in order.
    #[must_use]
    pub fn uncovered_layers(&self) -> Vec<Range> {
        layer::gaps(
            self.model.layers,
            self.candidates.iter().map(|candidate| candidate.held),
        )
    }

    /// Returns the servers that a path can begin with.
    pub fn first_servers(&self) -> impl Iterator<Item = &Incarnation> {
        let first = self.candidates.iter().filter(|c| c.held.start == 0);
        first.map(|candidate| &candidate.server)
    }

    /// Returns whether every layer is held by some server.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.uncovered_layers().is_empty()
    }

    /// Chooses the path with the earliest predicted end.
    ///
    /// Paths within one availability zone come first, because all traffic between zones shares one
    /// link.
    pub fn choose(&self, demand: Demand, context: &Context<'_>) -> Option<Choice> {
        let best = self.widen(|scope| self.cheapest_zone(demand, context, scope));
        if best.as_ref().is_some_and(|best| !best.is_closed()) {
            return best;
        }
        let across = self.search(self.candidates.iter(), demand, context, None);
        match (best, across) {
            (Some(best), Some(across)) if across.cost_ms < best.cost_ms => Some(across),
            (None, across) => across,
            (best, _) => best,
        }
    }

    /// Searches a few servers of each kind, and all of them only if these lack capacity.
    fn widen(&self, search: impl Fn(Scope) -> Option<Choice>) -> Option<Choice> {
        let choice = search(Scope::Sample);
        let is_sufficient = choice
            .as_ref()
            .is_some_and(|choice| !choice.lacks_capacity());
        let leaves_servers_out = || self.zones.values().any(Kinds::is_larger_than_sample);
        if is_sufficient || !leaves_servers_out() {
            return choice;
        }
        search(Scope::All)
    }

    /// Chooses the cheapest path within one availability zone.
    fn cheapest_zone(&self, demand: Demand, context: &Context<'_>, scope: Scope) -> Option<Choice> {
        let mut best: Option<Choice> = None;
        for zone in self.zones.keys() {
            let candidates = self.within(zone, context, scope, None);
            let Some(mut choice) = self.search(candidates, demand, context, None) else {
                continue;
            };
            if zone != context.local_zone {
                choice.cost_ms += REMOTE_ZONE_MS;
            }
            if best
                .as_ref()
                .is_none_or(|best| choice.cost_ms < best.cost_ms)
            {
                best = Some(choice);
            }
        }
        best
    }

    /// Returns servers of an availability zone, those on the path `old` in any case.
    fn within<'a>(
        &'a self,
        zone: &Zone,
        context: &Context<'_>,
        scope: Scope,
        old: Option<&'a Path>,
    ) -> impl Iterator<Item = &'a Candidate> {
        let kinds = self.zones.get(zone);
        let chosen = kinds.map(|kinds| match scope {
            Scope::Sample => kinds.sample(context.random),
            Scope::All => kinds.all(),
        });
        let chosen = chosen.unwrap_or_default();
        let is_left_out = {
            let chosen = chosen.clone();
            move |index: &usize| chosen.binary_search(index).is_err()
        };
        let kept = old.into_iter().flat_map(|path| path.parts());
        let kept = kept.filter_map(|part| {
            let mut servers = self.candidates.iter();
            servers.position(|candidate| candidate.server == part.server)
        });
        let kept = kept.filter(is_left_out);
        chosen
            .into_iter()
            .chain(kept)
            .map(|index| &self.candidates[index])
    }

    /// Chooses a new path for a running request on `old`.
    ///
    /// The first part stays unchanged, because its engine holds the stream. Parts that stay keep
    /// their KV memory, and the others prefill all tokens again.
    pub fn repair(&self, demand: Demand, context: &Context<'_>, old: &Path) -> Option<Choice> {
        let first = old.first()?;
        let zone = self
            .candidates
            .iter()
            .find(|candidate| candidate.server == first.server);
        let zone = zone.map(|candidate| &candidate.zone)?;
        let local = self.widen(|scope| {
            let local = self.within(zone, context, scope, Some(old));
            self.search(local, demand, context, Some(old))
        });
        if local
            .as_ref()
            .is_some_and(|choice| !choice.is_last_resort())
        {
            return local;
        }
        let across = self.search(self.candidates.iter(), demand, context, Some(old));
        across.filter(|choice| !choice.is_last_resort())
    }

    /// Chooses how a request continues after its path `old` lost a part other than the first.
    ///
    /// Takes whichever way produces the next event sooner. The replacement of a dead part prefills
    /// the requests that it takes over one after the other, so reopening some elsewhere is faster
    /// than queueing there.
    pub fn recover(
        &self,
        demand: Demand,
        context: &Context<'_>,
        old: &Path,
        may_reopen: bool,
    ) -> Option<Continuation> {
        let repair = self.repair(demand, context, old)?;
        let may_reopen = may_reopen && repair.first_event_ms > ACCEPTABLE_PAUSE_MS;
        let reopen = may_reopen.then(|| self.choose(demand, context)).flatten();
        let reopen = reopen.filter(|choice| !choice.is_last_resort() && !choice.lacks_capacity());
        match reopen.filter(|choice| choice.first_event_ms < repair.first_event_ms) {
            Some(reopen) => Some(Continuation::Reopen(reopen)),
            None => Some(Continuation::Repair(repair)),
        }
    }

    /// Chooses how a request leaves servers of its path `old` that are about to go, if it can do so
    /// without a noticeable pause.
    ///
    /// A request that stays is interrupted together with all others when the servers go. Returns
    /// `None` while the replacements are busy with prefill, so that the caller can try again later.
    pub fn evacuate(
        &self,
        demand: Demand,
        context: &Context<'_>,
        old: &Path,
        may_reopen: bool,
    ) -> Option<Continuation> {
        let is_unnoticed = |choice: &Choice| {
            choice.first_event_ms <= ACCEPTABLE_PAUSE_MS
                && !choice.lacks_capacity()
                && !choice.is_last_resort()
        };
        if let Some(choice) = self.repair(demand, context, old) {
            return is_unnoticed(&choice).then_some(Continuation::Repair(choice));
        }
        let reopen = may_reopen.then(|| self.choose(demand, context)).flatten();
        reopen.filter(is_unnoticed).map(Continuation::Reopen)
    }

    /// Records the prefill work of a request that moves to `path`; parts that `old` shares do none.
    ///
    /// The work counts `herd_size` times, see [`crate::pipeline::backlog::Backlog::herd_size`].
    pub fn record_prefill(
        &self,
        load: &mut Load,
        now: Instant,
        demand: Demand,
        path: &Path,
        old: Option<&Path>,
        herd_size: f64,
    ) {
        let parts = path.parts().iter();
        let new = parts.filter(|part| old.is_none_or(|old| !old.parts().contains(part)));
        for part in new {
            let Some(candidate) = self
                .candidates
                .iter()
                .find(|candidate| candidate.server == part.server)
            else {
                continue;
            };
            let requests = load.requests(&part.server);
            let held = part.layers.len();
            let prefill_ms =
                self.model
                    .prefill_ms(candidate.profile, held, demand.prompt_tokens, requests);
            load.backlog.add(now, &part.server, prefill_ms * herd_size);
        }
    }
}
