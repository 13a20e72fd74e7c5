//! Servers and planners that leave while the store is unavailable.
//!
//! The load: the store is unavailable for about eight seconds, in which an eighth of the servers
//! leaves, one dies, and the planner stops or is killed. Layers that only these servers held are
//! missing until other servers are ordered to load them, and requests are refused meanwhile.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

use std::collections::BTreeSet;
use std::net::SocketAddr;

use jujube_core::fence::Token;
use jujube_core::pipeline::deputy::Election;
use jujube_core::pipeline::deputy::PLANNER_TIMEOUT;
use jujube_core::pipeline::refusals::Refusals;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// How often an entry reports to the others, in milliseconds.
const REPORT_INTERVAL: u64 = 150;

fn entry(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 7340).into()
}

/// Entries that report to each other whether they are planner or deputy.
struct World {
    now: Instant,
    elections: Vec<Election>,
    alive: BTreeSet<usize>,
    planners: BTreeSet<usize>,
}

impl World {
    fn new(entries: usize, planner: usize) -> Self {
        Self {
            now: Instant(0),
            elections: vec![Election::default(); entries],
            alive: (0..entries).collect(),
            planners: [planner].into(),
        }
    }

    /// One round of reports, of which the share `lost` does not arrive.
    fn round(&mut self, loss: f64, random: &mut StdRng) {
        self.now = self.now.plus(Span(REPORT_INTERVAL));
        for sender in &self.alive {
            let token = self.planners.contains(sender).then_some(Token(4));
            for receiver in self.alive.iter().filter(|receiver| *receiver != sender) {
                if !random.random_bool(loss) {
                    self.elections[*receiver].observe(self.now, entry(*sender), token);
                }
            }
        }
        for own in self.alive.clone() {
            let others = self.alive.iter().filter(|other| **other != own);
            let others = others.map(|other| entry(*other));
            if self.elections[own].planner(self.now).is_some() {
                self.planners.remove(&own);
            } else if self.elections[own]
                .deputy_token(self.now, entry(own), others)
                .is_some()
            {
                self.planners.insert(own);
            }
        }
    }
}

/// A killed planner is replaced by one deputy, and a killed deputy by another. With a message loss
/// of 5 % the entries agree on the lowest address.
#[test]
fn one_entry_at_a_time_stands_in() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = World::new(5, 3);
        for _ in 0..10 {
            world.round(0.05, &mut random);
        }
        assert_eq!(world.planners, [3].into(), "seed {seed}: it lives");

        for dead in [3, 0] {
            world.alive.remove(&dead);
            world.planners.remove(&dead);
            for _ in 0..2 * PLANNER_TIMEOUT.0 / REPORT_INTERVAL {
                world.round(0.05, &mut random);
            }
            let first = *world.alive.first().unwrap();
            assert_eq!(world.planners, [first].into(), "seed {seed}: after {dead}");
        }
    }
}

/// A planner that resigns is replaced without a timeout.
#[test]
fn a_planner_that_resigns_is_not_waited_for() {
    let mut election = Election::default();
    election.observe(Instant(0), entry(3), Some(Token(4)));
    let before = election.deputy_token(Instant(100), entry(0), [entry(1)]);

    election.observe(Instant(100), entry(3), None);

    assert_eq!(before, None);
    assert_eq!(
        election.deputy_token(Instant(100), entry(0), [entry(1)]),
        Some(Token(4))
    );
    assert_eq!(
        election.deputy_token(Instant(100), entry(1), [entry(0)]),
        None
    );
}

/// Guards against orders under an unknown or outdated token.
#[test]
fn a_deputy_orders_under_the_highest_number_that_was_heard() {
    let mut election = Election::default();
    assert_eq!(election.deputy_token(Instant(0), entry(0), []), None);
    election.observe(Instant(0), entry(3), Some(Token(7)));

    election.observe(Instant(10), entry(2), Some(Token(5)));

    assert_eq!(
        election.planner(Instant(20)),
        Some(entry(3)),
        "the later one"
    );
    assert_eq!(
        election.deputy_token(Instant(0).plus(PLANNER_TIMEOUT), entry(0), []),
        Some(Token(7))
    );
}

/// Guards against a deputy that repeats orders under a refused token: an entry that reaches the
/// store but no other entry became planner, and servers know its token.
#[test]
fn a_deputy_that_was_refused_does_not_begin_again() {
    let mut election = Election::default();
    election.observe(Instant(0), entry(3), Some(Token(4)));
    let gone = Instant(0).plus(PLANNER_TIMEOUT);
    assert_eq!(election.deputy_token(gone, entry(0), []), Some(Token(4)));

    election.refused(Token(4));

    assert_eq!(election.deputy_token(gone, entry(0), []), None);
    election.observe(gone, entry(3), Some(Token(5)));
    let gone = gone.plus(PLANNER_TIMEOUT);
    assert_eq!(election.deputy_token(gone, entry(0), []), Some(Token(5)));
}

/// Guards against treating a server as leaving because of old refusals.
#[test]
fn an_old_refusal_makes_no_leaver() {
    let server = "a".into();
    let mut refusals = Refusals::default();
    for at in [0, 200, 600, 1_400] {
        refusals.refused(Instant(at), &server);
    }

    assert!(refusals.is_leaving(Instant(1_500), &server));
    assert!(!refusals.is_leaving(Instant(9_000), &server));
}

/// A leaving server is distinguished from a full one, although both refuse. A full server accepts a
/// request whenever another one ends, about every 200 ms; a leaving one never does.
#[test]
fn a_leaver_is_told_from_a_full_server_by_its_refusals() {
    let (full, leaver) = ("full".into(), "leaver".into());
    let mut refusals = Refusals::default();
    let mut noticed = None;
    for step in 0..60 {
        let now = Instant(step * 50);
        for server in [&full, &leaver] {
            if !refusals.contains(now, server) {
                refusals.refused(now, server);
            }
        }
        if step % 8 == 7 {
            refusals.took(&full);
        }
        assert!(!refusals.is_leaving(now, &full), "at {now:?}");
        if refusals.is_leaving(now, &leaver) {
            noticed.get_or_insert(now);
        }
    }

    assert!(noticed.unwrap() <= Instant(1_600), "at {noticed:?}");
}

/// Another entry's report that a server is leaving counts for as long as that entry assumes so.
#[test]
fn a_leaver_is_known_to_all_entries() {
    let mut refusals = Refusals::default();

    refusals.receive(Instant(0), "leaver".into(), Span(1_500));
    refusals.receive(Instant(0), "full".into(), Span(750));

    assert!(refusals.is_leaving(Instant(100), &"leaver".into()));
    assert!(!refusals.is_leaving(Instant(100), &"full".into()));
}
