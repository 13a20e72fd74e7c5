//! A model of entries that read the store or ask each other, over drawn days of faults.

use std::sync::Arc;

use jujube_core::pipeline::cell::Directory;
use jujube_core::pipeline::cell::Location;
use jujube_core::pipeline::cell::Role;
use jujube_core::pipeline::feed::belief::Belief;
use jujube_core::pipeline::feed::bounds::Bounds;
use jujube_core::pipeline::feed::contact::Contact;
use jujube_core::pipeline::feed::follower::Follower;
use jujube_core::pipeline::feed::follower::Step;
use jujube_core::pipeline::feed::follower::Told;
use jujube_core::pipeline::feed::follower::Verdict;
use jujube_core::revision::Revision;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TICK: Span = Span(25);
const CONTACT: Span = Span(6_000);
const APPLY: Span = Span(5_000);
/// How much longer than its wait a call may take before it counts as failed.
const CALL_MARGIN: Span = Span(1_400);
const REPORT_INTERVAL: Span = Span(600);
const RETRY_PAUSE: Span = Span(200);
const ROUND_PAUSE: Span = Span(50);

enum Activity {
    Ready(Instant),
    Reading {
        asked_at: Instant,
        wait: Span,
        is_broken: bool,
    },
    Asking {
        source: usize,
        asked_at: Instant,
        wait: Span,
    },
}

struct Entry {
    directory: Directory,
    belief: Belief,
    follower: Follower,
    activity: Activity,
    boot: u64,
    is_alive: bool,
    frozen_until: Instant,
    cut_until: Instant,
    /// The last moment at which a fault affected it.
    faulty_at: Instant,
    /// What its source told last: the entry, its process and version, and its outages.
    told: Option<(usize, u64, u64, u64)>,
    calls: u64,
}

struct World {
    now: Instant,
    bounds: Bounds,
    entries: Vec<Entry>,
    /// The moment of each change of the store.
    changes: Vec<Instant>,
    down_until: Instant,
    down_at: Instant,
    zones: usize,
}

fn name(number: usize) -> Arc<str> {
    format!("{number}").into()
}

fn location(number: usize, zones: usize) -> Location {
    Location {
        zone: format!("zone-{}", number % zones).as_str().into(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 7340).into(),
    }
}

impl World {
    fn new(count: usize, zones: usize) -> Self {
        let bounds = Bounds::new(CONTACT, APPLY);
        let mut world = Self {
            now: Instant(10_000),
            bounds,
            entries: Vec::new(),
            changes: Vec::new(),
            down_until: Instant(0),
            down_at: Instant(0),
            zones,
        };
        for number in 0..count {
            let entry = world.started(number, count, 1);
            world.entries.push(entry);
        }
        world
    }

    fn started(&self, number: usize, count: usize, boot: u64) -> Entry {
        let mut directory = Directory::new(name(number), location(number, self.zones));
        directory.replaced((0..count).map(|other| (name(other), location(other, self.zones))));
        Entry {
            directory,
            belief: Belief::default(),
            follower: Follower::new(self.bounds),
            activity: Activity::Ready(self.now),
            boot,
            is_alive: true,
            frozen_until: Instant(0),
            cut_until: Instant(0),
            faulty_at: self.now,
            told: None,
            calls: 0,
        }
    }

    fn revision(&self) -> Revision {
        Revision(self.changes.len() as u64)
    }

    fn revision_at(&self, at: Instant) -> Revision {
        Revision(self.changes.partition_point(|change| *change <= at) as u64)
    }

    fn is_running(&self, number: usize) -> bool {
        let entry = &self.entries[number];
        entry.is_alive && entry.frozen_until <= self.now
    }

    fn reaches_store(&self, number: usize) -> bool {
        self.down_until <= self.now && self.entries[number].cut_until <= self.now
    }

    fn tick(&mut self) {
        self.now = self.now.plus(TICK);
        if self.now.0 % REPORT_INTERVAL.0 == 0 {
            self.exchange_reports();
        }
        for number in 0..self.entries.len() {
            if self.is_running(number) {
                self.act(number);
            }
        }
    }

