//! Slopes for the capacity page: one quantity at three or more sizes, and the line through them.

mod config;
mod control;
mod plan;
mod state;

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;

/// A quantity over a size.
#[derive(Clone, Debug, Default)]
pub struct Slope {
    /// What was measured.
    pub what: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// The unit of the quantity.
    pub unit: &'static str,
    /// Size and quantity.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Returns offset and slope of the least-squares line.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_load::slopes::Slope;
    /// let slope = Slope { points: vec![(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)], ..Slope::default() };
    /// assert_eq!(slope.fit(), (1.0, 2.0));
    /// ```
    #[must_use]
    pub fn fit(&self) -> (f64, f64) {
        let count = self.points.len().max(1) as f64;
        let mean_x = self.points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let above = self
            .points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum::<f64>();
        let below = self
            .points
            .iter()
            .map(|(x, _)| (x - mean_x).powi(2))
            .sum::<f64>();
        let slope = if below == 0.0 { 0.0 } else { above / below };
        (mean_y - slope * mean_x, slope)
    }
}

/// Returns the shortest of several runs: the others were disturbed.
pub(crate) fn shortest(runs: usize, mut work: impl FnMut()) -> Duration {
    let once = |work: &mut dyn FnMut()| {
        let start = Instant::now();
        work();
        start.elapsed()
    };
    let times = (0..runs).map(|_| once(&mut work));
    times.min().unwrap_or_default()
}

pub(crate) fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Measures all slopes; `progress` hears of each.
///
/// # Errors
///
/// A bundle that was made for the measurement does not hold.
pub fn measure(progress: impl Fn(&str)) -> Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    for work in [
        control::measure,
        plan::measure,
        config::measure,
        state::measure,
    ] {
        let measured = work()?;
        for slope in &measured {
            progress(slope.what);
        }
        slopes.extend(measured);
    }
    Ok(slopes)
}

/// Returns the slopes as a Markdown table.
///
/// # Errors
///
/// Never; writing to a string does not fail.
pub fn page(slopes: &[Slope]) -> Result<String> {
    let mut page = String::from("| what | by | points | offset | slope | unit |\n");
    page.push_str("|---|---|---|---|---|---|\n");
    for slope in slopes {
        let points = slope.points.iter().map(|(x, y)| format!("{x:.0}: {y:.1}"));
        let points: Vec<String> = points.collect();
        let (offset, by) = slope.fit();
        writeln!(
            page,
            "| {} | {} | {} | {offset:.2} | {by:.4} | {} |",
            slope.what,
            slope.size,
            points.join(", "),
            slope.unit
        )?;
    }
    Ok(page)
}
