//! The reports that an entry receives from others, and the sums that it relays.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use crate::pipeline::cell::Id;
use crate::pipeline::cell::REPORT_TTL;
use crate::pipeline::memory::Size;
use crate::pipeline::share::reports_limit;
use crate::pipeline::summary::Summary;
use crate::time::Instant;

/// The entries that a report covers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Only the sender.
    Own,
    /// All entries of the sender's cell.
    Cell(Id),
    /// All entries outside the sender's cell.
    Rest,
}

/// Identifies a fragment of a report that does not fit into one message.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fragment {
    /// The index of the fragment, from 0.
    pub number: u16,
    /// The index of the last fragment.
    pub last: u16,
}

#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    summary: Summary,
    size: Size,
}

/// The latest fragments of one sender's report. If a fragment is lost, the previous one stays in
/// place.
#[derive(Clone, Debug, Default)]
struct Fragments {
    reports: BTreeMap<u16, Report>,
    /// The size of all fragments.
    size: u64,
}

impl Fragments {
    fn receive(&mut self, now: Instant, fragment: Fragment, summary: Summary) {
        self.size = self.size_beside(fragment);
        while let Some(last) = self.reports.last_entry() {
            if *last.key() <= fragment.last {
                break;
            }
            last.remove();
        }
        let report = Report {
            at: now,
            size: summary.size(),
            summary,
        };
        self.size += report.size.0;
        self.reports.insert(fragment.number, report);
    }

    /// Returns the size of the fragments that another one leaves in place.
    fn size_beside(&self, fragment: Fragment) -> u64 {
        let surplus = (Bound::Excluded(fragment.last), Bound::Unbounded);
        let surplus = self.reports.range::<u16, _>(surplus);
        let surplus = surplus.filter(|(number, _)| **number != fragment.number);
        let replaced = self.reports.get(&fragment.number);
        let gone = surplus.map(|(_, report)| report).chain(replaced);
        self.size - gone.map(|report| report.size.0).sum::<u64>()
    }

    fn expire(&mut self, now: Instant) -> bool {
        let reports = &mut self.reports;
        reports.retain(|_, report| now.since(report.at) <= REPORT_TTL);
        self.size = reports.values().map(|report| report.size.0).sum();
        !reports.is_empty()
    }

    fn entries(&self) -> u64 {
        self.reports
            .values()
            .map(|report| report.summary.entries)
            .sum()
    }

    fn newest(&self) -> Option<Instant> {
        self.reports.values().map(|report| report.at).max()
    }

    fn add_to(&self, sum: &mut Summary, now: Instant) {
        for report in self.reports.values() {
            sum.merge_aged(&report.summary, now.since(report.at));
        }
    }
}

/// The latest reports of other entries.
///
/// They take a limited size together, whoever sends them: reports are not signed, and a sender may
/// name any entries and servers. Those that exceed the limit are dropped; a report that replaces
/// one of its size always fits.
///
/// A sender's report is kept for [`REPORT_TTL`], so that a lost message only makes the data older.
/// An entry that has exited leaves the sums when its report expires, and the relayed sums with the
/// next relay.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::reports::Reports;
/// # use jujube_core::pipeline::reports::Fragment;
/// # use jujube_core::pipeline::reports::Scope;
/// # use jujube_core::pipeline::cell::REPORT_TTL;
/// # use jujube_core::pipeline::summary::Summary;
/// # use jujube_core::time::Instant;
/// let mut reports = Reports::default();
/// let report = Summary { entries: 1, ..Summary::default() };
/// reports.receive(Instant(0), "a", Scope::Own, Fragment::default(), report.clone());
/// let rest = Summary { entries: 5, ..report };
/// reports.receive(Instant(0), "b", Scope::Rest, Fragment::default(), rest);
/// assert_eq!(reports.others(Instant(10)).entries, 6);
/// let later = Instant(REPORT_TTL.0 + 1);
/// reports.expire(later);
/// assert_eq!(reports.others(later).entries, 0);
/// ```
#[derive(Clone, Debug)]
pub struct Reports {
    limit: Size,
    /// The size of all fragments.
    held: u64,
    /// Reports from the own cell, by sender.
    own_cell: BTreeMap<Arc<str>, Fragments>,
    /// Sums of other cells, by sender; received only by speakers.
    cells: BTreeMap<Id, BTreeMap<Arc<str>, Fragments>>,
    /// The sum of all other cells, as each speaker of the own cell reports it.
    rest: BTreeMap<Arc<str>, Fragments>,
}

