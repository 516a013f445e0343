//! The replicated state and the policy: repeated orders, late entries, and reverted roll-outs.

use grebeusher_rollout::{Applied, Entry, OrderDecision, Permission, RolloutOrder, Rollouts, VersionPolicy};
use rstest::rstest;

fn order(target: &str) -> RolloutOrder {
    RolloutOrder { service: "s".to_owned(), target_version: target.to_owned(), ramp_ms: 15_000 }
}

fn begin(target: &str) -> Entry {
    Entry::Begin { order: order(target), in_force: String::new(), begun_at_wall_ms: 0 }
}

fn revert(target: &str) -> Entry {
    Entry::Revert { service: "s".to_owned(), target_version: target.to_owned() }
}

/// A state in which `v1` is in force, and to which these entries were applied. Each of them changes the state.
fn after(entries: &[Entry]) -> Rollouts {
    let mut rollouts = Rollouts::default();
    let initial = Entry::VersionInForce { service: "s".to_owned(), version: "v1".to_owned() };
    for entry in [initial].iter().chain(entries) {
        assert_eq!(rollouts.apply(entry.clone()), Applied::Accepted, "{entry:?}");
    }
    rollouts
}

fn reverted() -> Vec<Entry> {
    vec![begin("v2"), revert("v2")]
}

#[rstest]
#[case::first(vec![], "v2", OrderDecision::Accept)]
#[case::under_way(vec![begin("v2")], "v2", OrderDecision::AlreadyAccepted)]
#[case::another_under_way(vec![begin("v2")], "v3", OrderDecision::OtherRolloutActive)]
#[case::in_force(vec![], "v1", OrderDecision::AlreadyInForce)]
#[case::reverted(reverted(), "v2", OrderDecision::AlreadyAccepted)]
#[case::after_a_revert(reverted(), "v3", OrderDecision::Accept)]
#[case::repeated_much_later([reverted(), vec![begin("v3")]].concat(), "v2", OrderDecision::AlreadyAccepted)]
fn an_order_is_decided_on_by_the_committed_state(
    #[case] before: Vec<Entry>,
    #[case] target: &str,
    #[case] decision: OrderDecision,
) {
    assert_eq!(after(&before).decide_on(&order(target)), decision);
}

/// Guards against a reverted roll-out that becomes active again, and against a repeated order that starts another roll-out.
#[rstest]
#[case::order_again(reverted(), begin("v2"), Applied::AlreadyAccepted)]
#[case::another_order_beside_it(vec![begin("v2")], begin("v3"), Applied::Conflict)]
#[case::revert_again(reverted(), revert("v2"), Applied::AlreadyAccepted)]
#[case::revert_of_another_target(vec![begin("v2")], revert("v3"), Applied::Conflict)]
#[case::late_revert_of_an_earlier_target([reverted(), vec![begin("v3")]].concat(), revert("v2"), Applied::Conflict)]
#[case::revert_without_an_order(vec![], revert("v2"), Applied::Conflict)]
#[case::version_in_force_again(
    vec![],
    Entry::VersionInForce { service: "s".to_owned(), version: "v1".to_owned() },
    Applied::AlreadyAccepted
)]
#[case::another_version_in_force(
    vec![],
    Entry::VersionInForce { service: "s".to_owned(), version: "v9".to_owned() },
    Applied::Conflict
)]
fn an_entry_that_comes_late_or_twice_changes_nothing(
    #[case] before: Vec<Entry>,
    #[case] entry: Entry,
    #[case] applied: Applied,
) {
    let mut rollouts = after(&before);
    let unchanged = rollouts.clone();
    assert_eq!(rollouts.apply(entry), applied);
    assert_eq!(rollouts, unchanged);
}

#[test]
fn the_version_before_stays_in_force_when_a_roll_out_is_reverted() {
    let rollouts = after(&reverted());
    assert_eq!(rollouts.version_in_force("s"), Some("v1"));
    assert!(!rollouts.has_active_rollout());
}

#[test]
fn a_state_round_trips_through_bytes() {
    let rollouts = after(&reverted());
    assert_eq!(Rollouts::decode(&rollouts.encode()).expect("valid bytes"), rollouts);
}

#[rstest]
#[case::in_force("s", "v1", Permission::InForce)]
#[case::ordered("s", "v2", Permission::Withheld)]
#[case::unknown_version("s", "v3", Permission::Withheld)]
#[case::unknown_service("t", "v1", Permission::Unrestricted)]
fn a_node_permits_the_version_in_force_alone(
    #[case] service: &str,
    #[case] version: &str,
    #[case] permission: Permission,
) {
    let mut policy = VersionPolicy::new();
    assert!(policy.update(after(&[begin("v2")])));
    assert_eq!(policy.permission(service, version), permission);
}

/// Guards against requests to the target of an order while the version in force of the service is unknown.
#[test]
fn the_target_of_an_order_is_withheld_though_the_version_in_force_is_unknown() {
    let mut rollouts = Rollouts::default();
    rollouts.apply(begin("v2"));
    let mut policy = VersionPolicy::new();
    policy.update(rollouts);
    assert_eq!(policy.permission("s", "v2"), Permission::Withheld);
    assert_eq!(policy.permission("s", "v1"), Permission::Unrestricted);
}

#[test]
fn an_older_state_never_replaces_a_newer_one() {
    let mut policy = VersionPolicy::new();
    assert!(policy.update(after(&reverted())));
    assert!(!policy.update(after(&[begin("v2")])));
    assert!(!policy.state().has_active_rollout());
}
