//! Plots as SVG: a run second by second, and policies against each other over the load.

use crate::figures::Second;
use crate::spread::{self, Window};
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const SIZE: (u32, u32) = (900, 480);
const COLOURS: [RGBColor; 8] = [
    RGBColor(90, 90, 90),
    RGBColor(30, 140, 60),
    RGBColor(220, 140, 20),
    RGBColor(200, 40, 40),
    BLUE,
    RGBColor(130, 60, 160),
    RGBColor(20, 150, 160),
    RGBColor(150, 110, 70),
];

/// One line of a plot.
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// What came in each second and what became of it.
pub fn seconds(path: &Path, title: &str, seconds: &[Second]) -> Result<(), String> {
    let line = |name: &str, value: fn(&Second) -> u64| Line {
        name: name.to_owned(),
        points: seconds.iter().enumerate().map(|(at, s)| (at as f64, value(s) as f64)).collect(),
    };
    let lines = [
        line("came", |s| s.came),
        line("in time", |s| s.in_time),
        line("late", |s| s.late),
        line("turned back", |s| s.turned_back),
        line("forfeited, lost or left", |s| s.other),
    ];
    draw(path, title, ("seconds", "work units a second, by when they came"), &lines, false)
}

/// The part of slots in use: least, mean and most of all executors, window by window.
pub fn spread(path: &Path, title: &str, figures: &spread::Figures) -> Result<(), String> {
    let line = |name: &str, of: &[Window], value: fn(&Window) -> f64| Line {
        name: name.to_owned(),
        points: of.iter().enumerate().map(|(at, w)| (at as f64 * 5.0, value(w))).collect(),
    };
    let lines = [
        line("mean", &figures.seen.windows, |w| w.mean),
        line("least", &figures.seen.windows, |w| w.least),
        line("most", &figures.seen.windows, |w| w.most),
        line("most, by chance", &figures.by_chance.windows, |w| w.most),
        line("most, all-seeing", &figures.all_seeing.windows, |w| w.most),
    ];
    draw(path, title, ("seconds", "part of the slots in use, by executor"), &lines, false)
}

/// How many there are of each state over time: `course` has a count of each whenever one is another.
pub fn states(path: &Path, title: &str, course: &[(f64, BTreeMap<String, usize>)]) -> Result<(), String> {
    let names: BTreeSet<&String> = course.iter().flat_map(|(_, counts)| counts.keys()).collect();
    let line = |name: &String| {
        let count = |counts: &BTreeMap<String, usize>| counts.get(name).copied().unwrap_or(0) as f64;
        // A count holds until the next one.
        let holds =
            course.windows(2).flat_map(|two| [(two[0].0, count(&two[0].1)), (two[1].0, count(&two[0].1))]);
        let last = course.last().map(|(at, counts)| (*at, count(counts)));
        Line { name: name.clone(), points: holds.chain(last).collect() }
    };
    let lines: Vec<Line> = names.into_iter().map(line).collect();
    draw(path, title, ("seconds", "machines, by how far they are"), &lines, false)
}

/// What was spent in each second of wholes that may be spent in one, each by its name.
pub fn spent(path: &Path, title: &str, budgets: &[(String, Vec<u64>, f64)]) -> Result<(), String> {
    let lines = budgets.iter().flat_map(|(name, seconds, whole)| {
        let points = seconds.iter().enumerate().map(|(at, units)| (at as f64, *units as f64)).collect();
        let all = vec![(0.0, *whole), (seconds.len().saturating_sub(1) as f64, *whole)];
        [Line { name: name.clone(), points }, Line { name: format!("{name}, the whole"), points: all }]
    });
    draw(path, title, ("seconds", "units a second"), &lines.collect::<Vec<_>>(), false)
}

/// Any lines; `by_tens`: the height goes by powers of ten.
pub fn draw(
    path: &Path,
    title: &str,
    (across, up): (&str, &str),
    lines: &[Line],
    by_tens: bool,
) -> Result<(), String> {
    let points = || lines.iter().flat_map(|line| line.points.iter().copied());
    let bounds = |value: fn((f64, f64)) -> f64| {
        points().map(value).fold((f64::INFINITY, f64::NEG_INFINITY), |(l, m), v| (l.min(v), m.max(v)))
    };
    let ((left, right), (least, most)) = (bounds(|p| p.0), bounds(|p| p.1));
    if !(left.is_finite() && most.is_finite()) {
        return Err("there is nothing to plot".to_owned());
    }
    let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| wrong(&e))?;
    let mut builder = ChartBuilder::on(&area);
    builder.caption(title, ("sans-serif", 18)).margin(12).x_label_area_size(36).y_label_area_size(64);
    let widths = left..right.max(left + 1e-9);
    // Both kinds of axis are drawn alike and are of different types.
    macro_rules! chart {
        ($heights:expr, $least:expr) => {{
            let mut chart = builder.build_cartesian_2d(widths, $heights).map_err(|e| wrong(&e))?;
            let mut mesh = chart.configure_mesh();
            mesh.x_desc(across).y_desc(up).light_line_style(WHITE).draw().map_err(|e| wrong(&e))?;
            for (line, colour) in lines.iter().zip(COLOURS.iter().cycle()) {
                let points = line.points.iter().map(|&(x, y)| (x, y.max($least)));
                let series = LineSeries::new(points, colour.stroke_width(2));
                let drawn = chart.draw_series(series).map_err(|e| wrong(&e))?;
                let mark = *colour;
                let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], mark.stroke_width(2));
                drawn.label(line.name.as_str()).legend(key);
            }
            let mut labels = chart.configure_series_labels();
            labels.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3));
            labels.position(SeriesLabelPosition::UpperLeft).draw().map_err(|e| wrong(&e))?;
        }};
    }
    if by_tens {
        // Nothing has no place on such an axis: a millionth of the most stands for it.
        let least = least.max(most / 1e6).max(f64::MIN_POSITIVE);
        chart!((least..most.max(least * 10.0)).log_scale(), least);
    } else {
        chart!(0.0..most.max(1e-9) * 1.05, 0.0);
    }
    area.present().map_err(|e| wrong(&e))
}
