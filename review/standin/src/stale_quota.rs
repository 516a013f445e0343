//! An edge machine stands still while the operator lowers what may wait on a route. A batch job that is sent to it after the
//! change is in force must not be taken beyond the new limit.

use crate::fleet::{CantRun, Fleet, Outcome, SIGCONT, SIGSTOP, signal};
use crate::http::{self, Connection};
use crate::{Setting, Verdict};
use std::thread;
use std::time::{Duration, Instant};

const OLD_LIMIT: u64 = 100_000;
const NEW_LIMIT: u64 = 10_000;
const ITEMS: u64 = 50;
const ITEM_TOKENS: u64 = 1000;
const FREEZE: Duration = Duration::from_millis(3150);
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
const EXECUTORS: usize = 3;

fn route(limit: u64) -> String {
    format!(
        "{{\"name\":\"lots\",\"hostname\":\"books.example\",\"path_prefix\":\"/lots/\",\"route_type\":\"bulk\",\"timeout_ms\":8000,\
         \"target_latency_ms\":400,\"priority_level\":2,\"service\":\"models\",\"max_attempts\":3,\"session_affinity\":true,\
         \"resumable\":true,\"gap_aim_ms\":250,\"completion_target_ms\":10000,\"retention_s\":40,\"queue_token_limit\":{limit}}}"
    )
}

fn job(attempt: &str) -> Vec<u8> {
    let item = |at: u64| {
        format!(
            "{{\"instance_id\":\"{attempt}{at:03}\",\"path\":\"/lots/item/1500/{at}\",\"header_map\":{{}},\"payload\":\"q83vEjRWeJA=\",\"token_count\":{ITEM_TOKENS}}}"
        )
    };
    let items: Vec<String> = (0..ITEMS).map(item).collect();
    let body = format!("{{\"batch_items\":[{}]}}", items.join(","));
    let headers = [
        ("Host", "books.example"),
        ("X-Grebeusher-Attempt-Id", attempt),
        ("Content-Type", "application/json"),
    ];
    http::request("POST", "/lots/submit", &headers, body.as_bytes())
}

pub fn run(setting: &Setting) -> Outcome<Verdict> {
    let mut fleet = Fleet::start(&setting.tier, &setting.out, &setting.folder, 3)?;
    fleet.start_executors("models", EXECUTORS)?;
    let service = "{\"name\":\"models\",\"health_path\":\"/health\",\"max_connections\":220,\"protocol\":\"h1\",\"tls_mode\":false}";
    let (version, _) = fleet.configure(&[0, 1, 2], 0, &route(OLD_LIMIT), service)?;
    fleet.wait_until_ready(EXECUTORS)?;

    let frozen = Instant::now();
    let (name, pid) = (fleet.edges[0].name.clone(), fleet.edges[0].child.id());
    if setting.trouble {
        signal(pid, SIGSTOP);
        fleet.record.note(&format!("{name} stands still"));
    }
    let (_, acknowledged) = fleet.configure(&[1, 2], version, &route(NEW_LIMIT), service)?;
    fleet.record.note(&format!("queue_token_limit is {NEW_LIMIT} now"));
    thread::sleep((CONFIG_APPLY + Duration::from_millis(150)).saturating_sub(acknowledged.elapsed()));

    // The platform has missed the machine once so far and still sends new connections.
    let attempt = "5cafe00000000003";
    let mut client = Connection::open(fleet.frontend_of(0)).map_err(|e| CantRun(e.to_string()))?;
    let sent = Instant::now();
    client.send(&job(attempt)).map_err(|e| CantRun(e.to_string()))?;
    let after = acknowledged.elapsed().as_millis();
    let tokens = ITEMS * ITEM_TOKENS;
    fleet.record.note(&format!(
        "client sends batch job {attempt} of {tokens} tokens to {name}, {after} ms after the acknowledgement"
    ));
    if setting.trouble {
        thread::sleep(FREEZE.saturating_sub(frozen.elapsed()));
        signal(pid, SIGCONT);
        fleet.record.note(&format!("{name} goes on, after {} ms", frozen.elapsed().as_millis()));
    }
    let answer = client.read_answer(sent + Duration::from_secs(1));
    let mut taken = answer.head.status() == 202;
    fleet.record.note(&format!("{name} answers {} {:?}", answer.head.status(), answer.end));
    drop(client);
    for edge in [1, 2, 1, 2] {
        thread::sleep(Duration::from_millis(300));
        let status = http::call(fleet.frontend_of(edge), &job(attempt), Duration::from_secs(1))
            .map_or(0, |a| a.head.status());
        let other = fleet.edges[edge].name.clone();
        fleet.record.note(&format!("the same job again at {other}: {status}"));
        taken |= status == 202;
    }
    thread::sleep(Duration::from_millis(2500));
    let ran = fleet.executor_lines().iter().filter(|line| line.contains("runs 5cafe00000000003")).count();
    fleet.record.note(&format!("executors ran {ran} items of it"));
    if taken {
        fleet.record.note(&format!("BROKEN: 202 for {tokens} tokens where {NEW_LIMIT} x 1.1 may wait"));
        return Ok(Verdict::Broken);
    }
    fleet.record.note("held");
    Ok(Verdict::Held)
}
