//! New versions of services at one edge node: which executors get requests, and what operators are answered.

mod single_node;

use grebeusher_rollout::{Entry, RolloutOrder, Rollouts};
use grebeusher_tier::links::messages::{Call, CallNumber, Reply};
use grebeusher_time::Duration;
use rstest::rstest;
use single_node::{SingleNode, answer, status_of};

const CONTRACTS: &str = r#""base","rollout""#;
/// Longer than a node that has just started waits for the leader.
const LONG: Duration = Duration::from_millis(3000);

fn is_sync(call: &Call) -> bool {
    matches!(call, Call::SyncRollouts { .. })
}

/// `v1` of the service is in force.
fn first_version() -> Rollouts {
    let mut rollouts = Rollouts::default();
    rollouts.apply(Entry::VersionInForce { service: "s".to_owned(), version: "v1".to_owned() });
    rollouts
}

/// The same with an order for `v2`.
fn ordered() -> Rollouts {
    let mut rollouts = first_version();
    let order = RolloutOrder { service: "s".to_owned(), target_version: "v2".to_owned(), ramp_ms: 15_000 };
    rollouts.apply(Entry::Begin { order, in_force: String::new(), begun_at_wall_ms: 0 });
    rollouts
}

/// A node long after its start, that has heard this of the versions, and knows an executor of each of these.
fn node_with(rollouts: Option<&Rollouts>, versions: &[&str]) -> SingleNode {
    let mut single = SingleNode::under_contracts(CONTRACTS, 1);
    single.learn_configuration();
    if let Some(rollouts) = rollouts {
        let number = single.next_call(is_sync);
        single.reply(number, Reply::Rollouts(rollouts.encode()));
    }
    beat(&mut single, versions, 1);
    single.pass(LONG);
    beat(&mut single, versions, 2);
    single
}

fn beat(single: &mut SingleNode, versions: &[&str], call_seq: u64) {
    for (number, version) in (1..).zip(versions) {
        single.executor_of_version_calls(number, version, call_seq, "up");
    }
}

/// The instances that get so many requests, one after the other; nothing for one that is refused.
fn instances_of(single: &mut SingleNode, requests: usize) -> Vec<Option<String>> {
    (0..requests).map(|number| instance_of(single, &format!("request-{number}"))).collect()
}

fn instance_of(single: &mut SingleNode, id: &str) -> Option<String> {
    let client = single.client("idempotent", id, b"");
    let line = single.executor_line()?;
    single.turn();
    let request = String::from_utf8(single.take(line)).expect("a request without a body");
    let instance = request.lines().find_map(|line| line.strip_prefix("X-Grebeusher-Target-Instance: "));
    let instance = instance.expect("the instance is named").to_owned();
    let mut bytes = answer(id, "done");
    bytes.splice(17..17, b"Connection: close\r\n".iter().copied());
    single.send(line, &bytes);
    assert_eq!(status_of(&single.take(client)), Some(200));
    Some(instance)
}

/// Guards against requests to a new version that nobody ordered, or whose stage permits none (EXPOSURE), also at a node
/// that has not heard of the order.
#[rstest]
#[case::a_node_that_has_not_heard_of_the_order(first_version())]
#[case::a_node_that_has_heard_of_it(ordered())]
fn executors_of_another_version_get_no_requests(#[case] rollouts: Rollouts) {
    let mut single = node_with(Some(&rollouts), &["v2", "v1", "v2"]);
    let instances = instances_of(&mut single, 30);
    assert!(instances.iter().all(|instance| instance.as_deref() == Some("i-2")), "{instances:?}");
}

#[test]
fn a_node_asks_again_when_it_sees_a_version_that_is_not_in_force() {
    let mut single = node_with(Some(&first_version()), &["v1"]);
    single.take_calls();
    single.pass(LONG);
    assert!(!single.take_calls().iter().any(|(_, call)| is_sync(call)), "nothing is in question");
    single.executor_of_version_calls(2, "v2", 1, "up");
    single.pass(LONG);
    assert!(single.take_calls().iter().any(|(_, call)| is_sync(call)));
}

/// The next time that the node asks for the versions.
fn next_sync(single: &mut SingleNode) -> CallNumber {
    for _ in 0..30 {
        single.pass(Duration::from_millis(100));
        if let Some((number, _)) = single.take_calls().into_iter().find(|(_, call)| is_sync(call)) {
            return number;
        }
    }
    panic!("the node has not asked in three seconds");
}

