//! Days of entries before a service that fails: who starts, dies, and knows what, and how often the service is
//! asked once more.

#![allow(dead_code, reason = "each test file uses its part")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

use std::collections::BTreeMap;
use std::sync::Arc;

use jujube_core::pipeline::allowance::Allowance;
use jujube_core::pipeline::allowance::Terms;
use jujube_core::pipeline::seat::Seat;
use jujube_core::pipeline::seat::Standing;
use jujube_core::revision::Revision;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const LEASE: Span = Span(27_000);
pub const TERMS: Terms = Terms {
    ratio: 0.2,
    slack: 60.0,
    window: Span(10_000),
};
/// The pause between two steps of a played day, in milliseconds.
pub const STEP: u64 = 100;
/// How long a day lasts: several windows, with room for a lease to end in between.
pub const DAY: u64 = 90_000;
/// How long before it is booked a request may have been sent, and after it is booked a retry may arrive.
const SENT_BEFORE: u64 = 1_000;
pub const ARRIVES_AFTER: u64 = 2_000;

/// What happens to the entries of a day.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Kill,
    KillAll,
    Remove,
    Add,
    CutFromStore,
    CutFromPeers,
    CutFromAll,
    /// It hears of no change, though its lease is renewed.
    Deaf,
    Outage,
    OutageThatStopsLeases,
    Crowd,
    Calm,
}

const TROUBLES: [Trouble; 12] = [
    Trouble::Kill,
    Trouble::KillAll,
    Trouble::Remove,
    Trouble::Add,
    Trouble::CutFromStore,
    Trouble::CutFromPeers,
    Trouble::CutFromAll,
    Trouble::Deaf,
    Trouble::Outage,
    Trouble::OutageThatStopsLeases,
    Trouble::Crowd,
    Trouble::Calm,
];

/// How many kinds of trouble there are.
pub const KINDS: usize = TROUBLES.len();

/// One trouble of a day: when, which kind, for how long, and which entry.
pub type Event = (u64, usize, u64, usize);

/// The platform's store, as far as announcements need it.
#[derive(Default)]
struct Store {
    revision: u64,
    /// Announcements by name: when written, and until when the lease lasts.
    keys: BTreeMap<Arc<str>, (Revision, u64)>,
    /// Every change: its revision, whose announcement, whether it was written.
    history: Vec<(Revision, Arc<str>, bool)>,
    down_until: u64,
    leases_stand: bool,
}

impl Store {
    fn change(&mut self, name: &Arc<str>, is_written: bool) -> Revision {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.history.push((revision, name.clone(), is_written));
        revision
    }

    fn announce(&mut self, now: u64, name: &Arc<str>) -> Revision {
        let revision = self.change(name, true);
        let until = now + LEASE.0;
        self.keys.insert(name.clone(), (revision, until));
        revision
    }

    /// Returns the announcements that there were at a revision.
    fn at(&self, revision: Revision) -> BTreeMap<Arc<str>, Revision> {
        let mut announced = BTreeMap::new();
        for (changed, name, is_written) in &self.history {
            match is_written {
                _ if *changed > revision => {}
                true => drop(announced.insert(name.clone(), *changed)),
                false => drop(announced.remove(name)),
            }
        }
        announced
    }

    fn step(&mut self, now: u64) {
        if now < self.down_until && self.leases_stand {
            for (_, until) in self.keys.values_mut() {
                *until += STEP;
            }
        }
        let ended = self.keys.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<Arc<str>> = ended.map(|(name, _)| name.clone()).collect();
        for name in ended {
            self.keys.remove(&name);
            self.change(&name, false);
        }
    }
}

/// One process of an entry.
struct Process {
    seat: Seat,
    allowance: Allowance,
    /// Up to where it follows the store; `None` until it has read it.
    follows: Option<Revision>,
    own: Option<Revision>,
    next_follow: u64,
    next_renewal: u64,
}

