//! A simulation of entries that retry requests of a failing service, while entries and the store fail too.

#![allow(dead_code, reason = "each test file uses its part")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jujube_core::pipeline::budget::Budget;
use jujube_core::pipeline::budget::Policy;
use jujube_core::pipeline::era::Era;
use jujube_core::pipeline::era::Freshness;
use jujube_core::pipeline::era::Settling;
use jujube_core::pipeline::era::Tracker;
use jujube_core::pipeline::key::Segment;
use jujube_core::pipeline::reserve;
use jujube_core::pipeline::reserve::LeaseId;
use jujube_core::pipeline::reserve::Piece;
use jujube_core::pipeline::reserve::Record;
use jujube_core::pipeline::reserve::Reserve;
use jujube_core::revision::Revision;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const LEASE: Span = Span(27_000);
pub const TERMS: Policy = Policy {
    ratio: 0.2,
    slack: 60.0,
    window: Span(10_000),
};
/// The duration of a simulation step, in milliseconds.
pub const STEP: u64 = 100;
/// The duration of a simulation: several windows, long enough for a lease to expire.
pub const DAY: u64 = 90_000;
/// How long before its recording a request may have been sent, and how long after it a retry may arrive.
const SENT_BEFORE: u64 = 1_000;
pub const ARRIVES_AFTER: u64 = 2_000;

/// The number of copies of the store, one per step; a restored store is at most ten seconds old.
const COPIES: usize = 100;

/// A fault or change of load to inject.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    KillAll,
    Remove,
    Add,
    CutFromStore,
    /// The process pauses while its clock continues.
    Freeze,
    CutFromStoreAndFreeze,
    /// It receives no changes, but renews its lease.
    Deaf,
    Outage,
    OutageThatStopsLeases,
    /// The store is restored from a copy that is some seconds old.
    Restore,
    HighLoad,
    NoLoad,
}

const FAULTS: [Fault; 13] = [
    Fault::Kill,
    Fault::KillAll,
    Fault::Remove,
    Fault::Add,
    Fault::CutFromStore,
    Fault::Freeze,
    Fault::CutFromStoreAndFreeze,
    Fault::Deaf,
    Fault::Outage,
    Fault::OutageThatStopsLeases,
    Fault::Restore,
    Fault::HighLoad,
    Fault::NoLoad,
];

/// The number of kinds of faults.
pub const KINDS: usize = FAULTS.len();

/// A fault to inject: its time, kind, duration and entry.
pub type Event = (u64, usize, u64, usize);

/// The failing service.
pub fn service() -> Segment {
    "failing".into()
}

/// A write to the store that acquires or returns pieces of a lease.
#[derive(Clone, Debug)]
enum Write {
    Take(Vec<Piece>),
    GiveBack(Vec<(Piece, Revision)>),
}

/// The data of the store, which a restore resets.
#[derive(Clone, Default)]
struct Data {
    revision: u64,
    /// When each lease expires.
    leases: BTreeMap<LeaseId, u64>,
    pieces: BTreeMap<Piece, Record>,
    /// The revision, piece and new record of each change.
    history: Vec<(Revision, Piece, Option<Record>)>,
    /// The marked eras, and when the key next to the mark expires.
    marks: BTreeMap<Era, u64>,
}

/// The part of the platform's store that holds pieces of the slack.
#[derive(Default)]
struct Store {
    data: Data,
    era: Era,
    /// Copies of the last seconds, oldest first.
    copies: VecDeque<Data>,
    /// Delayed writes, with their time and lease.
    late: Vec<(u64, LeaseId, Write)>,
    down_until: u64,
    leases_paused: bool,
}

impl Store {
    fn change(&mut self, piece: Piece, lease_id: Option<LeaseId>) {
        self.data.revision += 1;
        let revision = Revision(self.data.revision);
        let record = lease_id.map(|lease_id| Record { lease_id, revision });
        match record {
            Some(record) => drop(self.data.pieces.insert(piece, record)),
            None => drop(self.data.pieces.remove(&piece)),
        }
        self.data.history.push((revision, piece, record));
    }

