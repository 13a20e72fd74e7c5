//! The account of a run: which requests were late or lost, from what cause and when.
//!
//! It is made from the log lines of the entries, which name each request's end. Lines may carry a
//! prefix, such as the name of a machine.

use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use anyhow::Result;
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

use jujube_core::time::Instant;
use jujube_core::time::Span;

const PLOT_SIZE: (u32, u32) = (960, 420);

/// What callers expect of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// The longest time to the first event.
    pub first_event: Span,
    /// The longest pause between two events.
    pub pause: Span,
}

impl Default for Target {
    fn default() -> Self {
        Self {
            first_event: Span(600),
            pause: Span(300),
        }
    }
}

/// Why a request was late or lost.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// The first event was late although the first run delivered it.
    LateFirst,
    /// The first event was late, and an earlier run had been lost.
    LateFirstAfterLoss,
    /// A pause in a stream whose path was repaired.
    PauseAfterRepair,
    /// A pause in a stream that was opened again.
    PauseAfterReopening,
    /// A pause in a stream that kept its path.
    PauseOnPath,
    /// A stream was cut before its end.
    Cut(Arc<str>),
    /// The entry refused the request.
    Refused(Arc<str>),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LateFirst => f.write_str("first event late"),
            Self::LateFirstAfterLoss => f.write_str("first event late after a lost run"),
            Self::PauseAfterRepair => f.write_str("pause, path repaired"),
            Self::PauseAfterReopening => f.write_str("pause, opened again"),
            Self::PauseOnPath => f.write_str("pause, same path"),
            Self::Cut(cause) => write!(f, "cut: {cause}"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
        }
    }
}

/// The requests of a run that were late or lost, by cause and by the window in which they arrived.
///
/// # Examples
///
/// ```
/// # use jujube_core::time::Span;
/// # use jujube_load::account::Account;
/// # use jujube_load::account::Cause;
/// # use jujube_load::account::Target;
/// let target = Target::default();
/// let log = "time=9000 event=streamed took_ms=2000 first_ms=80 longest_pause_ms=420 runs=1 repairs=1";
/// let account = Account::read(log.lines(), target, Span(2_000));
/// assert_eq!(account.total(&Cause::PauseAfterRepair), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    window: Span,
    streams: u64,
    causes: BTreeMap<Cause, BTreeMap<u64, u64>>,
}

impl Account {
    /// Reads the log lines of all entries.
    pub fn read<'a>(lines: impl Iterator<Item = &'a str>, target: Target, window: Span) -> Self {
        let lines: Vec<Line<'_>> = lines.filter_map(Line::parse).collect();
        let begun = lines.iter().map(|line| line.arrived).min();
        let begun = begun.unwrap_or_default();
        let mut account = Self {
            window,
            ..Self::default()
        };
        for line in lines {
            account.streams += u64::from(line.event == "streamed");
            let Some(cause) = line.cause(target) else {
                continue;
            };
            let window = line.arrived.since(begun).0 / window.0.max(1);
            *account
                .causes
                .entry(cause)
                .or_default()
                .entry(window)
                .or_default() += 1;
        }
        account
    }

    /// Returns the number of requests that one cause made late or lost.
    #[must_use]
    pub fn total(&self, cause: &Cause) -> u64 {
        let windows = self.causes.get(cause);
        windows.map_or(0, |windows| windows.values().sum())
    }

    /// Returns the account as a table in Markdown, the largest cause first.
    ///
    /// # Errors
    ///
    /// Never; writing to a string does not fail.
    pub fn page(&self) -> Result<String> {
        let mut page = format!(
            "{} whole streams.\n\n| cause | requests | worst windows of {} ms (start in s: requests) |\n|---|---|---|\n",
            self.streams, self.window
        );
        let mut causes: Vec<_> = self.causes.keys().collect();
        causes.sort_by_key(|cause| std::cmp::Reverse(self.total(cause)));
        for cause in causes {
            let worst = self.worst_windows(cause);
            writeln!(page, "| {cause} | {} | {worst} |", self.total(cause))?;
        }
        Ok(page)
    }

    fn worst_windows(&self, cause: &Cause) -> String {
        const SHOWN: usize = 5;
        let windows = self.causes.get(cause).into_iter().flatten();
        let mut windows: Vec<(u64, u64)> = windows.map(|(at, count)| (*at, *count)).collect();
        windows.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        windows.truncate(SHOWN);
        let shown = windows.iter().map(|(at, count)| {
            let start = Span(at * self.window.0).0 as f64 / 1e3;
            format!("{start}: {count}")
        });
        shown.collect::<Vec<_>>().join(", ")
    }

    /// Plots the requests of each cause over time as SVG.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn plot(&self, path: &Path) -> Result<()> {
        let windows = self.causes.values().flatten();
        let (last, most) = windows.fold((1, 1), |(last, most), (at, count)| {
            (last.max(*at), most.max(*count))
        });
        let second = |at: u64| (at * self.window.0) as f64 / 1e3;
        let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).context("plot")?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..second(last), 0.0..most as f64)
            .context("plot")?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("arrival, s").y_desc("requests");
        mesh.draw().context("plot")?;
        for (index, (cause, windows)) in self.causes.iter().enumerate() {
            let colour = Palette99::pick(index).stroke_width(2);
            let points = (0..=last).map(|at| {
                let count = windows.get(&at).copied().unwrap_or(0);
                (second(at), count as f64)
            });
            let series = chart.draw_series(LineSeries::new(points, colour));
            series.context("plot")?.label(cause.to_string());
        }
        chart.configure_series_labels().draw().context("plot")?;
        area.present().context("plot")?;
        Ok(())
    }
}

/// A log line that tells how a request ended.
struct Line<'a> {
    event: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
    arrived: Instant,
}

impl<'a> Line<'a> {
    fn parse(text: &'a str) -> Option<Self> {
        let fields = text
            .split_whitespace()
            .filter_map(|word| word.split_once('='));
        let fields: BTreeMap<&str, &str> = fields.collect();
        let event = *fields.get("event")?;
        if !matches!(event, "streamed" | "cut" | "refused") {
            return None;
        }
        let ended: u64 = fields.get("time")?.parse().ok()?;
        let took: u64 = fields.get("took_ms")?.parse().ok()?;
        Some(Self {
            event,
            arrived: Instant(ended.saturating_sub(took)),
            fields,
        })
    }

    fn number(&self, key: &str) -> u64 {
        let value = self.fields.get(key);
        value.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn text(&self, key: &str) -> Arc<str> {
        (*self.fields.get(key).unwrap_or(&"-")).into()
    }

    /// Returns why the request was late or lost, if it was.
    fn cause(&self, target: Target) -> Option<Cause> {
        match self.event {
            "cut" => return Some(Cause::Cut(self.text("cause"))),
            "refused" => return Some(Cause::Refused(self.text("reason"))),
            _ => {}
        }
        let is_reopened = self.number("runs") > 1;
        if self.number("first_ms") > target.first_event.0 {
            return Some(match is_reopened {
                true => Cause::LateFirstAfterLoss,
                false => Cause::LateFirst,
            });
        }
        if self.number("longest_pause_ms") <= target.pause.0 {
            return None;
        }
        Some(match (self.number("repairs") > 0, is_reopened) {
            (true, _) => Cause::PauseAfterRepair,
            (false, true) => Cause::PauseAfterReopening,
            (false, false) => Cause::PauseOnPath,
        })
    }
}
