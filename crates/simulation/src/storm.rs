//! Storms: faults drawn from a seed, and the smallest part of them that still breaks a rule.

use crate::fleet::{Report, run};
use crate::scenario::{Closing, CutFrom, Fault, Grey, On, Scenario, Timed, When, WrongKind};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Keeps what is drawn apart from what the fleet draws.
const STORM: u64 = 0x5707_0000;
/// The same for what strikes the whole core.
const HERD: u64 = 0x6865_7264;

/// A scenario with faults drawn from a seed, where it names none.
pub fn drawn(scenario: &Scenario, seed: u64) -> Scenario {
    let mut scenario = scenario.clone();
    if !scenario.faults.is_empty() {
        return scenario;
    }
    let mut random = Pcg64::seed_from_u64(seed ^ STORM);
    let count = random.random_range(1..14);
    let length = scenario.load.length_s;
    let zones = scenario.shape.zones.len();
    for _ in 0..count {
        let at_s = (random.random_range(0.3..length * 0.8) * 1000.0f64).round() / 1000.0;
        scenario.faults.push(Timed { at_s, fault: fault(&mut random, zones) });
    }
    // Changes, races and drains meet the troubles.
    let meets = random.random_range(0..6);
    for _ in 0..meets {
        let near = scenario.faults[random.random_range(0..count)].at_s;
        let at_s = ((near + random.random_range(0.0..3.0)) * 1000.0f64).round() / 1000.0;
        let fault = match random.random_range(0..5) {
            0 => Fault::Release { share: 0.2, gap_s: 0.3 },
            1 => Fault::ConfigRace,
            _ => Fault::ConfigChange,
        };
        scenario.faults.push(Timed { at_s, fault });
    }
    // Drawn apart, so that the storms of a seed stay as they were but for this.
    let mut herd = Pcg64::seed_from_u64(seed ^ HERD);
    if herd.random_bool(0.1) {
        let at_s = (herd.random_range(0.3..length * 0.8) * 1000.0f64).round() / 1000.0;
        scenario.faults.push(Timed { at_s, fault: Fault::HerdKill { for_s: 0.8 } });
    }
    scenario.faults.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    if scenario.closing.is_none() && random.random_bool(0.5) {
        scenario.closing = Some(match random.random_range(0..4) {
            0 => Closing::PowerOffAll,
            1 => Closing::KillAll,
            2 => Closing::WipeSome,
            _ => Closing::WipeSomePowerOffAll,
        });
        scenario.closing_when = match random.random_range(0..3) {
            0 => When::Acknowledged,
            1 => When::Taken,
            _ => When::Timed,
        };
    }
    scenario
}

fn on(random: &mut Pcg64) -> On {
    match random.random_range(0..4) {
        0 => On::Edge,
        1 | 2 => On::Core,
        _ => On::Storage,
    }
}

