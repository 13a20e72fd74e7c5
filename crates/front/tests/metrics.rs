//! The page of the metrics for any names.

#![allow(clippy::unwrap_used, reason = "a fixture that fails must panic")]

#[path = "../src/metrics/mod.rs"]
mod metrics;
#[path = "../src/reason.rs"]
#[allow(dead_code, reason = "the entry uses the rest of it")]
mod reason;

use jujube_core::time::Span;
use prometheus_parse::LineInfo;
use prometheus_parse::Scrape;
use prometheus_parse::Value;
use proptest::prelude::*;

use metrics::Metrics;
use metrics::page;
use reason::Reason;

/// Returns the page as a parser reads it; fails if there is a line that it cannot read.
fn read(metrics: &Metrics) -> Scrape {
    let text = metrics.text(&[("odd gauge", 1.0)]);
    for line in text.lines() {
        let is_read = !matches!(LineInfo::parse(line), LineInfo::Empty | LineInfo::Ignored);
        assert!(is_read, "{line}");
    }
    Scrape::parse(text.lines().map(|line| Ok(line.into()))).unwrap()
}

/// Returns a counter.
fn counter(scrape: &Scrape, name: &str) -> Option<f64> {
    let mut samples = scrape.samples.iter();
    let sample = samples.find(|sample| sample.metric == name)?;
    match sample.value {
        Value::Counter(count) => Some(count),
        _ => None,
    }
}

/// Guards against a reason whose counter makes the page unreadable.
#[test]
fn each_reason_has_a_counter_that_can_be_read() {
    let metrics = Metrics::with_counters(Reason::ALL);

    for reason in Reason::ALL {
        metrics.count(reason);
    }

    let scrape = read(&metrics);
    for reason in Reason::ALL {
        let name = format!("jujube_{}_total", reason.name().replace('-', "_"));
        assert_eq!(counter(&scrape, &name), Some(1.0), "{name}");
    }
    assert!(page::CONTENT_TYPE.starts_with("text/plain; version="));
}

proptest! {
    /// Guards against a name that ends its line, forges another one, or has a character that none may have.
    #[test]
    fn any_name_becomes_one_that_the_format_allows(name in any::<String>(), ms: u64) {
        let metrics = Metrics::default();
        let name: &'static str = name.leak();

        metrics.count(name);
        metrics.observe(name, Span(ms));

        let scrape = read(&metrics);
        prop_assert_eq!(scrape.docs.len(), 3);
        let is_allowed = |char: char| char.is_ascii_alphanumeric() || char == '_';
        for sample in &scrape.samples {
            prop_assert!(sample.metric.chars().all(is_allowed), "{}", sample.metric);
        }
    }

    /// Guards against buckets that are no sums, and a count that is not that of all values.
    #[test]
    fn a_histogram_is_consistent(spans in prop::collection::vec(0..100_000u64, 1..50)) {
        let metrics = Metrics::default();

        for ms in &spans {
            metrics.observe("time", Span(*ms));
        }

        let scrape = read(&metrics);
        let mut samples = scrape.samples.iter();
        let sample = samples.find(|sample| sample.metric == "jujube_time_ms");
        let Some(Value::Histogram(buckets)) = sample.map(|sample| &sample.value) else {
            panic!("no histogram: {scrape:?}");
        };
        prop_assert!(buckets.is_sorted_by(|one, next| one.count <= next.count));
        prop_assert_eq!(buckets.last().unwrap().count, spans.len() as f64);
        let mut samples = scrape.samples.iter();
        let count = samples.find(|sample| sample.metric == "jujube_time_ms_count");
        prop_assert_eq!(&count.unwrap().value, &Value::Untyped(spans.len() as f64));
    }
}
