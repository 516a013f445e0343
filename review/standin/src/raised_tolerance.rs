//! The operator raises what the deployment bears: the settings files of all machines change, and the first of them, an edge
//! machine, gets SIGHUP. Batch jobs that were taken before must be found there as anywhere else.

use crate::fleet::{CantRun, Fleet, Outcome, SIGHUP, signal};
use crate::http;
use crate::{Setting, Verdict};
use std::thread;
use std::time::{Duration, Instant};

/// Enough of each class for two losses.
const MACHINES: usize = 5;
const EXECUTORS: usize = 3;
const JOBS: usize = 8;
const ITEMS: usize = 10;
const WORK_MS: u64 = 300;
const CONTACT: Duration = Duration::from_millis(3000);
const SETTLE: Duration = Duration::from_millis(1000);
/// The edge machine whose settings change.
const CHANGED: usize = 0;

const LOTS: &str = "{\"name\":\"lots\",\"hostname\":\"books.example\",\"path_prefix\":\"/lots/\",\"route_type\":\"bulk\",\"timeout_ms\":8000,\
    \"target_latency_ms\":400,\"priority_level\":2,\"service\":\"models\",\"max_attempts\":3,\"session_affinity\":true,\
    \"resumable\":true,\"gap_aim_ms\":250,\"completion_target_ms\":10000,\"retention_s\":40,\"queue_token_limit\":1400000}";
const SERVICE: &str = "{\"name\":\"models\",\"health_path\":\"/health\",\"max_connections\":220,\"protocol\":\"h1\",\"tls_mode\":false}";

fn job(number: usize) -> String {
    format!("5cafe000000001{number:02}")
}

fn submission(job: &str) -> Vec<u8> {
    let item = |at: usize| {
        format!(
            "{{\"instance_id\":\"{job}{at:03}\",\"path\":\"/lots/item/{WORK_MS}/{at}\",\"header_map\":{{}},\"payload\":\"q83vEjRWeJA=\",\"token_count\":940}}"
        )
    };
    let items: Vec<String> = (0..ITEMS).map(item).collect();
    let body = format!("{{\"batch_items\":[{}]}}", items.join(","));
    let headers =
        [("Host", "books.example"), ("X-Grebeusher-Attempt-Id", job), ("Content-Type", "application/json")];
    http::request("POST", "/lots/submit", &headers, body.as_bytes())
}

/// The status of a read of a job from its start, and how many results it shows.
fn read(fleet: &Fleet, edge: usize, job: &str) -> (u16, usize) {
    let bytes =
        http::request("GET", &format!("/api/lots/{job}?resume_after=0"), &[("Host", "books.example")], b"");
    let answer = http::call(fleet.frontend_of(edge), &bytes, Duration::from_secs(3));
    answer.map_or((0, 0), |answer| {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        (answer.head.status(), text.matches("\"state\":\"complete\"").count())
    })
}

fn runs_of(fleet: &Fleet, job: &str) -> usize {
    fleet.executor_lines().iter().filter(|line| line.contains(&format!("runs {job}"))).count()
}

pub fn run(setting: &Setting) -> Outcome<Verdict> {
    let mut fleet = Fleet::start(&setting.tier, &setting.out, &setting.folder, MACHINES)?;
    fleet.start_executors("models", EXECUTORS)?;
    fleet.configure(&[0, 1, 2], 0, LOTS, SERVICE)?;
    fleet.wait_until_ready(EXECUTORS)?;
    thread::sleep(CONTACT);

    for number in 0..JOBS {
        let job = job(number);
        let edge = number % MACHINES;
        let status = http::call(fleet.frontend_of(edge), &submission(&job), Duration::from_secs(2))
            .map_or(0, |a| a.head.status());
        let name = fleet.edges[edge].name.clone();
        fleet.record.note(&format!("client sends batch job {job} of {ITEMS} items to {name}: {status}"));
        if status != 202 {
            return Err(CantRun("a batch job was not taken".to_owned()));
        }
    }
    let until = Instant::now() + Duration::from_secs(15);
    while (0..JOBS).any(|number| read(&fleet, CHANGED, &job(number)) != (200, ITEMS)) {
        if Instant::now() > until {
            return Err(CantRun("the batch jobs were not done in time".to_owned()));
        }
        thread::sleep(Duration::from_millis(300));
    }
    let name = fleet.edges[CHANGED].name.clone();
    fleet.record.note(&format!("{name} shows all {JOBS} jobs, each with all its {ITEMS} results complete"));

    if setting.trouble {
        for at in 0..MACHINES {
            fleet.write_settings("edge", at, 2, false)?;
            fleet.write_settings("storage", at, 2, false)?;
        }
        fleet.record.note("fault_tolerance.machine_losses is 2 now in the settings file of every machine");
        signal(fleet.edges[CHANGED].child.id(), SIGHUP);
        fleet.record.note(&format!("SIGHUP to {name}, the first machine of ten"));
    }
    thread::sleep(SETTLE + CONTACT);

    let mut lost = 0;
    for number in 0..JOBS {
        let job = job(number);
        let (status, results) = read(&fleet, CHANGED, &job);
        let (other_status, other_results) = read(&fleet, 1, &job);
        let other = fleet.edges[1].name.clone();
        fleet.record.note(&format!("job {job}: {name} answers {status} with {results} results, {other} {other_status} with {other_results}"));
        lost += usize::from(status == 404 || status == 410);
    }
    // A client that lost its 202 sends the same again, here to the changed machine.
    let mut twice = 0;
    for number in 0..JOBS {
        let job = job(number);
        let before = runs_of(&fleet, &job);
        let status = http::call(fleet.frontend_of(CHANGED), &submission(&job), Duration::from_secs(2))
            .map_or(0, |a| a.head.status());
        thread::sleep(Duration::from_millis(700));
        let after = runs_of(&fleet, &job);
        fleet.record.note(&format!(
            "job {job} again to {name}: {status}; its items ran {before} times before and {after} times now"
        ));
        twice += usize::from(after > before);
    }
    fleet.record.note(&format!(
        "{name} does not know {lost} of {JOBS} accepted jobs; {twice} were taken and run a second time"
    ));
    if lost > 0 {
        fleet.record.note("BROKEN: 404 for a batch job that was accepted");
        return Ok(Verdict::Broken);
    }
    fleet.record.note("held");
    Ok(Verdict::Held)
}
