//! How entries are grouped, so that what each tells and hears does not grow with their number.

use std::collections::BTreeMap;
use std::fmt;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::name::Zone;
use crate::time::Instant;
use crate::time::Span;

/// The most entries of a cell; all entries of a cell tell all others of it.
///
/// Each then sends and gets at most two hundred messages a second, at some 15 microseconds of processor time each.
/// Smaller cells cost less, and make what is known three times as old in fleets that could have been one.
pub const MAX_ENTRIES: usize = 32;
/// How often an entry tells the others of its cell what it knows itself. In that time one of four entries starts
/// three streams, which is a few parts in a hundred of a server's room.
pub const REPORT_INTERVAL: Span = Span(150);
/// How often a speaker tells the other cells the sum of its own.
pub const RELAY_INTERVAL: Span = Span(150);
/// The oldest that a word is when it is used, if none is lost: told inside a cell, on to another, and on inside it.
pub const MAX_REPORT_AGE: Span = Span(REPORT_INTERVAL.0 + RELAY_INTERVAL.0 + REPORT_INTERVAL.0);
/// How long a word stands at whoever heard it: eight of the slowest period, so that several in a row may be lost or
/// late before what an entry has in flight is forgotten.
pub const REPORT_TTL: Span = Span(8 * RELAY_INTERVAL.0);
/// How many entries of a cell speak for it; one may die without a gap.
const SPEAKERS: usize = 2;
/// How long an entry whose announcement has ended is still told, after it was last heard: announcements also end
/// when the store is away.
const HEARD: Span = Span(5_000);

/// The name of a cell; entries that know the same others name their cells alike.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub Arc<str>);

impl Id {
    fn whole() -> Self {
        Self("all".into())
    }

    fn part(zone: &Zone, number: usize) -> Self {
        Self(format!("{zone}/{number}").into())
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Where an entry is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Location {
    /// Its availability zone.
    pub zone: Zone,
    /// Where it hears the others.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Member {
    place: Location,
    is_announced: bool,
    heard: Option<Instant>,
}

impl Member {
    fn is_heard(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now.since(heard) <= REPORT_TTL)
    }
}

/// All entries that are known, in cells.
///
/// Up to [`MAX_ENTRIES`] entries are one cell. More are cut into cells by availability zone, and large zones into equal
/// parts. Inside a cell all tell all; two entries of each, its speakers, tell the other cells' speakers the sum
/// of theirs, and tell their own cell the sum of all others. So what an entry knows of all is at most [`MAX_REPORT_AGE`] old
/// whatever their number, and no entry sends more than a cell's worth of messages and one for each other cell.
///
/// Entries may know different others for a while, and cut the cells differently. Whoever is told something takes
/// it: an entry is in the sum of the cell that it believes to be in, and only those between two views count it
/// twice meanwhile.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::cell::Directory;
/// # use jujube_core::pipeline::cell::Location;
/// # use jujube_core::time::Instant;
/// let place = |host| Location { zone: "z".into(), address: ([10, 0, 0, host], 7340).into() };
/// let mut directory = Directory::new("a", place(1));
/// directory.announced("b", place(2));
/// assert_eq!(directory.count(), 2);
/// assert_eq!(directory.neighbours(), vec![place(2).address]);
/// assert!(directory.targets(Instant(0)).is_empty(), "there is one cell only");
/// ```
#[derive(Clone, Debug)]
pub struct Directory {
    own: Arc<str>,
    members: BTreeMap<Arc<str>, Member>,
    cells: BTreeMap<Id, Vec<Arc<str>>>,
    home: Id,
    /// How often the other cells were told.
    round: usize,
}

impl Directory {
    /// Returns the directory of an entry that knows no other.
    #[must_use]
    pub fn new(own: impl Into<Arc<str>>, place: Location) -> Self {
        let own = own.into();
        let member = Member {
            place,
            is_announced: true,
            heard: None,
        };
        let mut directory = Self {
            members: [(own.clone(), member)].into(),
            own,
            cells: BTreeMap::new(),
            home: Id::default(),
            round: usize::MAX,
        };
        directory.regroup();
        directory
    }

    /// Takes an entry's announcement.
    pub fn announced(&mut self, name: impl Into<Arc<str>>, place: Location) {
        let name = name.into();
        if name == self.own {
            return;
        }
        let known = self.members.get(&name);
        let is_known = known.is_some_and(|known| known.place == place);
        let member = Member {
            place,
            is_announced: true,
            heard: known.and_then(|known| known.heard),
        };
        self.members.insert(name, member);
        if !is_known {
            self.regroup();
        }
    }

    /// Takes that an entry's announcement has ended; it is known for as long as it is heard.
    pub fn removed(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name).filter(|_| *name != *self.own) {
            member.is_announced = false;
        }
    }

    /// Takes all entries that are announced.
    pub fn replaced(&mut self, announced: impl IntoIterator<Item = (Arc<str>, Location)>) {
        let own = self.own.clone();
        let others = self.members.iter_mut().filter(|(name, _)| **name != own);
        others.for_each(|(_, member)| member.is_announced = false);
        for (name, place) in announced {
            self.announced(name, place);
        }
    }