    fn grant(&mut self, now: u64) -> LeaseId {
        self.data.revision += 1;
        let lease_id = LeaseId(self.data.revision);
        self.data.leases.insert(lease_id, now + LEASE.0);
        lease_id
    }

    fn renew(&mut self, now: u64, lease_id: LeaseId) -> bool {
        let Some(until) = self.data.leases.get_mut(&lease_id) else {
            return false;
        };
        *until = now + LEASE.0;
        true
    }

    /// Applies a write if all its conditions hold; returns whether they did.
    fn write(&mut self, lease_id: LeaseId, write: &Write) -> bool {
        match write {
            Write::Take(pieces) => {
                let is_free = |piece| !self.data.pieces.contains_key(piece);
                if !self.data.leases.contains_key(&lease_id) || !pieces.iter().all(is_free) {
                    return false;
                }
                pieces
                    .iter()
                    .for_each(|piece| self.change(*piece, Some(lease_id)));
            }
            Write::GiveBack(pieces) => {
                let is_same = |(piece, revision): &(Piece, Revision)| {
                    let record = self.data.pieces.get(piece);
                    record.is_some_and(|record| record.revision == *revision)
                };
                if !pieces.iter().all(is_same) {
                    return false;
                }
                pieces
                    .iter()
                    .for_each(|(piece, _)| self.change(*piece, None));
            }
        }
        true
    }

    /// Returns the pieces that were held at a revision.
    fn at(&self, revision: Revision) -> BTreeMap<(Segment, Piece), Record> {
        let mut held = BTreeMap::new();
        for (changed, piece, record) in &self.data.history {
            let key = (service(), *piece);
            match record {
                _ if *changed > revision => {}
                Some(record) => drop(held.insert(key, *record)),
                None => drop(held.remove(&key)),
            }
        }
        held
    }

    /// Restores the data of `age` milliseconds ago.
    fn restore(&mut self, age: u64) {
        let steps = (age / STEP) as usize;
        let steps = steps.min(self.copies.len().saturating_sub(1));
        let kept = self.copies.len() - steps;
        self.copies.truncate(kept);
        if let Some(copy) = self.copies.back() {
            self.data = copy.clone();
        }
        self.era = self.era.next();
    }

    /// Marks the current era, unless it is marked.
    fn mark(&mut self, now: u64, settling: &Settling) {
        let shows = !self.data.marks.is_empty() || !self.data.pieces.is_empty();
        let settles = match settling.had_before(shows) {
            true => now + LEASE.0,
            false => now,
        };
        self.data.marks.entry(self.era).or_insert(settles);
    }

    fn step(&mut self, now: u64) {
        self.copies.push_back(self.data.clone());
        if self.copies.len() > COPIES {
            self.copies.pop_front();
        }
        if now < self.down_until && self.leases_paused {
            self.data
                .leases
                .values_mut()
                .for_each(|until| *until += STEP);
        }
        self.data.leases.retain(|_, until| *until > now);
        let held = self.data.pieces.iter();
        let ended = held.filter(|(_, record)| !self.data.leases.contains_key(&record.lease_id));
        let ended: Vec<Piece> = ended.map(|(piece, _)| *piece).collect();
        for piece in ended {
            self.change(piece, None);
        }
        for (at, lease_id, write) in std::mem::take(&mut self.late) {
            if at > now {
                self.late.push((at, lease_id, write));
            } else {
                self.write(lease_id, &write);
            }
        }
    }
}

/// A process of an entry.
struct Process {
    reserve: Reserve,
    allowance: Budget,
    /// The last revision that it has seen; `None` until it has read the store.
    follows: Option<Revision>,
    /// The eras of the store that it has seen.
    eras: Tracker,
    settling: Settling,
    next_follow: u64,
    next_renewal: u64,
    next_return: u64,
    /// Whether it was refused a retry.
    wants: bool,
}

