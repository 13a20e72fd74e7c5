//! The achievable bound: the highest token rate that any router could reach.
//!
//! A state is a boundary between layers in an availability zone. A group of like backend servers
//! moves tokens from one boundary to a later one and pays layer-tokens; a link moves them between
//! zones and pays bytes. The highest flow from the first boundary to the last is a linear program,
//! because a stage may run part of what it holds and its time is shared over all parts.

use std::collections::BTreeSet;

use microlp::ComparisonOp;
use microlp::LinearExpr;
use microlp::OptimizationDirection;
use microlp::Problem;
use microlp::Variable;

use crate::layer::Range;
use crate::name::Accelerator;
use crate::name::Zone;

/// Backend servers that are alike.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Group {
    /// Where they are.
    pub zone: Zone,
    /// Their accelerator.
    pub accelerator: Accelerator,
    /// The layers that each holds.
    pub layers: Range,
    /// How many they are.
    pub servers: u64,
    /// Layer-tokens a second of all of them.
    pub layer_tokens: u64,
    /// Requests that all of them can hold; the cache memory in other words.
    pub slots: u64,
}

/// What the bound is computed of: one model's backend servers and links.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// The model's layers.
    pub layers: u32,
    /// Bytes of one activation.
    pub activation_bytes: u64,
    /// Seconds between tokens of one request at the design point; a slot is held that long for each
    /// token (Little's law).
    pub token_seconds: f64,
    /// All groups.
    pub groups: Vec<Group>,
    /// Links that limit, in bytes a second, one direction each; a missing pair does not limit.
    pub links: Vec<(Zone, Zone, u64)>,
}

/// A part of the best flow: a sequence of groups and the layers that each runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// Index of the group, and the layers that it runs.
    pub steps: Vec<(usize, Range)>,
    /// Tokens a second.
    pub rate: f64,
}

/// The bound and a flow that reaches it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bound {
    /// Tokens a second.
    pub rate: f64,
    /// Paths whose rates add up to the bound.
    pub flows: Vec<Flow>,
}

/// The solver gave no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the linear program was not solved: {0}")]
pub struct BoundError(String);

/// An arc of the flow network with its variable.
struct Arc {
    from: (u32, usize),
    to: (u32, usize),
    group: Option<usize>,
    variable: Variable,
    rate: f64,
}

/// Computes the bound.
///
/// # Errors
///
/// The solver fails; an empty or uncovered fleet is no error, its bound is 0.
///
/// # Examples
///
/// ```
/// # use jujube_core::path::Fleet;
/// # use jujube_core::path::Group;
/// # use jujube_core::path::bound;
/// let group = |layers: &str| Group {
///     zone: "z".into(),
///     accelerator: "a".into(),
///     layers: layers.parse().unwrap(),
///     servers: 1,
///     layer_tokens: 100,
///     slots: 64,
/// };
/// let groups = vec![group("0-4"), group("4-6")];
/// let fleet = Fleet { layers: 6, groups, ..Fleet::default() };
/// assert_eq!(bound(&fleet)?.rate.round(), 25.0);
/// # Ok::<(), jujube_core::path::BoundError>(())
/// ```
pub fn bound(fleet: &Fleet) -> Result<Bound, BoundError> {
    let mut program = Program::new(fleet);
    program.add_stages();
    program.add_links();
    program.conserve();
    program.limit_groups();
    program.limit_links();
    program.solve()
}

struct Program<'a> {
    fleet: &'a Fleet,
    zones: Vec<Zone>,
    boundaries: Vec<u32>,
    problem: Problem,
    arcs: Vec<Arc>,
}

impl<'a> Program<'a> {
    fn new(fleet: &'a Fleet) -> Self {
        let zones: BTreeSet<&Zone> = fleet.groups.iter().map(|g| &g.zone).collect();
        let ends = fleet
            .groups
            .iter()
            .flat_map(|g| [g.layers.start, g.layers.end]);
        let boundaries: BTreeSet<u32> = ends.chain([0, fleet.layers]).collect();
        Self {
            fleet,
            zones: zones.into_iter().cloned().collect(),
            boundaries: boundaries.into_iter().collect(),
            problem: Problem::new(OptimizationDirection::Maximize),
            arcs: Vec::new(),
        }
    }

    fn add(&mut self, from: (u32, usize), to: (u32, usize), group: Option<usize>) {
        // Only what reaches the last boundary counts, and only stages do.
        let gain = if group.is_some() && to.0 == self.fleet.layers {
            1.0
        } else {
            0.0
        };
        let variable = self.problem.add_var(gain, (0.0, f64::INFINITY));
        self.arcs.push(Arc {
            from,
            to,
            group,
            variable,
            rate: 0.0,
        });
    }

    fn add_stages(&mut self) {
        let fleet = self.fleet;
        for (index, group) in fleet.groups.iter().enumerate() {
            let Ok(zone) = self.zones.binary_search(&group.zone) else {
                continue;
            };
            let held = |b: &&u32| group.layers.start <= **b && **b <= group.layers.end;
            let held: Vec<u32> = self.boundaries.iter().filter(held).copied().collect();
            for (i, start) in held.iter().enumerate() {
                for end in &held[i + 1..] {
                    self.add((*start, zone), (*end, zone), Some(index));
                }
            }
        }
    }

