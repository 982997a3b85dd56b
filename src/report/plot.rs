//! SVG plots of one column over another, with a line for each series.

use plotters::prelude::*;

use crate::prelude::Code;
use crate::prelude::Error;
use crate::prelude::IndexMap;
use crate::prelude::Result;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (720, 420);

/// Space for the labels of an axis, in pixels.
const LABEL_AREA: u32 = 60;

/// Columns that a plot shows, which are also the labels of its axes.
#[derive(Clone, Copy, Debug)]
pub struct Axes<'a> {
    /// Name of the column on the horizontal axis.
    pub x: &'a str,
    /// Name of the column on the vertical axis.
    pub y: &'a str,
}

/// Draws the series, by name, and returns the SVG text.
///
/// Returns [`Code::RequestMalformed`] when there are no points.
pub fn svg(axes: Axes<'_>, series: &IndexMap<String, Vec<(f64, f64)>>) -> Result<String> {
    let Some((max_x, max_y)) = axis_limits(series) else {
        let detail = format!("no row has numbers in {} and {}", axes.x, axes.y);
        return Err(Error::new(Code::RequestMalformed, detail));
    };
    let mut text = String::new();
    draw(axes, series, (max_x, max_y), &mut text)
        .map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    Ok(text)
}

/// Returns the upper limits of both axes: the greatest values plus a margin. Both
/// axes start at 0.
fn axis_limits(series: &IndexMap<String, Vec<(f64, f64)>>) -> Option<(f64, f64)> {
    let points = || series.values().flatten();
    let max_x = points().map(|p| p.0).reduce(f64::max)?;
    let max_y = points().map(|p| p.1).reduce(f64::max)?;
    Some((max_x.max(1e-9) * 1.05, max_y.max(1e-9) * 1.1))
}

fn draw(
    axes: Axes<'_>,
    series: &IndexMap<String, Vec<(f64, f64)>>,
    (max_x, max_y): (f64, f64),
    text: &mut String,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(text, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart
        .configure_mesh()
        .x_desc(axes.x)
        .y_desc(axes.y)
        .draw()?;
    for (index, (name, points)) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        let dots = points.iter().map(|p| Circle::new(*p, 3, colour.filled()));
        chart.draw_series(dots)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}
