//! An executor crashes in the middle of an event of an answer that has no length. The client must not get an answer that
//! looks complete.

use crate::fleet::{CantRun, Fleet, Outcome, SIGKILL, signal};
use crate::http::{self, Connection, End};
use crate::{Setting, Verdict};
use std::time::{Duration, Instant};

const EVENTS: usize = 8;
const PAUSE_MS: u64 = 150;
/// The executor is killed between the two pieces of this event.
const KILLED_IN: usize = 4;
const EXECUTORS: usize = 7;

pub fn run(setting: &Setting) -> Outcome<Verdict> {
    let mut fleet = Fleet::start(&setting.tier, &setting.out, &setting.folder, 3)?;
    fleet.start_executors("models", EXECUTORS)?;
    let route = "{\"name\":\"draft\",\"hostname\":\"books.example\",\"path_prefix\":\"/draft/\",\"route_type\":\"streaming\",\
                 \"timeout_ms\":6000,\"target_latency_ms\":300,\"priority_level\":0,\"service\":\"models\",\"max_attempts\":1,\
                 \"session_affinity\":false,\"resumable\":false,\"gap_aim_ms\":250}";
    let service = "{\"name\":\"models\",\"health_path\":\"/health\",\"max_connections\":220,\"protocol\":\"h1\",\"tls_mode\":false}";
    fleet.configure(&[0, 1, 2], 0, route, service)?;
    fleet.wait_until_ready(EXECUTORS)?;

    let attempt = "5cafe00000000001";
    let target = format!("/draft/stream/{EVENTS}/{PAUSE_MS}");
    let headers = [
        ("Host", "books.example"),
        ("X-Grebeusher-Attempt-Id", attempt),
        ("X-Grebeusher-Deadline-Ms", "6000"),
    ];
    let mut client = Connection::open(fleet.frontend_of(0)).map_err(|e| CantRun(e.to_string()))?;
    client.send(&http::request("POST", &target, &headers, b"page")).map_err(|e| CantRun(e.to_string()))?;
    fleet.record.note(&format!("client sends POST {target} as {attempt}"));

    if setting.trouble {
        if !fleet.wait_for_line(&format!("half {KILLED_IN} of {attempt}"), Duration::from_secs(5)) {
            return Err(CantRun("the stream did not get so far".to_owned()));
        }
        let lines = fleet.executor_lines();
        let ran = lines.iter().find(|line| line.contains(&format!("runs {attempt}")));
        let id = ran.and_then(|line| line.split(' ').next()).unwrap_or_default().to_owned();
        let at: usize = id.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let pid = fleet.executors[at].id();
        signal(pid, SIGKILL);
        fleet.record.note(&format!(
            "executor {id}, process {pid}, is killed after the first half of event {KILLED_IN}"
        ));
    }
    let answer = client.read_answer(Instant::now() + Duration::from_secs(7));
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    fleet.record.note(&format!("client has: status {}, end {:?}, body:", answer.head.status(), answer.end));
    text.lines().for_each(|line| fleet.record.plain(&format!("  | {line}")));
    let whole = (1..=EVENTS).all(|n| text.contains(&format!("id: {n}\ndata: first-{n} second-{n}\n\n")));
    let verdict = match (answer.head.status(), answer.end) {
        (200, End::Complete) if !whole => Verdict::Broken,
        _ if !setting.trouble && !whole => {
            return Err(CantRun("without the disruption the stream did not come".to_owned()));
        }
        _ => Verdict::Held,
    };
    fleet.record.note(match verdict {
        Verdict::Broken => "BROKEN: the answer ends early and looks complete",
        Verdict::Held => "held",
    });
    Ok(verdict)
}
