//! SVG plots of a scenario's results.

use std::{error, fs, path};

use plotters::prelude::*;

use crate::{result, scenario};

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (960, 540);
/// Number of points of a curve.
const POINTS: u32 = 200;

/// The results of one run with its latencies.
pub struct Run {
    /// The line.
    pub line: result::Line,
    /// Time to the first token.
    pub ttft: result::Latency,
}

/// Draws the time to the first token by percentile, one curve for each run.
///
/// # Errors
///
/// Fails when the folder or the file cannot be written.
pub fn draw(
    folder: &path::Path,
    scenario: &scenario::Scenario,
    runs: &[Run],
) -> Result<path::PathBuf, Box<dyn error::Error>> {
    fs::create_dir_all(folder)?;
    let file = folder.join(format!("{}.svg", scenario.name));
    let highest = runs
        .iter()
        .filter_map(|run| run.ttft.quantile_ms(0.999))
        .fold(1.0, f64::max);
    let lowest = runs
        .iter()
        .filter_map(|run| run.ttft.quantile_ms(0.0))
        .fold(highest, f64::min);
    {
        let area = SVGBackend::new(&file, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(
                format!("{}: time to first token", scenario.name),
                ("sans-serif", 22),
            )
            .margin(16)
            .x_label_area_size(40)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..100.0, (lowest * 0.9..highest * 1.1).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("percentile of online requests")
            .y_desc("ms")
            .draw()?;
        let mut labelled = Vec::new();
        for run in runs
            .iter()
            .filter(|run| run.ttft.quantile_ms(0.5).is_some())
        {
            let color = Palette99::pick(run.line.policy as usize).stroke_width(2);
            let points = (0..=POINTS).filter_map(|point| {
                let quantile = f64::from(point) / f64::from(POINTS) * 0.999;
                Some((100.0 * quantile, run.ttft.quantile_ms(quantile)?))
            });
            let series = chart.draw_series(LineSeries::new(points, color))?;
            if !labelled.contains(&run.line.policy) {
                labelled.push(run.line.policy);
                series
                    .label(run.line.policy.to_string())
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
            }
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
    }
    Ok(file)
}
