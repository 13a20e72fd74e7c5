//! Counters and latency histograms.

pub mod name;
pub mod page;

use std::cell::RefCell;
use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use jujube_core::time::Span;

use name::Name;
use page::Page;

/// The largest recorded latency in milliseconds, longer than any deadline.
const MAX_LATENCY_MS: u64 = 60_000;
/// The precision of the histograms in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Counters and histograms of one entry.
///
/// They are confined to the thread that serves requests, so recording needs no lock.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<Name, u64>>,
    histograms: RefCell<BTreeMap<Name, Histogram<u64>>>,
}

impl Metrics {
    /// Returns metrics with counters that are served before they are counted, so that a scraper sees the
    /// first count as a rise.
    pub fn with_counters(names: impl IntoIterator<Item = impl Into<Name>>) -> Self {
        let counters = names.into_iter().map(|name| (name.into(), 0)).collect();
        Self {
            counters: RefCell::new(counters),
            histograms: RefCell::default(),
        }
    }

    /// Increments a counter.
    pub fn count(&self, name: impl Into<Name>) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: impl Into<Name>, count: u64) {
        *self.counters.borrow_mut().entry(name.into()).or_default() += count;
    }

    /// Records a latency.
    pub fn observe(&self, name: impl Into<Name>, span: Span) {
        let name = name.into();
        let mut histograms = self.histograms.borrow_mut();
        if let Some(histogram) = histograms.get_mut(&name) {
            histogram.saturating_record(span.0);
            return;
        }
        // These bounds are valid, so the constructor succeeds.
        if let Ok(mut histogram) = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
        {
            histogram.saturating_record(span.0);
            histograms.insert(name, histogram);
        }
    }

    /// Returns all metrics in the text exposition format.
    pub fn text(&self, gauges: &[(&'static str, f64)]) -> String {
        let mut page = Page::default();
        for (name, count) in self.counters.borrow().iter() {
            page.counter(name, *count);
        }
        for (name, value) in gauges {
            page.gauge(&Name::from(*name), *value);
        }
        for (name, histogram) in self.histograms.borrow().iter() {
            page.histogram(name, histogram);
        }
        page.finish()
    }
}
