//! Elections, the lease and the log under losses, cuts, freezes and restarts.

mod world;

use grebeusher_time::Span;
use rstest::rstest;
use world::{Site, World};

const WHILE: Span = Span::millis(1_500);

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(5)]
fn a_founded_part_gets_an_owner_and_decides(#[case] voters: usize) {
    // Given a part that was just founded
    let mut world = World::new(7, voters, 0);
    // When it has an owner, and that one is given commands
    let owner = world.elect();
    for _ in 0..100 {
        world.propose(owner);
    }
    // Then all replicas apply all of them
    world.run(Span::millis(200));
    for site in world.sites() {
        assert_eq!(world.machines[site.0].application.state.commands, 100);
    }
    assert_eq!(world.read(owner), Some(world.oracle.last_committed()));
}