    fn add_links(&mut self) {
        let inner: Vec<u32> = self.boundaries.clone();
        for boundary in inner {
            if boundary == 0 || boundary == self.fleet.layers {
                continue;
            }
            for from in 0..self.zones.len() {
                for to in 0..self.zones.len() {
                    if from != to {
                        self.add((boundary, from), (boundary, to), None);
                    }
                }
            }
        }
    }

    /// What comes to an inner state leaves it.
    fn conserve(&mut self) {
        for boundary in &self.boundaries {
            if *boundary == 0 || *boundary == self.fleet.layers {
                continue;
            }
            for zone in 0..self.zones.len() {
                let state = (*boundary, zone);
                let mut balance = LinearExpr::empty();
                for arc in self.arcs.iter().filter(|arc| arc.from == state) {
                    balance.add(arc.variable, -1.0);
                }
                for arc in self.arcs.iter().filter(|arc| arc.to == state) {
                    balance.add(arc.variable, 1.0);
                }
                self.problem.add_constraint(balance, ComparisonOp::Eq, 0.0);
            }
        }
    }

    fn limit_groups(&mut self) {
        for (index, group) in self.fleet.groups.iter().enumerate() {
            let mut time = LinearExpr::empty();
            let mut memory = LinearExpr::empty();
            for arc in self.arcs.iter().filter(|arc| arc.group == Some(index)) {
                time.add(arc.variable, f64::from(arc.to.0 - arc.from.0));
                memory.add(arc.variable, self.fleet.token_seconds);
            }
            let capacity = group.layer_tokens as f64;
            self.problem
                .add_constraint(time, ComparisonOp::Le, capacity);
            if self.fleet.token_seconds > 0.0 {
                let slots = group.slots as f64;
                self.problem.add_constraint(memory, ComparisonOp::Le, slots);
            }
        }
    }

    fn limit_links(&mut self) {
        for (from, to, bytes) in &self.fleet.links {
            let from = self.zones.binary_search(from);
            let to = self.zones.binary_search(to);
            let (Ok(from), Ok(to)) = (from, to) else {
                continue;
            };
            let mut load = LinearExpr::empty();
            let crosses = |arc: &&Arc| arc.group.is_none() && arc.from.1 == from && arc.to.1 == to;
            for arc in self.arcs.iter().filter(crosses) {
                load.add(arc.variable, self.fleet.activation_bytes as f64);
            }
            self.problem
                .add_constraint(load, ComparisonOp::Le, *bytes as f64);
        }
    }

    fn solve(mut self) -> Result<Bound, BoundError> {
        if self.arcs.is_empty() {
            return Ok(Bound::default());
        }
        let outcome = self
            .problem
            .solve()
            .map_err(|e| BoundError(e.to_string()))?;
        let solution = outcome.solution();
        let solution = solution.ok_or_else(|| BoundError("stopped early".into()))?;
        for arc in &mut self.arcs {
            arc.rate = solution.var_value(arc.variable).max(0.0);
        }
        let rate = solution.objective();
        let flows = self.peel();
        Ok(Bound { rate, flows })
    }

    /// Takes the flow apart into paths: the widest arc out of each state, until nothing is left.
    fn peel(&mut self) -> Vec<Flow> {
        const NOTHING: f64 = 1e-6;
        let mut flows = Vec::new();
        while let Some(path) = self.widest(NOTHING) {
            let rate = path
                .iter()
                .map(|i| self.arcs[*i].rate)
                .fold(f64::INFINITY, f64::min);
            let mut steps = Vec::new();
            for index in path {
                let arc = &mut self.arcs[index];
                arc.rate -= rate;
                if let Some(group) = arc.group {
                    steps.push((group, Range::new(arc.from.0, arc.to.0)));
                }
            }
            flows.push(Flow { steps, rate });
        }
        flows
    }

    fn widest(&self, nothing: f64) -> Option<Vec<usize>> {
        let open = |arc: &Arc| arc.rate > nothing;
        let by_rate = |a: &usize, b: &usize| self.arcs[*a].rate.total_cmp(&self.arcs[*b].rate);
        let indices = || (0..self.arcs.len()).filter(|i| open(&self.arcs[*i]));
        let first = indices()
            .filter(|i| self.arcs[*i].from.0 == 0)
            .max_by(by_rate)?;
        let mut path = vec![first];
        let mut state = self.arcs[first].to;
        // A flow may run in a circle between zones at no gain; the bound on steps ends it.
        let most = self.boundaries.len() * (self.zones.len() + 1);
        while state.0 != self.fleet.layers && path.len() <= most {
            let next = indices().filter(|i| self.arcs[*i].from == state);
            let next = next.max_by(by_rate)?;
            path.push(next);
            state = self.arcs[next].to;
        }
        (state.0 == self.fleet.layers).then_some(path)
    }
}
