//! Simulates entries that lend fractions of a server's limit to each other.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

use std::sync::Arc;

use jujube_core::pipeline::limits::Fraction;
use jujube_core::pipeline::limits::Limits;
use jujube_core::pipeline::limits::Rate;
use jujube_core::pipeline::limits::Report;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const DAY: u64 = 20_000;
const STEP: u64 = 2;
/// How often entries ask for loans.
const ASK_INTERVAL: u64 = 200;
/// How long callers come to the same entry.
const CROWD_TIME: u64 = 5_000;
/// The time after which the entry that callers come to must serve them.
const CONTACT: u64 = 3_000;
/// The share of the limit that this entry must use then, while its callers ask for ten times it.
const MIN_USED: f64 = 0.75;
/// The longest time that an entry stays away after a kill.
const MAX_ABSENCE: u64 = 1_000;

/// What goes wrong on a simulated day.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// The share of messages that are lost, and the share that arrive twice.
    loss: f64,
    repeats: f64,
    /// The longest delay of a message.
    delay: u64,
    /// How often an entry is killed, and how often one is cut off from others for as long.
    kill_interval: Option<u64>,
    cut_interval: Option<u64>,
    /// How often the limit changes.
    change_interval: Option<u64>,
}

const NO_FAULTS: Faults = Faults {
    loss: 0.0,
    repeats: 0.0,
    delay: 20,
    kill_interval: None,
    cut_interval: None,
    change_interval: None,
};

const ALL_FAULTS: Faults = Faults {
    loss: 0.1,
    repeats: 0.1,
    delay: 900,
    kill_interval: Some(700),
    cut_interval: Some(1_500),
    change_interval: Some(2_300),
};

/// The servers and fractions of a message.
type Rows = Vec<(Incarnation, Fraction)>;

#[derive(Clone)]
enum Content {
    Request(Rows),
    Grant(Rows),
}

#[derive(Clone)]
struct Message {
    due: u64,
    from: usize,
    to: usize,
    number: u64,
    content: Content,
}

struct World {
    random: StdRng,
    faults: Faults,
    entries: Vec<Option<Limits>>,
    /// When each killed entry returns.
    returns_at: Vec<u64>,
    messages: Vec<Message>,
    /// The entry that is cut off.
    cut: Option<usize>,
    limit: f64,
    /// The entry that callers come to.
    crowded: usize,
    /// Number of requests that were sent, and what the limit has allowed.
    sent: f64,
    allowed: f64,
    /// The least of what was sent beyond the limit plus what the users of that time may send.
    least: f64,
    /// What was sent and allowed from the contact time of each crowd on.
    crowd_sent: f64,
    crowd_allowed: f64,
    loans: usize,
}

fn name(entry: usize) -> Arc<str> {
    format!("e{entry}").into()
}

fn server() -> Incarnation {
    "s".into()
}

