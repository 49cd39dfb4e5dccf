//! Results as a plot.

use std::fmt::{self, Display, Formatter};

use lovagedock::LengthBucket;
use plotters::prelude::*;

use super::summary::ExperimentSummary;

const SIZE: (u32, u32) = (900, 540);
const FONT: &str = "sans-serif";
const TITLE_SIZE: u32 = 20;
const MARGIN: u32 = 16;
const X_LABEL_SIZE: u32 = 40;
const Y_LABEL_SIZE: u32 = 80;
const POINT_SIZE: i32 = 4;
const LEGEND_WIDTH: i32 = 20;
/// Factor by which the value axis extends beyond the lowest and the highest value.
const HEADROOM: f64 = 1.5;

/// The plot could not be drawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlotError(String);

impl Display for PlotError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "the plot could not be drawn: {}", self.0)
    }
}

impl std::error::Error for PlotError {}

/// Draws the median p95 of the time to first token by prompt length for each policy, as SVG.
pub fn render_plot(name: &str, summary: &ExperimentSummary) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(&mut svg, name, summary).map_err(|error| PlotError(error.to_string()))?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    name: &str,
    summary: &ExperimentSummary,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let title = format!("{name}: p95 of the first token, median over seeds");
    let (lowest, highest) = value_range(summary);
    // One position is left free on each side of the buckets.
    let x_range = -1..LengthBucket::ALL.len() as i32;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, (FONT, TITLE_SIZE))
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_SIZE)
        .y_label_area_size(Y_LABEL_SIZE)
        .build_cartesian_2d(x_range, (lowest / HEADROOM..highest * HEADROOM).log_scale())?;
    chart
        .configure_mesh()
        .x_labels(LengthBucket::ALL.len() + 2)
        .x_label_formatter(&|index| bucket_name(*index))
        .x_desc("prompt length (tokens)")
        .y_label_formatter(&|value| format!("{value:.0}"))
        .y_desc("ms of model time, log scale")
        .draw()?;
    for (number, policy) in summary.policies.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points: Vec<(i32, f64)> = (0..)
            .zip(LengthBucket::ALL)
            .filter_map(|(index, bucket)| Some((index, (*policy.p95.get(bucket))?.median)))
            .collect();
        chart
            .draw_series(
                LineSeries::new(points, color.stroke_width(2)).point_size(POINT_SIZE as u32),
            )?
            .label(&policy.policy)
            .legend(move |(x, y)| {
                PathElement::new([(x, y), (x + LEGEND_WIDTH, y)], color.stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

fn bucket_name(index: i32) -> String {
    let bucket = usize::try_from(index)
        .ok()
        .and_then(|index| LengthBucket::ALL.get(index));
    bucket.map_or(String::new(), |bucket| bucket.as_str().to_owned())
}

fn value_range(summary: &ExperimentSummary) -> (f64, f64) {
    let mut range: Option<(f64, f64)> = None;
    for policy in &summary.policies {
        for bucket in LengthBucket::ALL {
            let Some(spread) = policy.p95.get(bucket) else {
                continue;
            };
            let value = spread.median;
            let (lowest, highest) = range.unwrap_or((value, value));
            range = Some((lowest.min(value), highest.max(value)));
        }
    }
    range.unwrap_or((1.0, 1.0))
}
