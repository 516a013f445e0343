//! Roll-outs of service versions at one edge node: which executors get requests, and how operators are answered.

mod single_node;

use grebeusher_rollout::{Entry, RolloutOrder, Rollouts};
use grebeusher_tier::links::messages::{Call, CallNumber, Reply};
use grebeusher_time::Duration;
use rstest::rstest;
use single_node::{SingleNode, answer, status_of};

const CONTRACTS: &str = r#""base","rollout""#;
/// Longer than a node that has just started waits for the reply of the leader.
const AFTER_START: Duration = Duration::from_millis(3000);

fn is_sync(call: &Call) -> bool {
    matches!(call, Call::SyncRollouts { .. })
}

/// The state in which version `v1` of the service is in force.
fn v1_in_force() -> Rollouts {
    let mut rollouts = Rollouts::default();
    rollouts.apply(Entry::VersionInForce { service: "s".to_owned(), version: "v1".to_owned() });
    rollouts
}

/// The state in which `v1` is in force and a roll-out to `v2` is ordered.
fn v2_ordered() -> Rollouts {
    let mut rollouts = v1_in_force();
    let order = RolloutOrder { service: "s".to_owned(), target_version: "v2".to_owned(), ramp_ms: 15_000 };
    rollouts.apply(Entry::Begin { order, in_force: String::new(), begun_at_wall_ms: 0 });
    rollouts
}

/// A node long after its start that has received these rollouts from the leader, if any, and knows one executor of each of
/// these versions.
fn node_with(rollouts: Option<&Rollouts>, versions: &[&str]) -> SingleNode {
    let mut harness = SingleNode::with_contracts(CONTRACTS, 1);
    harness.learn_configuration();
    if let Some(rollouts) = rollouts {
        let number = harness.next_call(is_sync);
        harness.reply(number, Reply::Rollouts(rollouts.encode()));
    }
    send_heartbeats(&mut harness, versions, 1);
    harness.advance(AFTER_START);
    send_heartbeats(&mut harness, versions, 2);
    harness
}

fn send_heartbeats(harness: &mut SingleNode, versions: &[&str], call_seq: u64) {
    for (number, version) in (1..).zip(versions) {
        harness.send_heartbeat_with_version(number, version, call_seq, "up");
    }
}

/// Sends requests one after the other and returns the instance that gets each of them; `None` for a refused request.
fn instances_of(harness: &mut SingleNode, requests: usize) -> Vec<Option<String>> {
    (0..requests).map(|number| instance_of(harness, &format!("request-{number}"))).collect()
}

fn instance_of(harness: &mut SingleNode, id: &str) -> Option<String> {
    let client = harness.client("idempotent", id, b"");
    let connection = harness.executor_connection()?;
    harness.turn();
    let request = String::from_utf8(harness.take(connection)).expect("a request without a body");
    let instance = request.lines().find_map(|line| line.strip_prefix("X-Grebeusher-Target-Instance: "));
    let instance = instance.expect("the instance is named").to_owned();
    let mut bytes = answer(id, "done");
    bytes.splice(17..17, b"Connection: close\r\n".iter().copied());
    harness.send(connection, &bytes);
    assert_eq!(status_of(&harness.take(client)), Some(200));
    Some(instance)
}

/// Guards against requests to a new version without an order, or whose stage permits none (EXPOSURE), also at a node that
/// does not know of the order.
#[rstest]
#[case::a_node_that_has_not_heard_of_the_order(v1_in_force())]
#[case::a_node_that_has_heard_of_it(v2_ordered())]
fn executors_of_another_version_get_no_requests(#[case] rollouts: Rollouts) {
    let mut harness = node_with(Some(&rollouts), &["v2", "v1", "v2"]);
    let instances = instances_of(&mut harness, 30);
    assert!(instances.iter().all(|instance| instance.as_deref() == Some("i-2")), "{instances:?}");
}

#[test]
fn a_node_asks_again_when_it_sees_a_version_that_is_not_in_force() {
    let mut harness = node_with(Some(&v1_in_force()), &["v1"]);
    harness.take_calls();
    harness.advance(AFTER_START);
    assert!(!harness.take_calls().iter().any(|(_, call)| is_sync(call)), "all versions are in force");
    harness.send_heartbeat_with_version(2, "v2", 1, "up");
    harness.advance(AFTER_START);
    assert!(harness.take_calls().iter().any(|(_, call)| is_sync(call)));
}