/// A machine on which an entry runs.
struct Machine {
    name: Arc<str>,
    process: Option<Process>,
    starts_at: Option<u64>,
    store_cut_until: u64,
    peers_cut_until: u64,
    deaf_until: u64,
    requests_a_step: f64,
}

/// A day as it is played.
pub struct Day {
    draw: StdRng,
    store: Store,
    machines: Vec<Machine>,
    requests: Vec<u64>,
    /// When the service got a request once more.
    pub arrivals: Vec<u64>,
    /// Words on their way: when they arrive, to whom, from whom, what.
    words: Vec<(u64, usize, Arc<str>, Revision)>,
    /// From when the servers fail.
    fails_from: u64,
}

fn start(name: &Arc<str>) -> Process {
    Process {
        seat: Seat::new(name.clone(), LEASE, TERMS.reach()),
        allowance: Allowance::default(),
        follows: None,
        own: None,
        next_follow: 0,
        next_renewal: 0,
    }
}

fn machine(number: usize, starts_at: u64, load: f64) -> Machine {
    Machine {
        name: format!("entry-{number}").into(),
        process: None,
        starts_at: Some(starts_at),
        store_cut_until: 0,
        peers_cut_until: 0,
        deaf_until: 0,
        requests_a_step: load,
    }
}

impl Day {
    fn new(loads: &[f64], seed: u64) -> Self {
        let machines = loads.iter().enumerate();
        Self {
            draw: StdRng::seed_from_u64(seed),
            store: Store::default(),
            machines: machines
                .map(|(number, load)| machine(number, 0, *load))
                .collect(),
            requests: Vec::new(),
            arrivals: Vec::new(),
            words: Vec::new(),
            fails_from: 0,
        }
    }

    fn trouble(&mut self, now: u64, trouble: Trouble, lasts: u64, who: usize) {
        let count = self.machines.len();
        let machine = &mut self.machines[who % count];
        let until = now + lasts;
        match trouble {
            Trouble::Kill => {
                machine.process = None;
                machine.starts_at = Some(now + lasts % 3_000);
            }
            Trouble::KillAll => {
                for machine in &mut self.machines {
                    machine.process = None;
                    machine.starts_at = machine.starts_at.or(Some(now + STEP));
                }
            }
            Trouble::Remove => {
                machine.process = None;
                machine.starts_at = None;
            }
            Trouble::Add => {
                let load = machine.requests_a_step;
                self.machines.push(self::machine(count, now, load));
            }
            Trouble::CutFromStore => machine.store_cut_until = until,
            Trouble::CutFromPeers => machine.peers_cut_until = until,
            Trouble::Deaf => machine.deaf_until = until,
            Trouble::CutFromAll => {
                machine.store_cut_until = until;
                machine.peers_cut_until = until;
            }
            Trouble::Outage | Trouble::OutageThatStopsLeases => {
                self.store.down_until = until;
                self.store.leases_stand = matches!(trouble, Trouble::OutageThatStopsLeases);
            }
            Trouble::Crowd => machine.requests_a_step = 12.0,
            Trouble::Calm => machine.requests_a_step = 0.0,
        }
    }

    fn step(&mut self, now: u64) {
        self.store.step(now);
        for number in 0..self.machines.len() {
            let machine = &mut self.machines[number];
            if machine.process.is_none() && machine.starts_at.is_some_and(|at| at <= now) {
                machine.process = Some(start(&machine.name));
                machine.starts_at = None;
            }
            self.talk_to_store(now, number);
            self.talk_to_peers(now, number);
        }
        self.hear(now);
        for number in 0..self.machines.len() {
            self.serve(now, number);
        }
    }