impl Default for Reports {
    fn default() -> Self {
        Self::new(reports_limit(None))
    }
}

impl Reports {
    /// Creates the reports of an entry that has received none.
    #[must_use]
    pub fn new(limit: Size) -> Self {
        Self {
            limit,
            held: 0,
            own_cell: BTreeMap::new(),
            cells: BTreeMap::new(),
            rest: BTreeMap::new(),
        }
    }

    /// Applies a fragment of another entry's report; returns whether there was room for it.
    pub fn receive(
        &mut self,
        now: Instant,
        sender: impl Into<Arc<str>>,
        scope: Scope,
        fragment: Fragment,
        summary: Summary,
    ) -> bool {
        let sender = sender.into();
        let known = self.senders(&scope).and_then(|known| known.get(&sender));
        let before = known.map_or(0, |known| known.size);
        let beside = known.map_or(0, |known| known.size_beside(fragment));
        let held = self.held - before + beside + summary.size().0;
        if held > self.limit.0 {
            return false;
        }
        self.held = held;
        let senders = match scope {
            Scope::Own => &mut self.own_cell,
            Scope::Cell(id) => self.cells.entry(id).or_default(),
            Scope::Rest => &mut self.rest,
        };
        let fragments = senders.entry(sender).or_default();
        fragments.receive(now, fragment, summary);
        true
    }

    fn senders(&self, scope: &Scope) -> Option<&BTreeMap<Arc<str>, Fragments>> {
        match scope {
            Scope::Own => Some(&self.own_cell),
            Scope::Cell(id) => self.cells.get(id),
            Scope::Rest => Some(&self.rest),
        }
    }

    /// Drops expired reports.
    pub fn expire(&mut self, now: Instant) {
        self.own_cell.retain(|_, fragments| fragments.expire(now));
        self.rest.retain(|_, fragments| fragments.expire(now));
        self.cells.retain(|_, senders| {
            senders.retain(|_, fragments| fragments.expire(now));
            !senders.is_empty()
        });
        let cells = self.cells.values().flat_map(BTreeMap::values);
        let all = self
            .own_cell
            .values()
            .chain(self.rest.values())
            .chain(cells);
        self.held = all.map(|fragments| fragments.size).sum();
    }

    /// Returns the sum of all other entries, as far as known.
    #[must_use]
    pub fn others(&self, now: Instant) -> Summary {
        let mut sum = self.rest(now);
        let mut relayed = Summary::default();
        add_best(&self.rest, &mut relayed, now);
        // A speaker receives all other cells directly; other entries may have received only some of
        // them.
        if relayed.entries > sum.entries {
            sum = relayed;
        }
        self.add_own_cell(&mut sum, now);
        sum
    }

    /// Returns the sum of the own cell, including this entry's `own` report.
    #[must_use]
    pub fn cell(&self, now: Instant, own: &Summary) -> Summary {
        let mut sum = own.clone();
        self.add_own_cell(&mut sum, now);
        sum
    }

    /// Returns the sum of the other cells that reported to this entry directly.
    #[must_use]
    pub fn rest(&self, now: Instant) -> Summary {
        let mut sum = Summary::default();
        for senders in self.cells.values() {
            add_best(senders, &mut sum, now);
        }
        sum
    }

    fn add_own_cell(&self, sum: &mut Summary, now: Instant) {
        for fragments in self.own_cell.values() {
            fragments.add_to(sum, now);
        }
    }
}

/// Adds the report of the sender that covers the most entries, and among equals the newest one. The
/// speakers of a cell receive other reports independently, and each may miss some.
fn add_best(senders: &BTreeMap<Arc<str>, Fragments>, sum: &mut Summary, now: Instant) {
    let best = senders
        .values()
        .max_by_key(|fragments| (fragments.entries(), fragments.newest()));
    if let Some(fragments) = best {
        fragments.add_to(sum, now);
    }
}
