//! A client on a slow link is still reading an answer when its edge machine gets SIGTERM. The answer must come whole.

use crate::fleet::{CantRun, Fleet, Outcome, SIGTERM, signal};
use crate::http::{self, Connection};
use crate::system::connect_with;
use crate::{Setting, Verdict};
use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const BYTES: usize = 12_000_000;
/// What the client's link carries in a second.
const BYTES_PER_S: usize = 2_000_000;
const DEADLINE: Duration = Duration::from_millis(7500);
const EXECUTORS: usize = 3;
/// The largest segment of the client's link, as on an Ethernet (bytes); loopback's own are many times larger.
const MOST_SEGMENT: i32 = 1448;
/// What the client's system takes in before the client reads it (bytes).
const RECEIVE_BUFFER: i32 = 64 * 1024;

pub fn run(setting: &Setting) -> Outcome<Verdict> {
    let mut fleet = Fleet::start(&setting.tier, &setting.out, &setting.folder, 3)?;
    fleet.start_executors("files", EXECUTORS)?;
    let route = "{\"name\":\"pages\",\"hostname\":\"books.example\",\"path_prefix\":\"/pages/\",\"route_type\":\"non_idempotent\",\
                 \"timeout_ms\":7500,\"target_latency_ms\":300,\"priority_level\":0,\"service\":\"files\",\"max_attempts\":1,\
                 \"session_affinity\":false,\"resumable\":false}";
    let service = "{\"name\":\"files\",\"health_path\":\"/health\",\"max_connections\":120,\"protocol\":\"h1\",\"tls_mode\":false}";
    fleet.configure(&[0, 1, 2], 0, route, service)?;
    fleet.wait_until_ready(EXECUTORS)?;

    let attempt = "5cafe00000000002";
    let target = format!("/pages/bytes/{BYTES}");
    let headers = [
        ("Host", "books.example"),
        ("X-Grebeusher-Attempt-Id", attempt),
        ("X-Grebeusher-Deadline-Ms", "7500"),
    ];
    let mut client = connect_over_slow_link(&fleet)?;
    let sent = Instant::now();
    client.send(&http::request("POST", &target, &headers, b"page")).map_err(|e| CantRun(e.to_string()))?;
    fleet.record.note(&format!("client sends POST {target} as {attempt}, on a connection that it keeps"));
    let head = client
        .read_head(sent + DEADLINE)
        .ok()
        .flatten()
        .ok_or_else(|| CantRun("no answer began".to_owned()))?;
    fleet.record.note(&format!(
        "client has the head: {}, length {}",
        head.first_line,
        head.get("content-length").unwrap_or("-")
    ));
    if !fleet.wait_for_line(&format!("answered {attempt} with {BYTES} bytes"), Duration::from_secs(2)) {
        return Err(CantRun("the executor did not get rid of its answer".to_owned()));
    }
    fleet.record.note("the executor has handed over its whole answer");
    thread::sleep(Duration::from_millis(300));
    let mut stopped = None;
    if setting.trouble {
        signal(fleet.edges[0].child.id(), SIGTERM);
        stopped = Some(Instant::now());
        let name = fleet.edges[0].name.clone();
        fleet.record.note(&format!("SIGTERM to {name}"));
    }

    let mut body = std::mem::take(&mut client.input);
    let mut piece = vec![0; BYTES_PER_S / 50];
    let started = Instant::now();
    let mut end = "the deadline";
    while sent.elapsed() < DEADLINE && body.len() < BYTES {
        let _ = client.stream.set_read_timeout(Some(Duration::from_millis(500)));
        match client.stream.read(&mut piece) {
            Ok(0) => {
                end = "the connection closed";
                break;
            }
            Ok(count) => body.extend_from_slice(&piece[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => {
                fleet.record.note(&format!("client's read fails: {error}"));
                end = "the connection broke";
                break;
            }
        }
        let due = Duration::from_secs_f64(body.len() as f64 / BYTES_PER_S as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    let after = sent.elapsed().as_millis();
    let whole =
        body.len() == BYTES && body.iter().enumerate().all(|(at, byte)| *byte == b'a' + (at % 23) as u8);
    fleet.record.note(&format!("client has {} of {BYTES} bytes, {after} ms after its request", body.len()));
    if whole {
        fleet.record.note("held: the answer came whole");
        return Ok(Verdict::Held);
    }
    fleet.record.note(&format!("the answer ended with: {end}"));
    let Some(stopped) = stopped else {
        return Err(CantRun("the answer did not come without the disruption".to_owned()));
    };
    if end == "the deadline" {
        return Err(CantRun("the client was too slow for its deadline".to_owned()));
    }
    let ms = stopped.elapsed().as_millis();
    fleet.record.note(&format!(
        "BROKEN: cut {ms} ms after SIGTERM, of a grace period of 8000 ms, before the deadline"
    ));
    Ok(Verdict::Broken)
}

/// A connection of a client behind a slow link: packets of an Ethernet's size and a small window.
fn connect_over_slow_link(fleet: &Fleet) -> Outcome<Connection> {
    let SocketAddr::V4(to) = fleet.frontend_of(0) else { return Err(CantRun("no IPv4 address".to_owned())) };
    let stream = connect_with(to, MOST_SEGMENT, RECEIVE_BUFFER).map_err(|e| CantRun(e.to_string()))?;
    Ok(Connection::over(stream))
}
