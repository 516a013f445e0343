//! The operator drops a bulk route while a batch job that was taken on it still waits. Each of its items has to be listed
//! once `finish_s` is over, as `complete` or, as its route has ended, as `dead_letter`.

use crate::fleet::{CantRun, Fleet, Outcome};
use crate::http;
use crate::{Setting, Verdict};
use std::thread;
use std::time::{Duration, Instant};

const ITEMS: usize = 200;
const WORK_MS: u64 = 1500;
const EXECUTORS: usize = 3;
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
const FINISH: Duration = Duration::from_secs(10);
/// Before the end no executor may have had an item for this long, or the rule excuses what is not listed.
const QUIET: Duration = Duration::from_secs(5);
const JOB: &str = "5cafe00000000004";

const LOTS: &str = "{\"name\":\"lots\",\"hostname\":\"books.example\",\"path_prefix\":\"/lots/\",\"route_type\":\"bulk\",\"timeout_ms\":8000,\
    \"target_latency_ms\":400,\"priority_level\":2,\"service\":\"models\",\"max_attempts\":3,\"session_affinity\":true,\
    \"resumable\":true,\"gap_aim_ms\":250,\"completion_target_ms\":10000,\"retention_s\":40,\"queue_token_limit\":1400000}";
const DRAFT: &str = "{\"name\":\"draft\",\"hostname\":\"books.example\",\"path_prefix\":\"/draft/\",\"route_type\":\"streaming\",\
    \"timeout_ms\":4000,\"target_latency_ms\":300,\"priority_level\":0,\"service\":\"models\",\"max_attempts\":1,\
    \"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":250}";
const SERVICE: &str = "{\"name\":\"models\",\"health_path\":\"/health\",\"max_connections\":220,\"protocol\":\"h1\",\"tls_mode\":false}";

fn submission() -> Vec<u8> {
    let item = |at: usize| {
        format!(
            "{{\"instance_id\":\"{JOB}{at:03}\",\"path\":\"/lots/item/{WORK_MS}/{at}\",\"header_map\":{{}},\"payload\":\"q83vEjRWeJA=\",\"token_count\":940}}"
        )
    };
    let items: Vec<String> = (0..ITEMS).map(item).collect();
    let body = format!("{{\"batch_items\":[{}]}}", items.join(","));
    let headers =
        [("Host", "books.example"), ("X-Grebeusher-Attempt-Id", JOB), ("Content-Type", "application/json")];
    http::request("POST", "/lots/submit", &headers, body.as_bytes())
}

/// What a read of the job from its start shows: the status, and how many items are complete and dead.
struct Listed {
    status: u16,
    complete: usize,
    dead: usize,
}

fn read(fleet: &Fleet, edge: usize) -> Listed {
    let target = format!("/api/lots/{JOB}?resume_after=0");
    let bytes = http::request("GET", &target, &[("Host", "books.example")], b"");
    let Some(answer) = http::call(fleet.frontend_of(edge), &bytes, Duration::from_secs(2)) else {
        return Listed { status: 0, complete: 0, dead: 0 };
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let count = |state: &str| text.matches(&format!("\"state\":\"{state}\"")).count();
    Listed { status: answer.head.status(), complete: count("complete"), dead: count("dead_letter") }
}

fn item_lines(fleet: &Fleet) -> usize {
    fleet.executor_lines().iter().filter(|line| line.contains(JOB)).count()
}

pub fn run(setting: &Setting) -> Outcome<Verdict> {
    let mut fleet = Fleet::start(&setting.tier, &setting.out, &setting.folder, 3)?;
    fleet.start_executors("models", EXECUTORS)?;
    let (version, _) = fleet.configure(&[0, 1, 2], 0, &format!("{LOTS},{DRAFT}"), SERVICE)?;
    fleet.wait_until_ready(EXECUTORS)?;

    let sent = Instant::now();
    let status = http::call(fleet.frontend_of(0), &submission(), Duration::from_secs(2))
        .map_or(0, |a| a.head.status());
    fleet.record.note(&format!("client sends batch job {JOB} of {ITEMS} items: {status}"));
    if status != 202 {
        return Err(CantRun("the batch job was not taken".to_owned()));
    }
    thread::sleep(Duration::from_millis(1000));
    if setting.trouble {
        fleet.configure(&[0, 1, 2], version, DRAFT, SERVICE)?;
        fleet.record.note("the route `lots` is dropped");
    }
    // Traffic has ended: the job gets what is left of its time and `finish_s` more.
    let end = Instant::now() + CONFIG_APPLY + FINISH;
    let (mut lines, mut changed) = (item_lines(&fleet), Instant::now());
    let mut listed = read(&fleet, 0);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(500));
        listed = read(&fleet, 0);
        let now = item_lines(&fleet);
        if now != lines {
            (lines, changed) = (now, Instant::now());
        }
        if listed.complete + listed.dead == ITEMS {
            break;
        }
        let (status, complete, dead) = (listed.status, listed.complete, listed.dead);
        fleet.record.note(&format!("a read: {status}, {complete} complete, {dead} dead"));
    }
    let (complete, dead) = (listed.complete, listed.dead);
    let after = sent.elapsed().as_millis();
    fleet
        .record
        .note(&format!("{after} ms after the job: of {ITEMS} items {complete} complete, {dead} dead"));
    if complete + dead == ITEMS {
        fleet.record.note("held: all items are listed");
        return Ok(Verdict::Held);
    }
    for edge in 0..3 {
        let Listed { status, complete, dead } = read(&fleet, edge);
        fleet.record.note(&format!(
            "a read at {}: {status}, {complete} complete, {dead} dead",
            fleet.edges[edge].name
        ));
    }
    let quiet = changed.elapsed();
    fleet.record.note(&format!("executors were without an item for {} ms", quiet.as_millis()));
    if quiet < QUIET || !setting.trouble {
        return Err(CantRun("the executors were still at work".to_owned()));
    }
    fleet.record.note(&format!("BROKEN: {} items are neither complete nor dead", ITEMS - complete - dead));
    Ok(Verdict::Broken)
}