/// A machine on which an entry runs.
struct Machine {
    process: Option<Process>,
    starts_at: Option<u64>,
    store_cut_until: u64,
    deaf_until: u64,
    /// When its process resumes.
    frozen_until: u64,
    requests_a_step: f64,
}

/// The state of a simulation.
pub struct Day {
    draw: StdRng,
    store: Store,
    machines: Vec<Machine>,
    requests: Vec<u64>,
    /// When retries arrived at the service.
    pub arrivals: Vec<u64>,
    /// When the servers start to fail.
    fails_from: u64,
    /// The machine whose requests fail; `None` for all.
    only: Option<usize>,
}

fn start() -> Process {
    Process {
        reserve: Reserve::new(LEASE, TERMS.reach()),
        allowance: Budget::default(),
        follows: None,
        eras: Tracker::default(),
        settling: Settling::default(),
        next_follow: 0,
        next_renewal: 0,
        next_return: 0,
        wants: false,
    }
}

fn machine(starts_at: u64, load: f64) -> Machine {
    Machine {
        process: None,
        starts_at: Some(starts_at),
        store_cut_until: 0,
        deaf_until: 0,
        frozen_until: 0,
        requests_a_step: load,
    }
}

impl Day {
    fn new(loads: &[f64], seed: u64) -> Self {
        Self {
            draw: StdRng::seed_from_u64(seed),
            store: Store::default(),
            machines: loads.iter().map(|load| machine(0, *load)).collect(),
            requests: Vec::new(),
            arrivals: Vec::new(),
            fails_from: 0,
            only: None,
        }
    }

    fn inject(&mut self, now: u64, fault: Fault, lasts: u64, who: usize) {
        let count = self.machines.len();
        let machine = &mut self.machines[who % count];
        let until = now + lasts;
        match fault {
            Fault::Kill => {
                machine.process = None;
                machine.starts_at = Some(now + lasts % 3_000);
            }
            Fault::KillAll => {
                for machine in &mut self.machines {
                    machine.process = None;
                    machine.starts_at = machine.starts_at.or(Some(now + STEP));
                }
            }
            Fault::Remove => {
                machine.process = None;
                machine.starts_at = None;
            }
            Fault::Add => {
                let load = machine.requests_a_step;
                self.machines.push(self::machine(now, load));
            }
            Fault::CutFromStore => machine.store_cut_until = until,
            Fault::Deaf => machine.deaf_until = until,
            Fault::Freeze => machine.frozen_until = until,
            Fault::CutFromStoreAndFreeze => {
                machine.store_cut_until = until;
                machine.frozen_until = now + lasts / 2;
            }
            Fault::Outage | Fault::OutageThatStopsLeases => {
                self.store.down_until = until;
                self.store.leases_paused = matches!(fault, Fault::OutageThatStopsLeases);
            }
            Fault::Restore => self.store.restore(lasts % 10_000),
            Fault::HighLoad => machine.requests_a_step = 12.0,
            Fault::NoLoad => machine.requests_a_step = 0.0,
        }
    }

    fn step(&mut self, now: u64) {
        self.store.step(now);
        for number in 0..self.machines.len() {
            let machine = &mut self.machines[number];
            if machine.process.is_none() && machine.starts_at.is_some_and(|at| at <= now) {
                machine.process = Some(start());
                machine.starts_at = None;
            }
            if now < machine.frozen_until {
                continue;
            }
            self.follow(now, number);
            self.renew(now, number);
            self.hold(now, number);
            self.serve(now, number);
        }
    }

