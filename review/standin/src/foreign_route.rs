//! The operator takes a bulk route away and adds one for another host and another service under the same name. What waits of a
//! batch job that was taken on the first must not reach the executors of the second.

use crate::fleet::{CantRun, Fleet, Outcome};
use crate::http;
use crate::{Setting, Verdict};
use std::thread;
use std::time::{Duration, Instant};

const ITEMS: usize = 200;
const WORK_MS: u64 = 1500;
const EXECUTORS: usize = 3;
const WATCHED: Duration = Duration::from_secs(9);
const JOB: &str = "5cafe00000000005";

fn lots(host: &str, prefix: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"nightly-lots\",\"hostname\":\"{host}\",\"path_prefix\":\"{prefix}\",\"route_type\":\"bulk\",\"timeout_ms\":8000,\
         \"target_latency_ms\":400,\"priority_level\":2,\"service\":\"{service}\",\"max_attempts\":3,\"session_affinity\":true,\
         \"resumable\":true,\"gap_aim_ms\":250,\"completion_target_ms\":10000,\"retention_s\":40,\"queue_token_limit\":1400000}}"
    )
}

fn service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":220,\"protocol\":\"h1\",\"tls_mode\":false}}"
    )
}

fn submission() -> Vec<u8> {
    let item = |at: usize| {
        format!(
            "{{\"instance_id\":\"{JOB}{at:03}\",\"path\":\"/books/item/{WORK_MS}/{at}\",\"header_map\":{{}},\"payload\":\"q83vEjRWeJA=\",\"token_count\":940}}"
        )
    };
    let items: Vec<String> = (0..ITEMS).map(item).collect();
    let body = format!("{{\"batch_items\":[{}]}}", items.join(","));
    let headers =
        [("Host", "books.example"), ("X-Grebeusher-Attempt-Id", JOB), ("Content-Type", "application/json")];
    http::request("POST", "/books/submit", &headers, body.as_bytes())
}

/// How many items of the job executors of a service have run.
fn runs_at(fleet: &Fleet, service: &str) -> usize {
    let is_run =
        |line: &&String| line.starts_with(&format!("i-{service}-")) && line.contains(&format!("runs {JOB}"));
    fleet.executor_lines().iter().filter(is_run).count()
}

/// How many results of the job are complete.
fn complete(fleet: &Fleet) -> usize {
    let bytes =
        http::request("GET", &format!("/api/lots/{JOB}?resume_after=0"), &[("Host", "books.example")], b"");
    let answer = http::call(fleet.frontend_of(0), &bytes, Duration::from_secs(2));
    answer.map_or(0, |answer| String::from_utf8_lossy(&answer.body).matches("\"state\":\"complete\"").count())
}

pub fn run(setting: &Setting) -> Outcome<Verdict> {
    let mut fleet = Fleet::start(&setting.tier, &setting.out, &setting.folder, 3)?;
    fleet.start_executors("book-models", EXECUTORS)?;
    fleet.start_executors("film-models", EXECUTORS)?;
    let services = format!("{},{}", service("book-models"), service("film-models"));
    let first = lots("books.example", "/books/", "book-models");
    let (version, _) = fleet.configure(&[0, 1, 2], 0, &first, &services)?;
    fleet.wait_until_ready(2 * EXECUTORS)?;

    let status = http::call(fleet.frontend_of(0), &submission(), Duration::from_secs(2))
        .map_or(0, |a| a.head.status());
    fleet
        .record
        .note(&format!("client sends batch job {JOB} of {ITEMS} items for books.example/books/: {status}"));
    if status != 202 {
        return Err(CantRun("the batch job was not taken".to_owned()));
    }
    thread::sleep(Duration::from_millis(1000));
    if setting.trouble {
        let second = lots("films.example", "/films/", "film-models");
        fleet.configure(&[0, 1, 2], version, &second, &services)?;
        fleet.record.note(
            "books.example/books/ -> book-models is taken away, films.example/films/ -> film-models added",
        );
    }
    let until = Instant::now() + WATCHED;
    while Instant::now() < until && complete(&fleet) < ITEMS {
        thread::sleep(Duration::from_millis(500));
        let (books, films) = (runs_at(&fleet, "book-models"), runs_at(&fleet, "film-models"));
        let complete = complete(&fleet);
        fleet.record.note(&format!(
            "items run: {books} at book-models, {films} at film-models; {complete} listed as complete"
        ));
    }
    if !setting.trouble && complete(&fleet) < ITEMS {
        return Err(CantRun("without the disruption the batch job was not done in time".to_owned()));
    }
    let films = runs_at(&fleet, "film-models");
    if films > 0 {
        fleet.record.note(&format!(
            "BROKEN: film-models ran {films} items of books.example/books/, which no configuration allows"
        ));
        return Ok(Verdict::Broken);
    }
    fleet.record.note("held");
    Ok(Verdict::Held)
}
