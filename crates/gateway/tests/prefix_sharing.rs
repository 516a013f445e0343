//! Nodes that share one sense of popular prefixes send them to the same homes, as many as their rate needs.

use grebeusher_gateway::{
    AttemptOutcome, BatchItem, ExecutorDescriptor, ExecutorId, ExecutorState, Gateway, GatewayConfig,
    ModelKey, PromptSegments, Request, RetryClass, RoutingDecision, ServiceId, ServiceSettings, TokenCount,
    ZoneKey,
};
use grebeusher_prefix_popularity::{Contribution, Contributor, Settings};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;
use std::collections::BTreeSet;

const START: Instant = Instant(5_000_000_000);
const MODEL: [ModelKey; 1] = [ModelKey(1)];
const SLOTS: u32 = 16;

fn at(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

fn executor(name: &str) -> ExecutorDescriptor<'_> {
    ExecutorDescriptor {
        instance: name,
        service: "s",
        address: ([10, 0, 0, 1], 80).into(),
        zone: ZoneKey(5),
        slots: SLOTS,
        state: ExecutorState::Ready,
        models: &MODEL,
    }
}

struct Tier {
    nodes: Vec<Gateway>,
    service: ServiceId,
}

impl Tier {
    fn new(nodes: usize, executors: usize) -> Tier {
        let mut service = None;
        let node = |number: usize| {
            let mut gateway = Gateway::new(
                GatewayConfig { share_prefix_popularity: true, ..GatewayConfig::default() },
                ZoneKey(99),
                number as u64,
            );
            let settings = ServiceSettings { max_connections: 10_000, kv_capacity_tokens: 400_000 };
            service = Some(gateway.set_service("s", settings));
            gateway.set_nodes(nodes as u32);
            let own = Contributor { origin: number as u64 + 1, incarnation: 1 };
            gateway.share_prefixes(START, own, Settings::default());
            gateway.popularity_mut().expect("it is shared").set_nodes(nodes);
            for number in 0..executors {
                gateway.upsert(&executor(&format!("i-{number:02}")));
            }
            gateway
        };
        let nodes = (0..nodes).map(node).collect();
        Tier { nodes, service: service.expect("a node") }
    }

    /// A request is sent to where the node chooses, and served at once; the name of the executor.
    fn request_once(&mut self, node: usize, now: Instant, request: &Request<'_>) -> String {
        let gateway = &mut self.nodes[node];
        let RoutingDecision::Forward { executor, .. } = gateway.choose(now, request) else {
            panic!("there is room")
        };
        let name = gateway.executor_view(now, executor).expect("it is there").instance.to_string();
        let token = gateway.attempt_started(now, executor, request).expect("few are open");
        gateway.event_received(now, token);
        gateway.attempt_finished(now, token, AttemptOutcome::Served);
        name
    }

    /// All tell all.
    fn exchange(&mut self, now: Instant) {
        let contributions: Vec<Contribution> =
            self.nodes.iter_mut().filter_map(|node| tick(node, now)).collect();
        for node in &mut self.nodes {
            for one in &contributions {
                node.popularity_mut().expect("it is shared").merge(now, one.clone());
            }
        }
        self.nodes.iter_mut().for_each(|node| drop(tick(node, now + Duration::from_millis(1_000))));
    }

    fn homes(&self, node: usize) -> Vec<String> {
        let view = self.nodes[node].popular(1).into_iter().next().expect("one is popular");
        view.homes.iter().map(ToString::to_string).collect()
    }

    fn id(&self, node: usize, name: &str) -> ExecutorId {
        self.nodes[node].find(name).expect("it is there")
    }
}

fn tick(node: &mut Gateway, now: Instant) -> Option<Contribution> {
    node.popularity_mut().expect("it is shared").tick(now)
}

fn request_with_prefix(service: ServiceId, subject: usize, own: u32) -> Request<'static> {
    let prompt = PromptSegments::parse(&format!("aa:300,{subject:x}:13000,ffff:{own}")).unwrap();
    Request {
        model: Some(MODEL[0]),
        tokens: Some(TokenCount { prompt: 13_300 + own, output: 10 }),
        retry_class: RetryClass::ResumableStream,
        prompt,
        ..Request::to(service)
    }
}

