//! Groups entries into cells, so that the messages of each entry do not grow with the number of
//! entries.

mod sources;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::hash;
use crate::name::Zone;
use crate::time::Instant;
use crate::time::Span;

pub use sources::Role;

/// The maximum number of entries in a cell, all of which report to each other.
///
/// Each entry then sends and receives at most 200 messages a second, at about 15 µs of CPU time
/// each. Smaller cells cost less, but add a relay, which triples the age of reports, in more
/// deployments.
pub const MAX_ENTRIES: usize = 32;
/// How often an entry reports its own state to its cell. One of four entries starts three streams
/// in this time, a few percent of a server's capacity.
pub const REPORT_INTERVAL: Span = Span(150);
/// How often a speaker sends the sum of its cell to other cells.
pub const RELAY_INTERVAL: Span = Span(150);
/// The maximum age of a report when used, if no message is lost: it crosses its own cell, a relay,
/// and another cell.
pub const MAX_REPORT_AGE: Span = Span(REPORT_INTERVAL.0 + RELAY_INTERVAL.0 + REPORT_INTERVAL.0);
/// How long a received report is kept. Eight periods, so that several messages in a row may be lost
/// or late.
pub const REPORT_TTL: Span = Span(8 * RELAY_INTERVAL.0);
/// The number of speakers of a cell; two, so that the death of one does not interrupt relaying.
const SPEAKERS: usize = 2;
/// How long an entry that is no longer announced still receives reports after its last message.
/// Announcements also expire during an outage of the store.
const UNANNOUNCED_TTL: Span = Span(5_000);
/// How many entries may be known by their messages only. Messages are not signed, and may name any
/// entry. Those that are announced, and those that were before an outage of the store, are known
/// whatever their number.
const MAX_UNANNOUNCED: usize = 1_024;

/// The name of a cell, the same at all entries that know the same members.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub Arc<str>);

impl Id {
    fn whole() -> Self {
        Self("all".into())
    }

    fn part(zone: &Zone, number: usize) -> Self {
        Self(format!("{zone}/{number}").into())
    }

