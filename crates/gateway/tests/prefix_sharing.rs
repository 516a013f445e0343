//! Prefix affinity of nodes that share one estimate of prefix popularity: they send a prefix to the same homes, and to
//! as many as its rate needs.

use grebeusher_gateway::{
    AttemptOutcome, BatchItem, ExecutorDescriptor, ExecutorId, ExecutorState, Gateway, GatewayConfig,
    ModelKey, PromptSegments, Request, RetryClass, RoutingDecision, ServiceId, ServiceSettings, TokenCount,
    ZoneKey,
};
use grebeusher_prefix_popularity::{Contribution, Contributor, EstimatorSettings};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;
use std::collections::BTreeSet;

/// The time at which the tests begin.
const START: Instant = Instant(5_000_000_000);
/// The models that the executors have loaded.
const MODELS: [ModelKey; 1] = [ModelKey(1)];
const SLOTS: u32 = 16;

/// The time `ms` milliseconds after [`START`].
fn at_ms(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

fn executor_descriptor(instance_id: &str) -> ExecutorDescriptor<'_> {
    ExecutorDescriptor {
        instance_id,
        service: "s",
        address: ([10, 0, 0, 1], 80).into(),
        zone: ZoneKey(5),
        slots: SLOTS,
        state: ExecutorState::Ready,
        models: &MODELS,
    }
}

/// The gateways of all nodes, with the same executors of one service.
struct Tier {
    gateways: Vec<Gateway>,
    service: ServiceId,
}

impl Tier {
    fn new(nodes: usize, executors: usize) -> Tier {
        let mut service = None;
        let new_gateway = |number: usize| {
            let mut gateway = Gateway::new(
                GatewayConfig { share_prefix_popularity: true, ..GatewayConfig::default() },
                ZoneKey(99),
                number as u64,
            );
            let settings = ServiceSettings { max_connections: 10_000, kv_capacity_tokens: 400_000 };
            service = Some(gateway.set_service_settings("s", settings));
            gateway.set_node_count(nodes as u32);
            let own = Contributor { origin: number as u64 + 1, incarnation: 1 };
            gateway.share_prefix_popularity(START, own, EstimatorSettings::default());
            gateway.popularity_mut().expect("the estimate is shared").set_node_count(nodes);
            for number in 0..executors {
                gateway.upsert_executor(&executor_descriptor(&format!("i-{number:02}")));
            }
            gateway
        };
        let gateways = (0..nodes).map(new_gateway).collect();
        Tier { gateways, service: service.expect("there is at least one node") }
    }

    /// Sends a request to the executor that a node chooses, which serves it at once. Returns the `instance_id` of the
    /// executor.
    fn request_once(&mut self, node: usize, now: Instant, request: &Request<'_>) -> String {
        let gateway = &mut self.gateways[node];
        let RoutingDecision::Forward { executor, .. } = gateway.route(now, request) else {
            panic!("an executor has capacity")
        };
        let instance =
            gateway.executor_view(now, executor).expect("the executor exists").instance_id.to_string();
        let token = gateway.attempt_started(now, executor, request).expect("few attempts are open");
        gateway.event_received(now, token);
        gateway.attempt_finished(now, token, AttemptOutcome::Served);
        instance
    }

    /// Sends the contributions of all nodes to all nodes, and computes the rates one second later.
    fn exchange_contributions(&mut self, now: Instant) {
        let contributions: Vec<Contribution> =
            self.gateways.iter_mut().filter_map(|gateway| tick(gateway, now)).collect();
        for gateway in &mut self.gateways {
            for contribution in &contributions {
                gateway.popularity_mut().expect("the estimate is shared").merge(now, contribution.clone());
            }
        }
        self.gateways.iter_mut().for_each(|gateway| drop(tick(gateway, now + Duration::from_millis(1_000))));
    }

    /// The `instance_id`s of the most popular prefix's homes at a node.
    fn homes(&self, node: usize) -> Vec<String> {
        let view = self.gateways[node].popular_prefixes(1).into_iter().next().expect("a prefix is popular");
        view.homes.iter().map(ToString::to_string).collect()
    }

    /// The key of an executor at a node.
    fn id(&self, node: usize, instance: &str) -> ExecutorId {
        self.gateways[node].find_executor(instance).expect("the executor exists")
    }
}

fn tick(gateway: &mut Gateway, now: Instant) -> Option<Contribution> {
    gateway.popularity_mut().expect("the estimate is shared").tick(now)
}

/// A request with a shared prefix of 13,300 tokens, and `unshared_tokens` further prompt tokens.
fn request_with_prefix(service: ServiceId, subject: usize, unshared_tokens: u32) -> Request<'static> {
    let prompt = PromptSegments::parse(&format!("aa:300,{subject:x}:13000,ffff:{unshared_tokens}")).unwrap();
    Request {
        model: Some(MODELS[0]),
        token_count: Some(TokenCount { prompt: 13_300 + unshared_tokens, output: 10 }),
        retry_class: RetryClass::ResumableStream,
        prompt,
        ..Request::for_service(service)
    }
}

