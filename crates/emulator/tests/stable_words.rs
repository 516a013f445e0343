//! Words of scenario files that earlier versions read and this one must read unchanged.

use grebeusher_emulator::laws::Sizes;
use grebeusher_emulator::scenario::{Effect, Scenario, Side, Way, What, Whom};
use std::path::Path;

/// Every key that a scenario may hold; what is unknown is refused, so that a key that was renamed is.
const COMPLETE: &str = include_str!("data/scenario.toml");

#[test]
fn every_scenario_as_shipped_is_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(&folder).expect("it is shipped") {
        let path = entry.expect("it can be listed").path();
        if let Err(what) = Scenario::of_file(&path) {
            panic!("{what}");
        }
        count += 1;
    }
    assert!(count >= 38, "{count} scenarios");
}

#[test]
fn every_key_is_read_to_the_same_value() {
    let read = Scenario::read(COMPLETE).expect("it is whole");
    assert_eq!((&*read.name, read.seed, read.length_s, read.settles_s), ("complete", 11, 120.5, 3.5));
    let n = &read.nodes;
    assert_eq!((n.count, n.told_count, n.busiest), (7, Some(9), 1.25));
    assert_eq!((&*n.zones, &*n.zone_shares), (&["a".to_owned(), "b".to_owned()][..], &[1.0, 2.0][..]));
    assert_eq!((n.starts_told, n.progress_ms, n.most_allocations), (false, 750.0, 2));
    assert!(n.second_copies && !n.recalls && n.recalls_stop && n.talk && n.words);
    assert_eq!(n.keepers, 5);
    let off = &n.clocks[0];
    assert_eq!((off.part, off.ahead_ms, off.pace), (0.5, 400.0, 1.001));
    let e = &read.executors[0];
    assert_eq!((&*e.kind, e.count, e.slots, e.pace, e.queue), ("plain", 8, 2, 1.5, 9));
    assert_eq!((e.cold_share, e.warm_s, e.error_share), (0.3, 12.0, 0.01));
    assert!(!e.warm_at_start && !e.recall_stops);
    assert_eq!(e.zones, ["b"]);
    let t = &read.tariffs[0];
    assert_eq!((&*t.name, t.effect, t.per_s, t.hint_cv), ("search", Effect::Retriable, 8.0, Some(0.2)));
    assert_eq!((t.quoted_ms, t.stretch, t.patience_ms), (500.0, 2.0, 5000.0));
    assert_eq!((t.earnings, t.late_part), (5.0, 0.3));
    assert_eq!(read.tariffs[1].effect, Effect::Binding);
    let sizes: Vec<Sizes> = read.tariffs.iter().map(|tariff| tariff.size).collect();
    assert!(matches!(sizes[0], Sizes::Lognormal { mean_s: 0.4, cv: 1.5 }));
    assert!(matches!(sizes[1], Sizes::Exponential { mean_s: 0.2 }));
    assert!(matches!(sizes[2], Sizes::Fixed { mean_s: 0.1 }));
    assert!(matches!(sizes[3], Sizes::Pareto { mean_s: 0.3, shape: 1.5, ratio: 50.0 }));
    let w = &read.network;
    assert_eq!((w.delay_ms, w.cross_delay_ms, w.spread, w.resets), (0.3, 0.7, 0.25, 0.001));
    assert_eq!((w.handshake_trips, w.handshake_work_ms, w.idle_s), (3.0, 1.5, 50.0));
    assert_eq!((w.dial_within_ms, w.taken_within_ms), (260.0, 510.0));
    let d = &read.discovery;
    assert_eq!((d.notice_ms, d.calls_per_s, d.call_within_ms), (1100.0, 900.0, 2900.0));
    let c = &read.clients;
    assert_eq!((c.repeats, c.backoff_ms, c.leave_share, c.front_notice_ms), (2, 150.0, 0.02, 300.0));
    let r = &read.rules;
    assert_eq!((r.drain_grace_ms, r.cold_share, r.warm_within_s), (1900.0, 0.25, 15.0));
    assert_eq!((r.fall_factor, r.fall_window_ms, r.slack_ms), (2.25, 1050.0, 45.0));
    let b = &read.budgets[0];
    assert_eq!((&*b.tariff, b.further, b.units, b.window_ms, b.floor), ("search", true, 90, 1000.0, 1));
    let m = read.maintenance.as_ref().expect("it is there");
    assert_eq!((m.at_s, m.part, m.most_out, m.most_out_a_zone), (10.0, 0.75, 2, Some(1)));
    assert_eq!((m.most_cold, m.least_ready, m.work_s), (Some(3), 0.4, 5.0));
    assert_eq!((m.drain_within_s, m.work_within_s, m.warm_s), (30, 40, 6));
    assert_eq!((m.longest_unit_s, m.most_turned_back, m.permission_ms), (Some(7), 0.25, 5000));
    assert_eq!((&*m.older, &*m.never_back, &*m.nodes), (&[1][..], &[2][..], &[3][..]));
    assert_eq!((m.most_nodes_out, m.most_nodes_out_a_zone, m.least_nodes), (2, Some(1), 4));
    let f = &read.faults[0];
    assert_eq!((f.what, f.at_s, f.for_s, f.part), (What::KillExecutors, 20.0, 2.0, Some(0.5)));
    assert_eq!((f.side, f.way, f.old_list), (Side::Executors, Way::Both, false));
    assert_eq!(read.faults[1].zone.as_deref(), Some("a"));
    assert_eq!((read.faults[2].these.as_deref(), read.faults[2].factor), (Some(&[1, 2][..]), Some(3.0)));
    let f = &read.faults[3];
    assert_eq!(
        (f.side, f.way, f.delay_ms, f.loss, f.bytes),
        (Side::Discovery, Way::ToNodes, Some(90.0), Some(0.2), Some(300))
    );
    assert!(read.faults[4].old_list);
    assert_eq!(read.faults[5].units, Some(80));
    let s = read.storm.as_ref().expect("it is there");
    assert_eq!((&*s.what, s.count), (&[What::KillExecutors, What::Silence][..], 4));
    assert_eq!((s.from_s, s.until_s, s.shortest_s, s.longest_s, s.most_part), (5.0, 60.0, 1.0, 3.0, 0.6));
}