    /// Returns the number of a part within its zone.
    fn number(&self) -> usize {
        let number = self.0.rsplit_once('/').map(|(_, number)| number.parse());
        number.and_then(Result::ok).unwrap_or_default()
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The location of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Location {
    /// Its availability zone.
    pub zone: Zone,
    /// The address at which it receives reports.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Member {
    location: Location,
    is_announced: bool,
    last_message: Option<Instant>,
}

impl Member {
    fn is_active(&self, now: Instant) -> bool {
        self.last_message
            .is_some_and(|at| now.since(at) <= REPORT_TTL)
    }
}

/// All known entries, grouped into cells.
///
/// Up to [`MAX_ENTRIES`] entries form one cell. More are divided by availability zone, and large
/// zones into equal parts. All entries of a cell report to each other. Two entries of each cell,
/// its speakers, send its sum to the speakers of the other cells, and send the sum of all other
/// cells to their own. Reports are therefore at most [`MAX_REPORT_AGE`] old for any number of
/// entries, and the messages of an entry grow only with the size of its cell and the number of
/// cells.
///
/// Entries may temporarily know different members, and divide the cells differently. Each accepts
/// whatever it receives: an entry is part of the sum of the cell that it assumes to be in, and is
/// counted twice only by entries between two views.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::cell::Directory;
/// # use jujube_core::pipeline::cell::Location;
/// # use jujube_core::time::Instant;
/// let location = |host| Location { zone: "z".into(), address: ([10, 0, 0, host], 7340).into() };
/// let mut directory = Directory::new("a", location(1));
/// directory.announced("b", location(2));
/// assert_eq!(directory.count(), 2);
/// assert_eq!(directory.neighbours(), vec![location(2).address]);
/// assert!(directory.targets(Instant(0)).is_empty(), "there is only one cell");
/// ```
#[derive(Clone, Debug)]
pub struct Directory {
    own: Arc<str>,
    members: BTreeMap<Arc<str>, Member>,
    cells: BTreeMap<Id, Vec<Arc<str>>>,
    home: Id,
    /// The number of relays to the other cells.
    round: usize,
    version: u64,
}

impl Directory {
    /// Returns a directory that contains only this entry.
    #[must_use]
    pub fn new(own: impl Into<Arc<str>>, location: Location) -> Self {
        let own = own.into();
        let member = Member {
            location,
            is_announced: true,
            last_message: None,
        };
        let mut directory = Self {
            members: [(own.clone(), member)].into(),
            own,
            cells: BTreeMap::new(),
            home: Id::default(),
            round: usize::MAX,
            version: 0,
        };
        directory.regroup();
        directory
    }

    /// Adds an entry that was announced.
    pub fn announced(&mut self, name: impl Into<Arc<str>>, location: Location) {
        self.announced_all([(name.into(), location)]);
    }

    /// Adds entries that were announced together, such as those that start after a loss of many.
    ///
    /// The cells are formed once, not for each entry: at a thousand entries that is a million steps.
    pub fn announced_all(&mut self, announced: impl IntoIterator<Item = (Arc<str>, Location)>) {
        let mut is_changed = false;
        for (name, location) in announced {
            is_changed |= self.insert_announced(name, location);
        }
        if is_changed {
            self.regroup();
        }
    }

    /// Inserts an announced entry; returns whether it was unknown, or elsewhere.
    fn insert_announced(&mut self, name: Arc<str>, location: Location) -> bool {
        if name == self.own {
            return false;
        }
        let known = self.members.get(&name);
        let is_known = known.is_some_and(|known| known.location == location);
        let member = Member {
            location,
            is_announced: true,
            last_message: known.and_then(|known| known.last_message),
        };
        self.members.insert(name, member);
        !is_known
    }

    /// Records that an entry is no longer announced; it stays known while it sends messages.
    pub fn removed(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name).filter(|_| *name != *self.own) {
            member.is_announced = false;
        }
    }

    /// Replaces the set of announced entries.
    pub fn replaced(&mut self, announced: impl IntoIterator<Item = (Arc<str>, Location)>) {
        let own = self.own.clone();
        let others = self.members.iter_mut().filter(|(name, _)| **name != own);
        others.for_each(|(_, member)| member.is_announced = false);
        self.announced_all(announced);
    }

    /// Records a message from an entry; returns whether the entry is known from now on.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_core::pipeline::cell::Directory;
    /// # use jujube_core::pipeline::cell::Location;
    /// # use jujube_core::time::Instant;
    /// let location = Location { zone: "z".into(), address: ([10, 0, 0, 1], 7340).into() };
    /// let mut directory = Directory::new("a", location.clone());
    /// assert!(directory.observe(Instant(0), &"b".into(), location));
    /// ```
    pub fn observe(&mut self, now: Instant, name: &Arc<str>, location: Location) -> bool {
        if *name == self.own {
            return true;
        }
        let known = self.members.get_mut(name);
        let is_new = known.is_none();
        if let Some(known) = known.filter(|known| known.location == location) {
            known.last_message = Some(now);
            return true;
        }
        if is_new && self.unannounced() >= MAX_UNANNOUNCED {
            return false;
        }
        let member = Member {
            location,
            is_announced: false,
            last_message: Some(now),
        };
        self.members.insert(name.clone(), member);
        self.regroup();
        true
    }

    /// Returns the number of entries that are known by their messages only.
    fn unannounced(&self) -> usize {
        let members = self.members.values();
        members.filter(|member| !member.is_announced).count()
    }

    /// Removes entries that are neither announced nor sending messages.
    pub fn expire(&mut self, now: Instant) {
        let before = self.members.len();
        self.members.retain(|_, member| {
            let last_message = member.last_message;
            member.is_announced || last_message.is_some_and(|at| now.since(at) <= UNANNOUNCED_TTL)
        });
        if self.members.len() < before {
            self.regroup();
        }
    }

    /// Returns the number of known entries, including this one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Returns a number that grows whenever the known entries or their locations change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the names of the known entries of an availability zone, or of all zones if it has
    /// none.
    #[must_use]
    pub fn nearest(&self, zone: &Zone) -> Vec<Arc<str>> {
        let is_local = |(_, member): &(&Arc<str>, &Member)| member.location.zone == *zone;
        let local = self.members.iter().filter(is_local);
        let local: Vec<Arc<str>> = local.map(|(name, _)| name.clone()).collect();
        if local.is_empty() {
            return self.members.keys().cloned().collect();
        }
        local
    }

    /// Returns the number of known entries whose names precede this one's.
    #[must_use]
    pub fn rank(&self) -> usize {
        self.members.range(..self.own.clone()).count()
    }

    /// Returns the cell of this entry.
    #[must_use]
    pub fn home(&self) -> &Id {
        &self.home
    }

    /// Returns the number of cells.
    #[must_use]
    pub fn cells(&self) -> usize {
        self.cells.len()
    }

    /// Returns the addresses of the other entries of this entry's cell.
    #[must_use]
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        let others = self.names(&self.home).filter(|name| **name != self.own);
        others.filter_map(|name| self.address(name)).collect()
    }