/// Ten seconds in which each node asks so often in a second for the subject.
fn run_ten_seconds(
    tier: &mut Tier,
    from_ms: u64,
    per_second: u64,
    request: &Request<'_>,
) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    for tenth in 0..100 {
        for node in 0..tier.nodes.len() {
            if tenth * per_second % 10 < per_second {
                seen.insert(tier.request_once(node, at(from_ms + tenth * 100), request));
            }
        }
    }
    tier.exchange(at(from_ms + 10_000));
    seen
}

#[test]
fn an_unpopular_prefix_has_one_home_although_many_nodes_request_it() {
    // Given forty nodes that each see a question of the same title once
    let mut tier = Tier::new(40, 12);
    let request = request_with_prefix(tier.service, 7, 3_000);
    let seen: BTreeSet<String> =
        (0..40).map(|node| tier.request_once(node, at(250 * node as u64), &request)).collect();
    // Then one executor reads it, as four questions a second need no more
    assert_eq!(seen.len(), 1, "{seen:?}");
    tier.exchange(at(10_000));
    let again: BTreeSet<String> =
        (0..40).map(|node| tier.request_once(node, at(12_000 + 250 * node as u64), &request)).collect();
    assert_eq!(again, seen);
}

#[test]
fn a_popular_prefix_has_the_same_homes_at_all_nodes() {
    // Given ten nodes that ask twice a second each: 70,000 tokens a second of their own parts
    let mut tier = Tier::new(10, 12);
    let request = request_with_prefix(tier.service, 7, 3_500);
    let before = run_ten_seconds(&mut tier, 0, 2, &request);
    let seen = run_ten_seconds(&mut tier, 12_000, 2, &request);
    // Then it has so many homes as its rate needs, the first as before, the same at all nodes
    let homes = tier.homes(0);
    assert_eq!(homes.len(), 4);
    assert!((1..10).all(|node| tier.homes(node) == homes));
    assert!(before.iter().all(|home| homes.contains(home)), "{before:?} {homes:?}");
    assert_eq!(seen, homes.into_iter().collect());
    // And it is shown with its service and tokens
    let view = &tier.nodes[3].popular(9)[0];
    assert_eq!((view.service.as_deref(), view.tokens), (Some("s"), 13_300));
    assert!((60_000.0..80_000.0).contains(&view.popular.tokens_per_s), "{view:?}");
}

#[test]
fn a_prefix_has_homes_in_half_of_its_lane_at_most() {
    // Given a prefix that needs more homes than there are executors
    let mut tier = Tier::new(10, 6);
    let request = request_with_prefix(tier.service, 7, 40_000);
    run_ten_seconds(&mut tier, 0, 2, &request);
    let seen = run_ten_seconds(&mut tier, 12_000, 2, &request);
    // Then other prefixes keep the other half
    assert_eq!(seen.len(), 3, "{seen:?}");
}

#[test]
fn a_removed_executor_moves_only_its_own_prefixes() {
    // Given many prefixes with their homes
    let mut tier = Tier::new(1, 12);
    let requests: Vec<Request<'_>> =
        (0..200).map(|subject| request_with_prefix(tier.service, 50 + subject, 10)).collect();
    let route_all = |tier: &mut Tier, now| -> Vec<String> {
        requests
            .iter()
            .enumerate()
            .map(|(n, request)| tier.request_once(0, now + Duration::from_millis(50 * n as u64), request))
            .collect()
    };
    // (the first fifty requests make the lanes)
    route_all(&mut tier, at(0));
    let before = route_all(&mut tier, at(30_000));
    // When one of the executors goes
    let removed = before[0].clone();
    let id = tier.id(0, &removed);
    tier.nodes[0].remove(id);
    let after = route_all(&mut tier, at(60_000));
    // Then only what had its home there has another one
    let moved = before.iter().zip(&after).filter(|(before, after)| before != after);
    assert!(moved.clone().all(|(before, _)| *before == removed), "{:?}", moved.collect::<Vec<_>>());
}

