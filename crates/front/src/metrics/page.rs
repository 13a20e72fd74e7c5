//! The page of the metrics in the text exposition format, version 0.0.4.

use std::fmt;
use std::fmt::Write;

use hdrhistogram::Histogram;

use super::name::Name;

/// The content type of the format.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Upper bounds of the exported buckets in milliseconds: from a plain response (15 ms) past the
/// latency targets (100, 150, 200 and 500 ms) to callers' timeouts.
const BUCKET_BOUNDS_MS: [u64; 12] = [
    10, 25, 50, 100, 150, 200, 300, 500, 1_000, 2_000, 5_000, 20_000,
];
/// The bound of the bucket that has all values.
const NO_BOUND: &str = "+Inf";

/// A page that is written family by family.
#[derive(Debug, Default)]
pub struct Page(String);

/// The name of a family: with the prefix of all of them and the ending of its kind.
struct Family<'a> {
    name: &'a Name,
    ending: &'static str,
}

impl fmt::Display for Family<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "jujube_{}{}", self.name, self.ending)
    }
}

/// A text as the value of a label, without its quotes.
struct Label<T>(T);

impl<T: fmt::Display> fmt::Display for Label<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for char in self.0.to_string().chars() {
            match char {
                '\\' | '"' => write!(f, "\\{char}")?,
                '\n' => f.write_str("\\n")?,
                _ => f.write_char(char)?,
            }
        }
        Ok(())
    }
}

impl Page {
    /// Adds a counter.
    pub fn counter(&mut self, name: &Name, count: u64) {
        let ending = "_total";
        let family = Family { name, ending };
        self.begin(&family, "counter", "since the start");
        self.line(format_args!("{family} {count}"));
    }

    /// Adds a figure that goes up and down.
    pub fn gauge(&mut self, name: &Name, value: f64) {
        let family = Family { name, ending: "" };
        self.begin(&family, "gauge", "now");
        self.line(format_args!("{family} {value}"));
    }

    /// Adds a histogram of times.
    pub fn histogram(&mut self, name: &Name, histogram: &Histogram<u64>) {
        let ending = "_ms";
        let family = Family { name, ending };
        self.begin(&family, "histogram", "in milliseconds");
        for bound in BUCKET_BOUNDS_MS {
            self.bucket(&family, bound, histogram.count_between(0, bound));
        }
        let (count, mean) = (histogram.len(), histogram.mean());
        self.bucket(&family, NO_BOUND, count);
        self.line(format_args!("{family}_sum {:.0}", mean * count as f64));
        self.line(format_args!("{family}_count {count}"));
    }

    /// Returns the text.
    pub fn finish(self) -> String {
        self.0
    }

    fn begin(&mut self, family: &Family<'_>, kind: &str, what: &str) {
        let name = family.name;
        self.line(format_args!(
            "# HELP {family} {name}, {what}; see docs/OPERATIONS.md"
        ));
        self.line(format_args!("# TYPE {family} {kind}"));
    }

    fn bucket(&mut self, family: &Family<'_>, bound: impl fmt::Display, count: u64) {
        let bound = Label(bound);
        self.line(format_args!("{family}_bucket{{le=\"{bound}\"}} {count}"));
    }

    fn line(&mut self, line: fmt::Arguments<'_>) {
        // Writing to a string cannot fail.
        let _infallible = writeln!(self.0, "{line}");
    }
}
