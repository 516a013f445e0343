//! A node with executors of four slots, and requests of one service.

use grebeusher_gateway::{
    AttemptOutcome, BatchItem, ExecutorDescriptor, ExecutorId, ExecutorState, Gateway, GatewayConfig,
    ModelKey, PromptSegments, Request, RetryClass, RoutingDecision, ServerLoad, ServiceId, ServiceSettings,
    TokenCount, ZoneKey,
};
use grebeusher_time::{Duration, Instant};

pub const START: Instant = Instant(5_000_000_000);

pub const MODEL: [ModelKey; 1] = [ModelKey(1)];

pub fn at(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

pub fn executor(number: usize, state: ExecutorState) -> ExecutorDescriptor<'static> {
    const NAMES: [&str; 8] = ["i-a1", "i-b2", "i-c3", "i-d4", "i-e5", "i-f6", "i-a7", "i-b8"];
    ExecutorDescriptor {
        instance: NAMES[number],
        service: "s",
        address: ([10, 0, 0, number as u8], 80).into(),
        zone: ZoneKey(number as u64),
        slots: 4,
        state,
        models: &MODEL,
    }
}

/// A node with `count` executors of 4 slots, in zones of their own.
pub fn node(count: usize, seed: u64) -> (Gateway, ServiceId, Vec<ExecutorId>) {
    let mut gateway = Gateway::new(GatewayConfig::default(), ZoneKey(99), seed);
    let settings = ServiceSettings { max_connections: 100, kv_capacity_tokens: 100_000 };
    let service = gateway.set_service("s", settings);
    let ids = (0..count).map(|n| gateway.upsert(&executor(n, ExecutorState::Ready))).collect();
    (gateway, service, ids)
}

pub fn sized(service: ServiceId, prompt: u32, output: u32) -> Request<'static> {
    Request {
        model: Some(MODEL[0]),
        tokens: Some(TokenCount { prompt, output }),
        retry_class: RetryClass::NonIdempotent,
        ..Request::to(service)
    }
}

pub fn forwarded(choice: RoutingDecision) -> Option<ExecutorId> {
    if let RoutingDecision::Forward { executor, .. } = choice { Some(executor) } else { None }
}

pub fn fill(gateway: &mut Gateway, now: Instant, id: ExecutorId, running: u32, waiting: u32) {
    gateway.observe_load(now, id, ServerLoad { running, waiting, slots: 4 });
}

/// Makes the sample: sizes from 100 to 10,000, all alike in work.
pub fn train_sample(gateway: &mut Gateway, service: ServiceId, to: ExecutorId) {
    for n in 0..200 {
        let request = sized(service, 100 * (n % 100 + 1), 0);
        let token = gateway.attempt_started(START, to, &request).unwrap();
        gateway.attempt_finished(at(1), token, AttemptOutcome::Served);
    }
}

pub fn fill_all(gateway: &mut Gateway, now: Instant, ids: &[ExecutorId], running: u32, waiting: u32) {
    ids.iter().for_each(|id| fill(gateway, now, *id, running, waiting));
}

pub fn with_prefix(service: ServiceId, prefix: usize, tokens: u32) -> Request<'static> {
    let prompt = PromptSegments::parse(&format!("{prefix:x}:{tokens},ffff:100")).unwrap();
    Request { prompt, ..sized(service, tokens + 100, 0) }
}

pub fn item(service: ServiceId, urgency: f64) -> BatchItem<'static> {
    BatchItem {
        service,
        model: Some(MODEL[0]),
        tokens: Some(TokenCount { prompt: 700, output: 300 }),
        prompt: PromptSegments::default(),
        excluded: &[],
        urgency,
    }
}