    fn exchange_reports(&mut self) {
        let running: Vec<usize> = (0..self.entries.len())
            .filter(|number| self.is_running(*number))
            .collect();
        for number in &running {
            for other in &running {
                let place = location(*other, self.zones);
                let directory = &mut self.entries[*number].directory;
                directory.observe(self.now, &name(*other), place);
            }
        }
    }

    fn act(&mut self, number: usize) {
        let now = self.now;
        match self.entries[number].activity {
            Activity::Ready(at) if at > now => {}
            Activity::Ready(_) => self.begin(number),
            Activity::Reading {
                asked_at,
                wait,
                is_broken,
            } => {
                let is_broken = is_broken || !self.reaches_store(number);
                self.read(number, asked_at, wait, is_broken);
            }
            Activity::Asking {
                source,
                asked_at,
                wait,
            } => {
                self.ask(number, source, asked_at, wait);
            }
        }
    }

    fn begin(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        let role = entry.directory.role(now);
        entry.activity = match entry.follower.step(now, Some(&role), &entry.belief) {
            Step::Read { wait, .. } => {
                entry.calls += 1;
                Activity::Reading {
                    asked_at: now,
                    wait,
                    is_broken: false,
                }
            }
            Step::Ask { source, wait } => {
                let source = source.parse().unwrap_or(number);
                Activity::Asking {
                    source,
                    asked_at: now,
                    wait,
                }
            }
            Step::Pause => Activity::Ready(now.plus(ROUND_PAUSE)),
            Step::GiveUp => entry.lose(now),
        };
    }

    fn read(&mut self, number: usize, asked_at: Instant, wait: Span, is_broken: bool) {
        let (now, revision) = (self.now, self.revision());
        let pause = self.bounds.pause;
        let entry = &mut self.entries[number];
        let is_changed = revision > entry.belief.through();
        entry.activity = if is_broken && now.since(asked_at) >= Span(wait.0 + CALL_MARGIN.0) {
            entry.lose(now)
        } else if is_broken || (!is_changed && now.since(asked_at) < wait) {
            Activity::Reading {
                asked_at,
                wait,
                is_broken,
            }
        } else {
            entry.belief.confirm(asked_at, revision);
            entry.follower.set_contact(Contact::Established);
            let pause = if is_changed { pause } else { Span(0) };
            Activity::Ready(now.plus(pause))
        };
    }

    fn ask(&mut self, number: usize, source: usize, asked_at: Instant, wait: Span) {
        let now = self.now;
        let waited = now.since(asked_at);
        let answers = self.is_running(source);
        let other = &self.entries[source];
        let (boot, belief, is_alive) = (other.boot, other.belief, other.is_alive);
        let entry = &mut self.entries[number];
        let told = entry
            .told
            .filter(|(from, process, ..)| (*from, *process) == (source, boot));
        let has_news = told.is_none_or(|(_, _, version, _)| version != belief.version());
        if !is_alive || waited >= Span(wait.0 + self.bounds.answer.0) {
            entry.follower.failed(Verdict::Useless);
            entry.activity = Activity::Ready(now);
            return;
        }
        if !answers || (!has_news && waited < wait) {
            return;
        }
        entry.told = Some((source, boot, belief.version(), belief.outages()));
        let told = Told {
            era: belief.era(),
            through: belief.through(),
            age: belief.age(now).map(|age| Span(age.0 + TICK.0)),
            is_away: belief.is_away(),
            has_lost_store: told.is_some_and(|(.., outages)| outages != belief.outages()),
            is_changed: belief.through() > entry.belief.through(),
        };
        match told.judge(&entry.belief, self.bounds.next_source) {
            Verdict::Applied => {
                let age = told.age.unwrap_or_default();
                let asked_at = Instant(now.0 - age.0);
                entry.belief.confirm(asked_at, told.through);
                entry.follower.succeeded();
                entry.follower.set_contact(Contact::Established);
            }
            verdict => entry.follower.failed(verdict),
        }
        entry.activity = Activity::Ready(now);
    }

