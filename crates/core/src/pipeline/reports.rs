//! What an entry was told by others, and what it tells on.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::pipeline::cell::Id;
use crate::pipeline::cell::REPORT_TTL;
use crate::pipeline::summary::Summary;
use crate::time::Instant;

/// Of whom a word is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Scope {
    /// The teller alone.
    Own,
    /// All entries of a cell, the teller's.
    Cell(Id),
    /// All entries of all other cells than the teller's.
    Rest,
}

/// Which fragment of a word a message is; a word that does not fit into one message is told in several.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fragment {
    /// Its number, from 0.
    pub number: u16,
    /// How many more there are after the first.
    pub last: u16,
}

#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    summary: Summary,
}

/// The fragments of one teller's word. One that is lost leaves the one before in place.
#[derive(Clone, Debug, Default)]
struct Fragments(BTreeMap<u16, Report>);

impl Fragments {
    fn receive(&mut self, now: Instant, fragment: Fragment, summary: Summary) {
        self.0.retain(|number, _| *number <= fragment.last);
        self.0.insert(fragment.number, Report { at: now, summary });
    }

    fn expire(&mut self, now: Instant) -> bool {
        self.0.retain(|_, word| now.since(word.at) <= REPORT_TTL);
        !self.0.is_empty()
    }

    fn entries(&self) -> u64 {
        self.0.values().map(|word| word.summary.entries).sum()
    }

    fn newest(&self) -> Option<Instant> {
        self.0.values().map(|word| word.at).max()
    }

    fn add_to(&self, sum: &mut Summary, now: Instant) {
        for word in self.0.values() {
            sum.merge_aged(&word.summary, now.since(word.at));
        }
    }
}

/// What others said lately.
///
/// Each teller's last word stands for [`REPORT_TTL`], so that a lost message costs freshness and not the knowledge,
/// and one that is gone leaves the sums: at those it told within that time, and at those who were told on as soon
/// as they are told again.
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
/// let word = Summary { entries: 1, ..Summary::default() };
/// reports.receive(Instant(0), "a", Scope::Own, Fragment::default(), word.clone());
/// reports.receive(Instant(0), "b", Scope::Rest, Fragment::default(), Summary { entries: 5, ..word });
/// assert_eq!(reports.others(Instant(10)).entries, 6);
/// let later = Instant(REPORT_TTL.0 + 1);
/// reports.expire(later);
/// assert_eq!(reports.others(later).entries, 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// Fragments of the own cell, by entry.
    near: BTreeMap<Arc<str>, Fragments>,
    /// Sums of other cells; an entry hears them if it speaks for its own.
    cells: BTreeMap<Id, BTreeMap<Arc<str>, Fragments>>,
    /// The sum of all other cells, as the speakers of the own one tell it.
    rest: BTreeMap<Arc<str>, Fragments>,
}

impl Reports {
    /// Takes a fragment of another entry's word.
    pub fn receive(
        &mut self,
        now: Instant,
        teller: impl Into<Arc<str>>,
        scope: Scope,
        fragment: Fragment,
        summary: Summary,
    ) {
        let tellers = match scope {
            Scope::Own => &mut self.near,
            Scope::Cell(id) => self.cells.entry(id).or_default(),
            Scope::Rest => &mut self.rest,
        };
        let words = tellers.entry(teller.into()).or_default();
        words.receive(now, fragment, summary);
    }

    /// Forgets what has stood for its time.
    pub fn expire(&mut self, now: Instant) {
        self.near.retain(|_, words| words.expire(now));
        self.rest.retain(|_, words| words.expire(now));
        self.cells.retain(|_, tellers| {
            tellers.retain(|_, words| words.expire(now));
            !tellers.is_empty()
        });
    }

    /// Returns the sum of all other entries, as far as they are known.
    #[must_use]
    pub fn others(&self, now: Instant) -> Summary {
        let mut sum = self.rest(now);
        let mut told = Summary::default();
        add_best(&self.rest, &mut told, now);
        // One that speaks for its cell hears all others itself; one that does not may have been told of a few.
        if told.entries > sum.entries {
            sum = told;
        }
        self.add_near(&mut sum, now);
        sum
    }

    /// Returns the sum of the own cell, with what this entry itself has to tell.
    #[must_use]
    pub fn cell(&self, now: Instant, own: &Summary) -> Summary {
        let mut sum = own.clone();
        self.add_near(&mut sum, now);
        sum
    }

    /// Returns the sum of the other cells, as they told it to this entry itself.
    #[must_use]
    pub fn rest(&self, now: Instant) -> Summary {
        let mut sum = Summary::default();
        for tellers in self.cells.values() {
            add_best(tellers, &mut sum, now);
        }
        sum
    }

    fn add_near(&self, sum: &mut Summary, now: Instant) {
        for words in self.near.values() {
            words.add_to(sum, now);
        }
    }
}

/// Adds the word of one of several tellers of the same thing: the one that knows the most entries, and of those the
/// one that was heard last. Two that speak for a cell receive the others each for itself, and one may miss some.
fn add_best(tellers: &BTreeMap<Arc<str>, Fragments>, sum: &mut Summary, now: Instant) {
    let best = tellers
        .values()
        .max_by_key(|words| (words.entries(), words.newest()));
    if let Some(words) = best {
        words.add_to(sum, now);
    }
}
