//! What many storms came to: counts, broken rules and times, as text and as a plot.

use crate::fleet::Report;
use crate::judge::{Counts, Rule};
use crate::times::What;
use grebeusher_time::DurationExt;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Times are kept in microseconds up to this.
const MAX_US: u64 = 120_000_000;
/// Decimal digits of a time.
const DIGITS: u8 = 3;
const SIZE: (u32, u32) = (900, 480);
const COLOURS: [RGBColor; 6] = [
    RGBColor(30, 140, 60),
    RGBColor(30, 90, 200),
    RGBColor(220, 140, 20),
    RGBColor(200, 40, 40),
    RGBColor(130, 60, 160),
    RGBColor(120, 90, 30),
];
/// The quantiles of the plot, in thousandths.
const QUANTILES: std::ops::RangeInclusive<u32> = 1..=999;
/// The least time of the plot, in milliseconds.
const MIN_MS: f64 = 0.1;

/// What many storms came to.
pub struct Bulk {
    /// Storms.
    pub storms: u64,
    /// Storms with a breach, by the rule that was broken first.
    pub broken: BTreeMap<Rule, u64>,
    /// All counts together.
    pub counts: Counts,
    times: BTreeMap<What, Histogram<u64>>,
}

impl Bulk {
    /// Of no storm yet.
    pub fn new() -> Bulk {
        let empty = || Histogram::new_with_bounds(1, MAX_US, DIGITS).ok();
        let times = What::ALL.into_iter().filter_map(|what| Some((what, empty()?))).collect();
        Bulk { storms: 0, broken: BTreeMap::new(), counts: Counts::default(), times }
    }

    /// Takes a storm in.
    pub fn add(&mut self, report: &Report) {
        self.storms += 1;
        if let Some(first) = report.breaches.first() {
            *self.broken.entry(first.rule).or_default() += 1;
        }
        self.counts.add(&report.counts);
        for (what, span) in &report.times.taken {
            if let Some(histogram) = self.times.get_mut(what) {
                histogram.saturating_record((span.nanos() / 1000).max(1));
            }
        }
    }

    /// How many storms broke a rule.
    pub fn breaches(&self) -> u64 {
        self.broken.values().sum()
    }

    /// The times of a kind: how many there are, the median, the 99th percentile and the most, in milliseconds.
    pub fn of(&self, what: What) -> (u64, f64, f64, f64) {
        let Some(histogram) = self.times.get(&what) else { return (0, 0.0, 0.0, 0.0) };
        let ms = |us: u64| us as f64 / 1000.0;
        let quantile = |q| ms(histogram.value_at_quantile(q));
        (histogram.len(), quantile(0.5), quantile(0.99), ms(histogram.max()))
    }

    /// As text.
    pub fn text(&self) -> String {
        let Counts { served, unserved, jobs, results, acknowledged, drained, .. } = self.counts;
        let mut text = format!("{} storms, {} with breaches\n", self.storms, self.breaches());
        for (rule, count) in &self.broken {
            let _ = writeln!(text, "  {rule}: {count}");
        }
        let _ = writeln!(
            text,
            "{served} requests served, {unserved} not; {jobs} jobs, {results} results; {acknowledged} versions acknowledged, {drained} drains"
        );
        for what in What::ALL {
            let (count, median, late, most) = self.of(what);
            let _ = writeln!(
                text,
                "{what}: {count} times, p50 {median:.1} ms, p99 {late:.1} ms, most {most:.1} ms"
            );
        }
        text
    }

    /// As a plot: the share of each kind of time that is no longer than so much.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn plot(&self, path: &Path, title: &str) -> Result<(), String> {
        let wrong = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|error| wrong(&error))?;
        let most = What::ALL.into_iter().map(|what| self.of(what).3).fold(1.0, f64::max);
        let mut builder = ChartBuilder::on(&area);
        builder.caption(title, ("sans-serif", 18)).margin(12).x_label_area_size(36).y_label_area_size(64);
        let mut chart = builder
            .build_cartesian_2d((MIN_MS..most).log_scale(), 0.0..1.0)
            .map_err(|error| wrong(&error))?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("milliseconds").y_desc("share that is no longer").light_line_style(WHITE);
        mesh.draw().map_err(|error| wrong(&error))?;
        for ((what, histogram), colour) in self.times.iter().zip(COLOURS) {
            let at =
                |q: u32| (histogram.value_at_quantile(f64::from(q) / 1000.0) as f64 / 1000.0).max(MIN_MS);
            let points = QUANTILES.filter(|_| !histogram.is_empty()).map(|q| (at(q), f64::from(q) / 1000.0));
            let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)));
            let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2));
            drawn.map_err(|error| wrong(&error))?.label(what.to_string()).legend(key);
        }
        let mut labels = chart.configure_series_labels();
        labels.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3));
        labels.position(SeriesLabelPosition::UpperLeft).draw().map_err(|error| wrong(&error))?;
        area.present().map_err(|error| wrong(&error))
    }
}

impl Default for Bulk {
    fn default() -> Bulk {
        Bulk::new()
    }
}
