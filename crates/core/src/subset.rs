//! Selection of the backend servers that one entry connects to.
//!
//! Heartbeats between all entries and all backend servers would exceed the bandwidth for control
//! traffic. Each entry connects to a few backend servers of each group of identical ones in its
//! configured zones, and different entries select different ones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::bundle::Bundle;
use crate::bundle::Kind;
use crate::bundle::Member;
use crate::bundle::Offer;
use crate::hash;
use crate::layer;
use crate::layer::Range;
use crate::name::Accelerator;
use crate::name::Server;
use crate::name::Service;
use crate::name::Zone;
use crate::request::BootId;

/// The size of an entry's subset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Settings {
    /// The availability zones that it connects to; empty means all.
    pub zones: BTreeSet<Zone>,
    /// The number of backend servers per group; 0 means all.
    pub each: usize,
}

type Members<'a> = Vec<(&'a Server, &'a Member)>;

/// Returns the backend servers that an entry connects to.
///
/// When the configured zones do not hold all layers of a model or no server of a plain service, the
/// servers of that service are selected from all zones, so that the entry has a path at all.
///
/// # Examples
///
/// ```
/// # use jujube_core::bundle::Bundle;
/// # use jujube_core::request::BootId;
/// # use jujube_core::subset::Settings;
/// # use jujube_core::subset::subset;
/// assert!(subset(&Bundle::default(), BootId(1), &Settings::default()).is_empty());
/// ```
#[must_use]
pub fn subset(bundle: &Bundle, entry: BootId, settings: &Settings) -> BTreeMap<Server, Member> {
    let mut by_service: BTreeMap<&Service, Members<'_>> = BTreeMap::new();
    for (server, member) in &bundle.servers {
        by_service
            .entry(&member.service)
            .or_default()
            .push((server, member));
    }
    let mut chosen = BTreeMap::new();
    for (service, members) in by_service {
        let near = |(_, member): &(&Server, &Member)| settings.zones.contains(&member.zone);
        let nearby: Members<'_> = members.iter().copied().filter(near).collect();
        let offer = bundle.services.get(service);
        let is_covered = offer.is_some_and(|offer| covers(offer, &nearby));
        let pool = if is_covered { nearby } else { members };
        for (server, member) in select(pool, entry, settings.each) {
            chosen.insert(server.clone(), member.clone());
        }
    }
    chosen
}

fn covers(offer: &Offer, members: &Members<'_>) -> bool {
    let in_use = members.iter().filter(|(_, member)| member.in_use);
    match offer.kind {
        Kind::Plain => in_use.count() > 0,
        Kind::Model => {
            let held: Vec<Range> = in_use.map(|(_, member)| member.layers).collect();
            layer::first_gap(offer.layers, &held).is_none()
        }
    }
}

/// Selects up to `each` members of every group by rendezvous hashing, so that the removal of a member
/// changes the subsets of only those entries that had selected it.
fn select(pool: Members<'_>, entry: BootId, each: usize) -> Members<'_> {
    if each == 0 {
        return pool;
    }
    let mut groups: BTreeMap<(&Zone, &Accelerator, Range, bool), Members<'_>> = BTreeMap::new();
    for (server, member) in pool {
        let group = (
            &member.zone,
            &member.accelerator,
            member.layers,
            member.in_use,
        );
        groups.entry(group).or_default().push((server, member));
    }
    let mut selected = Vec::new();
    for mut group in groups.into_values() {
        group.sort_by_key(|(server, _)| hash::of((entry, server)));
        selected.extend(group.into_iter().take(each));
    }
    selected
}