#[test]
fn a_full_home_overflows_to_the_next_and_stays_the_home() {
    // Given a prefix with one home
    let mut tier = Tier::new(3, 8);
    let request = request_with_prefix(tier.service, 7, 1_000);
    let home = tier.request_once(0, at(0), &request);
    // When each node has sent as much there as is read in the time that reading elsewhere takes
    let pending: Vec<_> = (0..3)
        .flat_map(|node| [node, node])
        .map(|node| {
            let id = tier.id(node, &home);
            (node, tier.nodes[node].attempt_started(at(10), id, &request).expect("few are open"))
        })
        .collect();
    // Then all nodes go to the same next one, without a word
    let next: BTreeSet<String> = (0..3).map(|node| tier.request_once(node, at(20), &request)).collect();
    assert_eq!(next.len(), 1);
    assert!(!next.contains(&home));
    assert_eq!(tier.nodes[0].decisions().next_prefix_home, 1);
    // And when it is read they come back
    for (node, token) in pending {
        tier.nodes[node].event_received(at(300), token);
        tier.nodes[node].attempt_finished(at(400), token, AttemptOutcome::Served);
    }
    for node in 0..3 {
        assert_eq!(tier.request_once(node, at(3_000), &request), home);
    }
}

#[test]
fn batch_items_do_not_count_as_demand() {
    // Given a night's items with a prefix of their own
    let mut tier = Tier::new(1, 12);
    let request = request_with_prefix(tier.service, 7, 30_000);
    let item = BatchItem {
        service: tier.service,
        model: request.model,
        tokens: request.tokens,
        prompt: request.prompt,
        excluded: &[],
        urgency: 0.5,
    };
    for tenth in 0..100 {
        let now = at(tenth * 100);
        let id = tier.nodes[0].choose_for_batch(now, &item).expect("there is room");
        let token = tier.nodes[0].attempt_started(now, id, &item.as_request()).expect("few are open");
        tier.nodes[0].event_received(now, token);
        tier.nodes[0].attempt_finished(now, token, AttemptOutcome::Served);
    }
    tier.exchange(at(10_000));
    // Then no prefix is popular, so none of the day's homes has to give way
    assert!(tier.nodes[0].popular(9).is_empty());
}

#[test]
fn a_retry_does_not_count_as_demand() {
    // Given a request that failed elsewhere before
    let mut tier = Tier::new(1, 4);
    let tried = [tier.id(0, "i-00")];
    let request = Request { excluded: &tried, ..request_with_prefix(tier.service, 7, 1_000) };
    tier.request_once(0, at(0), &request);
    tier.exchange(at(5_000));
    assert!(tier.nodes[0].popular(9).is_empty());
}

#[rstest]
#[case::a_lookup(&[])]
#[case::a_short_question(&[172, 543])]
fn requests_without_long_prefixes_spread_evenly_with_and_without_sharing(#[case] tokens: &[u32]) {
    // Given a node that shares a sense of much popular prefixes, and one that judges alone
    let mut tier = Tier::new(1, 8);
    // (fewer requests than make lanes)
    let popular = request_with_prefix(tier.service, 7, 90_000);
    run_ten_seconds(&mut tier, 0, 2, &popular);
    assert!(tier.nodes[0].popular(1)[0].popular.homes > 4);
    let mut alone = Tier::new(1, 8);
    alone.nodes[0] = Gateway::new(
        GatewayConfig { share_prefix_popularity: false, ..GatewayConfig::default() },
        ZoneKey(99),
        0,
    );
    let settings = ServiceSettings { max_connections: 10_000, kv_capacity_tokens: 400_000 };
    alone.service = alone.nodes[0].set_service("s", settings);
    alone.nodes[0].share_prefixes(START, Contributor { origin: 1, incarnation: 1 }, Settings::default());
    assert!(alone.nodes[0].popularity().is_none());
    for number in 0..8 {
        alone.nodes[0].upsert(&executor(&format!("i-{number:02}")));
    }
    // When each decides on many requests
    let counts = |tier: &mut Tier| -> Vec<f64> {
        let prompt = match tokens {
            [] => PromptSegments::default(),
            tokens => PromptSegments::parse(&format!("aa:{},ffff:{}", tokens[0], tokens[1])).unwrap(),
        };
        let request = Request { prompt, ..Request::to(tier.service) };
        let mut counts = vec![0.0; 8];
        for _ in 0..8_000 {
            let name = tier.request_once(0, at(30_000), &request);
            counts[name[2..].parse::<usize>().expect("a number")] += 1.0;
        }
        counts
    };
    let (with, without) = (counts(&mut tier), counts(&mut alone));
    // Then all executors get their even part, with the sense as without
    for counts in [with, without] {
        assert!(counts.iter().all(|count| (count - 1_000.0_f64).abs() < 150.0), "{counts:?}");
    }
}
