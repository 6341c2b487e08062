//! Plots a report as SVG.

use lentil_types::Class;
use plotters::prelude::{
    BLUE, ChartBuilder, Color as _, GREEN, IntoDrawingArea as _, IntoLogRange as _, LineSeries,
    PathElement, RED, RGBColor, SVGBackend, WHITE,
};

use crate::{ClassReport, Report};

/// Width and height of a plot.
const SIZE_PX: (u32, u32) = (900, 540);
/// Steps of a curve from 0 to 1.
const CURVE_POINTS: u32 = 200;
/// Length of a line in the legend.
const LEGEND_PX: i32 = 20;

/// A report could not be plotted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PlotError {
    /// No answer had a first piece.
    #[error("no answer had a first piece, so there is nothing to draw")]
    Empty,
    /// The drawing library failed.
    #[error("cannot draw: {0}")]
    Draw(String),
}

/// Plots the cumulative distribution of the time to the first piece by class.
///
/// # Errors
/// [`PlotError`] when no answer had a first piece or the library fails.
pub fn svg(report: &Report) -> Result<String, PlotError> {
    let classes: Vec<_> = report
        .classes
        .iter()
        .filter(|class| !class.first.is_empty())
        .collect();
    if classes.is_empty() {
        return Err(PlotError::Empty);
    }
    let mut svg = String::new();
    draw(&mut svg, &classes).map_err(|error| PlotError::Draw(error.to_string()))?;
    Ok(svg)
}

fn draw(svg: &mut String, classes: &[&ClassReport]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let longest = classes
        .iter()
        .map(|class| class.first.quantile_ms(1.0))
        .fold(1.0, f64::max);
    let shortest = classes
        .iter()
        .map(|class| class.first.quantile_ms(0.0))
        .fold(longest, f64::min);
    let mut chart = ChartBuilder::on(&area)
        .caption("Time to the first piece", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(56)
        .build_cartesian_2d((shortest.max(0.1)..longest * 1.1).log_scale(), 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("milliseconds")
        .y_desc("share of requests")
        .draw()?;
    for class in classes {
        let color = color_of(class.class);
        let curve = (0..=CURVE_POINTS).map(|point| {
            let share = f64::from(point) / f64::from(CURVE_POINTS);
            (class.first.quantile_ms(share), share)
        });
        chart
            .draw_series(LineSeries::new(curve, color.stroke_width(2)))?
            .label(class.class.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_PX, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(RGBColor(120, 120, 120))
        .draw()?;
    area.present()?;
    Ok(())
}

fn color_of(class: Class) -> RGBColor {
    match class {
        Class::Urgent => RED,
        Class::Normal => BLUE,
        Class::Patient => GREEN,
    }
}
