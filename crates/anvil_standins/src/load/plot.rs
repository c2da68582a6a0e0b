//! Draws reports as SVG charts.

use std::ops::Range;
use std::path::Path;

use plotters::prelude::*;

use super::report::Report;
use crate::error::Error;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 480);

type Points = Vec<(f64, f64)>;

/// Writes charts of time to the first token, goodput and false refusals into a folder, with one
/// line for each rule.
pub fn draw(folder: &Path, reports: &[Report]) -> Result<(), Error> {
    let Some(first) = reports.first() else {
        return Ok(());
    };
    let file = |what: &str| folder.join(format!("{}-{what}.svg", first.scenario));
    let latency = |r: &Report| r.first_token_curve.clone();
    let labels = ("percent of requests", "first token within, ms");
    draw_lines(&file("first-token"), labels, reports, latency)?;
    let goodput = |r: &Report| by_second(&r.goodput);
    let labels = ("second", "answers in time");
    draw_lines(&file("goodput"), labels, reports, goodput)?;
    let refusals = |r: &Report| by_second(&r.false_refusals_over_time);
    let labels = ("second", "false refusals");
    draw_lines(&file("false-refusals"), labels, reports, refusals)
}

#[allow(clippy::cast_precision_loss, reason = "seconds and counts of one run")]
fn by_second(series: &[u64]) -> Points {
    let numbered = series.iter().enumerate();
    numbered
        .map(|(second, count)| (second as f64, *count as f64))
        .collect()
}

fn draw_lines(
    path: &Path,
    labels: (&str, &str),
    reports: &[Report],
    points: impl Fn(&Report) -> Points,
) -> Result<(), Error> {
    let series: Vec<_> = reports
        .iter()
        .map(|r| (r.rule.as_str(), points(r)))
        .collect();
    draw_chart(path, labels, &series).map_err(|e| Error::Plot {
        path: path.into(),
        message: e.to_string(),
    })
}

fn draw_chart(
    path: &Path,
    (x_label, y_label): (&str, &str),
    series: &[(&str, Points)],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let all = || series.iter().flat_map(|(_, points)| points);
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(
            axis_range(all().map(|point| point.0)),
            axis_range(all().map(|point| point.1)),
        )?;
    chart
        .configure_mesh()
        .x_desc(x_label)
        .y_desc(y_label)
        .draw()?;
    for (index, (name, points)) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
        chart
            .draw_series(line)?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

fn axis_range(values: impl Iterator<Item = f64>) -> Range<f64> {
    0.0..values.fold(1.0, f64::max)
}
