//! Jobs and entries to tell stories with.

use std::rc::Rc;

use grebeusher_batch::*;
use grebeusher_time::{Duration, Instant};

pub const HOST: &str = "lots.example";
/// The route of most jobs: its name, its prefix, and its index where no other routes are given.
pub const ROUTE: &str = "r-lots";
pub const PREFIX: &str = "/lots/";
pub const INDEX: RouteIndex = RouteIndex(0);
/// A second route of the same host.
pub const OTHER_ROUTE: &str = "r-other";
pub const OTHER_PREFIX: &str = "/other/";
pub const OTHER_INDEX: RouteIndex = RouteIndex(1);

/// A configuration: the prefixes of the bulk routes of [`HOST`], in their order.
#[derive(Debug)]
pub struct Prefixes(pub Vec<&'static str>);

impl RouteLookup for Prefixes {
    fn bulk_route(&self, host: &str, path: &str) -> Option<RouteIndex> {
        let matches = |prefix: &str| host == HOST && path.starts_with(prefix);
        self.0.iter().position(|prefix| matches(prefix)).map(RouteIndex)
    }
}

/// A runner that knows the two routes.
pub fn runner(seed: u64) -> Runner {
    let mut runner = Runner::new(seed);
    runner.set_routes(&Jobs::new(), Rc::new(Prefixes(vec![PREFIX, OTHER_PREFIX])));
    runner
}

pub fn job(name: &str) -> JobId {
    JobId::new(name).expect("a proper name")
}

pub fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

/// The item's body tells which it is, so that mixed up bodies are seen.
pub fn item(job: &str, place: usize, token_count: u64) -> ItemSpec {
    item_below(PREFIX, job, place, token_count)
}

/// The same with a path below a prefix.
pub fn item_below(prefix: &str, job: &str, place: usize, token_count: u64) -> ItemSpec {
    let id = format!("{job}-{place}");
    ItemSpec {
        path: format!("{prefix}3/{id}").into(),
        headers: vec![Header {
            name: TOKEN_HEADER.into(),
            value: format!("{},40", token_count.saturating_sub(40)).into(),
        }],
        body: format!("body of {id}").into_bytes().into(),
        token_count,
        id,
    }
}

pub fn submission_on(route: &str, name: &str, tokens: &[u64]) -> Submission {
    let prefix = if route == OTHER_ROUTE { OTHER_PREFIX } else { PREFIX };
    Submission {
        job: job(name),
        route: route.into(),
        service: "models".into(),
        host: HOST.into(),
        items: tokens
            .iter()
            .enumerate()
            .map(|(place, tokens)| item_below(prefix, name, place, *tokens))
            .collect(),
    }
}

pub fn submission(name: &str, items: usize) -> Submission {
    submission_on(ROUTE, name, &vec![100; items])
}

pub fn settings() -> JobSettings {
    JobSettings {
        accepted_at_wall_ms: 1_000_000,
        age_at_acceptance_ms: 0,
        completion_target_ms: 8_000,
        retention_ms: 60_000,
        max_attempts: 3,
        queue_token_limit: 10_000,
        target_latency_ms: 400,
    }
}

pub fn submit(name: &str, items: usize) -> Entry {
    Entry::Submit { submission: submission(name, items), settings: settings() }
}

pub fn result(place: u16, state: ResultState, text: &str) -> ItemResult {
    ItemResult { item: ItemIndex(place), state, text: text.into() }
}

pub fn complete(name: &str, place: u16, text: &str) -> Entry {
    let results = vec![result(place, ResultState::Complete, text)];
    Entry::Results(vec![JobResults { job: job(name), results }])
}

pub fn texts(jobs: &Jobs, name: &str) -> Vec<(String, ResultState, String)> {
    let page = jobs.read(&job(name), 0, MAX_PAGE_BYTES).expect("the job is known");
    page.results.iter().map(|one| (one.item_id().into(), one.state(), one.text().into())).collect()
}

/// Room for anything.
pub fn any_capacity(_: RouteIndex) -> Option<u64> {
    Some(u64::MAX)
}

/// All that the runner would propose, if the log takes it.
pub fn proposals(runner: &mut Runner) -> Vec<Entry> {
    std::iter::from_fn(|| runner.next_proposal()).collect()
}
