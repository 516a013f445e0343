//! Clients of batch jobs: each hands one small job in after the other, and reads its results until all are listed.

use super::SoakReport;
use crate::answer_faults::AnswerFaults;
use crate::error::DemoError;
use crate::job::{ItemResult, Job};
use crate::watch::Watch;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// Clients at once.
const CLIENTS: u64 = 4;
/// The items of a job. With few items, the next run of one often finds the connection of the last one idle.
const ITEMS: std::ops::RangeInclusive<usize> = 1..=2;
/// The numbers of a client's jobs are below this.
const MAX_JOBS_OF_CLIENT: u64 = 100_000;
/// `max_attempts` of the jobs' route.
const MAX_ATTEMPTS: u32 = 3;

/// The clients' threads.
pub(super) struct JobClients {
    threads: Vec<JoinHandle<SoakReport>>,
}

impl JobClients {
    pub fn start(
        frontends: &[SocketAddrV4],
        seed: u64,
        watch: &Watch,
        faults: &Arc<AnswerFaults>,
        stop: &Arc<AtomicBool>,
    ) -> JobClients {
        let clients = (0..CLIENTS).map(|client| {
            let (frontends, watch) = (frontends.to_vec(), watch.clone());
            let (faults, stop) = (faults.clone(), stop.clone());
            std::thread::spawn(move || {
                let random = Pcg64::seed_from_u64(seed ^ (client + 1));
                run_client(&frontends, &watch, &faults, &stop, client, random)
            })
        });
        JobClients { threads: clients.collect() }
    }

    /// Waits until the last jobs are read, and adds what the clients saw.
    pub fn finish(self, report: &mut SoakReport) {
        for thread in self.threads {
            let seen = thread.join().unwrap_or_else(|_| SoakReport {
                breaches: vec!["a client of batch jobs panicked".to_owned()],
                ..SoakReport::default()
            });
            report.jobs += seen.jobs;
            report.complete += seen.complete;
            report.given_up += seen.given_up;
            report.breaches.extend(seen.breaches);
        }
    }
}

fn run_client(
    frontends: &[SocketAddrV4],
    watch: &Watch,
    faults: &AnswerFaults,
    stop: &AtomicBool,
    client: u64,
    mut random: Pcg64,
) -> SoakReport {
    let mut seen = SoakReport::default();
    let mut number = client * MAX_JOBS_OF_CLIENT;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let mut job = Job::numbered(watch, frontends, number, random.random_range(ITEMS));
        if let Err(error) = run_job(&mut job, faults, &mut seen) {
            seen.breaches.push(format!("LOST: job {}: {error}", job.id()));
            return seen;
        }
    }
    seen
}

/// Hands the job in, reads it to its end, and reads it again from the start.
fn run_job(job: &mut Job<'_>, faults: &AnswerFaults, seen: &mut SoakReport) -> Result<(), DemoError> {
    job.submit()?;
    seen.jobs += 1;
    let mut results: Vec<ItemResult> = Vec::new();
    while results.len() < job.items() {
        results.extend(job.read(results.len())?);
    }
    let again = job.read(0)?;
    if again.len() > results.len() || again[..] != results[..again.len()] {
        seen.breaches.push(format!("TWICE: job {} shows other results when it is read again", job.id()));
    }
    for index in 0..job.items() {
        check_item(job, index, &results, faults, seen);
    }
    Ok(())
}

fn check_item(
    job: &Job<'_>,
    index: usize,
    results: &[ItemResult],
    faults: &AnswerFaults,
    seen: &mut SoakReport,
) {
    let id = job.item_id(index);
    let own: Vec<&ItemResult> = results.iter().filter(|result| result.id == id).collect();
    let [result] = own[..] else {
        return seen.breaches.push(format!("TWICE: item {id} is listed {} times", own.len()));
    };
    match result.state.as_str() {
        "complete" if result.text == job.text(index) => seen.complete += 1,
        "complete" => seen.breaches.push(format!("MIXED: item {id} has the text {:?}", result.text)),
        _ if faults.failures_of(&id) >= MAX_ATTEMPTS => seen.given_up += 1,
        state => {
            let failures = faults.failures_of(&id);
            seen.breaches.push(format!("MIXED: item {id} is {state} after {failures} failures"));
        }
    }
}
