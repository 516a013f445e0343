//! A storage machine freezes while batch jobs of two hosts run, both of whose partitions one other machine leads. Each item that
//! was accepted has to be listed in the end.

use crate::fleet::{CantRun, Fleet, Outcome, SIGCONT, SIGSTOP, signal};
use crate::http;
use crate::{Setting, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: usize = 12;
const PARTITIONS: usize = 3;
const ITEMS: usize = 200;
const JOBS: usize = 5;
const WORK_MS: u64 = 100;
/// Of so many bytes of data each: the means that the sheet of the site names.
const EVENTS: usize = 42;
/// As on the sheet of the site, with 24 slots each.
const EXECUTORS: usize = 18;
const FREEZE: Duration = Duration::from_millis(3150);
const RETENTION_S: u64 = 40;
/// Past `finish_s` (10 s), and past the time from which an item may be given up.
const WATCHED: Duration = Duration::from_secs(RETENTION_S + 5);
/// Before the end no executor may have had an item for this long, or the rule excuses what is not listed.
const QUIET: Duration = Duration::from_secs(5);
/// How often the deployment is started until its leaders stand as the case wants them.
const STARTS: usize = 8;

const SERVICE: &str = "{\"name\":\"models\",\"health_path\":\"/health\",\"max_connections\":220,\"protocol\":\"h1\",\"tls_mode\":false}";

fn host(number: usize) -> String {
    format!("h{number:02}.example")
}

fn route(number: usize) -> String {
    format!(
        "{{\"name\":\"lots-{number}\",\"hostname\":\"{}\",\"path_prefix\":\"/lots/\",\"route_type\":\"bulk\",\"timeout_ms\":8000,\
         \"target_latency_ms\":400,\"priority_level\":2,\"service\":\"models\",\"max_attempts\":3,\"session_affinity\":true,\
         \"resumable\":true,\"gap_aim_ms\":250,\"completion_target_ms\":10000,\"retention_s\":{RETENTION_S},\"queue_token_limit\":1400000}}",
        host(number)
    )
}

fn submission(host: &str, job: &str, items: usize) -> Vec<u8> {
    let item = |at: usize| {
        format!(
            "{{\"instance_id\":\"{job}{at:03}\",\"path\":\"/lots/text/{WORK_MS}/{EVENTS}/{at}\",\"header_map\":{{}},\"payload\":\"q83vEjRWeJA=\",\"token_count\":940}}"
        )
    };
    let items: Vec<String> = (0..items).map(item).collect();
    let body = format!("{{\"batch_items\":[{}]}}", items.join(","));
    let headers = [("Host", host), ("X-Grebeusher-Attempt-Id", job), ("Content-Type", "application/json")];
    http::request("POST", "/lots/submit", &headers, body.as_bytes())
}

/// How many items of a job are complete and dead.
fn listed(fleet: &Fleet, host: &str, job: &str) -> (usize, usize) {
    let (mut complete, mut dead, mut after) = (0, 0, 0);
    for _ in 0..100 {
        let bytes =
            http::request("GET", &format!("/api/lots/{job}?resume_after={after}"), &[("Host", host)], b"");
        let Some(answer) = http::call(fleet.frontend_of(0), &bytes, Duration::from_secs(3)) else { break };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let count = |state: &str| text.matches(&format!("\"state\":\"{state}\"")).count();
        let came = count("complete") + count("dead_letter");
        complete += count("complete");
        dead += count("dead_letter");
        after += came;
        if came == 0 {
            break;
        }
    }
    (complete, dead)
}

fn status(fleet: &Fleet, path: &str) -> String {
    let bytes = http::request("GET", path, &[("Host", "c")], b"");
    let answer = http::call(fleet.control_of(0), &bytes, Duration::from_secs(2));
    answer.map_or_else(String::new, |answer| String::from_utf8_lossy(&answer.body).into_owned())
}

/// How the leaders stand.
struct Stand {
    /// A host each of two partitions that one storage machine leads.
    hosts: [String; 2],
    /// The storage machine that leads none, while the third leads one.
    idle: usize,
}

/// Sends a batch job of one item to each host, one after the other: a machine that leads two partitions with items hands one
/// over by itself, and not again for 5 s.
fn stand(fleet: &mut Fleet) -> Option<Stand> {
    for number in 0..HOSTS {
        let (host, job) = (host(number), format!("5cafe0000000b0{number:02}"));
        http::call(fleet.frontend_of(0), &submission(&host, &job, 1), Duration::from_secs(2))?;
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until && listed(fleet, &host, &job).0 == 0 {
            thread::sleep(Duration::from_millis(20));
        }
    }
    thread::sleep(Duration::from_millis(500));
    let overview = status(fleet, "/api/status");
    let mut leads: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for partition in 1..=PARTITIONS {
        let line = overview.lines().find(|line| line.starts_with(&format!("part {partition} owner ")))?;
        let at = fleet.stores.iter().position(|store| line.contains(&format!("{}:", store.ip)))?;
        leads.entry(at).or_default().push(partition);
    }
    let (_, two) = leads.iter().find(|(_, led)| led.len() == 2)?;
    let idle = (0..fleet.stores.len()).find(|at| !leads.contains_key(at))?;
    let host_of = |partition: usize| {
        let text = status(fleet, &format!("/api/status/{partition}"));
        (0..HOSTS).find(|number| text.contains(&format!("5cafe0000000b0{number:02}"))).map(host)
    };
    Some(Stand { hosts: [host_of(two[0])?, host_of(two[1])?], idle })
}

fn start(setting: &Setting) -> Outcome<(Fleet, Stand)> {
    for _ in 0..STARTS {
        let mut fleet = Fleet::start(&setting.tier, &setting.out, &setting.folder, 3)?;
        fleet.start_executors("models", EXECUTORS)?;
        let routes: Vec<String> = (0..HOSTS).map(route).collect();
        fleet.configure(&[0, 1, 2], 0, &routes.join(","), SERVICE)?;
        fleet.wait_until_ready(EXECUTORS)?;
        if let Some(stand) = stand(&mut fleet) {
            return Ok((fleet, stand));
        }
        drop(fleet);
        // The next start is a first one again.
        for entry in fs::read_dir(&setting.folder).into_iter().flatten().flatten() {
            let _ = fs::remove_dir_all(entry.path());
            let _ = fs::remove_file(entry.path());
        }
    }
    Err(CantRun("the leaders never stood as the case wants them".to_owned()))
}

pub fn run(setting: &Setting) -> Outcome<Verdict> {
    let (mut fleet, Stand { hosts, idle }) = start(setting)?;
    fleet.record.note(&format!(
        "one storage machine leads the partitions of {} and {}, {} leads none",
        hosts[0], hosts[1], fleet.stores[idle].name
    ));
    let mut jobs = Vec::new();
    for (at, host) in hosts.iter().enumerate() {
        jobs.extend((0..JOBS).map(|number| (host.clone(), format!("5cafe0000000c{at}{number:02}"))));
    }
    let frozen = Instant::now();
    let (name, pid) = (fleet.stores[idle].name.clone(), fleet.stores[idle].child.id());
    if setting.trouble {
        signal(pid, SIGSTOP);
        fleet.record.note(&format!("{name} stands still"));
    }
    let senders: Vec<_> = jobs
        .iter()
        .enumerate()
        .map(|(at, (host, job))| {
            let (to, bytes) = (fleet.frontend_of(at % 3), submission(host, job, ITEMS));
            thread::spawn(move || {
                http::call(to, &bytes, Duration::from_secs(4)).map_or(0, |a| a.head.status())
            })
        })
        .collect();
    let statuses: Vec<u16> = senders.into_iter().map(|sender| sender.join().unwrap_or(0)).collect();
    fleet
        .record
        .note(&format!("{} clients send a batch job of {ITEMS} items each: {statuses:?}", jobs.len()));
    if statuses.iter().any(|status| *status != 202) {
        return Err(CantRun("a batch job was not taken".to_owned()));
    }
    if setting.trouble {
        thread::sleep(FREEZE.saturating_sub(frozen.elapsed()));
        signal(pid, SIGCONT);
        fleet.record.note(&format!("{name} goes on, after {} ms", frozen.elapsed().as_millis()));
    }

    let total = jobs.len() * ITEMS;
    let (mut lines, mut changed) = (0, Instant::now());
    let mut shown = 0;
    let mut counts;
    loop {
        thread::sleep(Duration::from_millis(500));
        let now = fleet.executor_lines().len();
        if now != lines {
            (lines, changed) = (now, Instant::now());
        }
        counts = jobs.iter().map(|(host, job)| listed(&fleet, host, job)).collect::<Vec<_>>();
        let sum = counts.iter().map(|(complete, dead)| complete + dead).sum::<usize>();
        if sum != shown {
            shown = sum;
            fleet.record.note(&format!("{sum} of {total} items are listed"));
        }
        if sum == total {
            fleet.record.note("held: all are");
            return Ok(Verdict::Held);
        }
        if frozen.elapsed() >= WATCHED {
            break;
        }
    }
    fleet.record.note(&format!("executors have been without an item for {} s", changed.elapsed().as_secs()));
    let finished = fleet.executor_lines();
    let finished: BTreeSet<&str> =
        finished.iter().filter_map(|line| Some(line.split_once(" finished ")?.1)).collect();
    for ((host, job), (complete, dead)) in jobs.iter().zip(&counts) {
        let done = finished.iter().filter(|item| item.starts_with(job.as_str())).count();
        fleet.record.note(&format!("job {job} of {host}: of {ITEMS} items {complete} complete, {dead} dead; executors have finished {done}"));
    }
    if changed.elapsed() < QUIET || !setting.trouble {
        return Err(CantRun("the executors were still at work".to_owned()));
    }
    let missing: usize = counts.iter().map(|(complete, dead)| ITEMS - complete - dead).sum();
    fleet.record.note(&format!(
        "BROKEN: {missing} accepted items are neither complete nor dead, and nobody runs them"
    ));
    Ok(Verdict::Broken)
}
