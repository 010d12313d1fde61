//! Draws a report as SVG: latency curves above, a timeline of the run below.

use {
    crate::report::Report,
    plotters::{
        chart::ChartBuilder,
        coord::{Shift, combinators::IntoLogRange},
        drawing::{DrawingArea, DrawingAreaErrorKind, IntoDrawingArea},
        element::PathElement,
        prelude::SVGBackend,
        series::LineSeries,
        style::{BLACK, BLUE, Color, GREEN, RED, RGBColor, WHITE},
    },
    std::io,
    thiserror::Error,
};

/// Width and height of the drawing in pixels.
const DRAWING_PIXELS: (u32, u32) = (900, 900);
/// Smallest latency on the logarithmic axis, in milliseconds.
const MIN_LATENCY_MS: f64 = 0.01;
/// Family and size of the label font.
const LABEL_FONT: (&str, u32) = ("sans-serif", 14);

/// Error of the drawing library.
#[derive(Debug, Error)]
#[error("drawing the report")]
pub struct Error(#[from] DrawingAreaErrorKind<io::Error>);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Line<'a> = (&'static str, RGBColor, &'a [(f64, f64)]);

/// Draws the report and returns the SVG document.
///
/// # Errors
///
/// Returns an error if the drawing library fails.
pub fn draw(report: &Report) -> Result<String, Error> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, DRAWING_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let parts = area.split_evenly((2, 1));
        draw_curves(&parts[0], report)?;
        draw_timeline(&parts[1], report)?;
        area.present()?;
    }
    Ok(text)
}

fn draw_curves(area: &Area<'_>, report: &Report) -> Result<(), Error> {
    let curves = &report.curves;
    let lines: [Line<'_>; 3] = [
        ("first token", BLUE, &curves.first),
        ("between tokens", GREEN, &curves.between),
        ("whole generation", RED, &curves.whole),
    ];
    let highest = lines
        .iter()
        .flat_map(|(_, _, points)| points.iter())
        .fold(1.0, |highest: f64, (_, value)| highest.max(*value));
    let mut chart = ChartBuilder::on(area)
        .caption("Latency in ms by percentile", LABEL_FONT)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..4.0, (MIN_LATENCY_MS..highest * 2.0).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("percentile")
        .x_labels(5)
        .x_label_formatter(&|x| format!("{:.2}", 100.0 * (1.0 - 10_f64.powf(-x))))
        .draw()?;
    for (name, colour, points) in lines {
        let scaled = points
            .iter()
            .map(|(quantile, value)| (-(1.0 - quantile).log10(), value.max(MIN_LATENCY_MS)));
        chart
            .draw_series(LineSeries::new(scaled, &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

fn draw_timeline(area: &Area<'_>, report: &Report) -> Result<(), Error> {
    let seconds = &report.seconds;
    let highest = seconds.iter().map(|second| second.tokens).max();
    let events = seconds.iter().map(|second| second.refused.max(second.lost));
    let max_events = events.max().unwrap_or(0).max(1) as f64 * 1.1;
    let length = seconds.len().max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(
            "Tokens/s (left), refused and lost requests/s (right)",
            LABEL_FONT,
        )
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(70)
        .right_y_label_area_size(50)
        .build_cartesian_2d(0.0..length, 0.0..highest.unwrap_or(0).max(1) as f64 * 1.1)?
        .set_secondary_coord(0.0..length, 0.0..max_events);
    chart.configure_mesh().x_desc("seconds").draw()?;
    chart.configure_secondary_axes().draw()?;
    let points = |value: fn(&crate::report::SecondRow) -> u64| {
        let with_seconds = seconds.iter().enumerate();
        with_seconds.map(move |(second, row)| (second as f64, value(row) as f64))
    };
    chart
        .draw_series(LineSeries::new(points(|row| row.tokens), &BLUE))?
        .label("tokens")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], BLUE));
    chart
        .draw_secondary_series(LineSeries::new(points(|row| row.refused), &GREEN))?
        .label("refused")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], GREEN));
    chart
        .draw_secondary_series(LineSeries::new(points(|row| row.lost), &RED))?
        .label("lost")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], RED));
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
