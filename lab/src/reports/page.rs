//! A drill's page: `report.html` with its rules, figures and plots, written from the summaries alone.

use std::fs;
use std::path::Path;

use anyhow::{Result, anyhow};
use minijinja::{Environment, context};
use plotters::prelude::*;

use crate::drill::Drill;
use crate::reports::summary::Summary;

const PAGE: &str = include_str!("page.html");
const PLOT_SIZE: (u32, u32) = (960, 320);
const LINE_COLOURS: [RGBColor; 5] =
    [RGBColor(31, 119, 180), RGBColor(214, 39, 40), RGBColor(44, 160, 44), RGBColor(148, 103, 189), BLACK];

/// A named line of a plot.
pub type Line = (String, Vec<(f64, f64)>);

/// Draws an SVG with lines over a common x axis; `marks` are vertical lines, as for faults.
pub fn plot(title: &str, axes: [&str; 2], lines: &[Line], marks: &[f64]) -> Result<String> {
    let mut svg = String::new();
    let points = || lines.iter().flat_map(|line| &line.1);
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max).max(1e-9) * 1.05;
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let wrong = |error: &dyn std::fmt::Display| anyhow!("plot {title}: {error}");
        area.fill(&WHITE).map_err(|e| wrong(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..right, 0.0..top)
            .map_err(|e| wrong(&e))?;
        chart
            .configure_mesh()
            .x_desc(axes[0])
            .y_desc(axes[1])
            .light_line_style(WHITE)
            .draw()
            .map_err(|e| wrong(&e))?;
        for &at in marks {
            let mark = LineSeries::new([(at, 0.0), (at, top)], RGBColor(190, 190, 190));
            chart.draw_series(mark).map_err(|e| wrong(&e))?;
        }
        for (i, (name, points)) in lines.iter().enumerate() {
            let ink = LINE_COLOURS[i % LINE_COLOURS.len()];
            let series = LineSeries::new(points.iter().copied(), ink.stroke_width(2));
            let legend = move |(x, y)| PathElement::new([(x, y), (x + 16, y)], ink.stroke_width(2));
            chart.draw_series(series).map_err(|e| wrong(&e))?.label(name).legend(legend);
        }
        let mut labels = chart.configure_series_labels();
        labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw().map_err(|e| wrong(&e))?;
        area.present().map_err(|e| wrong(&e))?;
    }
    Ok(svg)
}

/// Writes `summary.json` and `report.html` into the folder.
pub fn write(folder: &Path, drill: &Drill, summaries: &[Summary]) -> Result<()> {
    fs::write(folder.join("summary.json"), serde_json::to_string_pretty(summaries)? + "\n")?;
    let marks: Vec<f64> = drill.faults.iter().map(|fault| fault.at).collect();
    let seconds = |by: &[(f64, f64)], of: fn(&(f64, f64)) -> f64| -> Vec<(f64, f64)> {
        by.iter().enumerate().map(|(i, slot)| (i as f64, of(slot))).collect()
    };
    let mut earnings = vec![("offered".to_owned(), seconds(&summaries[0].by_second, |slot| slot.0))];
    earnings.extend(
        summaries.iter().map(|s| (format!("served, {}", s.routing), seconds(&s.by_second, |slot| slot.1))),
    );
    let capacity = |s: &Summary| -> Line {
        (s.routing.clone(), s.capacity.iter().enumerate().map(|(i, c)| (i as f64, *c)).collect())
    };
    let capacities: Vec<Line> = summaries.iter().map(capacity).collect();
    let plots = [
        plot("Earnings by second of the first try", ["s", "earnings"], &earnings, &marks)?,
        plot("Capacity of all servers", ["s", "conversations/s"], &capacities, &marks)?,
    ];
    let mut pages = Environment::new();
    pages.add_template("page.html", PAGE)?;
    let page = pages.get_template("page.html")?.render(context! { drill, summaries, plots })?;
    fs::write(folder.join("report.html"), page)?;
    Ok(())
}