impl World {
    fn new(seed: u64, count: usize, limit: f64, faults: Faults) -> Self {
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            faults,
            entries: vec![None; count],
            returns_at: vec![0; count],
            messages: Vec::new(),
            cut: None,
            limit,
            crowded: 0,
            sent: 0.0,
            allowed: 0.0,
            least: f64::INFINITY,
            crowd_sent: 0.0,
            crowd_allowed: 0.0,
            loans: 0,
        };
        world.restart(0);
        world
    }

    fn run(mut self, name: &str) -> Self {
        for now in (0..DAY).step_by(STEP as usize) {
            self.fail(now);
            self.change_limit(now);
            self.restart(now);
            if now % CROWD_TIME == 0 {
                self.crowded = self.random.random_range(0..self.entries.len());
            }
            self.deliver(now);
            if now % ASK_INTERVAL == 0 {
                self.ask(now);
            }
            self.check_shares(now, name);
            self.call(now);
            self.check_window(now, name);
        }
        self
    }

    fn is_due(&self, now: u64, interval: Option<u64>) -> bool {
        now > 0 && interval.is_some_and(|interval| now % interval == 0)
    }

    fn fail(&mut self, now: u64) {
        if self.is_due(now, self.faults.kill_interval) {
            let entry = self.random.random_range(0..self.entries.len());
            self.entries[entry] = None;
            self.returns_at[entry] = now + self.random.random_range(0..MAX_ABSENCE);
        }
        if self.is_due(now, self.faults.cut_interval) {
            let entry = self.random.random_range(0..self.entries.len());
            self.cut = if self.cut.is_none() {
                Some(entry)
            } else {
                None
            };
        }
    }

    fn restart(&mut self, now: u64) {
        for number in 0..self.entries.len() {
            if self.entries[number].is_none() && self.returns_at[number] <= now {
                let mut limits = Limits::started(Instant(now), self.random.random());
                learn(&mut limits, now, self.limit);
                self.entries[number] = Some(limits);
                self.divide(number);
            }
        }
    }

    fn change_limit(&mut self, now: u64) {
        if !self.is_due(now, self.faults.change_interval) {
            return;
        }
        self.limit = self.random.random_range(1.0..60.0);
        for number in 0..self.entries.len() {
            if let Some(limits) = &mut self.entries[number] {
                learn(limits, now, self.limit);
                self.divide(number);
            }
        }
    }

    fn divide(&mut self, number: usize) {
        let names: Vec<Arc<str>> = (0..self.entries.len()).map(name).collect();
        if let Some(limits) = &mut self.entries[number] {
            limits.divide(&name(number), 1, |_| Some("z".into()), |_| names.clone());
        }
    }

    fn post(&mut self, now: u64, from: usize, to: usize, number: u64, content: &Content) {
        let is_cut = self.cut.is_some_and(|cut| cut == from || cut == to);
        if is_cut || self.random.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.faults.repeats));
        for _ in 0..copies {
            let due = now + self.random.random_range(0..=self.faults.delay);
            self.messages.push(Message {
                due,
                from,
                to,
                number,
                content: content.clone(),
            });
        }
    }

    fn ask(&mut self, now: u64) {
        for from in 0..self.entries.len() {
            let Some(limits) = &mut self.entries[from] else {
                continue;
            };
            for request in limits.requests(Instant(now), &name(from)) {
                let content = Content::Request(request.rows);
                let is_asked = |to: &usize| name(*to) == request.to;
                for to in (0..self.entries.len()).filter(is_asked) {
                    self.post(now, from, to, request.number, &content);
                }
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        let messages = std::mem::take(&mut self.messages);
        let (due, later) = messages.into_iter().partition(|message| message.due <= now);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            let Message {
                from, to, number, ..
            } = message;
            let Some(limits) = &mut self.entries[to] else {
                continue;
            };
            match message.content {
                Content::Request(rows) => {
                    let lent = limits.lend(Instant(now), &name(from), &rows);
                    let rows = lent.into_iter().map(|lent| (lent.server, lent.fraction));
                    let grant = Content::Grant(rows.collect());
                    self.post(now, to, from, number, &grant);
                }
                Content::Grant(rows) => {
                    let borrowed = limits.borrow(Instant(now), &name(from), number, &rows);
                    self.loans += borrowed.len();
                }
            }
        }
    }

    fn share(&self, now: u64, number: usize) -> f64 {
        let limits = self.entries[number].as_ref();
        limits.map_or(0.0, |limits| limits.share(Instant(now), &server()))
    }

    fn check_shares(&self, now: u64, name: &str) {
        let sum: f64 = (0..self.entries.len())
            .map(|entry| self.share(now, entry))
            .sum();
        assert!(
            sum <= self.limit + 1e-6,
            "{name}: shares of {sum} at {now}, limit {}",
            self.limit
        );
    }

    /// Sends ten times what the limit allows to the crowded entry, and a few requests to others.
    fn call(&mut self, now: u64) {
        let users = (0..self.entries.len()).filter(|entry| self.share(now, *entry) > 0.0);
        self.least = self
            .least
            .min(self.sent - self.allowed + users.count() as f64);
        let is_counted = now % CROWD_TIME >= CONTACT;
        let chance = (self.limit * 10.0 * STEP as f64 / 1e3).min(1.0);
        if self.random.random_bool(chance) {
            let is_sent = self.send(now, self.crowded);
            self.crowd_sent += f64::from(u8::from(is_counted && is_sent));
        }
        if self.faults.kill_interval.is_some() && self.random.random_bool(0.01) {
            let other = self.random.random_range(0..self.entries.len());
            self.send(now, other);
        }
        let allowed = self.limit * STEP as f64 / 1e3;
        self.allowed += allowed;
        self.crowd_allowed += if is_counted { allowed } else { 0.0 };
    }

    fn send(&mut self, now: u64, entry: usize) -> bool {
        let Some(limits) = &mut self.entries[entry] else {
            return false;
        };
        if !limits.is_open(Instant(now), &server()) {
            limits.record_closed(Instant(now), &[&server()]);
            return false;
        }
        limits.sent(Instant(now), &server());
        self.sent += 1.0;
        true
    }

    /// Checks all windows that end now.
    fn check_window(&self, now: u64, name: &str) {
        let most = self.least + 1e-6;
        let beyond = self.sent - self.allowed;
        assert!(beyond <= most, "{name}: {beyond:.2} of {most:.2} at {now}");
    }
}