    /// Returns the process on a machine, if it can reach the store.
    fn served(
        &mut self,
        now: u64,
        number: usize,
    ) -> Option<(&mut Process, &mut Store, &mut StdRng)> {
        let machine = &mut self.machines[number];
        let is_away = now < self.store.down_until || now < machine.store_cut_until;
        let process = machine.process.as_mut().filter(|_| !is_away)?;
        if process.eras.observe(Some(self.store.era)) == Freshness::Advanced {
            process.reserve.restored();
            process.follows = None;
            process.next_follow = now;
        }
        Some((process, &mut self.store, &mut self.draw))
    }

    fn follow(&mut self, now: u64, number: usize) {
        let is_deaf = now < self.machines[number].deaf_until;
        let Some((process, store, draw)) = self.served(now, number) else {
            return;
        };
        if is_deaf || now < process.next_follow {
            return;
        }
        process.next_follow = now + draw.random_range(STEP..3_000);
        let reserve = &mut process.reserve;
        let mut revision = Revision(store.data.revision);
        // Sometimes the history is lost and all data is read again, possibly at an older revision.
        let follows = process.follows.filter(|_| draw.random_bool(0.8));
        match follows {
            None => {
                let behind = draw.random_range(0..4).min(revision.0);
                revision = Revision(revision.0 - behind);
                reserve.replaced(&store.at(revision), revision);
            }
            Some(follows) => {
                for (revision, piece, record) in &store.data.history {
                    match record {
                        _ if *revision <= follows => {}
                        Some(record) => reserve.written(&service(), *piece, *record),
                        None => reserve.removed(&service(), *piece, *revision),
                    }
                }
                reserve.followed(revision);
            }
        }
        process.follows = Some(revision);
        let settling = &mut process.settling;
        settling.set_era(Some(store.era));
        if !store.data.marks.contains_key(&store.era) && draw.random_bool(0.9) {
            store.mark(now, settling);
        }
        let settles = store.data.marks.get(&store.era);
        settling.set_marked(store.era, settles.is_some());
        settling.set_held(store.era, settles.is_some_and(|until| now < *until));
        reserve.set_settling(!settling.is_over());
    }

    fn renew(&mut self, now: u64, number: usize) {
        let Some((process, store, draw)) = self.served(now, number) else {
            return;
        };
        if now < process.next_renewal {
            return;
        }
        process.next_renewal = now + 1_300;
        let (reserve, at) = (&mut process.reserve, Instant(now));
        reserve.expire(at);
        let Some(lease_id) = reserve.lease_id() else {
            reserve.begun(store.grant(now), at);
            return;
        };
        let is_renewed = store.renew(now, lease_id);
        // The answer may be lost; the lease then lasts longer than the process knows.
        match draw.random_bool(0.9) {
            true if is_renewed => reserve.renewed(at),
            true => reserve.lost(),
            false => {}
        }
    }

    /// Acquires missing pieces and returns unneeded ones.
    fn hold(&mut self, now: u64, number: usize) {
        let entries = self.machines.len() as u64;
        let Some((process, store, draw)) = self.served(now, number) else {
            return;
        };
        let Some(lease_id) = process.reserve.lease_id() else {
            return;
        };
        if process.settling.lacks_mark() || process.follows.is_none() {
            return;
        }
        let held = process.reserve.held(&service());
        let rest = reserve::idle_pieces(entries);
        let is_short = held < rest || std::mem::take(&mut process.wants);
        if is_short && held < reserve::max_pieces(entries) {
            let mut free = process.reserve.free(&service());
            let count = draw.random_range(1..=8).min(free.len());
            let pieces = (0..count).map(|_| free.swap_remove(draw.random_range(0..free.len())));
            let write = Write::Take(pieces.collect());
            if send(now, store, draw, lease_id, &write) {
                if let Write::Take(pieces) = write {
                    process.reserve.took(lease_id, &service(), pieces);
                }
            }
            return;
        }
        if now < process.next_return {
            return;
        }
        process.next_return = now + 1_000;
        let kept = reserve::retries_per_piece(TERMS.slack) * rest as f64;
        if process
            .allowance
            .balance(Instant(now), &TERMS, kept)
            .allow()
        {
            let pieces = process.reserve.give_back(&service(), rest, 8);
            send(now, store, draw, lease_id, &Write::GiveBack(pieces));
        }
    }