    /// Returns whether this entry is a speaker of its cell.
    ///
    /// The speakers are the first two active entries in an order that all members compute alike.
    /// Members that disagree on who is active temporarily have one speaker more or fewer, which
    /// costs only a few messages.
    #[must_use]
    pub fn is_speaker(&self, now: Instant) -> bool {
        let members = self.names(&self.home);
        self.would_speak_among(members.filter(|name| self.is_active(now, name)))
    }

    /// Returns whether this entry would be a speaker of its cell if these were its active members.
    fn would_speak_among<'a>(&self, members: impl Iterator<Item = &'a Arc<str>>) -> bool {
        let mut ranked: Vec<&Arc<str>> = members.collect();
        ranked.sort_by_key(|name| hash::of((&self.home, name)));
        ranked.iter().take(SPEAKERS).any(|name| **name == self.own)
    }

    /// Returns the addresses of other cells to which the sum of this one is to be sent.
    ///
    /// These are the first active members of each cell, which are its speakers. Members that
    /// precede them and seem inactive may be speakers as well, if they have not received anything
    /// yet; each round includes one of them. In a cell without active members, the members are
    /// tried in turn.
    pub fn targets(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.round = self.round.wrapping_add(1);
        let others = self.cells.iter().filter(|(id, _)| **id != self.home);
        let names = others.flat_map(|(id, names)| self.recipients(now, id, names));
        names.filter_map(|name| self.address(name)).collect()
    }

    fn recipients<'a>(&self, now: Instant, id: &Id, names: &'a [Arc<str>]) -> Vec<&'a Arc<str>> {
        let mut ranked: Vec<&Arc<str>> = names.iter().collect();
        ranked.sort_by_key(|name| hash::of((id, name)));
        let active = ranked.iter().copied();
        let active = active.filter(|name| self.is_active(now, name));
        let mut recipients: Vec<&Arc<str>> = active.take(SPEAKERS).collect();
        let last = recipients.last().copied();
        let before = ranked.iter().copied();
        let before = before.take_while(|name| Some(*name) != last);
        let silent: Vec<&Arc<str>> = before.filter(|name| !recipients.contains(name)).collect();
        let tried = SPEAKERS
            .saturating_sub(recipients.len())
            .max(1)
            .min(silent.len());
        let turns = (0..tried).map(|turn| silent[(self.round * tried + turn) % silent.len()]);
        recipients.extend(turns);
        recipients
    }

    fn names(&self, id: &Id) -> impl Iterator<Item = &Arc<str>> {
        self.cells.get(id).into_iter().flatten()
    }

    /// Returns the address of a known entry.
    #[must_use]
    pub fn address(&self, name: &Arc<str>) -> Option<SocketAddr> {
        self.members.get(name).map(|member| member.location.address)
    }

    fn is_active(&self, now: Instant, name: &Arc<str>) -> bool {
        let member = self.members.get(name);
        *name == self.own || member.is_some_and(|member| member.is_active(now))
    }

    fn regroup(&mut self) {
        self.version += 1;
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
            .entry(&member.location.zone)
            .or_default()
            .push(name.clone());
    }
    let mut cells = BTreeMap::new();
    for (zone, names) in zones {
        let parts = names.len().div_ceil(MAX_ENTRIES);
        let size = names.len().div_ceil(parts);
        for (number, names) in names.chunks(size).enumerate() {
            cells.insert(Id::part(zone, number), names.to_vec());
        }
    }
    cells
}
