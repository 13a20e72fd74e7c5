//! Which backend servers one entry speaks to.
//!
//! With 370 entries before 11,000 backend servers, heartbeats from all to all would take a thousand
//! times the bytes that control may use. Each entry speaks to a few of each group of like backend
//! servers, in the zones near it; different entries to different ones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::bundle::Bundle;
use crate::bundle::Kind;
use crate::bundle::Member;
use crate::bundle::Offer;
use crate::layer;
use crate::layer::Range;
use crate::name::Accelerator;
use crate::name::Server;
use crate::name::Service;
use crate::name::Zone;
use crate::request::BootId;

/// How an entry's share is cut.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Settings {
    /// The availability zones that it speaks to; empty stands for all.
    pub zones: BTreeSet<Zone>,
    /// How many of each group; 0 stands for all.
    pub each: usize,
}

type Members<'a> = Vec<(&'a Server, &'a Member)>;

/// Returns the backend servers that an entry speaks to.
///
/// A service that its zones do not cover whole is taken from all zones: a path across the sea beats
/// none.
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
        let enough = offer.is_some_and(|offer| covers(offer, &nearby));
        let pool = if enough { nearby } else { members };
        for (server, member) in draw(pool, entry, settings.each) {
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

/// Takes the highest of each group by rendezvous hashing: a member that goes changes only what the
/// entries that had it speak to.
fn draw(pool: Members<'_>, entry: BootId, each: usize) -> Members<'_> {
    if each == 0 {
        return pool;
    }
    let mut groups: BTreeMap<(&Zone, &Accelerator, Range, bool), Members<'_>> = BTreeMap::new();
    for (server, member) in pool {
        let like = (
            &member.zone,
            &member.accelerator,
            member.layers,
            member.in_use,
        );
        groups.entry(like).or_default().push((server, member));
    }
    let mut drawn = Vec::new();
    for mut group in groups.into_values() {
        group.sort_by_key(|(server, _)| score(entry, server));
        drawn.extend(group.into_iter().take(each));
    }
    drawn
}

fn score(entry: BootId, server: &Server) -> u64 {
    let mut hasher = DefaultHasher::new();
    (entry, server).hash(&mut hasher);
    hasher.finish()
}