/// A fault of this kind, by itself, in a scenario that is otherwise whole.
fn fault(what: &str, further: &str) -> Result<Scenario, String> {
    let plain = COMPLETE.split("[[faults]]").next().unwrap_or_default();
    Scenario::read(&format!("{plain}\n[[faults]]\nwhat = {what:?}\nat_s = 1\nfor_s = 1\n{further}\n"))
}

#[test]
fn every_word_of_a_fault_is_known() {
    use What::*;
    let all = [
        ("kill-executors", KillExecutors),
        ("drain-executors", DrainExecutors),
        ("slow-executors", SlowExecutors),
        ("fail-executors", FailExecutors),
        ("cut-zone", CutZone),
        ("restart-nodes", RestartNodes),
        ("discovery-down", DiscoveryDown),
        ("silence", Silence),
        ("unlist-executors", UnlistExecutors),
        ("flatter-executors", FlatterExecutors),
        ("freeze-nodes", FreezeNodes),
        ("stop-nodes", StopNodes),
        ("fill-descriptors", FillDescriptors),
        ("post-budgets", PostBudgets),
        ("cut-links", CutLinks),
        ("delay-links", DelayLinks),
        ("lose-links", LoseLinks),
        ("half-open-links", HalfOpenLinks),
        ("reset-links", ResetLinks),
        ("drip-links", DripLinks),
    ];
    for (word, what) in all {
        // A kind that is added is to be added here as well.
        match what {
            KillExecutors | DrainExecutors | SlowExecutors | FailExecutors | CutZone | RestartNodes
            | DiscoveryDown | Silence | UnlistExecutors | FlatterExecutors | FreezeNodes | StopNodes
            | FillDescriptors | PostBudgets | CutLinks | DelayLinks | LoseLinks | HalfOpenLinks
            | ResetLinks | DripLinks => {}
        }
        let further = match (what, what.whom()) {
            (PostBudgets, _) => "part = 0.5\nunits = 80",
            (_, Whom::All) => "",
            (_, Whom::Zone) => "zone = \"a\"",
            _ => "part = 0.5",
        };
        let read = fault(word, further).unwrap_or_else(|wrong| panic!("{word}: {wrong}"));
        assert_eq!(read.faults[0].what, what);
    }
    for (word, side) in
        [("executors", Side::Executors), ("discovery", Side::Discovery), ("fellows", Side::Fellows)]
    {
        let read = fault("cut-links", &format!("part = 0.5\nside = {word:?}")).expect(word);
        assert_eq!(read.faults[0].side, side);
    }
    for (word, way) in [("both", Way::Both), ("from-nodes", Way::FromNodes), ("to-nodes", Way::ToNodes)] {
        let read = fault("cut-links", &format!("part = 0.5\nway = {word:?}")).expect(word);
        assert_eq!(read.faults[0].way, way);
    }
}
