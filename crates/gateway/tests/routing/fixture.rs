//! A gateway with executors of four slots, and requests of one service.

use grebeusher_gateway::{
    AttemptOutcome, BatchItem, ExecutorDescriptor, ExecutorId, ExecutorState, Gateway, GatewayConfig,
    ModelKey, PromptSegments, Request, RetryClass, RoutingDecision, ServerLoad, ServiceId, ServiceSettings,
    TokenCount, ZoneKey,
};
use grebeusher_time::{Duration, Instant};

/// The time at which the tests begin.
pub const START: Instant = Instant(5_000_000_000);

/// The models that the executors have loaded.
pub const MODELS: [ModelKey; 1] = [ModelKey(1)];

/// The time `ms` milliseconds after [`START`].
pub fn at_ms(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

/// The description of one of eight executors, each in a zone of its own.
pub fn executor_descriptor(number: usize, state: ExecutorState) -> ExecutorDescriptor<'static> {
    const INSTANCES: [&str; 8] = ["i-a1", "i-b2", "i-c3", "i-d4", "i-e5", "i-f6", "i-a7", "i-b8"];
    ExecutorDescriptor {
        instance_id: INSTANCES[number],
        service: "s",
        address: ([10, 0, 0, number as u8], 80).into(),
        zone: ZoneKey(number as u64),
        slots: 4,
        state,
        models: &MODELS,
    }
}

/// A gateway with `count` ready executors. Returns it with the keys of its service and its executors.
pub fn gateway_with_executors(count: usize, seed: u64) -> (Gateway, ServiceId, Vec<ExecutorId>) {
    let mut gateway = Gateway::new(GatewayConfig::default(), ZoneKey(99), seed);
    let settings = ServiceSettings { max_connections: 100, kv_capacity_tokens: 100_000 };
    let service = gateway.set_service_settings("s", settings);
    let executor_ids =
        (0..count).map(|n| gateway.upsert_executor(&executor_descriptor(n, ExecutorState::Ready))).collect();
    (gateway, service, executor_ids)
}

/// A non-idempotent request with numbers of prompt and output tokens, and without a prefix.
pub fn request_of_size(service: ServiceId, prompt: u32, output: u32) -> Request<'static> {
    Request {
        model: Some(MODELS[0]),
        token_count: Some(TokenCount { prompt, output }),
        retry_class: RetryClass::NonIdempotent,
        ..Request::for_service(service)
    }
}

/// The executor to which a request goes. `None` if it was not forwarded.
pub fn forwarded_to(decision: RoutingDecision) -> Option<ExecutorId> {
    if let RoutingDecision::Forward { executor, .. } = decision { Some(executor) } else { None }
}

/// Passes a load report of an executor to the gateway.
pub fn report_load(gateway: &mut Gateway, now: Instant, id: ExecutorId, running: u32, waiting: u32) {
    gateway.observe_load(now, id, ServerLoad { running, waiting, slots: 4 });
}

/// Fills the sample of a service with requests of 100 to 10,000 prompt tokens, two of each size. They are served by one
/// executor.
pub fn fill_sample(gateway: &mut Gateway, service: ServiceId, executor: ExecutorId) {
    for n in 0..200 {
        let request = request_of_size(service, 100 * (n % 100 + 1), 0);
        let token = gateway.attempt_started(START, executor, &request).unwrap();
        gateway.attempt_finished(at_ms(1), token, AttemptOutcome::Served);
    }
}

/// Passes the same load report of each executor to the gateway.
pub fn report_load_of_all(
    gateway: &mut Gateway,
    now: Instant,
    executor_ids: &[ExecutorId],
    running: u32,
    waiting: u32,
) {
    executor_ids.iter().for_each(|id| report_load(gateway, now, *id, running, waiting));
}

/// A request with a shared prefix of `shared_tokens` tokens, and 100 further prompt tokens.
pub fn request_with_prefix(service: ServiceId, prefix_id: usize, shared_tokens: u32) -> Request<'static> {
    let prompt = PromptSegments::parse(&format!("{prefix_id:x}:{shared_tokens},ffff:100")).unwrap();
    Request { prompt, ..request_of_size(service, shared_tokens + 100, 0) }
}

/// An item of a batch job with 700 prompt tokens and 300 output tokens, and without a prefix.
pub fn batch_item(service: ServiceId, urgency: f64) -> BatchItem<'static> {
    BatchItem {
        service,
        model: Some(MODELS[0]),
        token_count: Some(TokenCount { prompt: 700, output: 300 }),
        prompt: PromptSegments::default(),
        excluded_executors: &[],
        urgency,
    }
}
