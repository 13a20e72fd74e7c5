//! Servers and planners that leave while the store is away.
//!
//! The load: the store falls silent for some eight seconds, in which an eighth of the servers leaves, one
//! dies, and the entry that is the planner stops or is killed. Whatever layers only the leavers held are
//! missing until somebody orders others to hold them, and requests are turned away meanwhile.

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

/// How often an entry tells the others, in milliseconds.
const TELL: u64 = 150;

fn entry(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 7340).into()
}

/// Entries that tell one another whether they are the planner, or stand in for it.
struct World {
    now: Instant,
    sights: Vec<Election>,
    alive: BTreeSet<usize>,
    planners: BTreeSet<usize>,
}

impl World {
    fn new(entries: usize, planner: usize) -> Self {
        Self {
            now: Instant(0),
            sights: vec![Election::default(); entries],
            alive: (0..entries).collect(),
            planners: [planner].into(),
        }
    }

    /// One round in which each entry tells the others; a share of the words is lost.
    fn round(&mut self, lost: f64, random: &mut StdRng) {
        self.now = self.now.plus(Span(TELL));
        for teller in &self.alive {
            let token = self.planners.contains(teller).then_some(Token(4));
            for hearer in self.alive.iter().filter(|hearer| *hearer != teller) {
                if !random.random_bool(lost) {
                    self.sights[*hearer].heard(self.now, entry(*teller), token);
                }
            }
        }
        for own in self.alive.clone() {
            let others = self.alive.iter().filter(|other| **other != own);
            let others = others.map(|other| entry(*other));
            if self.sights[own].planner(self.now).is_some() {
                self.planners.remove(&own);
            } else if self.sights[own]
                .deputy_token(self.now, entry(own), others)
                .is_some()
            {
                self.planners.insert(own);
            }
        }
    }
}

/// One entry stands in for a planner that is killed, and another one for that deputy.
///
/// Nobody says that the planner is gone: it is not heard any more. With a twentieth of the words lost the
/// entries agree on one deputy, since the one with the lowest address begins and the others hear it.
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
            for _ in 0..2 * PLANNER_TIMEOUT.0 / TELL {
                world.round(0.05, &mut random);
            }
            let first = *world.alive.first().unwrap();
            assert_eq!(world.planners, [first].into(), "seed {seed}: after {dead}");
        }
    }
}

/// A planner that resigns is followed at once.
#[test]
fn a_planner_that_resigns_is_not_waited_for() {
    let mut election = Election::default();
    election.heard(Instant(0), entry(3), Some(Token(4)));
    let before = election.deputy_token(Instant(100), entry(0), [entry(1)]);

    election.heard(Instant(100), entry(3), None);

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

/// Nobody stands in under a number that was never heard, or an old one.
#[test]
fn a_deputy_orders_under_the_highest_number_that_was_heard() {
    let mut election = Election::default();
    assert_eq!(election.deputy_token(Instant(0), entry(0), []), None);
    election.heard(Instant(0), entry(3), Some(Token(7)));

    election.heard(Instant(10), entry(2), Some(Token(5)));

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

/// A deputy that was refused does not begin again under the same number.
///
/// An entry that the store serves and that nobody hears was made planner, and servers know its number. The
/// deputy's order is refused; it gives no more until it hears of a number that was not refused.
#[test]
fn a_deputy_that_was_refused_does_not_begin_again() {
    let mut election = Election::default();
    election.heard(Instant(0), entry(3), Some(Token(4)));
    let gone = Instant(0).plus(PLANNER_TIMEOUT);
    assert_eq!(election.deputy_token(gone, entry(0), []), Some(Token(4)));

    election.refused(Token(4));

    assert_eq!(election.deputy_token(gone, entry(0), []), None);
    election.heard(gone, entry(3), Some(Token(5)));
    let gone = gone.plus(PLANNER_TIMEOUT);
    assert_eq!(election.deputy_token(gone, entry(0), []), Some(Token(5)));
}

/// A refusal long ago does not make a server a leaver.
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

/// A server that leaves is told from one that is full.
///
/// Both refuse. A full one takes a request whenever another ends, every two hundred milliseconds or so;
/// one that leaves never does, and stops being counted on after a second and a half.
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

/// Another entry's word that a server leaves counts as long as that entry believes it.
#[test]
fn a_leaver_is_known_to_all_entries() {
    let mut refusals = Refusals::default();

    refusals.receive(Instant(0), "leaver".into(), Span(1_500));
    refusals.receive(Instant(0), "full".into(), Span(750));

    assert!(refusals.is_leaving(Instant(100), &"leaver".into()));
    assert!(!refusals.is_leaving(Instant(100), &"full".into()));
}