    /// Takes that an entry was heard.
    pub fn heard(&mut self, now: Instant, name: &Arc<str>, place: Location) {
        if *name == self.own {
            return;
        }
        let known = self.members.get_mut(name);
        if let Some(known) = known.filter(|known| known.place == place) {
            known.heard = Some(now);
            return;
        }
        let member = Member {
            place,
            is_announced: false,
            heard: Some(now),
        };
        self.members.insert(name.clone(), member);
        self.regroup();
    }

    /// Forgets entries that are neither announced nor heard any more.
    pub fn expire(&mut self, now: Instant) {
        let before = self.members.len();
        self.members.retain(|_, member| {
            let heard = member.heard;
            member.is_announced || heard.is_some_and(|heard| now.since(heard) <= HEARD)
        });
        if self.members.len() < before {
            self.regroup();
        }
    }

    /// Returns how many entries are known, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Returns how many known entries' names come before this one's, which is the same for all who know them.
    #[must_use]
    pub fn rank(&self) -> usize {
        self.members.range(..self.own.clone()).count()
    }

    /// Returns the cell of this entry.
    #[must_use]
    pub fn home(&self) -> &Id {
        &self.home
    }

    /// Returns how many cells there are.
    #[must_use]
    pub fn cells(&self) -> usize {
        self.cells.len()
    }

    /// Returns where the other entries of this entry's cell hear.
    #[must_use]
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        let others = self.names(&self.home).filter(|name| **name != self.own);
        others.filter_map(|name| self.address(name)).collect()
    }

    /// Tells whether this entry speaks for its cell.
    ///
    /// Of those that are heard, two by an order that all members find alike. Those that disagree on who is heard
    /// make a third one speak or leave one out for a while, which costs a few messages.
    #[must_use]
    pub fn is_speaker(&self, now: Instant) -> bool {
        let heard = self
            .names(&self.home)
            .filter(|name| self.is_here(now, name));
        let mut ranked: Vec<&Arc<str>> = heard.collect();
        ranked.sort_by_key(|name| score(&self.home, name));
        ranked.iter().take(SPEAKERS).any(|name| **name == self.own)
    }

    /// Returns where to tell the other cells the sum of this one.
    ///
    /// Those are the members that are heard and come first, which speak for their cells. Members that come before
    /// them and are not heard may speak all the same, not having been told yet; one more of these is told in each
    /// round. Where nobody is heard, the members are tried in their order.
    pub fn targets(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.round = self.round.wrapping_add(1);
        let others = self.cells.iter().filter(|(id, _)| **id != self.home);
        let names = others.flat_map(|(id, names)| self.told_of(now, id, names));
        names.filter_map(|name| self.address(name)).collect()
    }

    fn told_of<'a>(&self, now: Instant, id: &Id, names: &'a [Arc<str>]) -> Vec<&'a Arc<str>> {
        let mut ranked: Vec<&Arc<str>> = names.iter().collect();
        ranked.sort_by_key(|name| score(id, name));
        let heard = ranked.iter().copied();
        let heard = heard.filter(|name| self.is_here(now, name));
        let mut told: Vec<&Arc<str>> = heard.take(SPEAKERS).collect();
        let last = told.last().copied();
        let before = ranked.iter().copied();
        let before = before.take_while(|name| Some(*name) != last);
        let silent: Vec<&Arc<str>> = before.filter(|name| !told.contains(name)).collect();
        let tried = SPEAKERS.saturating_sub(told.len()).max(1).min(silent.len());
        let turns = (0..tried).map(|turn| silent[(self.round * tried + turn) % silent.len()]);
        told.extend(turns);
        told
    }

    fn names(&self, id: &Id) -> impl Iterator<Item = &Arc<str>> {
        self.cells.get(id).into_iter().flatten()
    }

    fn address(&self, name: &Arc<str>) -> Option<SocketAddr> {
        self.members.get(name).map(|member| member.place.address)
    }

    fn is_here(&self, now: Instant, name: &Arc<str>) -> bool {
        let member = self.members.get(name);
        *name == self.own || member.is_some_and(|member| member.is_heard(now))
    }

    fn regroup(&mut self) {
        self.cells = group(&self.members);
        let home = self
            .cells
            .iter()
            .find(|(_, names)| names.contains(&self.own));
        self.home = home.map(|(id, _)| id.clone()).unwrap_or_default();
    }
}

fn group(members: &BTreeMap<Arc<str>, Member>) -> BTreeMap<Id, Vec<Arc<str>>> {
    if members.len() <= MAX_ENTRIES {
        return [(Id::whole(), members.keys().cloned().collect())].into();
    }
    let mut zones: BTreeMap<&Zone, Vec<Arc<str>>> = BTreeMap::new();
    for (name, member) in members {
        zones
            .entry(&member.place.zone)
            .or_default()
            .push(name.clone());
    }
    let mut cells = BTreeMap::new();
    for (zone, names) in zones {
        let parts = names.len().div_ceil(MAX_ENTRIES);
        let most = names.len().div_ceil(parts);
        for (number, names) in names.chunks(most).enumerate() {
            cells.insert(Id::part(zone, number), names.to_vec());
        }
    }
    cells
}

fn score(cell: &Id, name: &Arc<str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    (cell, name).hash(&mut hasher);
    hasher.finish()
}
