//! The report of many storms.

mod fleets;

use fleets::{day_that_ends_with, day_with};
use grebeusher_simulation::bulk::Bulk;
use grebeusher_simulation::scenario::{Closing, Fault, On};
use grebeusher_simulation::times::What;

#[test]
fn a_report_tells_how_long_changes_drains_and_leaders_took() {
    // Given days on which the configuration changes, executors leave, a leader is killed, all lose power and a disk is lost,
    let mut bulk = Bulk::new();
    bulk.add(&day_with("three-zones", Fault::Release { share: 0.3, gap_s: 0.5 }, 3));
    bulk.add(&day_with(
        "three-zones",
        Fault::NodeKill { on: On::Core, leader: true, power: true, wipe: false, for_s: 3.0 },
        3,
    ));
    bulk.add(&day_that_ends_with("three-zones", Closing::PowerOffAll, 7));
    bulk.add(&day_with(
        "three-zones",
        Fault::NodeKill { on: On::Storage, leader: true, power: true, wipe: true, for_s: 1.0 },
        3,
    ));
    // when they are told together, then each kind of time is there, and within what the rules allow.
    for (what, most_ms) in [
        (What::Acknowledged, 4000.0),
        (What::Applied, 2000.0),
        (What::DrainTold, 4000.0),
        (What::LeaderReplaced, 3000.0),
        (What::QuorumBack, 12_000.0),
        (What::GroupWhole, 5000.0),
    ] {
        let (count, median, late, most) = bulk.of(what);
        assert!(count > 0, "no time: {what}");
        assert!(median > 0.0 && median <= late && late <= most && most < most_ms, "{what}: {most} ms");
    }
    assert_eq!((bulk.storms, bulk.breaches()), (4, 0));
    assert!(bulk.text().contains("owner replaced: "), "{}", bulk.text());
    // And the plot has a line for each.
    let path = std::env::temp_dir().join(format!("grebeusher-times-{}.svg", std::process::id()));
    bulk.plot(&path, "four storms").expect("the folder can be written");
    let plot = std::fs::read_to_string(&path).expect("it was written");
    std::fs::remove_file(&path).expect("it is there");
    for what in What::ALL {
        assert!(plot.contains(&what.to_string()), "{what}");
    }
}