fn learn(limits: &mut Limits, now: u64, limit: f64) {
    let report = Report {
        rate: Rate::new(limit).ok(),
        age: Span(0),
    };
    limits.advance(Instant(now));
    limits.receive(Instant(now), &server(), report);
}

/// Guards against entries that exceed a limit together because a fraction is used by two of them:
/// while messages are lost, late and repeated, entries are killed and cut off, and limits change.
#[test]
fn loans_keep_to_the_limit_in_every_window() {
    for entries in [2, 3, 12, 40] {
        for limit in [0.5, 5.0, 52.0] {
            let mut loans = 0;
            for seed in 0..10 {
                let name = format!("{entries} entries, limit {limit}, seed {seed}");

                loans += World::new(seed, entries, limit, ALL_FAULTS)
                    .run(&name)
                    .loans;
            }
            assert!(loans > 0, "{entries} entries, limit {limit}: no loans");
        }
    }
}

/// Guards against an entry that keeps to its own fraction of a limit, or has none, while others leave
/// theirs unused.
#[test]
fn entry_that_all_callers_come_to_uses_the_limit() {
    for entries in [2, 3, 12, 40] {
        for limit in [5.0, 20.0, 52.0] {
            let (mut sent, mut allowed) = (0.0, 0.0);
            for seed in 0..5 {
                let name = format!("{entries} entries, limit {limit}, seed {seed}");

                let world = World::new(seed, entries, limit, NO_FAULTS).run(&name);

                sent += world.crowd_sent;
                allowed += world.crowd_allowed;
            }
            let used = sent / allowed;
            println!("{entries} entries, limit {limit}: {used:.2} used");
            assert!(used >= MIN_USED, "{entries} entries, limit {limit}: {used}");
        }
    }
}

/// Returns the limits of an entry of two, for a limit of ten requests a second.
fn one_of_two(own: &str, limits: Limits) -> Limits {
    let mut limits = limits;
    learn(&mut limits, 0, 10.0);
    let names: Vec<Arc<str>> = vec!["a".into(), "b".into()];
    limits.divide(own, 1, |_| Some("z".into()), |_| names.clone());
    limits
}

/// Returns the request for a loan of entry `a`, which has more callers than its fraction allows.
fn request_of(limits: &mut Limits, now: u64) -> (u64, Rows) {
    for _ in 0..30 {
        limits.sent(Instant(now), &server());
    }
    let request = limits.requests(Instant(now), "a").remove(0);
    (request.number, request.rows)
}

/// Guards against a late grant that the borrower counts from its arrival: the lender uses the
/// fraction again before it ends.
#[test]
fn loan_counts_from_its_request() {
    let mut borrower = one_of_two("a", Limits::default());
    let mut lender = one_of_two("b", Limits::default());
    let (number, rows) = request_of(&mut borrower, 2_000);
    let lent = lender.lend(Instant(2_010), &"a".into(), &rows);
    let rows: Rows = lent
        .into_iter()
        .map(|row| (row.server, row.fraction))
        .collect();

    let borrowed = borrower.borrow(Instant(2_500), "b", number, &rows);

    assert_eq!(borrowed.len(), 1);
    assert!(borrower.share(Instant(2_599), &server()) > 5.0);
    assert_eq!(borrower.share(Instant(2_600), &server()), 5.0);
    assert!(lender.share(Instant(2_610), &server()) < 5.0);
    assert_eq!(lender.share(Instant(2_611), &server()), 5.0);
}

/// Guards against a grant to an earlier process, or one that nobody asked for, that is used.
#[test]
fn grant_without_a_request_is_ignored() {
    let mut borrower = one_of_two("a", Limits::default());
    let (number, rows) = request_of(&mut borrower, 2_000);

    let unknown = borrower.borrow(Instant(2_010), "b", number.wrapping_add(1), &rows);
    let misdirected = borrower.borrow(Instant(2_010), "c", number, &rows);
    let late = borrower.borrow(Instant(2_600), "b", number, &rows);

    assert!(unknown.is_empty() && misdirected.is_empty() && late.is_empty());
    assert_eq!(borrower.share(Instant(2_010), &server()), 5.0);
}

