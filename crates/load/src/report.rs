//! A report page: Markdown, and plots in SVG.

use std::fmt::Write;
use std::path::Path;

use anyhow::Context;
use anyhow::Result;
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::BLUE;
use plotters::style::Color;
use plotters::style::RED;
use plotters::style::RGBColor;
use plotters::style::WHITE;

use crate::result::Distribution;
use crate::result::Outcome;

const SIZE: (u32, u32) = (720, 400);
const COLOURS: [RGBColor; 2] = [BLUE, RED];

/// Writes `report.md` and its plots into a directory.
///
/// # Errors
///
/// A file cannot be written.
pub fn write(results: &[Outcome], directory: &Path) -> Result<()> {
    std::fs::create_dir_all(directory)?;
    let first = |outcome: &Outcome| outcome.first_token.clone();
    let between = |outcome: &Outcome| outcome.between_tokens.clone();
    plot(
        results,
        first,
        &directory.join("first-token.svg"),
        "first token, ms",
    )?;
    plot(
        results,
        between,
        &directory.join("between-tokens.svg"),
        "between tokens, ms",
    )?;
    std::fs::write(directory.join("report.md"), page(results)?)?;
    Ok(())
}

/// Returns the page's text.
///
/// # Errors
///
/// Never; writing to a string does not fail.
pub fn page(results: &[Outcome]) -> Result<String> {
    let mut page = String::from("# Results side by side\n\n| |");
    for result in results {
        write!(page, " {} |", result.name)?;
    }
    page.push_str("\n|---|");
    page.push_str(&"---|".repeat(results.len()));
    page.push('\n');
    let mut row = |name: &str, cell: &dyn Fn(&Outcome) -> String| -> Result<()> {
        write!(page, "| {name} |")?;
        for result in results {
            write!(page, " {} |", cell(result))?;
        }
        page.push('\n');
        Ok(())
    };
    row("requests", &|r| r.requests.to_string())?;
    row("whole answers", &|r| r.whole.to_string())?;
    row("failures", &|r| format!("{:?}", r.failures))?;
    row("tokens a second", &|r| {
        format!("{:.0}", r.tokens_per_second)
    })?;
    for quantile in [0.5, 0.95, 0.99] {
        let percent = quantile * 100.0;
        row(&format!("first token p{percent}, ms"), &|r| {
            at(&r.first_token, quantile)
        })?;
        row(&format!("between tokens p{percent}, ms"), &|r| {
            at(&r.between_tokens, quantile)
        })?;
    }
    page.push_str("\n![first token](first-token.svg)\n\n![between](between-tokens.svg)\n");
    Ok(page)
}

fn at(distribution: &Distribution, quantile: f64) -> String {
    let found = distribution.quantiles.iter().find(|(q, _)| *q == quantile);
    found.map_or_else(|| "-".into(), |(_, millis)| format!("{millis:.1}"))
}

fn plot(
    results: &[Outcome],
    of: impl Fn(&Outcome) -> Distribution,
    path: &Path,
    caption: &str,
) -> Result<()> {
    let distributions: Vec<Distribution> = results.iter().map(of).collect();
    let all = distributions
        .iter()
        .flat_map(|d| d.quantiles.iter().map(|(_, millis)| *millis));
    let highest = all.fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).context("plot")?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.5..1.0, 0.0..highest * 1.05)
        .context("plot")?;
    chart
        .configure_mesh()
        .x_desc("quantile")
        .draw()
        .context("plot")?;
    for (index, distribution) in distributions.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let points = distribution.quantiles.iter().copied();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .context("plot")?;
    }
    area.present().context("plot")?;
    Ok(())
}