/// Sends a request at each node `requests_per_s` times per second for ten seconds, and then exchanges the
/// contributions. Returns the `instance_id`s of the executors that got the requests.
fn run_ten_seconds(
    tier: &mut Tier,
    from_ms: u64,
    requests_per_s: u64,
    request: &Request<'_>,
) -> BTreeSet<String> {
    let mut executors = BTreeSet::new();
    for tenth_of_second in 0..100 {
        for node in 0..tier.gateways.len() {
            if tenth_of_second * requests_per_s % 10 < requests_per_s {
                executors.insert(tier.request_once(node, at_ms(from_ms + tenth_of_second * 100), request));
            }
        }
    }
    tier.exchange_contributions(at_ms(from_ms + 10_000));
    executors
}

#[test]
fn an_unpopular_prefix_has_one_home_although_many_nodes_request_it() {
    // Given forty nodes that each get one request with the same prefix
    let mut tier = Tier::new(40, 12);
    let request = request_with_prefix(tier.service, 7, 3_000);
    let executors: BTreeSet<String> =
        (0..40).map(|node| tier.request_once(node, at_ms(250 * node as u64), &request)).collect();
    // Then one executor gets all of them, as four requests per second need no more homes
    assert_eq!(executors.len(), 1, "{executors:?}");
    tier.exchange_contributions(at_ms(10_000));
    let executors_after_exchange: BTreeSet<String> =
        (0..40).map(|node| tier.request_once(node, at_ms(12_000 + 250 * node as u64), &request)).collect();
    assert_eq!(executors_after_exchange, executors);
}

#[test]
fn a_popular_prefix_has_the_same_homes_at_all_nodes() {
    // Given ten nodes with two requests per second each, which have 70,000 tokens per second after the prefix
    let mut tier = Tier::new(10, 12);
    let request = request_with_prefix(tier.service, 7, 3_500);
    let before = run_ten_seconds(&mut tier, 0, 2, &request);
    let executors = run_ten_seconds(&mut tier, 12_000, 2, &request);
    // Then the prefix has as many homes as its rate needs, the same at all nodes, and the earlier ones among them
    let homes = tier.homes(0);
    assert_eq!(homes.len(), 4);
    assert!((1..10).all(|node| tier.homes(node) == homes));
    assert!(before.iter().all(|home| homes.contains(home)), "{before:?} {homes:?}");
    assert_eq!(executors, homes.into_iter().collect());
    // And it is shown with its service and tokens
    let view = &tier.gateways[3].popular_prefixes(9)[0];
    assert_eq!((view.service.as_deref(), view.tokens), (Some("s"), 13_300));
    assert!((60_000.0..80_000.0).contains(&view.popular.tokens_per_s), "{view:?}");
}

#[test]
fn a_prefix_has_homes_in_half_of_its_lane_at_most() {
    // Given a prefix whose rate needs more homes than there are executors
    let mut tier = Tier::new(10, 6);
    let request = request_with_prefix(tier.service, 7, 40_000);
    run_ten_seconds(&mut tier, 0, 2, &request);
    let executors = run_ten_seconds(&mut tier, 12_000, 2, &request);
    // Then half of the executors remain for other prefixes
    assert_eq!(executors.len(), 3, "{executors:?}");
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
    // (the cut-offs of the lanes are computed after the first fifty requests)
    route_all(&mut tier, at_ms(0));
    let before = route_all(&mut tier, at_ms(30_000));
    // When one of the executors is removed
    let removed = before[0].clone();
    let id = tier.id(0, &removed);
    tier.gateways[0].remove_executor(id);
    let after = route_all(&mut tier, at_ms(60_000));
    // Then only the prefixes that had their home there have another one
    let moved = before.iter().zip(&after).filter(|(before, after)| before != after);
    assert!(moved.clone().all(|(before, _)| *before == removed), "{:?}", moved.collect::<Vec<_>>());
}