    /// Receives requests and sends as many retries as the entry allows.
    fn serve(&mut self, now: u64, number: usize) {
        let machine = &mut self.machines[number];
        let Some(process) = &mut machine.process else {
            return;
        };
        let load = machine.requests_a_step;
        let come = load.floor() as u64 + u64::from(self.draw.random_bool(load.fract()));
        for _ in 0..come {
            process.allowance.request(Instant(now), &TERMS);
            let sent = now.saturating_sub(self.draw.random_range(0..=SENT_BEFORE));
            self.requests.push(sent);
        }
        if now < self.fails_from || self.only.is_some_and(|only| only != number) {
            return;
        }
        let reserve = &process.reserve;
        let share = reserve.share(Instant(now), &service(), TERMS.slack);
        process.wants = true;
        while process.allowance.take(Instant(now), &TERMS, share) {
            if self.draw.random_bool(0.05) {
                process.allowance.give_back(Instant(now));
                break;
            }
            self.arrivals
                .push(now + self.draw.random_range(0..=ARRIVES_AFTER));
        }
    }

    /// Returns the window with the most retries among those that exceed the limit, if any.
    pub fn broken(&mut self) -> Option<(u64, usize, f64)> {
        // Simulations start late enough that no window starts before zero.
        self.arrivals.sort_unstable();
        self.requests.sort_unstable();
        let within = |times: &[u64], from: u64, to: u64| {
            times.partition_point(|time| *time <= to) - times.partition_point(|time| *time < from)
        };
        let window = TERMS.window.0;
        let starts = self.arrivals.iter().copied();
        let ends = self.arrivals.iter().map(|time| time - window);
        let over = starts.chain(ends).filter_map(|from| {
            let got = within(&self.arrivals, from, from + window);
            let asked = [from - window, from - window / 2, from];
            let asked = asked.map(|from| within(&self.requests, from, from + window));
            let most = asked.into_iter().max().unwrap_or(0) as f64;
            let allowed = TERMS.ratio * most + TERMS.slack;
            (got as f64 > allowed).then_some((from, got, allowed))
        });
        over.max_by_key(|(_, got, _)| *got)
    }
}

/// Sends a write and returns whether it is known to have been applied. The write may be delayed and its answer lost.
fn send(now: u64, store: &mut Store, draw: &mut StdRng, lease_id: LeaseId, write: &Write) -> bool {
    match draw.random_range(0..10) {
        0 => {
            let at = now + draw.random_range(0..10_000);
            store.late.push((at, lease_id, write.clone()));
            false
        }
        1 => {
            store.write(lease_id, write);
            false
        }
        _ => store.write(lease_id, write),
    }
}

/// The start of a simulation; a window fits before it.
pub const BEGIN: u64 = 30_000;

/// Simulates entries with these loads, in requests per step.
pub fn play(loads: &[f64], faults: &[Event], fails_from: u64, seed: u64) -> Day {
    played(Day::new(loads, seed), faults, fails_from)
}

/// Simulates entries of which only one has failing requests.
pub fn play_for_one(loads: &[f64], only: usize, fails_from: u64, seed: u64) -> Day {
    let mut day = Day::new(loads, seed);
    day.only = Some(only);
    played(day, &[], fails_from)
}

fn played(mut day: Day, faults: &[Event], fails_from: u64) -> Day {
    day.fails_from = fails_from;
    for machine in &mut day.machines {
        machine.starts_at = Some(BEGIN);
    }
    let mut now = BEGIN;
    while now < BEGIN + DAY {
        for (at, kind, lasts, who) in faults {
            if now - BEGIN == at / STEP * STEP {
                day.inject(now, FAULTS[kind % FAULTS.len()], *lasts, *who);
            }
        }
        day.step(now);
        now += STEP;
    }
    day
}
