//! The result pages of jobs, and the effects of entries on results, statuses and bodies.

use grebeusher_batch::*;
use proptest::prelude::*;
use rstest::rstest;
use tinyjson::JsonValue;

use crate::fixture::*;

fn read_json(jobs: &Jobs, name: &str, from: usize, max_bytes: usize) -> String {
    jobs.read(&job(name), from, max_bytes).expect("the job is known").to_json()
}

#[test]
fn a_job_without_results_has_a_total() {
    let mut jobs = Jobs::new();
    jobs.apply(submit("j", 3));
    assert_eq!(read_json(&jobs, "j", 0, MAX_PAGE_BYTES), r#"{"total":3,"next_token":0,"result_list":[]}"#);
}

/// Guards against results with the id or the text of another item, and against a wrong `total`.
#[test]
fn results_are_in_the_order_of_their_entries() {
    let mut jobs = Jobs::new();
    jobs.apply(submit("j", 3));
    jobs.apply(complete_item("j", 2, "two"));
    let results = vec![result(0, ResultState::DeadLetter, ""), result(1, ResultState::Complete, "a\n\"b\"")];
    jobs.apply(Entry::Results(vec![JobResults { job: job("j"), results }]));
    assert_eq!(
        read_json(&jobs, "j", 1, MAX_PAGE_BYTES),
        concat!(
            r#"{"total":3,"next_token":3,"result_list":[{"instance_id":"j-0","state":"dead_letter","text":""},"#,
            r#"{"instance_id":"j-1","state":"complete","text":"a\n\"b\""}]}"#
        )
    );
    assert_eq!(read_json(&jobs, "j", 3, MAX_PAGE_BYTES), r#"{"total":3,"next_token":3,"result_list":[]}"#);
    assert_eq!(read_json(&jobs, "j", 9, MAX_PAGE_BYTES), r#"{"total":3,"next_token":9,"result_list":[]}"#);
}

/// Guards against an item at two positions, and against a result that changes.
#[test]
fn an_item_is_listed_once_and_its_position_never_changes() {
    let mut jobs = Jobs::new();
    jobs.apply(submit("j", 2));
    jobs.apply(complete_item("j", 1, "first"));
    let seen = listed_results(&jobs, "j");
    assert_eq!(jobs.apply(complete_item("j", 1, "second")), Applied::Listed(vec![]));
    jobs.apply(complete_item("j", 0, "other"));
    jobs.apply(Entry::Ended { job: job("j") });
    assert_eq!(listed_results(&jobs, "j")[..1], seen[..]);
    assert_eq!(listed_results(&jobs, "j").len(), 2);
}

#[test]
fn results_of_unknown_items_and_jobs_are_ignored() {
    let mut jobs = Jobs::new();
    jobs.apply(submit("j", 1));
    let before = jobs.clone();
    assert_eq!(jobs.apply(complete_item("j", 1, "x")), Applied::Listed(vec![]));
    assert_eq!(jobs.apply(complete_item("k", 0, "x")), Applied::Listed(vec![]));
    assert_eq!(jobs, before);
}

/// Guards against a repeated submission that replaces the accepted job, even if its body differs.
#[test]
fn a_job_is_accepted_once() {
    let mut jobs = Jobs::new();
    assert_eq!(jobs.apply(submit("j", 2)), Applied::Submitted { job: job("j"), already_accepted: false });
    jobs.apply(complete_item("j", 0, "text"));
    let before = jobs.clone();
    assert_eq!(jobs.apply(submit("j", 5)), Applied::Submitted { job: job("j"), already_accepted: true });
    assert_eq!(jobs, before);
}

#[test]
fn ending_a_job_is_idempotent() {
    let mut jobs = Jobs::new();
    jobs.apply(submit("j", 2));
    jobs.apply(complete_item("j", 0, "text"));
    let ended = |outcome| Applied::Ended { job: job("j"), outcome };
    assert_eq!(jobs.apply(Entry::Ended { job: job("j") }), ended(EndOutcome::Ended));
    assert_eq!(jobs.apply(Entry::Ended { job: job("j") }), ended(EndOutcome::AlreadyEnded));
    let unknown = Applied::Ended { job: job("k"), outcome: EndOutcome::UnknownJob };
    assert_eq!(jobs.apply(Entry::Ended { job: job("k") }), unknown);
    assert_eq!(listed_results(&jobs, "j").len(), 1, "committed results stay");
    assert_eq!(jobs.apply(complete_item("j", 1, "late")), Applied::Listed(vec![]));
    assert_eq!(jobs.status(&job("j")), Some(JobStatus { total: 2, listed: 1, has_ended: true }));
}

/// Guards against missing or swapped bodies: the body of an item is readable while the item is open.
#[test]
fn a_body_is_readable_while_its_item_is_open() {
    let mut jobs = Jobs::new();
    jobs.apply(submit("j", 3));
    jobs.apply(submit("k", 1));
    jobs.apply(complete_item("j", 0, "text"));
    assert_eq!(jobs.item_body(&job("j"), "j-0"), None, "the item is listed");
    assert_eq!(jobs.item_body(&job("j"), "j-1"), Some(&b"body of j-1"[..]));
    assert_eq!(jobs.item_body(&job("j"), "k-0"), None, "an item of another job");
    assert_eq!(jobs.item_body(&job("l"), "j-1"), None, "no such job");
    jobs.apply(Entry::Ended { job: job("j") });
    assert_eq!(jobs.item_body(&job("j"), "j-1"), None, "the job has ended");
    assert_eq!(jobs.item_body(&job("k"), "k-0"), Some(&b"body of k-0"[..]));
}

/// Guards against removing an open job, even if an entry names it.
#[test]
fn an_open_job_is_not_forgotten() {
    let mut jobs = Jobs::new();
    for name in ["open", "listed", "ended"] {
        jobs.apply(submit(name, 1));
    }
    jobs.apply(complete_item("listed", 0, "text"));
    jobs.apply(Entry::Ended { job: job("ended") });
    let all = ["open", "listed", "ended", "unknown"].map(job).to_vec();
    let removed = Applied::Removed(vec![job("listed"), job("ended")]);
    assert_eq!(jobs.apply(Entry::Remove { jobs: all }), removed);
    assert!(jobs.contains(&job("open")) && jobs.len() == 1);
}

#[test]
fn listed_items_cost_less_and_forgotten_jobs_nothing() {
    let mut jobs = Jobs::new();
    let mut submission = submission("j", 2);
    submission.items[0].body = vec![0; 100_000].into();
    jobs.apply(Entry::Submit { submission, settings: settings() });
    assert!(jobs.memory_bytes() > 100_000);
    jobs.apply(complete_item("j", 0, "text"));
    assert!(jobs.memory_bytes() < 5_000, "the body is dropped: {}", jobs.memory_bytes());
    assert_eq!(jobs.job_memory_bytes(&job("j")), Some(jobs.memory_bytes()));
    jobs.apply(complete_item("j", 1, "text"));
    jobs.apply(Entry::Remove { jobs: vec![job("j")] });
    assert_eq!(jobs.memory_bytes(), 0);
}

#[test]
fn a_page_keeps_its_size_limit_except_for_a_single_result() {
    let mut jobs = Jobs::new();
    jobs.apply(submit("j", 10));
    for index in 0..10 {
        jobs.apply(complete_item("j", index, &"\n".repeat(100_000)));
    }
    let mut from = 0;
    while from < 10 {
        let page = jobs.read(&job("j"), from, 500_000).expect("the job is known");
        assert_eq!((page.results.len(), page.next_token), (2, from + 2), "escaped, each takes 200,000 bytes");
        assert!(page.to_json().len() <= 500_000);
        from = page.next_token;
    }
    assert_eq!(jobs.read(&job("j"), 3, 1_000).expect("the job is known").results.len(), 1);
}

#[rstest]
#[case(MAX_TEXT_BYTES)]
fn the_largest_text_fits_a_page(#[case] bytes: usize) {
    let mut jobs = Jobs::new();
    jobs.apply(submit("j", 1));
    jobs.apply(complete_item("j", 0, &"\n".repeat(bytes)));
    assert!(read_json(&jobs, "j", 0, MAX_PAGE_BYTES).len() <= MAX_PAGE_BYTES);
}

proptest! {
    /// An independent JSON parser reads the texts back as they were written.
    #[test]
    fn texts_round_trip_through_json(texts in prop::collection::vec(any::<String>(), 1..5), controls in "[\\x00-\\x7f\u{2028}]{0,40}") {
        let mut jobs = Jobs::new();
        jobs.apply(submit("j", texts.len() + 1));
        let texts: Vec<String> = texts.into_iter().chain([controls]).collect();
        for (index, text) in (0..).zip(&texts) {
            jobs.apply(complete_item("j", index, text));
        }
        let json = read_json(&jobs, "j", 0, MAX_PAGE_BYTES);
        prop_assert!(json.bytes().all(|byte| byte >= 0x20), "control characters are escaped");
        let value: JsonValue = json.parse().expect("valid JSON");
        for (index, text) in texts.iter().enumerate() {
            prop_assert_eq!(value["result_list"][index]["text"].get::<String>(), Some(text));
        }
        prop_assert_eq!(value["next_token"].get::<f64>(), Some(&(texts.len() as f64)));
    }

    /// Reading page by page with `next_token` gives every position once, for any page size.
    #[test]
    fn reading_page_by_page_gives_all_results(sizes in prop::collection::vec(0usize..3_000, 0..30), max_bytes in 0usize..5_000) {
        let mut jobs = Jobs::new();
        jobs.apply(submit("j", sizes.len()));
        for (index, size) in (0..).zip(&sizes) {
            jobs.apply(complete_item("j", index, &"é\"".repeat(*size / 3)));
        }
        let (mut from, mut read) = (0, Vec::new());
        while from < sizes.len() {
            let page = jobs.read(&job("j"), from, max_bytes).expect("the job is known");
            prop_assert!(page.results.len() == 1 || page.to_json().len() <= max_bytes);
            prop_assert_eq!(page.next_token, from + page.results.len());
            read.extend(page.results.iter().map(|result| result.item_id().to_owned()));
            from = page.next_token;
        }
        let all: Vec<String> = (0..sizes.len()).map(|index| format!("j-{index}")).collect();
        prop_assert_eq!(read, all);
    }
}