/// Waits until the node calls the leader for the versions, and returns the number of the call.
fn next_sync(harness: &mut SingleNode) -> CallNumber {
    for _ in 0..30 {
        harness.advance(Duration::from_millis(100));
        if let Some((number, _)) = harness.take_calls().into_iter().find(|(_, call)| is_sync(call)) {
            return number;
        }
    }
    panic!("the node has not called the leader in three seconds");
}

/// Guards against a node that got a reply before a version was recorded and calls no more: it would refuse all requests
/// once executors of another version exist.
#[test]
fn a_node_asks_until_it_knows_the_version_of_each_service() {
    let mut harness = SingleNode::with_contracts(CONTRACTS, 1);
    harness.learn_configuration();
    let number = harness.next_call(is_sync);
    harness.reply(number, Reply::Done);
    send_heartbeats(&mut harness, &["v1"], 1);
    harness.advance(AFTER_START);
    send_heartbeats(&mut harness, &["v1"], 2);
    harness.take_calls();
    let number = next_sync(&mut harness);
    harness.reply(number, Reply::Rollouts(v1_in_force().encode()));
    send_heartbeats(&mut harness, &["v1", "v2"], 3);
    assert_eq!(instance_of(&mut harness, "one").as_deref(), Some("i-1"));
}

#[rstest]
#[case::alike(&["v1", "v1"], true)]
#[case::not_alike(&["v1", "v2"], false)]
fn without_a_reply_of_the_leader_executors_that_are_alike_are_used(
    #[case] versions: &[&str],
    #[case] served: bool,
) {
    let mut harness = node_with(None, versions);
    assert_eq!(instance_of(&mut harness, "one").is_some(), served);
}

#[test]
fn a_node_that_has_just_started_uses_no_executor_before_it_knows_the_versions() {
    let mut harness = SingleNode::with_contracts(CONTRACTS, 1);
    harness.learn_configuration();
    send_heartbeats(&mut harness, &["v2"], 1);
    assert_eq!(instance_of(&mut harness, "one"), None);
}

#[test]
fn versions_without_orders_are_served_where_the_rules_of_roll_outs_are_not_in_force() {
    let mut harness = SingleNode::with_configuration(1);
    send_heartbeats(&mut harness, &["v1", "v2"], 1);
    harness.advance(AFTER_START);
    send_heartbeats(&mut harness, &["v1", "v2"], 2);
    let mut instances = instances_of(&mut harness, 30);
    instances.sort();
    instances.dedup();
    assert_eq!(instances, [Some("i-1".to_owned()), Some("i-2".to_owned())]);
}

#[test]
fn an_order_is_refused_where_the_rules_of_roll_outs_are_not_in_force() {
    let mut harness = SingleNode::with_configuration(1);
    let connection = send_order(&mut harness, ORDER);
    assert_eq!(status_of(&harness.take(connection)), Some(404));
}

/// Sends an order to the control address of the node and returns the connection.
fn send_order(harness: &mut SingleNode, body: &str) -> single_node::network::ConnectionId {
    let connection = harness.connect(8146);
    let head =
        format!("POST /api/Rollouts.Begin HTTP/1.1\r\nHost: n\r\nContent-Length: {}\r\n\r\n", body.len());
    harness.send(connection, format!("{head}{body}").as_bytes());
    connection
}

const ORDER: &str = r#"{"service":"s","target_version":"v2","ramp_s":15.0}"#;

#[rstest]
#[case::taken(Reply::Answer { status: 200, body: b"{}".to_vec() }, 200)]
#[case::another_is_under_way(Reply::Answer { status: 409, body: b"{}".to_vec() }, 409)]
#[case::unknown_service(Reply::Answer { status: 404, body: b"{}".to_vec() }, 404)]
#[case::it_may_be_taken(Reply::Unclear, 504)]
fn an_order_is_answered_as_the_leader_says(#[case] reply: Reply, #[case] status: u16) {
    let mut harness = node_with(Some(&v1_in_force()), &["v1"]);
    let connection = send_order(&mut harness, ORDER);
    let number: CallNumber = harness.next_call(
        |call| matches!(call, Call::BeginRollout(order) if order.service == "s" && order.ramp_ms == 15_000),
    );
    harness.reply(number, reply);
    assert_eq!(status_of(&harness.take(connection)), Some(status));
}

#[rstest]
#[case::no_json("v2")]
#[case::no_version(r#"{"service":"s","ramp_s":15}"#)]
#[case::no_time(r#"{"service":"s","target_version":"v2"}"#)]
fn an_order_that_cannot_be_read_is_answered_400_at_once(#[case] body: &str) {
    let mut harness = node_with(Some(&v1_in_force()), &["v1"]);
    let connection = send_order(&mut harness, body);
    assert_eq!(status_of(&harness.take(connection)), Some(400));
}
