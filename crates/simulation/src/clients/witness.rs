//! Readers that look at once whether other nodes know what one node has just said of a batch job.

use super::job_messages::read_page;
use super::{Clients, EXPIRES, Task, pressed, wake};
use crate::call::{HttpCall, Progress, request};
use crate::content::names;
use crate::hub::Owner;
use crate::stage::Stage;
use grebeusher_time::{Duration, Instant};
use rand::seq::IndexedRandom;

/// Nodes that are asked each time.
const NODES: usize = 2;
/// One that has not answered by then is asked no more.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// One read of a job, from its first position.
pub(super) struct Witness {
    pub(super) job: String,
    host: usize,
    sent: Instant,
    pub(super) call: Option<HttpCall>,
    pub(super) gives_up: Instant,
}

impl Clients {
    /// A node has said something of a job: others are asked.
    pub(super) fn ask_witnesses(&mut self, job: &str, host_name: &str, zone: usize, stage: &mut Stage<'_>) {
        let fronts = pressed::fronts(stage, |_| true);
        let chosen: Vec<_> = fronts.choose_multiple(&mut stage.hub.random, NODES).copied().collect();
        for (host, address) in chosen {
            let number = self.new_number();
            let now = stage.now();
            let end = stage.hub.dial(Owner::Clients, self.hosts[zone], address, 0);
            let target = format!("/api/lots/{job}?resume_after=0");
            let bytes = request("GET", &target, &[("Host", host_name), (names::HOLD_MS, "0")], b"");
            let call = Some(HttpCall::new(end, "GET", bytes));
            let witness = Witness { job: job.to_owned(), host, sent: now, call, gives_up: now + TIMEOUT };
            self.tasks.insert(number, Task::Witness(Box::new(witness)));
            self.ends.insert(end, number);
            wake(stage, now + TIMEOUT, EXPIRES, number);
        }
    }

    pub(super) fn witness_answered(&mut self, number: u64, progress: Progress, stage: &mut Stage<'_>) {
        let Some(Task::Witness(mut witness)) = self.tasks.remove(&number) else { return };
        let Some(call) = witness.call.take() else { return };
        self.ends.remove(&call.end);
        stage.hub.close(call.end);
        let now = stage.now();
        let Witness { job, host, sent, .. } = *witness;
        match call.status.filter(|_| progress == Progress::Done) {
            Some(200) => {
                if let Some(page) = read_page(&call.body) {
                    stage.judge.page_read(&job, 0, &page.results, page.total, sent, now);
                }
            }
            Some(404 | 410) => stage.judge.job_missing(&job, host, sent, now, false),
            _ => {}
        }
    }
}
