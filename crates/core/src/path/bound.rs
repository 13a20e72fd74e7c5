//! The achievable bound: the maximum token rate that any router could reach.
//!
//! The bound is a maximum flow, computed by a linear program. A node of the network is a boundary
//! between layers in an availability zone. A group of identical backend servers moves tokens from
//! one boundary to a later one, at a cost in layer-tokens; a link moves them between zones, at a
//! cost in bytes. A plain maximum-flow algorithm does not apply, because a stage may run part of its
//! layers and shares its time among all parts.

use std::collections::BTreeSet;

use microlp::ComparisonOp;
use microlp::LinearExpr;
use microlp::OptimizationDirection;
use microlp::Problem;
use microlp::Variable;

use crate::layer::Range;
use crate::name::Accelerator;
use crate::name::Zone;

/// A group of identical backend servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Group {
    /// Their availability zone.
    pub zone: Zone,
    /// Their accelerator.
    pub accelerator: Accelerator,
    /// The layers that each holds.
    pub layers: Range,
    /// The number of servers.
    pub servers: u64,
    /// Layer-tokens per second of all servers together.
    pub layer_tokens: u64,
    /// The maximum number of requests that all servers together can hold in cache memory.
    pub slots: u64,
}

/// The input of the bound: the backend servers of one model and the links between them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// The number of layers of the model.
    pub layers: u32,
    /// The size of one activation in bytes.
    pub activation_bytes: u64,
    /// Seconds between tokens of one request. A slot is held that long for each token, which limits
    /// the rate by Little's law; 0 disables this limit.
    pub token_seconds: f64,
    /// The groups of backend servers.
    pub groups: Vec<Group>,
    /// The capacities of directed links in bytes per second; a missing pair is unlimited.
    pub links: Vec<(Zone, Zone, u64)>,
}

/// One path of the optimal flow.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// The index of each group on the path and the layers that it runs.
    pub steps: Vec<(usize, Range)>,
    /// Tokens per second.
    pub rate: f64,
}

/// The bound and a flow that reaches it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bound {
    /// Tokens per second.
    pub rate: f64,
    /// Paths whose rates add up to the bound.
    pub flows: Vec<Flow>,
}

/// The solver failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the linear program was not solved: {0}")]
pub struct BoundError(String);

/// An arc of the flow network with its variable in the linear program.
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
/// Returns an error when the solver fails. The bound of a fleet without a complete path is 0, which
/// is not an error.
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
    program.conserve_flow();
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

    fn add_arc(&mut self, from: (u32, usize), to: (u32, usize), group: Option<usize>) {
        // The objective is the flow that stages deliver to the last boundary.
        let coefficient = if group.is_some() && to.0 == self.fleet.layers {
            1.0
        } else {
            0.0
        };
        let variable = self.problem.add_var(coefficient, (0.0, f64::INFINITY));
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
                    self.add_arc((*start, zone), (*end, zone), Some(index));
                }
            }
        }
    }

    fn add_links(&mut self) {
        for boundary in self.boundaries.clone() {
            if boundary == 0 || boundary == self.fleet.layers {
                continue;
            }
            for from in 0..self.zones.len() {
                for to in 0..self.zones.len() {
                    if from != to {
                        self.add_arc((boundary, from), (boundary, to), None);
                    }
                }
            }
        }
    }

    /// Constrains the flow into every inner node to equal the flow out of it.
    fn conserve_flow(&mut self) {
        for boundary in &self.boundaries {
            if *boundary == 0 || *boundary == self.fleet.layers {
                continue;
            }
            for zone in 0..self.zones.len() {
                let node = (*boundary, zone);
                let mut balance = LinearExpr::empty();
                for arc in self.arcs.iter().filter(|arc| arc.from == node) {
                    balance.add(arc.variable, -1.0);
                }
                for arc in self.arcs.iter().filter(|arc| arc.to == node) {
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
        let solution = solution.ok_or_else(|| BoundError("the solver stopped early".into()))?;
        for arc in &mut self.arcs {
            arc.rate = solution.var_value(arc.variable).max(0.0);
        }
        let rate = solution.objective();
        let flows = self.decompose();
        Ok(Bound { rate, flows })
    }

    /// Decomposes the flow into paths. Each path follows the arc with the highest rate out of every
    /// node, until no flow remains.
    fn decompose(&mut self) -> Vec<Flow> {
        const MIN_RATE: f64 = 1e-6;
        let mut flows = Vec::new();
        while let Some(path) = self.widest_path(MIN_RATE) {
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

    fn widest_path(&self, min_rate: f64) -> Option<Vec<usize>> {
        let carries_flow = |arc: &Arc| arc.rate > min_rate;
        let by_rate = |a: &usize, b: &usize| self.arcs[*a].rate.total_cmp(&self.arcs[*b].rate);
        let indices = || (0..self.arcs.len()).filter(|i| carries_flow(&self.arcs[*i]));
        let first = indices()
            .filter(|i| self.arcs[*i].from.0 == 0)
            .max_by(by_rate)?;
        let mut path = vec![first];
        let mut node = self.arcs[first].to;
        // The solution may contain cycles between zones, which add nothing to the rate.
        let max_steps = self.boundaries.len() * (self.zones.len() + 1);
        while node.0 != self.fleet.layers && path.len() <= max_steps {
            let next = indices().filter(|i| self.arcs[*i].from == node);
            let next = next.max_by(by_rate)?;
            path.push(next);
            node = self.arcs[next].to;
        }
        (node.0 == self.fleet.layers).then_some(path)
    }
}
