//! The log lines about items: how each run starts and ends, which items are given up and why, and how far the partitions that
//! this node leads have come.

use crate::batch::items::ActiveRun;
use crate::node::Node;
use grebeusher_batch::{GiveUpCause, GivenUp, RunOutcome, RunRequest};
use grebeusher_time::DurationExt;
use tracing::{debug, warn};

impl Node {
    /// Logs that a run has been sent to an executor by the route `route` of the configuration `version`.
    pub(super) fn log_run_start(
        &self,
        run: &ActiveRun,
        order: &RunRequest,
        route: Option<&str>,
        version: u64,
    ) {
        debug!(
            partition = self.partitions[run.partition_index].partition,
            job = order.job.as_str(),
            item = order.attempt_id,
            run = order.run.0,
            host = order.host,
            path = order.path.as_str(),
            route,
            executor = %run.executor,
            connection = run.connection_serial,
            version,
            "item starts"
        );
    }

    /// Logs how a run has ended.
    pub(super) fn log_run_end(&self, run: &ActiveRun, outcome: RunOutcome) {
        debug!(
            partition = self.partitions[run.partition_index].partition,
            item = run.item_id,
            run = run.run_id.0,
            executor = %run.executor,
            connection = run.connection_serial,
            status = run.status,
            ?outcome,
            milliseconds = self.now.since(run.started_at).nanos() / 1_000_000,
            "item run ended"
        );
    }

    /// Logs the items of a led partition that were given up, and why.
    pub(super) fn log_given_up(&mut self, index: usize) {
        let partition_number = self.partitions[index].partition;
        let Some(partition) = self.batch_partition_mut(index) else { return };
        for given_up in partition.runner_mut().take_given_up() {
            let item = partition.jobs().open_item_id(&given_up.job, given_up.first_item);
            warn_given_up(partition_number, item, &given_up);
        }
    }

    /// Logs the progress of a led partition's items at an interval, as long as the results of some are not
    /// listed yet.
    pub(crate) fn log_item_progress(&mut self, index: usize) {
        let (now, partition_number) = (self.now, self.partitions[index].partition);
        let Some(partition) = self.batch_partition_mut(index) else { return };
        if !partition.runner().has_open_items() || !partition.take_progress_log_due(now) {
            return;
        }
        let waiting_tokens = self.unstarted_tokens(index);
        let Some(partition) = self.batch_partition_mut(index) else { return };
        let runner = partition.runner();
        debug!(
            partition = partition_number,
            running = runner.running_count(),
            waiting_tokens,
            unrouted = runner.unrouted_count(),
            finished = runner.finished_count(),
            unproposed = runner.unproposed_count(),
            jobs = partition.jobs().len(),
            "items running"
        );
    }
}

fn warn_given_up(partition: u8, item: Option<&str>, given_up: &GivenUp) {
    let (job, items) = (given_up.job.as_str(), given_up.item_count);
    match given_up.cause {
        GiveUpCause::FailedAttempts { failed, max } => {
            warn!(partition, job, item, items, failed, max, "items given up after failed attempts");
        }
        GiveUpCause::Rejected => warn!(partition, job, item, items, "items given up after a 422 response"),
        GiveUpCause::RetentionOver { age_ms } => {
            warn!(partition, job, item, items, age_ms, "items given up at the end of their retention");
        }
        GiveUpCause::NoRoute => warn!(partition, job, item, items, "items given up without a route"),
    }
}
