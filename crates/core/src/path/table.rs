//! The routing table of a model: an immutable snapshot from which traffic threads choose paths.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::bound::Bound;
use super::bound::Fleet;
use super::bound::Flow;
use super::bound::Group;
use super::bound::bound;
use crate::layer::Range;
use crate::name::Accelerator;
use crate::name::Server;
use crate::name::Zone;

/// A backend server that may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The name of the server.
    pub server: Server,
    /// The address of its sidecar.
    pub address: Arc<str>,
    /// Its availability zone.
    pub zone: Zone,
    /// Its accelerator.
    pub accelerator: Accelerator,
    /// The layers that it holds.
    pub layers: Range,
    /// Layer-tokens per second.
    pub speed: u64,
    /// The maximum number of requests that it can hold.
    pub slots: u64,
    /// The number of requests of other entries that it holds, by its latest report.
    pub others: u64,
}

/// The candidates of one model by group, with the optimal flow.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The model's layers.
    pub layers: u32,
    /// All candidates; those of one group are contiguous.
    pub candidates: Vec<Candidate>,
    /// For each group, the range of its members in `candidates`.
    pub members: Vec<std::ops::Range<usize>>,
    /// The paths of the optimal flow, with their rates.
    pub flows: Vec<Flow>,
    /// The bound in tokens per second.
    pub rate: f64,
}

impl Table {
    /// Groups the candidates and solves for the optimal flow.
    ///
    /// The groups in `fleet` are replaced. When the solver fails, the table has no flows and its rate
    /// is 0; [`Chooser`](super::Chooser) then covers the layers with candidates directly.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::path::Fleet;
    /// # use jujube_core::path::Table;
    /// let table = Table::build(Vec::new(), Fleet::default());
    /// assert_eq!(table.rate, 0.0);
    /// ```
    #[must_use]
    pub fn build(candidates: Vec<Candidate>, mut fleet: Fleet) -> Self {
        let (candidates, members, groups) = group(candidates);
        fleet.groups = groups;
        let Bound { rate, flows } = bound(&fleet).unwrap_or_default();
        Self {
            layers: fleet.layers,
            candidates,
            members,
            flows,
            rate,
        }
    }

    /// Returns the table with updated loads and the same flow: loads change with every heartbeat,
    /// the flow only with the fleet.
    #[must_use]
    pub fn with_loads(&self, others: impl Fn(&Server) -> u64) -> Self {
        let mut table = self.clone();
        for candidate in &mut table.candidates {
            candidate.others = others(&candidate.server);
        }
        table
    }

    /// Returns a candidate by name.
    #[must_use]
    pub fn find(&self, server: &Server) -> Option<&Candidate> {
        self.candidates
            .iter()
            .find(|candidate| &candidate.server == server)
    }
}

type Groups = (Vec<Candidate>, Vec<std::ops::Range<usize>>, Vec<Group>);

fn group(candidates: Vec<Candidate>) -> Groups {
    let mut by_kind: BTreeMap<(Zone, Accelerator, Range), Vec<Candidate>> = BTreeMap::new();
    for candidate in candidates {
        let zone = candidate.zone.clone();
        let kind = (zone, candidate.accelerator.clone(), candidate.layers);
        by_kind.entry(kind).or_default().push(candidate);
    }
    let mut sorted = Vec::new();
    let mut members = Vec::new();
    let mut groups = Vec::new();
    for ((zone, accelerator, layers), group) in by_kind {
        members.push(sorted.len()..sorted.len() + group.len());
        groups.push(Group {
            zone,
            accelerator,
            layers,
            servers: group.len() as u64,
            layer_tokens: group.iter().map(|c| c.speed).sum(),
            slots: group.iter().map(|c| c.slots).sum(),
        });
        sorted.extend(group);
    }
    (sorted, members, groups)
}
