//! Simulates entries that keep to a server's limit together.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use jujube_core::pipeline::limits::Limits;
use jujube_core::pipeline::limits::Rate;
use jujube_core::pipeline::limits::Report;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::summary::Summary;
use jujube_core::time::Instant;
use jujube_core::time::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// How long a simulated day lasts.
const DAY: u64 = 30_000;
const STEP: u64 = 10;
/// The time from a naming after which requests count.
const CONTACT: u64 = 3_000;
/// The time over which a limit counts, how much more is allowed as a factor, and besides.
const WINDOW: u64 = 4_000;
const FACTOR: f64 = 1.5;
const ALLOWANCE: f64 = 5.0;
/// The number of entries of which one gets a request in each step, ten a second each: several times
/// the share of an entry, also at the one server of four that names a limit.
const ENTRIES_PER_REQUEST: usize = 10;
const REPORT_INTERVAL: u64 = 150;
/// The share of reports that an entry does not receive.
const REPORT_LOSS: f64 = 0.1;
/// How long after its kill an entry is known to others, and how long it stays away.
const KNOWN_AFTER_KILL: u64 = 5_000;
const ABSENCE: u64 = 2_000;
/// The servers; only the first one names limits.
const SERVERS: usize = 4;
/// The smallest share of a limit that must be used while callers ask for far more, on days without
/// kills.
const MIN_USED: f64 = 0.4;

/// The limits that the server names on a simulated day, and from when.
type Plan = &'static [(u64, Option<f64>)];

const STEADY: Plan = &[(2_000, Some(5.0))];
const SMALL: Plan = &[(2_000, Some(0.5))];
const CHANGING: Plan = &[
    (2_000, Some(20.0)),
    (10_000, Some(4.0)),
    (17_000, Some(0.0)),
    (24_000, None),
];

struct Response {
    due: u64,
    sent: u64,
    entry: usize,
    server: usize,
    named: Option<Rate>,
}

struct World {
    random: StdRng,
    plan: Plan,
    /// The entries; `None` while one is away.
    entries: Vec<Option<Limits>>,
    /// When each entry was last killed.
    killed: Vec<Option<u64>>,
    report_age: u64,
    responses: Vec<Response>,
    reports: BTreeMap<u64, Summary>,
    /// When the limited server got requests.
    arrivals: Vec<u64>,
    refused: u64,
    /// The entries that others know, and a number that grows with each change.
    known: Vec<Arc<str>>,
    version: u64,
}

fn name(entry: usize) -> Arc<str> {
    format!("e{entry}").into()
}

fn server_name(number: usize) -> Incarnation {
    format!("s{number}").as_str().into()
}