/// Guards against a node that was answered before a version was noted and asks no more: it would refuse all requests when
/// executors of another version come.
#[test]
fn a_node_asks_until_it_knows_the_version_of_each_service() {
    let mut single = SingleNode::under_contracts(CONTRACTS, 1);
    single.learn_configuration();
    let number = single.next_call(is_sync);
    single.reply(number, Reply::Done);
    beat(&mut single, &["v1"], 1);
    single.pass(LONG);
    beat(&mut single, &["v1"], 2);
    single.take_calls();
    let number = next_sync(&mut single);
    single.reply(number, Reply::Rollouts(first_version().encode()));
    beat(&mut single, &["v1", "v2"], 3);
    assert_eq!(instance_of(&mut single, "one").as_deref(), Some("i-1"));
}

#[rstest]
#[case::alike(&["v1", "v1"], true)]
#[case::not_alike(&["v1", "v2"], false)]
fn without_a_word_of_the_leader_executors_that_are_alike_are_used(
    #[case] versions: &[&str],
    #[case] served: bool,
) {
    let mut single = node_with(None, versions);
    assert_eq!(instance_of(&mut single, "one").is_some(), served);
}

#[test]
fn a_node_that_has_just_started_uses_no_executor_before_it_knows_the_versions() {
    let mut single = SingleNode::under_contracts(CONTRACTS, 1);
    single.learn_configuration();
    beat(&mut single, &["v2"], 1);
    assert_eq!(instance_of(&mut single, "one"), None);
}

#[test]
fn versions_without_orders_are_served_where_the_rules_of_roll_outs_are_not_in_force() {
    let mut single = SingleNode::with_configuration(1);
    beat(&mut single, &["v1", "v2"], 1);
    single.pass(LONG);
    beat(&mut single, &["v1", "v2"], 2);
    let mut instances = instances_of(&mut single, 30);
    instances.sort();
    instances.dedup();
    assert_eq!(instances, [Some("i-1".to_owned()), Some("i-2".to_owned())]);
}

#[test]
fn an_order_is_refused_where_the_rules_of_roll_outs_are_not_in_force() {
    let mut single = SingleNode::with_configuration(1);
    let line = order(&mut single, ORDER);
    assert_eq!(status_of(&single.take(line)), Some(404));
}

/// An order at the node's control plane; the connection.
fn order(single: &mut SingleNode, body: &str) -> single_node::network::Line {
    let line = single.connect(8146);
    let head =
        format!("POST /api/Rollouts.Begin HTTP/1.1\r\nHost: n\r\nContent-Length: {}\r\n\r\n", body.len());
    single.send(line, format!("{head}{body}").as_bytes());
    line
}

const ORDER: &str = r#"{"service":"s","target_version":"v2","ramp_s":15.0}"#;

#[rstest]
#[case::taken(Reply::Answer { status: 200, body: b"{}".to_vec() }, 200)]
#[case::another_is_under_way(Reply::Answer { status: 409, body: b"{}".to_vec() }, 409)]
#[case::unknown_service(Reply::Answer { status: 404, body: b"{}".to_vec() }, 404)]
#[case::it_may_be_taken(Reply::Unclear, 504)]
fn an_order_is_answered_as_the_leader_says(#[case] reply: Reply, #[case] status: u16) {
    let mut single = node_with(Some(&first_version()), &["v1"]);
    let line = order(&mut single, ORDER);
    let number: CallNumber = single.next_call(
        |call| matches!(call, Call::BeginRollout(order) if order.service == "s" && order.ramp_ms == 15_000),
    );
    single.reply(number, reply);
    assert_eq!(status_of(&single.take(line)), Some(status));
}

#[rstest]
#[case::no_json("v2")]
#[case::no_version(r#"{"service":"s","ramp_s":15}"#)]
#[case::no_time(r#"{"service":"s","target_version":"v2"}"#)]
fn an_order_that_cannot_be_read_is_answered_400_at_once(#[case] body: &str) {
    let mut single = node_with(Some(&first_version()), &["v1"]);
    let line = order(&mut single, body);
    assert_eq!(status_of(&single.take(line)), Some(400));
}