#[expect(clippy::too_many_lines, reason = "one arm for each kind of fault")]
fn fault(random: &mut Pcg64, zones: usize) -> Fault {
    let for_s = (random.random_range(0.4..5.0) * 10.0f64).round() / 10.0;
    let leader = random.random_bool(0.5);
    match random.random_range(0..35) {
        0 => Fault::NodeKill { on: on(random), leader, power: false, wipe: false, for_s: 0.6 },
        1 => Fault::NodeKill { on: on(random), leader, power: true, wipe: false, for_s },
        2 => Fault::NodeKill { on: on(random), leader, power: true, wipe: true, for_s },
        3 => Fault::NodeFreeze { on: on(random), leader, for_s },
        4 => Fault::RollTerm { on: on(random), count: random.random_range(1..4), gap_s: 1.0, remove: false },
        5 => Fault::RollTerm { on: On::Edge, count: 1, gap_s: 1.0, remove: true },
        6 => Fault::AddNode { on: on(random) },
        7 => Fault::Replace { on: on(random), after_s: 1.0, planned: random.random_bool(0.5) },
        8 => {
            let after_ms = random.random_range(0.0..4.0f64);
            Fault::AfterAckKill {
                after_ms: (after_ms * 100.0).round() / 100.0,
                wipe: random.random_bool(0.5),
                for_s,
            }
        }
        20 => Fault::AfterTakenKill { after_ms: 1.0, for_s },
        9 => Fault::DiskSlow { on: on(random), times: 30.0, for_s },
        10 | 11 => {
            let (one_way, resets) = (random.random_bool(0.3), random.random_bool(0.3));
            Fault::Cut { on: on(random), leader, one_way, resets, for_s }
        }
        12 => Fault::ZoneCut { zone: random.random_range(0..zones), for_s },
        13 => Fault::ConfigChange,
        14 => Fault::ConfigRace,
        15 => {
            let kinds = [
                WrongKind::CutShort,
                WrongKind::UnknownService,
                WrongKind::SamePlace,
                WrongKind::NoTimeout,
                WrongKind::OldVersion,
            ];
            Fault::BadConfig { how: kinds[random.random_range(0..kinds.len())] }
        }
        16 => Fault::Retire,
        17 => Fault::ExecutorCrash { share: 0.15, silent: random.random_bool(0.5) },
        18 => Fault::Release { share: 0.5, gap_s: 0.7 },
        19 => Fault::Burst { times: 4.0, for_s },
        22 => Fault::ConfigSeries { count: random.random_range(2..7) },
        23 => Fault::NodeSlow { on: on(random), times: 10.0, for_s },
        24 => Fault::DiskFull { on: on(random), for_s },
        25 => Fault::IdleDrop { on: on(random) },
        26 => Fault::RollTermBusy { on: On::Edge, count: random.random_range(1..4), gap_s: 1.0 },
        27 => Fault::RetireWipe { for_s },
        28 => Fault::ExecutorGrey { share: 0.15, x: 0.4, how: grey(random), for_s },
        29 => Fault::ExecutorGrey { share: 0.15, x: 1.0, how: grey(random), for_s },
        30 if random.random_bool(0.3) => Fault::ExecutorFalselyIll { share: 0.15, for_s },
        30 => Fault::ExecutorFlap { share: 0.15, times: random.random_range(1..5), gap_s: 1.0 },
        31 | 32 => {
            let from = [CutFrom::Counted, CutFrom::All, CutFrom::All, CutFrom::Halves];
            Fault::Isolation {
                on: on(random),
                count: random.random_range(1..3),
                from: from[random.random_range(0..from.len())],
                lure: random.random_bool(0.5),
                for_s: (random.random_range(1.0..12.0) * 10.0f64).round() / 10.0,
            }
        }
        33 => Fault::AckLost { x: 0.9, for_s },
        34 => Fault::ConfigSameNumber,
        _ if random.random_bool(0.3) => Fault::Reset { on: on(random) },
        _ if random.random_bool(0.5) => Fault::AnswerLost { x: 0.04, for_s },
        _ => Fault::Garble { x: 0.05, surplus: random.random_bool(0.5), for_s },
    }
}

fn grey(random: &mut Pcg64) -> Grey {
    let kinds = [Grey::Errors, Grey::Shed, Grey::Busy, Grey::Hang, Grey::Reset, Grey::Slow];
    kinds[random.random_range(0..kinds.len())]
}

/// The storm of a seed.
pub fn storm(scenario: &Scenario, seed: u64) -> Report {
    run(&drawn(scenario, seed), seed)
}

/// Drops faults one by one as long as the first rule stays broken. What is left, and what it comes to.
pub fn shrink(scenario: &Scenario, seed: u64) -> Option<(Scenario, Report)> {
    let mut smallest = drawn(scenario, seed);
    let mut report = run(&smallest, seed);
    let rule = report.breaches.first()?.rule;
    loop {
        let mut smaller = None;
        for candidate in candidates(&smallest) {
            let outcome = run(&candidate, seed);
            if outcome.breaches.iter().any(|breach| breach.rule == rule) {
                smaller = Some((candidate, outcome));
                break;
            }
        }
        match smaller {
            Some((candidate, outcome)) => (smallest, report) = (candidate, outcome),
            None => return Some((smallest, report)),
        }
    }
}

/// Scenarios with one thing less. A scenario without any faults would have some drawn, so one harmless one stays.
fn candidates(scenario: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    if scenario.closing.is_some() {
        all.push(Scenario { closing: None, ..scenario.clone() });
    }
    for place in 0..scenario.faults.len() {
        if scenario.faults.len() > 1 {
            let mut smaller = scenario.clone();
            smaller.faults.remove(place);
            all.push(smaller);
        }
    }
    all
}