impl World {
    fn new(seed: u64, entries: usize, plan: Plan) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            plan,
            entries: vec![Some(Limits::default()); entries],
            killed: vec![None; entries],
            report_age: if entries > 32 { 450 } else { 150 },
            responses: Vec::new(),
            reports: BTreeMap::new(),
            arrivals: Vec::new(),
            refused: 0,
            known: Vec::new(),
            version: 0,
        }
    }

    /// Plays a day with requests in each step, and a kill of an entry each `kill_interval`.
    fn run(mut self, kill_interval: Option<u64>) -> Self {
        for now in (STEP..DAY).step_by(STEP as usize) {
            if kill_interval.is_some_and(|interval| now % interval == 0) {
                let entry = self.random.random_range(0..self.entries.len());
                self.entries[entry] = None;
                self.killed[entry] = Some(now);
            }
            self.restart(now);
            self.receive_responses(now);
            self.exchange_reports(now);
            for _ in 0..self.entries.len().div_ceil(ENTRIES_PER_REQUEST) {
                self.send(now);
            }
        }
        self
    }

    fn restart(&mut self, now: u64) {
        for (entry, killed) in self.entries.iter_mut().zip(&self.killed) {
            if entry.is_none() && killed.is_some_and(|killed| now >= killed + ABSENCE) {
                *entry = Some(Limits::default());
            }
        }
    }

    fn named(&self, now: u64) -> Option<Rate> {
        let latest = self.plan.iter().rev().find(|(from, _)| *from <= now);
        latest.and_then(|(_, limit)| limit.and_then(|limit| Rate::new(limit).ok()))
    }

    fn send(&mut self, now: u64) {
        let number = self.random.random_range(0..self.entries.len());
        let named = self.named(now);
        let Some(limits) = &mut self.entries[number] else {
            return;
        };
        let is_open = |server: &usize| limits.is_open(Instant(now), &server_name(*server));
        let open: Vec<usize> = (0..SERVERS).filter(is_open).collect();
        if open.is_empty() {
            self.refused += 1;
            return;
        }
        let server = open[self.random.random_range(0..open.len())];
        limits.sent(Instant(now), &server_name(server));
        if server == 0 {
            self.arrivals.push(now);
        }
        self.responses.push(Response {
            due: now + self.random.random_range(10..400),
            sent: now,
            entry: number,
            server,
            named: named.filter(|_| server == 0),
        });
    }

    fn receive_responses(&mut self, now: u64) {
        let (due, pending) = std::mem::take(&mut self.responses)
            .into_iter()
            .partition(|response: &Response| response.due <= now);
        self.responses = pending;
        let due: Vec<Response> = due;
        for response in due {
            let is_from_before = self.killed[response.entry].is_some_and(|at| response.sent < at);
            let Some(limits) = self.entries[response.entry].as_mut() else {
                continue;
            };
            if is_from_before {
                continue;
            }
            let server = server_name(response.server);
            let (sent, now) = (Instant(response.sent), Instant(now));
            limits.observe(sent, now, &server, response.named);
        }
    }

    fn exchange_reports(&mut self, now: u64) {
        if now % REPORT_INTERVAL == 0 {
            let mut sum = Summary::default();
            for limits in self.entries.iter().flatten() {
                let reports = limits.reports(Instant(now));
                let limits = reports.map(|(server, report)| (server.clone(), report));
                sum.merge(&Summary {
                    limits: limits.collect(),
                    ..Summary::default()
                });
            }
            self.reports.insert(now + self.report_age, sum);
        }
        let due = self.reports.first_key_value().map(|(due, _)| *due);
        let Some(sum) = due
            .filter(|due| *due <= now)
            .and_then(|due| self.reports.remove(&due))
        else {
            return;
        };
        let is_known = |entry: &usize| {
            let killed = self.killed[*entry];
            self.entries[*entry].is_some() || killed.is_none_or(|at| now < at + KNOWN_AFTER_KILL)
        };
        let known: Vec<Arc<str>> = (0..self.entries.len()).filter(is_known).map(name).collect();
        if self.known != known {
            self.known.clone_from(&known);
            self.version += 1;
        }
        let random = RefCell::new(&mut self.random);
        for (number, limits) in self.entries.iter_mut().enumerate() {
            let Some(limits) = limits else { continue };
            if !random.borrow_mut().random_bool(REPORT_LOSS) {
                for (server, report) in &sum.limits {
                    let aged = Report {
                        age: Span(report.age.0 + self.report_age),
                        ..*report
                    };
                    limits.receive(Instant(now), server, aged);
                }
            }
            limits.divide(
                &name(number),
                self.version,
                |_| Some("z".into()),
                |_| known.clone(),
            );
        }
    }

    /// Checks each limit from the contact time on; returns the share of it that was used.
    fn check(&self, name: &str) -> Vec<f64> {
        let ends = self.plan.iter().skip(1).map(|(from, _)| *from).chain([DAY]);
        let periods = self.plan.iter().zip(ends);
        let limited = periods.filter_map(|((from, limit), end)| Some((*from, (*limit)?, end)));
        limited
            .map(|(from, limit, end)| self.check_period(name, limit, from + CONTACT..end))
            .collect()
    }

    fn check_period(&self, name: &str, limit: f64, period: std::ops::Range<u64>) -> f64 {
        let counted = self.arrivals.iter().filter(|at| period.contains(at));
        let counted: Vec<u64> = counted.copied().collect();
        let in_window = |start: &u64| {
            let window = *start..*start + WINDOW;
            counted.iter().filter(|at| window.contains(at)).count()
        };
        let most = counted.iter().map(in_window).max().unwrap_or(0);
        let allowed = limit * FACTOR * WINDOW as f64 / 1e3 + ALLOWANCE;
        assert!(
            most as f64 <= allowed,
            "{name}: {most} of {allowed} allowed"
        );
        let usable = limit * (period.end - period.start) as f64 / 1e3;
        counted.len() as f64 / usable.max(1.0)
    }
}

/// Guards against entries that exceed a limit together, whatever their number, while they are
/// killed, reports are lost and late, and the limit changes.
#[test]
fn entries_keep_to_a_limit_together() {
    for entries in [1, 4, 32, 370] {
        for (plan_name, plan) in [("steady", STEADY), ("small", SMALL), ("changing", CHANGING)] {
            for kill_interval in [None, Some(1_500)] {
                let name = format!("{entries} entries, {plan_name}, kills {kill_interval:?}");
                let mut used = Vec::new();
                for seed in 0..if entries > 32 { 2 } else { 8 } {
                    let world = World::new(seed, entries, plan).run(kill_interval);
                    used.push(world.check(&name)[0]);
                    assert_eq!(world.refused, 0, "{name}: the other servers take the rest");
                }
                let mean = used.iter().sum::<f64>() / used.len() as f64;
                println!("{name}: {mean:.2} of the first limit used");
                assert!(
                    mean >= MIN_USED || kill_interval.is_some(),
                    "{name}: {mean}"
                );
            }
        }
    }
}
