//! Batch jobs: their storage, the scheduling of their items, and the result pages that clients read.
//!
//! The crate consists of state machines that do no I/O and read no clock; `grebeusher-tier` drives them. A job is
//! processed in these steps:
//!
//! 1. [`read_submission`] parses and validates the submission of a client.
//! 2. [`AdmissionControl`], on the leader, enforces the route's quota and the partition's memory limit.
//! 3. [`Jobs`], on each replica, applies the committed entries of the partition's log ([`Entry`]) and provides the
//!    result pages.
//! 4. [`Runner`], on the leader, chooses the item that runs next, takes the events that [`EventReader`] parses from the
//!    executor's stream, and proposes results to the log. [`FairShare`] divides the executors' capacity among leaders.
//!
//! `grebeusher-quorum` implements the log, and `grebeusher-gateway` chooses the executor of an item.
//!
//! ```
//! use grebeusher_batch::*;
//! use grebeusher_time::Instant;
//! use std::rc::Rc;
//!
//! /// A configuration with a single bulk route.
//! #[derive(Debug)]
//! struct OneRoute;
//!
//! impl RouteLookup for OneRoute {
//!     fn bulk_route(&self, host: &str, path: &str) -> Option<RouteIndex> {
//!         (host == "lots.example" && path.starts_with("/lots/")).then_some(RouteIndex(0))
//!     }
//! }
//!
//! let now = Instant(0);
//! let head = SubmissionHead {
//!     job: JobId::new("job-1").expect("a valid id"),
//!     route: "lots".into(),
//!     service: "models".into(),
//!     host: "lots.example".into(),
//! };
//! let body = br#"{"batch_items":[{"instance_id":"a","path":"/lots/a","header_map":{},
//!     "payload":"q80=","token_count":940}]}"#;
//! let submission = read_submission(head, body).expect("a valid submission");
//! let job = submission.job.clone();
//!
//! // The leader admits the job, proposes it, applies it once it is committed, and responds with 202.
//! let (mut jobs, mut admission, mut runner) = (Jobs::new(), AdmissionControl::new(1 << 20), Runner::new(1));
//! runner.set_routes(&jobs, Rc::new(OneRoute));
//! runner.start_leading(&jobs, now, 0);
//! assert_eq!(admission.admit(&jobs, &submission, 1_000), Admission::Propose);
//! let settings = JobSettings { completion_target_ms: 8_000, retention_ms: 60_000, ..JobSettings::default() };
//! let applied = jobs.apply(Entry::Submit { submission, settings });
//! admission.on_applied(&applied);
//! runner.on_applied(&jobs, &applied, now);
//! assert_eq!(jobs.item_body(&job, "a"), Some(&[0xab, 0xcd][..]));
//!
//! // An executor has capacity. The item is sent there, and its event stream is read.
//! let request = runner.next_item(&jobs, now, &|_: RouteIndex| Some(10_000)).expect("an item");
//! let mut events = EventReader::new();
//! events
//!     .push(b"id: 0\ndata: one\n\nid: 1\ndata: two\n\n", |event| {
//!         assert_eq!(runner.run_event(request.run, event.id, &event.data, now), EventDisposition::Accepted);
//!     })
//!     .expect("valid events");
//! events.finish().expect("a complete stream");
//! runner.run_ended(request.run, RunOutcome::Complete, now);
//!
//! // The result is proposed, and clients can read it once it is committed.
//! while let Some(entry) = runner.next_proposal() {
//!     let applied = jobs.apply(entry);
//!     runner.on_applied(&jobs, &applied, now);
//! }
//! let page = jobs.read(&job, 0, MAX_PAGE_BYTES).expect("the job");
//! assert_eq!(
//!     page.to_json(),
//!     r#"{"total":1,"next_token":1,"result_list":[{"instance_id":"a","state":"complete","text":"one\ntwo"}]}"#
//! );
//! ```

#![warn(missing_docs)]

mod admission;
mod codec;
mod events;
mod fair_share;
mod jobs;
mod names;
mod runner;
mod shared_bytes;
mod submission;

pub use admission::{Admission, AdmissionControl, AdmissionRequest, CommittedJobs};
pub use events::{Event, EventError, EventReader, MAX_EVENT_BYTES};
pub use fair_share::{FairShare, PartitionLoad};
pub use jobs::{
    Applied, EndOutcome, Entry, EventChunk, ItemProgress, ItemResult, JobResults, JobSettings, JobStatus,
    Jobs, ListedResult, MAX_PAGE_BYTES, OpenItem, Page, Progress, ResultState, SnapshotError,
};
pub use names::{ItemIndex, JobId, MAX_ID_BYTES};
pub use runner::{
    Capacity, EventDisposition, GiveUpCause, GivenUp, JobOrigin, JobRoute, MAX_TEXT_BYTES, RouteIndex,
    RouteLookup, RoutedJobs, RunId, RunOutcome, RunRequest, Runner,
};
pub use shared_bytes::{SharedBytes, SharedText};
pub use submission::{
    Header, ItemSpec, MAX_HEADERS, MAX_ITEMS, Submission, SubmissionError, SubmissionHead, TOKEN_HEADER,
    Tokens, read_submission,
};