/// Guards against a restarted lender that uses what it lent before, and against one that waits
/// although nobody can have a loan of it.
#[test]
fn restarted_entry_waits_for_the_end_of_earlier_loans() {
    let restarted = one_of_two("b", Limits::started(Instant(0), 7));
    let mut alone = Limits::started(Instant(0), 7);
    alone.set_alone(true);
    let alone = one_of_two("b", alone);

    assert_eq!(restarted.share(Instant(599), &server()), 0.0);
    assert_eq!(restarted.share(Instant(600), &server()), 5.0);
    assert_eq!(alone.share(Instant(0), &server()), 5.0);
}

/// Guards against an entry that lends before it knows how many callers it has.
#[test]
fn entry_without_measured_demand_lends_nothing() {
    let mut borrower = one_of_two("a", Limits::default());
    let mut lender = one_of_two("b", Limits::default());
    let (_, rows) = request_of(&mut borrower, 1_400);

    assert!(lender.lend(Instant(1_400), &"a".into(), &rows).is_empty());
    assert!(!lender.lend(Instant(1_600), &"a".into(), &rows).is_empty());
}

/// Guards against an entry with a few callers that lends the part that they need.
#[test]
fn entry_with_recent_requests_keeps_one_a_second() {
    let mut borrower = one_of_two("a", Limits::default());
    let mut lender = one_of_two("b", Limits::default());
    lender.sent(Instant(100), &server());
    let (_, rows) = request_of(&mut borrower, 3_000);

    lender.lend(Instant(3_000), &"a".into(), &rows);

    assert!(lender.share(Instant(3_000), &server()) >= 1.0 - 1e-9);
}

/// Guards against a first caller who is turned away at an entry that has lent its fraction.
#[test]
fn lender_serves_its_first_caller() {
    let mut borrower = one_of_two("a", Limits::default());
    let mut lender = one_of_two("b", Limits::default());
    let (_, rows) = request_of(&mut borrower, 3_000);

    lender.lend(Instant(3_000), &"a".into(), &rows);

    assert!(lender.is_open(Instant(3_010), &server()));
}

/// Guards against two users of one fraction, each with a credit: an entry without a fraction of its
/// own gets a whole one, and the lender may send nothing meanwhile.
#[test]
fn entry_without_a_fraction_borrows_a_whole_one() {
    let names: Vec<Arc<str>> = (0..3).map(name).collect();
    let of = |own: &Arc<str>| {
        let mut limits = Limits::default();
        learn(&mut limits, 0, 1.0);
        limits.divide(own, 1, |_| Some("z".into()), |_| names.clone());
        limits
    };
    let mut entries: Vec<Limits> = names.iter().map(of).collect();
    let is_user = |limits: &Limits| limits.share(Instant(0), &server()) > 0.0;
    let user = entries.iter().position(is_user).unwrap_or_default();
    let other = (user + 1) % names.len();
    let wanted = vec![(server(), Fraction::new(0.2).unwrap())];

    let lent = entries[user].lend(Instant(2_000), &names[other], &wanted);

    assert_eq!(lent[0].fraction, Fraction::new(1.0).unwrap());
    assert!(!entries[user].is_open(Instant(2_000), &server()));
    assert!(entries[user].is_open(Instant(3_601), &server()));
}

/// Guards against the demand of an entry without limits, which must cost nothing: no message, and no
/// wake-up of the task that sends them.
#[test]
fn entry_without_limits_asks_for_nothing() {
    let mut limits = Limits::default();

    limits.sent(Instant(10), &server());
    let is_closed = limits.record_closed(Instant(10), &[&server()]);

    assert!(limits.is_empty() && !is_closed);
    assert!(limits.requests(Instant(10), "a").is_empty());
}

/// Guards against log lines for each renewal of a loan.
#[test]
fn only_starts_and_large_changes_of_loans_are_reported() {
    let mut lender = one_of_two("b", Limits::default());
    let mut reported = |now, fraction| {
        let wanted = Fraction::new(fraction).unwrap();
        let lent = lender.lend(Instant(now), &"a".into(), &[(server(), wanted)]);
        lent[0].reported.is_some()
    };

    assert!(reported(2_000, 0.2));
    assert!(!reported(2_200, 0.25));
    assert!(reported(2_400, 0.31));
    assert!(!reported(2_600, 0.31));
    assert!(reported(4_000, 0.31));
}
