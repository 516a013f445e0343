//! Jobs, entries and routes that the tests share.

use std::rc::Rc;

use grebeusher_batch::*;
use grebeusher_time::{Duration, Instant};

pub const HOST: &str = "lots.example";
/// The name, the path prefix and the index of the route of most jobs. A test that sets other routes has other indices.
pub const ROUTE: &str = "r-lots";
pub const PREFIX: &str = "/lots/";
pub const INDEX: RouteIndex = RouteIndex(0);
/// The name, the path prefix and the index of a second route of the same host.
pub const OTHER_ROUTE: &str = "r-other";
pub const OTHER_PREFIX: &str = "/other/";
pub const OTHER_INDEX: RouteIndex = RouteIndex(1);

/// The routes of a configuration: the path prefixes of the bulk routes of [`HOST`], by index.
#[derive(Debug)]
pub struct Prefixes(pub Vec<&'static str>);

impl RouteLookup for Prefixes {
    fn bulk_route(&self, host: &str, path: &str) -> Option<RouteIndex> {
        let matches = |prefix: &str| host == HOST && path.starts_with(prefix);
        self.0.iter().position(|prefix| matches(prefix)).map(RouteIndex)
    }
}

/// A runner that has both routes.
pub fn runner(seed: u64) -> Runner {
    let mut runner = Runner::new(seed);
    runner.set_routes(&Jobs::new(), Rc::new(Prefixes(vec![PREFIX, OTHER_PREFIX])));
    runner
}

pub fn job(name: &str) -> JobId {
    JobId::new(name).expect("a valid id")
}

/// The time on the monotonic clock that many milliseconds after its start.
pub fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

/// An item whose body contains its id, so that tests notice swapped bodies.
pub fn item(job: &str, index: usize, token_count: u64) -> ItemSpec {
    item_below(PREFIX, job, index, token_count)
}

/// As [`item`], with a path below `prefix`.
pub fn item_below(prefix: &str, job: &str, index: usize, token_count: u64) -> ItemSpec {
    let id = format!("{job}-{index}");
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
            .map(|(index, tokens)| item_below(prefix, name, index, *tokens))
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

pub fn result(index: u16, state: ResultState, text: &str) -> ItemResult {
    ItemResult { item: ItemIndex(index), state, text: text.into() }
}

pub fn complete_item(name: &str, index: u16, text: &str) -> Entry {
    let results = vec![result(index, ResultState::Complete, text)];
    Entry::Results(vec![JobResults { job: job(name), results }])
}

/// The results of a job by position: the item id, the state and the text.
pub fn listed_results(jobs: &Jobs, name: &str) -> Vec<(String, ResultState, String)> {
    let page = jobs.read(&job(name), 0, MAX_PAGE_BYTES).expect("the job is known");
    page.results
        .iter()
        .map(|result| (result.item_id().into(), result.state(), result.text().into()))
        .collect()
}

/// Unlimited capacity on all routes.
pub fn any_capacity(_: RouteIndex) -> Option<u64> {
    Some(u64::MAX)
}

/// All entries that the runner proposes if the log accepts each of them.
pub fn proposals(runner: &mut Runner) -> Vec<Entry> {
    std::iter::from_fn(|| runner.next_proposal()).collect()
}
