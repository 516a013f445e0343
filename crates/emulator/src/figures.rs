//! What a run tells: counts by tariff, waiting and answering times, what was sent, and the rules.

use crate::rules::{Answer, Breach, Rule};
use crate::scenario::Scenario;
use crate::spread;
use crate::stage::{Errand, START, Stage};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::fs;
use std::io::{self, Write};
use std::path::Path;

/// What became of the work of one tariff that came after the run had settled.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    pub tariff: String,
    pub came: u64,
    pub in_time: u64,
    pub late: u64,
    pub turned_back: u64,
    pub forfeited: u64,
    /// Its node died with it, or no node was found.
    pub lost: u64,
    /// The client left.
    pub left: u64,
}

/// The same for each second of the run, over all tariffs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Second {
    pub came: u64,
    pub in_time: u64,
    pub late: u64,
    pub turned_back: u64,
    pub other: u64,
}

pub struct Figures {
    tallies: Vec<Tally>,
    seconds: Vec<Second>,
    waits: Histogram<u64>,
    answers: Histogram<u64>,
    /// Waits for a start, in their order, in seconds.
    pub wait_list: Vec<f64>,
    answer_sum_s: f64,
    pub sends: u64,
    pub dials: u64,
    pub list_calls: u64,
    pub list_calls_failed: u64,
}

/// Microseconds up to an hour, to three digits.
fn histogram() -> Histogram<u64> {
    const HOUR_US: u64 = 3_600_000_000;
    let mut histogram = Histogram::new_with_max(HOUR_US, 3).expect("the bounds are in order");
    histogram.auto(true);
    histogram
}

impl Figures {
    pub fn new(scenario: &Scenario) -> Figures {
        let tally = |name: &String| Tally { tariff: name.clone(), ..Tally::default() };
        Figures {
            tallies: scenario.tariffs.iter().map(|t| tally(&t.name)).collect(),
            seconds: vec![Second::default(); scenario.length_s.ceil() as usize],
            waits: histogram(),
            answers: histogram(),
            wait_list: Vec::new(),
            answer_sum_s: 0.0,
            sends: 0,
            dials: 0,
            list_calls: 0,
            list_calls_failed: 0,
        }
    }

    /// The second of the run in which work came.
    fn second(&mut self, came: Instant) -> &mut Second {
        let at = came.since(Instant(START)).seconds() as usize;
        let last = self.seconds.len() - 1;
        &mut self.seconds[at.min(last)]
    }

    pub fn seconds(&self) -> &[Second] {
        &self.seconds
    }

    pub fn came(&mut self, tariff: usize, now: Instant) {
        self.tallies[tariff].came += 1;
        self.second(now).came += 1;
    }

    pub fn waited(&mut self, wait: Duration) {
        self.waits.saturating_record(wait.nanos() / 1000);
        self.wait_list.push(wait.seconds());
    }

    pub fn ended(&mut self, tariff: usize, answer: Answer, came: Instant, now: Instant, quoted: Duration) {
        let took = now.since(came);
        let in_time = took <= quoted;
        let tally = &mut self.tallies[tariff];
        *match (answer, in_time) {
            (Answer::Fulfilled, true) => &mut tally.in_time,
            (Answer::Fulfilled, false) => &mut tally.late,
            (Answer::TurnedBack, _) => &mut tally.turned_back,
            (Answer::Forfeited, _) => &mut tally.forfeited,
        } += 1;
        if answer == Answer::Fulfilled {
            self.answers.saturating_record(took.nanos() / 1000);
            self.answer_sum_s += took.seconds();
        }
        let second = self.second(came);
        *match (answer, in_time) {
            (Answer::Fulfilled, true) => &mut second.in_time,
            (Answer::Fulfilled, false) => &mut second.late,
            (Answer::TurnedBack, _) => &mut second.turned_back,
            (Answer::Forfeited, _) => &mut second.other,
        } += 1;
    }

    pub fn summary(&self, scenario: &Scenario) -> Summary {
        let (mut earned, mut due) = (0.0, 0.0);
        for (tally, tariff) in self.tallies.iter().zip(&scenario.tariffs) {
            earned += tariff.earnings * (tally.in_time as f64 + tariff.late_part * tally.late as f64);
            due += tariff.earnings * (tally.came - tally.left) as f64;
        }
        let mean = |sum: f64, count: u64| if count == 0 { 0.0 } else { sum / count as f64 };
        let wait_sum: f64 = self.wait_list.iter().sum();
        Summary {
            scenario: scenario.name.clone(),
            load: scenario.load(),
            earned: if due > 0.0 { earned / due } else { 1.0 },
            tariffs: self.tallies.clone(),
            waits_ms: Times::of(&self.waits, mean(wait_sum, self.wait_list.len() as u64)),
            answers_ms: Times::of(&self.answers, mean(self.answer_sum_s, self.answers.len())),
        }
    }

    pub fn lost(&mut self, errand: &Errand) {
        if errand.counted {
            self.tallies[errand.tariff].lost += 1;
            self.second(errand.came).other += 1;
        }
    }

    pub fn left(&mut self, errand: &Errand) {
        if errand.counted {
            self.tallies[errand.tariff].left += 1;
            self.second(errand.came).other += 1;
        }
    }
}

/// Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Times {
    pub count: u64,
    pub mean: f64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub most: f64,
}

impl Times {
    fn of(histogram: &Histogram<u64>, mean_s: f64) -> Times {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Times {
            count: histogram.len(),
            mean: mean_s * 1e3,
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            most: histogram.max() as f64 / 1e3,
        }
    }
}

/// What became of all work.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub scenario: String,
    pub load: f64,
    /// What was earned of what could be, without the work of clients that left.
    pub earned: f64,
    pub tariffs: Vec<Tally>,
    /// From coming to the first start, and from coming to the answer.
    pub waits_ms: Times,
    pub answers_ms: Times,
}

impl Summary {
    /// Whether each piece of work that came is accounted for exactly once.
    pub fn is_even(&self) -> bool {
        let ends = |t: &Tally| t.in_time + t.late + t.turned_back + t.forfeited + t.lost + t.left;
        self.tariffs.iter().all(|t| t.came == ends(t))
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    #[serde(flatten)]
    pub summary: Summary,
    /// Part of the slots in use, by executor.
    pub busy_least: f64,
    pub busy_mean: f64,
    pub busy_most: f64,
    pub sends: u64,
    pub dials: u64,
    pub list_calls: u64,
    pub list_calls_failed: u64,
    pub events: u64,
    pub broken: BTreeMap<Rule, u64>,
    pub breaches: Vec<Breach>,
    pub seconds: Vec<Second>,
    pub spread: spread::Figures,
    #[serde(skip)]
    pub wait_list: Vec<f64>,
}

impl Outcome {
    pub fn of(stage: &mut Stage) -> Outcome {
        let spread = stage.spread.figures(stage.scenario.seed);
        let f = &stage.figures;
        let length_s = stage.clock_s().max(f64::MIN_POSITIVE);
        let busy: Vec<f64> =
            stage.machines.iter().map(|m| m.busy_s / length_s / m.make.slots as f64).collect();
        Outcome {
            summary: f.summary(&stage.scenario),
            busy_least: busy.iter().copied().fold(f64::INFINITY, f64::min),
            busy_mean: busy.iter().sum::<f64>() / busy.len() as f64,
            busy_most: busy.iter().copied().fold(0.0, f64::max),
            sends: f.sends,
            dials: f.dials,
            list_calls: f.list_calls,
            list_calls_failed: f.list_calls_failed,
            events: stage.events,
            broken: stage.book.counts.clone(),
            breaches: stage.book.breaches.clone(),
            seconds: f.seconds.clone(),
            spread,
            wait_list: f.wait_list.clone(),
        }
    }

    pub fn keeps_rules(&self) -> bool {
        self.broken.is_empty()
    }
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: load {:.3}, earned {:.4}", self.scenario, self.load, self.earned)?;
        writeln!(
            f,
            "{:<16} {:>9} {:>9} {:>8} {:>8} {:>9} {:>7} {:>7}",
            "tariff", "came", "in time", "late", "turned", "forfeited", "lost", "left"
        )?;
        for t in &self.tariffs {
            writeln!(
                f,
                "{:<16} {:>9} {:>9} {:>8} {:>8} {:>9} {:>7} {:>7}",
                t.tariff, t.came, t.in_time, t.late, t.turned_back, t.forfeited, t.lost, t.left
            )?;
        }
        for (name, t) in [("wait", &self.waits_ms), ("answer", &self.answers_ms)] {
            writeln!(
                f,
                "{name:<7} ms: mean {:.3}, p50 {:.3}, p90 {:.3}, p99 {:.3}, p99.9 {:.3}, most {:.3}",
                t.mean, t.p50, t.p90, t.p99, t.p999, t.most
            )?;
        }
        Ok(())
    }
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.summary)?;
        writeln!(
            f,
            "slots in use: least {:.3}, mean {:.3}, most {:.3}",
            self.busy_least, self.busy_mean, self.busy_most
        )?;
        writeln!(
            f,
            "sends {}, hand-shakes {}, list calls {} ({} failed), events {}",
            self.sends, self.dials, self.list_calls, self.list_calls_failed, self.events
        )?;
        write!(f, "{}", self.spread)?;
        say_rules(f, &self.broken, &self.breaches)
    }
}

/// Writes figures as JSON into a file, or to standard output for `-`.
pub fn write_json(path: &Path, what: &impl Serialize) -> Result<(), String> {
    let mut text = serde_json::to_vec_pretty(what).map_err(|e| e.to_string())?;
    text.push(b'\n');
    let written = if path == Path::new("-") { io::stdout().write_all(&text) } else { fs::write(path, text) };
    written.map_err(|e| format!("{}: {e}", path.display()))
}

/// The rules that were broken, and the first few times.
pub fn say_rules(f: &mut Formatter<'_>, broken: &BTreeMap<Rule, u64>, breaches: &[Breach]) -> fmt::Result {
    if broken.is_empty() {
        return writeln!(f, "all rules kept");
    }
    for (rule, count) in broken {
        writeln!(f, "BROKEN {rule:?}: {count} times")?;
    }
    breaches.iter().try_for_each(|b| writeln!(f, "  {:.3} s {:?}: {}", b.at_s, b.rule, b.what))
}
