//! Batch jobs from submission to the last read.

use super::job_messages::{Page, job_request, read_page};
use super::{AGAIN, BULK_ROUTES, Clients, EXPIRES, NEW_JOB, Task, pick_node, wake, wake_for_next};
use crate::call::{HttpCall, Progress};
use crate::content;
use crate::hub::Owner;
use crate::judge::{MadeItem, Rule};
use crate::stage::Stage;
use grebeusher_time::{Duration, Instant};
use rand::Rng;

/// How long submitting goes on.
const SUBMIT_DURATION: Duration = Duration::from_millis(8000);
/// Between two reads of a job.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// The share of reads that go to any zone.
const ANYWHERE: f64 = 0.4;
/// The share of pages with results that are read again at once, by way of another node.
const READ_AGAIN: f64 = 0.4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobState {
    Submitting,
    Reading,
    Ending,
    Resting,
    LastRead,
    LastBodies,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobCall {
    Submit,
    Read { from: usize },
    End,
    Body { item: usize },
}

pub(super) struct Job {
    pub(super) id: String,
    pub(super) zone: usize,
    pub(super) host_name: &'static str,
    pub(super) prefix: &'static str,
    pub(super) items: Vec<MadeItem>,
    pub(super) state: JobState,
    pub(super) made: Instant,
    pub(super) accepted: bool,
    pub(super) position: usize,
    pub(super) ends_at: Option<Instant>,
    pub(super) asked: JobCall,
    pub(super) call: Option<HttpCall>,
    pub(super) called: Instant,
    pub(super) host: usize,
    pub(super) gives_up: Instant,
    pub(super) last_from: usize,
    pub(super) bodies: usize,
    /// An item without a body: the list must show it when it is read on.
    pub(super) without_body: Option<usize>,
    /// Whether the next read is one of what has been read already.
    pub(super) checks: bool,
}

impl Clients {
    /// The last reads begin: all that was accepted is read from the start, and bodies are asked for.
    pub fn read_all(&mut self, stage: &mut Stage<'_>) {
        let jobs: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, task)| matches!(task, Task::Job(job) if job.accepted))
            .map(|(number, _)| *number)
            .collect();
        for number in jobs {
            let now = stage.now();
            self.drop_call(number, stage);
            if let Some(Task::Job(job)) = self.tasks.get_mut(&number) {
                job.state = JobState::LastRead;
                job.last_from = 0;
                job.made = now;
                wake(stage, now, AGAIN, number);
            }
        }
    }

    pub(super) fn new_job(&mut self, stage: &mut Stage<'_>) {
        if stage.now() >= self.until.min(self.traffic.jobs_until) {
            return;
        }
        wake_for_next(stage, self.traffic.jobs_per_s, NEW_JOB);
        let number = self.new_number();
        let (host_name, prefix) = BULK_ROUTES[stage.hub.random.random_range(0..BULK_ROUTES.len())];
        let count = stage.hub.random.random_range(1..16);
        let id = format!("{:016x}", content::hash(&[b"job", &number.to_le_bytes()]));
        let items: Vec<MadeItem> = (0..count)
            .map(|item: u64| {
                let name =
                    format!("{:016x}", content::hash(&[b"item", &number.to_le_bytes(), &item.to_le_bytes()]));
                let tokens = 100 + stage.hub.random.random_range(0..400);
                MadeItem {
                    id: name,
                    path: content::padded_path(
                        &format!("{prefix}item-{number:x}-{item}"),
                        self.traffic.event_bytes,
                    ),
                    body: vec![b'p'; self.traffic.item_bytes + item as usize],
                    tokens,
                }
            })
            .collect();
        stage.judge.job_made(&id, prefix, &items);
        let now = stage.now();
        let ends = stage.hub.random.random_bool(0.15);
        let ends_after = Duration::from_millis(stage.hub.random.random_range(100..3000));
        let job = Job {
            id,
            zone: stage.hub.random.random_range(0..self.hosts.len()),
            host_name,
            prefix,
            items,
            state: JobState::Submitting,
            made: now,
            accepted: false,
            position: 0,
            ends_at: ends.then(|| now + ends_after),
            asked: JobCall::Submit,
            call: None,
            called: now,
            host: 0,
            gives_up: now,
            last_from: 0,
            bodies: 0,
            without_body: None,
            checks: false,
        };
        self.tasks.insert(number, Task::Job(Box::new(job)));
        self.call_job(number, stage);
    }

    pub(super) fn call_job(&mut self, number: u64, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(Task::Job(job)) = self.tasks.get_mut(&number) else { return };
        if job.state == JobState::Reading && job.ends_at.is_some_and(|at| now >= at) {
            job.state = JobState::Ending;
            stage.judge.job_end_sent(&job.id, now);
        }
        // Reads go by way of nodes of all zones: whatever one has shown, no other may show less.
        let anywhere = matches!(job.state, JobState::Reading) && stage.hub.random.random_bool(ANYWHERE);
        let zone = if anywhere { stage.hub.random.random_range(0..self.hosts.len()) } else { job.zone };
        let picked = pick_node(zone, false, stage);
        let asked = match job.state {
            JobState::Submitting => JobCall::Submit,
            JobState::Reading => {
                let earlier =
                    job.position > 0 && stage.hub.random.random_bool(if job.checks { 1.0 } else { 0.2 });
                let from =
                    if earlier { stage.hub.random.random_range(0..job.position) } else { job.position };
                JobCall::Read { from }
            }
            JobState::Ending => JobCall::End,
            JobState::LastRead => JobCall::Read { from: job.last_from },
            JobState::LastBodies => JobCall::Body { item: job.bodies },
            JobState::Resting => return,
        };
        let Some((host, address)) = picked else {
            return wake(stage, now + Duration::from_millis(300), AGAIN, number);
        };
        let end = stage.hub.dial(Owner::Clients, self.hosts[job.zone], address, 0);
        let (method, bytes, within) = job_request(job, asked);
        if asked == JobCall::Submit {
            stage.judge.job_tried(&job.id);
        }
        job.asked = asked;
        job.host = host;
        job.called = now;
        job.gives_up = now + within;
        job.call = Some(HttpCall::new(end, method, bytes));
        self.ends.insert(end, number);
        wake(stage, now + within, EXPIRES, number);
        self.advance(number, stage);
    }

    pub(super) fn job_answered(&mut self, number: u64, progress: Progress, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(Task::Job(job)) = self.tasks.get_mut(&number) else { return };
        let Some(call) = job.call.take() else { return };
        self.ends.remove(&call.end);
        stage.hub.close(call.end);
        let status = call.status.filter(|_| progress == Progress::Done).unwrap_or(0);
        match (job.asked, status) {
            (JobCall::Submit, 202) => {
                job.accepted = true;
                job.state = JobState::Reading;
                stage.judge.job_accepted(&job.id, now);
                self.taken.push(job.host);
                let (id, host_name, zone) = (job.id.clone(), job.host_name, job.zone);
                wake(stage, now + READ_INTERVAL, AGAIN, number);
                self.ask_witnesses(&id, host_name, zone, stage);
            }
            (JobCall::Submit, 429 | 503) => {
                stage.judge.job_refused(&job.id);
                self.job_failed(number, stage);
            }
            (JobCall::Read { from }, 200) => {
                if self.page(number, from, &call.body, stage).is_none() {
                    self.job_failed(number, stage);
                }
            }
            (JobCall::Read { .. }, 404 | 410) => {
                let last = job.state == JobState::LastRead;
                stage.judge.job_missing(&job.id, job.host, job.called, now, last);
                self.job_failed(number, stage);
            }
            (JobCall::Body { item }, 404 | 410) => {
                // It may have been listed since the list was read to its end.
                job.without_body = Some(item);
                job.state = JobState::LastRead;
                wake(stage, now, AGAIN, number);
            }
            (JobCall::Body { item }, 200) => {
                if call.body != job.items[item].body {
                    let what = format!("the body of item {} is another one", job.items[item].id);
                    stage.judge.breach(Rule::Mixed, now, what);
                }
                job.bodies = item + 1;
                self.next_body(number, stage);
            }
            (JobCall::End, 200) => {
                stage.judge.job_ended(&job.id, job.host, now);
                job.state = JobState::Resting;
            }
            _ => self.job_failed(number, stage),
        }
    }

    pub(super) fn job_failed(&mut self, number: u64, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(Task::Job(job)) = self.tasks.get_mut(&number) else { return };
        if job.state == JobState::Submitting && now.since(job.made) > SUBMIT_DURATION {
            job.state = JobState::Resting;
            return;
        }
        let pause = Duration::from_millis(stage.hub.random.random_range(100..500));
        wake(stage, now + pause, AGAIN, number);
    }

    /// A page of results; `None` if it can't be read.
    fn page(&mut self, number: u64, from: usize, body: &[u8], stage: &mut Stage<'_>) -> Option<()> {
        let now = stage.now();
        let Some(Task::Job(job)) = self.tasks.get_mut(&number) else { return None };
        let Page { total, results } = read_page(body)?;
        stage.judge.page_read(&job.id, from, &results, total, job.called, now);
        let reached = from + results.len();
        if job.state == JobState::LastRead {
            job.last_from = reached;
            if results.is_empty() && reached < stage.judge.positions(&job.id) {
                stage.judge.job_lost(&job.id, "a result that had been read is not there", now);
            }
            if results.is_empty() || reached >= total {
                stage.judge.job_read_to_its_end(&job.id, now);
                job.state = JobState::LastBodies;
                self.next_body(number, stage);
            } else {
                wake(stage, now, AGAIN, number);
            }
            return Some(());
        }
        let news = reached > job.position;
        job.position = job.position.max(reached);
        job.checks = !job.checks && !results.is_empty() && stage.hub.random.random_bool(READ_AGAIN);
        if job.checks {
            wake(stage, now + Duration::from_millis(1), AGAIN, number);
        } else if job.position >= total {
            job.state = JobState::Resting;
        } else {
            wake(stage, now + READ_INTERVAL, AGAIN, number);
        }
        if news {
            let (id, host_name, zone) = (job.id.clone(), job.host_name, job.zone);
            self.ask_witnesses(&id, host_name, zone, stage);
        }
        Some(())
    }

    /// Goes on to the next item that is not listed.
    fn next_body(&mut self, number: u64, stage: &mut Stage<'_>) {
        let now = stage.now();
        let Some(Task::Job(job)) = self.tasks.get_mut(&number) else { return };
        if let Some(item) = job.without_body.take().map(|item| &job.items[item].id)
            && !stage.judge.is_listed(&job.id, item)
        {
            let what = format!("item {item} is neither listed nor gives its body");
            stage.judge.job_lost(&job.id, &what, now);
        }
        // Items of ended jobs need no body any more.
        while job.bodies < job.items.len() && stage.judge.is_listed(&job.id, &job.items[job.bodies].id) {
            job.bodies += 1;
        }
        if job.bodies >= job.items.len() || job.ends_at.is_some_and(|at| now >= at) || job.bodies > 3 {
            job.state = JobState::Resting;
            return;
        }
        wake(stage, now, AGAIN, number);
    }
}
