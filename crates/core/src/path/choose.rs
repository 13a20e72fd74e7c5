//! Selection of the stages of one request.

use std::collections::BTreeMap;
use std::str::FromStr;

use rand::Rng;
use rand::RngExt;

use super::route::Stage;
use super::table::Candidate;
use super::table::Table;
use crate::layer::Range;
use crate::name::Server;

/// The policy of path selection. All policies except [`Policy::Flow`] are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Paths in proportion to the rates of the optimal flow, servers by their load.
    #[default]
    Flow,
    /// A random backend server that holds the next layer.
    Random,
    /// The backend servers that hold the next layer, in turn.
    RoundRobin,
    /// The backend server with the fewest requests in flight.
    LeastInFlight,
}

impl FromStr for Policy {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "flow" => Ok(Self::Flow),
            "random" => Ok(Self::Random),
            "round-robin" => Ok(Self::RoundRobin),
            "least-in-flight" => Ok(Self::LeastInFlight),
            _ => Err("`flow`, `random`, `round-robin` or `least-in-flight`"),
        }
    }
}

/// The settings of a chooser.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The policy of path selection.
    pub policy: Policy,
    /// The number of random members of a group whose loads are compared; 0 means all members.
    pub compared: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::Flow,
            compared: 2,
        }
    }
}

/// Chooses paths for one model at one entry.
///
/// # Examples
///
/// ```
/// # use jujube_core::path::Chooser;
/// # use jujube_core::path::Settings;
/// # use jujube_core::path::Table;
/// # use rand::SeedableRng;
/// let mut chooser = Chooser::new(Settings::default());
/// let mut random = rand::rngs::StdRng::seed_from_u64(1);
/// assert_eq!(chooser.choose(&Table::default(), &[], &mut random), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    settings: Settings,
    /// The current weight of each flow for smooth weighted round robin.
    credits: Vec<f64>,
    in_flight: BTreeMap<Server, u64>,
    turn: usize,
}

impl Chooser {
    /// Returns a chooser with nothing in flight.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of requests of this entry in flight at a backend server.
    #[must_use]
    pub fn in_flight(&self, server: &Server) -> u64 {
        self.in_flight.get(server).copied().unwrap_or(0)
    }

    /// Chooses stages for all layers and records them as in flight.
    pub fn choose(
        &mut self,
        table: &Table,
        excluded: &[Server],
        random: &mut impl Rng,
    ) -> Option<Vec<Stage>> {
        let stages = match self.settings.policy {
            Policy::Flow => self.by_flow(table, excluded, random),
            _ => None,
        };
        let all_layers = Range::new(0, table.layers);
        let stages = stages.or_else(|| self.cover(table, all_layers, excluded, random))?;
        self.begin(&stages);
        Some(stages)
    }

    /// Replaces the excluded and unknown stages of a route and records the new route as in flight.
    ///
    /// The remaining stages keep their layers, because their caches hold exactly these.
    pub fn repair(
        &mut self,
        table: &Table,
        stages: &[Stage],
        excluded: &[Server],
        random: &mut impl Rng,
    ) -> Option<Vec<Stage>> {
        let lost =
            |stage: &Stage| excluded.contains(&stage.server) || table.find(&stage.server).is_none();
        let mut unavailable: Vec<Server> = excluded.to_vec();
        unavailable.extend(stages.iter().filter(|s| !lost(s)).map(|s| s.server.clone()));
        let mut repaired = Vec::new();
        for stage in stages {
            if !lost(stage) {
                repaired.push(stage.clone());
                continue;
            }
            let cover = self.cover(table, stage.layers, &unavailable, random)?;
            unavailable.extend(cover.iter().map(|stage| stage.server.clone()));
            repaired.extend(cover);
        }
        self.end(stages);
        self.begin(&repaired);
        Some(repaired)
    }

    /// Records the stages of a request as in flight.
    pub fn begin(&mut self, stages: &[Stage]) {
        for stage in stages {
            *self.in_flight.entry(stage.server.clone()).or_default() += 1;
        }
    }

