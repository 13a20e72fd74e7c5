//! What traffic threads choose from: an immutable snapshot for each model.

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
    /// Its name.
    pub server: Server,
    /// Where its sidecar listens.
    pub address: Arc<str>,
    /// Where it is.
    pub zone: Zone,
    /// Its accelerator.
    pub accelerator: Accelerator,
    /// The layers that it holds.
    pub layers: Range,
    /// Layer-tokens a second.
    pub speed: u64,
    /// Requests that it can hold.
    pub slots: u64,
    /// Requests that it last said it holds, those of this entry left out.
    pub others: u64,
}

/// One model's candidates, grouped, with the best flow.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The model's layers.
    pub layers: u32,
    /// All candidates; those of one group are neighbours.
    pub candidates: Vec<Candidate>,
    /// By group: the candidates' places in `candidates`.
    pub members: Vec<std::ops::Range<usize>>,
    /// The paths to follow, with their rates.
    pub flows: Vec<Flow>,
    /// The bound.
    pub rate: f64,
}

impl Table {
    /// Groups candidates and solves for the best flow.
    ///
    /// `fleet` gives everything but the groups. When the solver fails there are no flows and the
    /// rate is 0; the candidates are there all the same, and paths are then found by cover.
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

    /// Returns the same table with fresh loads and the old flow: loads change with every heartbeat,
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

type Grouped = (Vec<Candidate>, Vec<std::ops::Range<usize>>, Vec<Group>);

fn group(candidates: Vec<Candidate>) -> Grouped {
    let mut by_kind: BTreeMap<(Zone, Accelerator, Range), Vec<Candidate>> = BTreeMap::new();
    for candidate in candidates {
        let zone = candidate.zone.clone();
        let kind = (zone, candidate.accelerator.clone(), candidate.layers);
        by_kind.entry(kind).or_default().push(candidate);
    }
    let mut flat = Vec::new();
    let mut members = Vec::new();
    let mut groups = Vec::new();
    for ((zone, accelerator, layers), like) in by_kind {
        members.push(flat.len()..flat.len() + like.len());
        groups.push(Group {
            zone,
            accelerator,
            layers,
            servers: like.len() as u64,
            layer_tokens: like.iter().map(|c| c.speed).sum(),
            slots: like.iter().map(|c| c.slots).sum(),
        });
        flat.extend(like);
    }
    (flat, members, groups)
}
