//! The record of the items that the runner gives up, and why. The caller logs it.

use super::Runner;
use crate::names::{ItemIndex, JobId};

/// Why items were given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpCause {
    /// The item had its maximum number of 500 responses.
    FailedAttempts {
        /// The number of 500 responses, over the terms of all leaders.
        failed: u32,
        /// The number of 500 responses after which items of the job are given up.
        max: u32,
    },
    /// The item had a 422 response.
    Rejected,
    /// The retention of the job is over.
    RetentionOver {
        /// How long ago this replica first saw the job, in milliseconds.
        age_ms: u64,
    },
    /// The items match no route.
    NoRoute,
}

/// Items of one job that were given up at the same time for the same cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// The job.
    pub job: JobId,
    /// The first of the items.
    pub first_item: ItemIndex,
    /// The number of items.
    pub item_count: usize,
    /// Why they were given up.
    pub cause: GiveUpCause,
}

impl Runner {
    /// Returns what was given up since the last call. The results have the state
    /// [`DeadLetter`](crate::ResultState::DeadLetter) and are proposed like all others.
    pub fn take_given_up(&mut self) -> Vec<GivenUp> {
        std::mem::take(&mut self.given_up)
    }
}