    /// Records the end of a request at its stages.
    pub fn end(&mut self, stages: &[Stage]) {
        for stage in stages {
            let Some(count) = self.in_flight.get_mut(&stage.server) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&stage.server);
            }
        }
    }

    fn by_flow(
        &mut self,
        table: &Table,
        excluded: &[Server],
        random: &mut impl Rng,
    ) -> Option<Vec<Stage>> {
        let flow = &table.flows[self.next_flow(table)?];
        let steps = flow.steps.iter();
        let stage = |(group, layers): &(usize, Range)| {
            let members = &table.candidates[table.members[*group].clone()];
            let chosen = self.least_loaded(members, excluded, random)?;
            Some(stage_of(chosen, *layers))
        };
        steps.map(stage).collect()
    }

    /// Returns the index of the next flow by smooth weighted round robin, which avoids the bursts of
    /// random selection.
    fn next_flow(&mut self, table: &Table) -> Option<usize> {
        if self.credits.len() != table.flows.len() {
            self.credits = vec![0.0; table.flows.len()];
        }
        let total: f64 = table.flows.iter().map(|flow| flow.rate).sum();
        for (credit, flow) in self.credits.iter_mut().zip(&table.flows) {
            *credit += flow.rate;
        }
        let credits = self.credits.iter().enumerate();
        let (next, _) = credits.max_by(|a, b| a.1.total_cmp(b.1))?;
        self.credits[next] -= total;
        Some(next)
    }

    /// Returns the member with the lowest load among a few random ones.
    ///
    /// Load reports are stale and identical for all entries. If every entry chose the best of all
    /// members, all would herd to the same one until the next report. Comparing a few random members
    /// spreads the requests, and the count of this entry's own requests is always current.
    fn least_loaded<'a>(
        &self,
        members: &'a [Candidate],
        excluded: &[Server],
        random: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let usable = |candidate: &&Candidate| !excluded.contains(&candidate.server);
        let compared = self.settings.compared;
        if members.is_empty() {
            return None;
        }
        if compared > 0 && compared < members.len() {
            let sample = (0..compared).map(|_| &members[random.random_range(0..members.len())]);
            let best = sample
                .filter(usable)
                .min_by(|a, b| self.load(a).total_cmp(&self.load(b)));
            if best.is_some() {
                return best;
            }
        }
        let usable = members.iter().filter(usable);
        usable.min_by(|a, b| self.load(a).total_cmp(&self.load(b)))
    }

    /// Returns the load of a candidate relative to its speed.
    fn load(&self, candidate: &Candidate) -> f64 {
        let held = self.in_flight(&candidate.server) + candidate.others;
        (held + 1) as f64 / candidate.speed.max(1) as f64
    }

    /// Covers a range of layers stage by stage, with the server for each chosen by [`Self::pick`].
    fn cover(
        &mut self,
        table: &Table,
        range: Range,
        excluded: &[Server],
        random: &mut impl Rng,
    ) -> Option<Vec<Stage>> {
        if range.is_empty() {
            return None;
        }
        let mut stages: Vec<Stage> = Vec::new();
        let mut next = range.start;
        while next < range.end {
            let holds = |c: &&Candidate| c.layers.start <= next && next < c.layers.end;
            let usable = |c: &&Candidate| !excluded.contains(&c.server);
            let eligible: Vec<&Candidate> = table
                .candidates
                .iter()
                .filter(holds)
                .filter(usable)
                .collect();
            let chosen = self.pick(&eligible, range.end, random)?;
            let layers = Range::new(next, chosen.layers.end.min(range.end));
            next = layers.end;
            stages.push(stage_of(chosen, layers));
        }
        Some(stages)
    }

    fn pick<'a>(
        &mut self,
        eligible: &[&'a Candidate],
        end: u32,
        random: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        if eligible.is_empty() {
            return None;
        }
        self.turn += 1;
        match self.settings.policy {
            Policy::Random => Some(eligible[random.random_range(0..eligible.len())]),
            Policy::RoundRobin => Some(eligible[self.turn % eligible.len()]),
            Policy::LeastInFlight => eligible
                .iter()
                .copied()
                .min_by_key(|c| self.in_flight(&c.server)),
            Policy::Flow => {
                let reach = eligible.iter().map(|c| c.layers.end.min(end)).max()?;
                let farthest = eligible
                    .iter()
                    .copied()
                    .filter(|c| c.layers.end.min(end) == reach);
                farthest.min_by(|a, b| self.load(a).total_cmp(&self.load(b)))
            }
        }
    }
}

fn stage_of(candidate: &Candidate, layers: Range) -> Stage {
    Stage {
        server: candidate.server.clone(),
        address: candidate.address.clone(),
        layers,
    }
}
