//! Counters and latency histograms, served as text.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use jujube_core::time::Span;

/// The upper bounds of the buckets that are served, in milliseconds: from a plain answer's 15 ms over
/// the users' targets (100, 150, 200, 500 ms) to a caller's patience.
const BOUNDS_MS: [u64; 12] = [
    10, 25, 50, 100, 150, 200, 300, 500, 1_000, 2_000, 5_000, 20_000,
];
/// The longest latency that is told apart, in milliseconds; a minute is over every deadline.
const LONGEST_MS: u64 = 60_000;
/// Significant digits of the histograms: one in a hundred.
const DIGITS: u8 = 2;

/// Counters and histograms of one entry.
///
/// They live on the thread that serves requests: an increment is a look-up in a short map, no lock.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<&'static str, u64>>,
    histograms: RefCell<BTreeMap<&'static str, Histogram<u64>>>,
}

impl Metrics {
    /// Counts one.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &'static str, count: u64) {
        *self.counters.borrow_mut().entry(name).or_default() += count;
    }

    /// Books a latency.
    pub fn observe(&self, name: &'static str, span: Span) {
        let mut histograms = self.histograms.borrow_mut();
        if let Some(histogram) = histograms.get_mut(name) {
            histogram.saturating_record(span.0);
            return;
        }
        // The bounds are constants that the library takes.
        if let Ok(mut histogram) = Histogram::new_with_bounds(1, LONGEST_MS, DIGITS) {
            histogram.saturating_record(span.0);
            histograms.insert(name, histogram);
        }
    }

    /// Returns everything in the text form that metric collectors read.
    pub fn text(&self, gauges: &[(&str, f64)]) -> String {
        let mut text = String::new();
        for (name, count) in self.counters.borrow().iter() {
            line(&mut text, &format!("jujube_{name}_total {count}"));
        }
        for (name, value) in gauges {
            line(&mut text, &format!("jujube_{name} {value}"));
        }
        for (name, histogram) in self.histograms.borrow().iter() {
            for bound in BOUNDS_MS {
                let count = histogram.count_between(0, bound);
                line(
                    &mut text,
                    &format!("jujube_{name}_ms_bucket{{le=\"{bound}\"}} {count}"),
                );
            }
            let (count, mean) = (histogram.len(), histogram.mean());
            line(
                &mut text,
                &format!("jujube_{name}_ms_bucket{{le=\"+Inf\"}} {count}"),
            );
            line(
                &mut text,
                &format!("jujube_{name}_ms_sum {:.0}", mean * count as f64),
            );
            line(&mut text, &format!("jujube_{name}_ms_count {count}"));
        }
        text
    }
}

fn line(text: &mut String, line: &str) {
    // Writing to a string does not fail.
    let _infallible = writeln!(text, "{line}");
}
