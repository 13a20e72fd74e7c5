//! Counters and latency histograms, served as text.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;

use jujube_core::time::Span;

/// The upper bounds of the histograms' buckets, in milliseconds: from a plain answer's 15 ms over
/// the users' targets (100, 150, 200, 500 ms) to a caller's patience.
const BOUNDS_MS: [u64; 12] = [
    10, 25, 50, 100, 150, 200, 300, 500, 1_000, 2_000, 5_000, 20_000,
];

/// A histogram of latencies.
#[derive(Clone, Debug, Default)]
struct Histogram {
    counts: [u64; BOUNDS_MS.len() + 1],
    sum_ms: u64,
}

/// Counters and histograms of one entry.
///
/// They live on the thread that serves requests: an increment is a look-up in a short map, no lock.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<&'static str, u64>>,
    histograms: RefCell<BTreeMap<&'static str, Histogram>>,
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
        let histogram = histograms.entry(name).or_default();
        let bucket = BOUNDS_MS.iter().position(|bound| span.0 <= *bound);
        histogram.counts[bucket.unwrap_or(BOUNDS_MS.len())] += 1;
        histogram.sum_ms += span.0;
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
            let mut sum = 0;
            for (index, count) in histogram.counts.iter().enumerate() {
                sum += count;
                let bound = BOUNDS_MS.get(index).map_or("+Inf".into(), u64::to_string);
                line(
                    &mut text,
                    &format!("jujube_{name}_ms_bucket{{le=\"{bound}\"}} {sum}"),
                );
            }
            line(
                &mut text,
                &format!("jujube_{name}_ms_sum {}", histogram.sum_ms),
            );
            line(&mut text, &format!("jujube_{name}_ms_count {sum}"));
        }
        text
    }
}

fn line(text: &mut String, line: &str) {
    // Writing to a string does not fail.
    let _infallible = writeln!(text, "{line}");
}