#[test]
fn a_full_home_is_passed_over_and_stays_the_home() {
    // Given a prefix with one home
    let mut tier = Tier::new(3, 8);
    let request = request_with_prefix(tier.service, 7, 1_000);
    let home = tier.request_once(0, at_ms(0), &request);
    // When each node has sent so many requests there that their prefill takes longer than a prefill elsewhere
    let open_attempts: Vec<_> = (0..3)
        .flat_map(|node| [node, node])
        .map(|node| {
            let id = tier.id(node, &home);
            (
                node,
                tier.gateways[node].attempt_started(at_ms(10), id, &request).expect("few attempts are open"),
            )
        })
        .collect();
    // Then all nodes choose the same next executor without communication
    let next: BTreeSet<String> = (0..3).map(|node| tier.request_once(node, at_ms(20), &request)).collect();
    assert_eq!(next.len(), 1);
    assert!(!next.contains(&home));
    assert_eq!(tier.gateways[0].decision_counters().next_prefix_home, 1);
    // And when the prefill has finished they choose the home again
    for (node, token) in open_attempts {
        tier.gateways[node].event_received(at_ms(300), token);
        tier.gateways[node].attempt_finished(at_ms(400), token, AttemptOutcome::Served);
    }
    for node in 0..3 {
        assert_eq!(tier.request_once(node, at_ms(3_000), &request), home);
    }
}

#[test]
fn batch_items_do_not_count_as_demand() {
    // Given batch items with a prefix of their own
    let mut tier = Tier::new(1, 12);
    let request = request_with_prefix(tier.service, 7, 30_000);
    let item = BatchItem {
        service: tier.service,
        model: request.model,
        token_count: request.token_count,
        prompt: request.prompt,
        excluded_executors: &[],
        urgency: 0.5,
    };
    for tenth_of_second in 0..100 {
        let now = at_ms(tenth_of_second * 100);
        let id =
            tier.gateways[0].choose_executor_for_batch_item(now, &item).expect("an executor has capacity");
        let token =
            tier.gateways[0].attempt_started(now, id, &item.as_request()).expect("few attempts are open");
        tier.gateways[0].event_received(now, token);
        tier.gateways[0].attempt_finished(now, token, AttemptOutcome::Served);
    }
    tier.exchange_contributions(at_ms(10_000));
    // Then no prefix is popular, so no prefix of live requests loses its homes
    assert!(tier.gateways[0].popular_prefixes(9).is_empty());
}

#[test]
fn a_retry_does_not_count_as_demand() {
    // Given a request that failed at another executor before
    let mut tier = Tier::new(1, 4);
    let tried_executors = [tier.id(0, "i-00")];
    let request =
        Request { excluded_executors: &tried_executors, ..request_with_prefix(tier.service, 7, 1_000) };
    tier.request_once(0, at_ms(0), &request);
    tier.exchange_contributions(at_ms(5_000));
    assert!(tier.gateways[0].popular_prefixes(9).is_empty());
}

#[rstest]
#[case::without_a_prompt(&[])]
#[case::with_a_short_prompt(&[172, 543])]
fn requests_without_long_prefixes_spread_evenly_with_and_without_sharing(#[case] tokens: &[u32]) {
    // Given a node that shares an estimate in which a prefix is very popular, and a node without a shared estimate
    let mut tier = Tier::new(1, 8);
    // (there are too few requests for more than one lane)
    let popular = request_with_prefix(tier.service, 7, 90_000);
    run_ten_seconds(&mut tier, 0, 2, &popular);
    assert!(tier.gateways[0].popular_prefixes(1)[0].popular.home_count > 4);
    let mut tier_without_sharing = Tier::new(1, 8);
    tier_without_sharing.gateways[0] = Gateway::new(
        GatewayConfig { share_prefix_popularity: false, ..GatewayConfig::default() },
        ZoneKey(99),
        0,
    );
    let settings = ServiceSettings { max_connections: 10_000, kv_capacity_tokens: 400_000 };
    tier_without_sharing.service = tier_without_sharing.gateways[0].set_service_settings("s", settings);
    tier_without_sharing.gateways[0].share_prefix_popularity(
        START,
        Contributor { origin: 1, incarnation: 1 },
        EstimatorSettings::default(),
    );
    assert!(tier_without_sharing.gateways[0].popularity().is_none());
    for number in 0..8 {
        tier_without_sharing.gateways[0].upsert_executor(&executor_descriptor(&format!("i-{number:02}")));
    }
    // When each node routes many requests
    let counts = |tier: &mut Tier| -> Vec<f64> {
        let prompt = match tokens {
            [] => PromptSegments::default(),
            tokens => PromptSegments::parse(&format!("aa:{},ffff:{}", tokens[0], tokens[1])).unwrap(),
        };
        let request = Request { prompt, ..Request::for_service(tier.service) };
        let mut counts = vec![0.0; 8];
        for _ in 0..8_000 {
            let instance = tier.request_once(0, at_ms(30_000), &request);
            counts[instance[2..].parse::<usize>().expect("the instance id ends with a number")] += 1.0;
        }
        counts
    };
    let (counts_with_sharing, counts_without) = (counts(&mut tier), counts(&mut tier_without_sharing));
    // Then all executors get equally many requests, with the shared estimate and without it
    for counts in [counts_with_sharing, counts_without] {
        assert!(counts.iter().all(|count| (count - 1_000.0_f64).abs() < 150.0), "{counts:?}");
    }
}
