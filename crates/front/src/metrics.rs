//! Counters and latency histograms in the text exposition format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use jujube_core::time::Span;

/// Upper bounds of the exported buckets in milliseconds: from a plain response (15 ms) past the
/// latency targets (100, 150, 200 and 500 ms) to callers' timeouts.
const BUCKET_BOUNDS_MS: [u64; 12] = [
    10, 25, 50, 100, 150, 200, 300, 500, 1_000, 2_000, 5_000, 20_000,
];
/// The largest recorded latency in milliseconds, longer than any deadline.
const MAX_LATENCY_MS: u64 = 60_000;
/// The precision of the histograms in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Counters and histograms of one entry.
///
/// They are confined to the thread that serves requests, so recording needs no lock.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<&'static str, u64>>,
    histograms: RefCell<BTreeMap<&'static str, Histogram<u64>>>,
}

impl Metrics {
    /// Increments a counter.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &'static str, count: u64) {
        *self.counters.borrow_mut().entry(name).or_default() += count;
    }

    /// Records a latency.
    pub fn observe(&self, name: &'static str, span: Span) {
        let mut histograms = self.histograms.borrow_mut();
        if let Some(histogram) = histograms.get_mut(name) {
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
    pub fn text(&self, gauges: &[(&str, f64)]) -> String {
        let mut text = String::new();
        for (name, count) in self.counters.borrow().iter() {
            push_line(&mut text, &format!("jujube_{name}_total {count}"));
        }
        for (name, value) in gauges {
            push_line(&mut text, &format!("jujube_{name} {value}"));
        }
        for (name, histogram) in self.histograms.borrow().iter() {
            for bound in BUCKET_BOUNDS_MS {
                let count = histogram.count_between(0, bound);
                push_line(
                    &mut text,
                    &format!("jujube_{name}_ms_bucket{{le=\"{bound}\"}} {count}"),
                );
            }
            let (count, mean) = (histogram.len(), histogram.mean());
            push_line(
                &mut text,
                &format!("jujube_{name}_ms_bucket{{le=\"+Inf\"}} {count}"),
            );
            push_line(
                &mut text,
                &format!("jujube_{name}_ms_sum {:.0}", mean * count as f64),
            );
            push_line(&mut text, &format!("jujube_{name}_ms_count {count}"));
        }
        text
    }
}

fn push_line(text: &mut String, line: &str) {
    // Writing to a string cannot fail.
    let _infallible = writeln!(text, "{line}");
}