    fn talk_to_store(&mut self, now: u64, number: usize) {
        let machine = &mut self.machines[number];
        let is_away = now < self.store.down_until || now < machine.store_cut_until;
        let Some(process) = machine.process.as_mut().filter(|_| !is_away) else {
            return;
        };
        let (seat, at) = (&mut process.seat, Instant(now));
        if now >= process.next_follow && now >= machine.deaf_until {
            process.next_follow = now + self.draw.random_range(STEP..3_000);
            let mut revision = Revision(self.store.revision);
            // Now and then history is lost, and everything is read again, at times as it was before.
            let follows = process.follows.filter(|_| self.draw.random_bool(0.8));
            match follows {
                None => {
                    let behind = self.draw.random_range(0..4).min(revision.0);
                    revision = Revision(revision.0 - behind);
                    seat.replaced(at, &self.store.at(revision), revision);
                }
                Some(follows) => {
                    for (revision, name, is_written) in &self.store.history {
                        match is_written {
                            _ if *revision <= follows => {}
                            true => seat.announced(name.clone(), *revision),
                            false => seat.removed(name, *revision),
                        }
                    }
                    seat.followed(at, revision);
                }
            }
            process.follows = Some(revision);
        }
        if now < process.next_renewal {
            return;
        }
        process.next_renewal = now + 1_300;
        let key = self.store.keys.get_mut(&machine.name);
        match (seat.is_taken(), key) {
            (true, Some((revision, until))) if process.own == Some(*revision) => {
                *until = now + LEASE.0;
                // An answer may be lost: the lease lasts longer than the process knows.
                if self.draw.random_bool(0.9) {
                    seat.renewed(at);
                }
            }
            (true, _) => seat.lost(),
            (false, _) => {
                let is_first = self.store.keys.is_empty();
                let revision = self.store.announce(now, &machine.name);
                process.own = Some(revision);
                seat.taken(at, revision, at, is_first);
            }
        }
    }

    fn talk_to_peers(&mut self, now: u64, number: usize) {
        let machine = &self.machines[number];
        let Some(process) = machine.process.as_ref() else {
            return;
        };
        if now < machine.peers_cut_until {
            return;
        }
        for (other, peer) in self.machines.iter().enumerate() {
            let is_lost = now < peer.peers_cut_until || self.draw.random_bool(0.1);
            if other == number || is_lost {
                continue;
            }
            let arrives = now + self.draw.random_range(0..2_000);
            let word = (arrives, other, machine.name.clone(), process.seat.knows());
            self.words.push(word);
        }
    }

    fn hear(&mut self, now: u64) {
        let words = std::mem::take(&mut self.words);
        for word in words {
            let (arrives, to, from, knows) = &word;
            if *arrives > now {
                self.words.push(word);
                continue;
            }
            if let Some(process) = &mut self.machines[*to].process {
                process.seat.told(Instant(now), from, *knows);
            }
        }
    }

    /// Takes requests, and sends all the retries that the entry allows itself.
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
        if now < self.fails_from {
            return;
        }
        let share = match process.seat.standing(Instant(now)) {
            Standing::Seated(entries) => TERMS.slack / entries as f64,
            Standing::Waiting | Standing::Unseated => 0.0,
        };
        while process.allowance.take(Instant(now), &TERMS, share) {
            if self.draw.random_bool(0.05) {
                process.allowance.give_back(Instant(now));
                break;
            }
            self.arrivals
                .push(now + self.draw.random_range(0..=ARRIVES_AFTER));
        }
    }

    /// Returns the window in which the service got the most over what it allows, if there is one.
    pub fn broken(&mut self) -> Option<(u64, usize, f64)> {
        // Days begin at one window, so that nothing reaches before the start of time.
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

/// The first moment of a day: late enough that a window fits before it.
pub const BEGIN: u64 = 30_000;

/// Plays a day of entries with these loads, in requests a step.
pub fn play(loads: &[f64], troubles: &[Event], fails_from: u64, seed: u64) -> Day {
    let mut day = Day::new(loads, seed);
    day.fails_from = fails_from;
    for machine in &mut day.machines {
        machine.starts_at = Some(BEGIN);
    }
    let mut now = BEGIN;
    while now < BEGIN + DAY {
        for (at, kind, lasts, who) in troubles {
            if now - BEGIN == at / STEP * STEP {
                day.trouble(now, TROUBLES[kind % TROUBLES.len()], *lasts, *who);
            }
        }
        day.step(now);
        now += STEP;
    }
    day
}
