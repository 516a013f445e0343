//! Batch jobs: what is kept, how items are run, what readers see.
//!
//! All of it is a set of state machines without I/O. [`read_submission`] checks what a client sent;
//! [`Leader::admit`] holds the quota; [`Jobs`] is moved by the committed entries of the partition's log, alike on each
//! replica, and answers readers; [`Runner`] says, on the leader, which item runs next, takes the events that
//! [`EventReader`] cuts from the executor's stream, and proposes results to the log.
//!
//! ```
//! use grebeusher_batch::*;
//! use grebeusher_time::Instant;
//!
//! let now = Instant(0);
//! let head = SubmissionHead {
//!     job: JobId::new("job-1").expect("a name"),
//!     route: "lots".into(),
//!     service: "models".into(),
//!     host: "lots.example".into(),
//! };
//! let body = br#"{"batch_items":[{"instance_id":"a","path":"/lots/a","header_map":{},
//!     "payload":"q80=","token_count":940}]}"#;
//! let submission = read_submission(head, body).expect("a proper submission");
//! let job = submission.job.clone();
//!
//! // The leader admits the job, proposes it and, once it is committed, applies it and answers 202.
//! let (mut jobs, mut leader, mut runner) = (Jobs::new(), Leader::new(1 << 20), Runner::new(1));
//! runner.begin(&jobs, now, 0);
//! assert_eq!(leader.admit(&jobs, &submission, 1_000), Admission::Propose);
//! let terms = JobTerms { completion_target_ms: 8_000, retention_ms: 60_000, ..JobTerms::default() };
//! let applied = jobs.apply(Entry::Submit { submission, terms });
//! leader.applied(&applied);
//! runner.applied(&jobs, &applied, now);
//! assert_eq!(jobs.item_body(&job, "a"), Some(&[0xab, 0xcd][..]));
//!
//! // An executor has room: the item is sent there, and its stream is read.
//! let order = runner.next_item(&jobs, now, &|_: &str| Some(10_000)).expect("an item");
//! let mut events = EventReader::new();
//! events
//!     .push(b"id: 0\ndata: one\n\nid: 1\ndata: two\n\n", |event| {
//!         assert_eq!(runner.run_event(order.run, event.id, &event.data, now), EventTaken::Taken);
//!     })
//!     .expect("proper events");
//! events.finish().expect("no event begun");
//! runner.run_ended(order.run, Outcome::Complete, now);
//!
//! // What came out is proposed, and readers see it once it is committed.
//! for entry in runner.take_proposals() {
//!     let applied = jobs.apply(entry);
//!     runner.applied(&jobs, &applied, now);
//! }
//! let page = jobs.read(&job, 0, MAX_PAGE_BYTES).expect("the job");
//! assert_eq!(
//!     page.to_json(),
//!     r#"{"total":1,"next_token":1,"result_list":[{"instance_id":"a","state":"complete","text":"one\ntwo"}]}"#
//! );
//! ```

mod compact;
mod events;
mod fair_share;
mod jobs;
mod leader;
mod names;
mod runner;
mod shared;
mod submission;

pub use events::{Event, EventError, EventReader, MAX_EVENT_BYTES};
pub use fair_share::{FairShare, PartitionLoad};
pub use jobs::{
    Applied, EndState, Entry, EventsPiece, ItemProgress, ItemResult, JobResults, JobStatus, JobTerms, Jobs,
    Listing, MAX_PAGE_BYTES, OpenItem, Page, Progress, ResultState, SnapshotError,
};
pub use leader::{Admission, Leader, Wanted};
pub use names::{ItemIndex, JobId, MAX_NAME_BYTES};
pub use runner::{EventTaken, MAX_TEXT_BYTES, Outcome, Room, RunId, RunOrder, Runner};
pub use shared::{SharedBytes, SharedText};
pub use submission::{
    Header, ItemSpec, MAX_HEADERS, MAX_ITEMS, Submission, SubmissionError, SubmissionHead, TOKEN_HEADER,
    Tokens, read_submission,
};