    /// Panics if an entry judges by knowledge that is older than it says, or than the bound although
    /// nothing keeps it from the store.
    fn check(&self, seed: u64) {
        for (number, entry) in self.entries.iter().enumerate() {
            if !self.is_running(number) {
                continue;
            }
            let through = entry.belief.through();
            if let Some(age) = entry.belief.age(self.now) {
                let claimed = Instant(self.now.0 - age.0);
                let at = self.now;
                assert!(
                    through >= self.revision_at(claimed),
                    "seed {seed}: {number} claims {age} at {at}"
                );
            }
            let calm = self.now.since(entry.faulty_at.max(self.down_at));
            if calm >= CONTACT && entry.cut_until <= self.now && self.down_until <= self.now {
                let bound = Instant(self.now.0 - APPLY.0);
                assert!(
                    through >= self.revision_at(bound),
                    "seed {seed}: {number} knows {through} at {}, {:?}",
                    self.now,
                    entry.directory.role(self.now)
                );
            }
        }
    }

    fn strike(&mut self, draws: &mut StdRng) {
        let now = self.now;
        let length = draws.random_range(500..9_000);
        let until = now.plus(Span(length));
        let share = draws.random_range(0.05..0.6);
        let kind = draws.random_range(0..8);
        let readers: Vec<bool> = self
            .entries
            .iter()
            .map(|entry| entry.directory.role(now) == Role::Reader)
            .collect();
        if kind == 0 {
            (self.down_until, self.down_at) = (until, until);
            return;
        }
        for (number, is_reader) in readers.into_iter().enumerate() {
            // The worst faults are those of all readers at the same time.
            let is_hit = (kind >= 5 && is_reader) || draws.random_bool(share);
            if !is_hit {
                continue;
            }
            let count = self.entries.len();
            let entry = &mut self.entries[number];
            match kind {
                1 | 5 => {
                    entry.is_alive = false;
                    entry.faulty_at = until;
                    let boot = entry.boot + 1;
                    if draws.random_bool(0.5) {
                        self.entries[number] = self.started(number, count, boot);
                    }
                }
                2 | 6 => {
                    entry.frozen_until = until;
                    entry.faulty_at = until;
                }
                _ => {
                    entry.cut_until = until;
                    entry.faulty_at = until;
                }
            }
        }
    }

    fn revive(&mut self) {
        let count = self.entries.len();
        for number in 0..count {
            if !self.entries[number].is_alive && self.entries[number].faulty_at <= self.now {
                let boot = self.entries[number].boot + 1;
                self.entries[number] = self.started(number, count, boot);
            }
        }
    }
}

impl Entry {
    fn lose(&mut self, now: Instant) -> Activity {
        self.belief.lose();
        self.follower.set_contact(Contact::Lost);
        Activity::Ready(now.plus(RETRY_PAUSE))
    }
}

fn play(seed: u64, entries: usize, zones: usize, ticks: usize) {
    let mut draws = StdRng::seed_from_u64(seed);
    let mut world = World::new(entries, zones);
    for tick in 0..ticks {
        if draws.random_bool(0.04) {
            let changes = draws.random_range(1..4);
            world.changes.extend(vec![world.now; changes]);
        }
        if tick > 300 && draws.random_bool(0.005) {
            world.strike(&mut draws);
        }
        world.revive();
        world.tick();
        world.check(seed);
    }
}

/// Guards against an entry that takes what it was told for younger than it is, and against one that
/// goes on by what is older than the bound while it could ask another entry or the store.
#[test]
fn no_entry_judges_by_what_is_older_than_its_bound() {
    for seed in 0..24 {
        play(seed, 24, 3, 1_600);
    }
    for seed in 100..106 {
        play(seed, 110, 5, 1_600);
    }
}

/// Guards against calls that grow with the number of entries: while all is well, four entries read.
#[test]
fn calls_of_a_quiet_minute_do_not_grow_with_the_fleet() {
    let calls = |entries: usize| {
        let mut world = World::new(entries, 5);
        for tick in 0..1_200 {
            if tick % 100 == 0 {
                let now = world.now;
                world.changes.push(now);
            }
            if tick == 200 {
                let entries = world.entries.iter_mut();
                entries.for_each(|entry| entry.calls = 0);
            }
            world.tick();
        }
        let calls: u64 = world.entries.iter().map(|entry| entry.calls).sum();
        println!("{entries} entries: {calls} calls in 25 s");
        calls
    };

    let (few, many) = (calls(110), calls(470));

    assert_eq!(few, many);
    assert!(many < 4 * 25 * 2, "{many}");
}
