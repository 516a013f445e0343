//! Each rule is noticed when it is broken, and only then.

use grebeusher_simulation::content;
use grebeusher_simulation::judge::{
    Arrival, Bounds, Judge, Kind, Listed, MadeItem, Rule, SentOrder, Version,
};
use grebeusher_time::{Duration, Instant};
use std::collections::BTreeMap;

fn at(ms: u64) -> Instant {
    Instant(0) + Duration::from_millis(ms)
}

fn version(number: u64, base: u64, service: &str, sent: u64) -> Version {
    let routes = BTreeMap::from([
        ("/look/".to_owned(), vec![service.to_owned()]),
        ("/bulk1/".to_owned(), vec!["model-a".to_owned()]),
    ]);
    let body = format!("version {number} on {base}").into_bytes();
    Version {
        number,
        base,
        body,
        routes,
        valid: true,
        sent: at(sent),
        acknowledged: None,
        refused: false,
        taken: false,
    }
}

fn acknowledged(judge: &mut Judge, number: u64, base: u64, ms: u64) {
    let body = format!("version {number} on {base}").into_bytes();
    judge.version_acknowledged(SentOrder { number, base, body: &body }, at(ms));
}

fn judge() -> Judge {
    let mut judge = Judge::new(Bounds::default());
    judge.quota = 1000;
    judge.version_sent(version(1, 0, "plain", 0));
    acknowledged(&mut judge, 1, 0, 10);
    judge
}

fn sent(judge: &mut Judge, id: &str, kind: Kind, ms: u64) {
    let mut sent = Judge::new_try(kind, "GET /look/1", "/look/", b"body", at(ms), 3);
    sent.life = Some(3);
    judge.try_sent(id, sent);
}

fn runs(judge: &mut Judge, id: &str, service: &str, ms: u64) {
    judge.runs(&Arrival {
        at: at(ms),
        came: at(ms),
        instance: "i-1",
        version: "v1",
        service,
        from: 3,
        life: Some(3),
        line: "GET /look/1",
        attempt: id,
        body: b"body",
    });
}

fn rules(judge: &Judge) -> Vec<Rule> {
    judge.breaches.iter().map(|breach| breach.rule).collect()
}

fn with_job(judge: &mut Judge) {
    let item = |id: &str| MadeItem {
        id: id.to_owned(),
        path: format!("/bulk1/{id}"),
        body: b"p".to_vec(),
        tokens: 400,
    };
    judge.job_made("job", "/bulk1/", &[item("a"), item("b")]);
    judge.job_tried("job");
}

fn complete(id: &str) -> Listed {
    let text = content::whole_text(&format!("/bulk1/{id}"));
    Listed { item: id.to_owned(), state: "complete".to_owned(), text }
}

fn item_runs(judge: &mut Judge, ms: u64) {
    judge.runs(&Arrival {
        at: at(ms),
        came: at(ms),
        instance: "i-1",
        version: "v1",
        service: "model-a",
        from: 3,
        life: Some(3),
        line: "POST /bulk1/a",
        attempt: "a",
        body: b"p",
    });
}

#[test]
fn a_request_that_runs_as_it_should_breaks_nothing() {
    let mut judge = judge();
    sent(&mut judge, "x", Kind::Once, 5000);
    runs(&mut judge, "x", "plain", 5001);
    assert_eq!(rules(&judge), []);
}

#[test]
fn a_run_that_nobody_asked_for() {
    let mut judge = judge();
    runs(&mut judge, "x", "plain", 5001);
    assert_eq!(rules(&judge), [Rule::Unasked]);
}

#[test]
fn a_second_run_of_what_may_run_once() {
    let mut judge = judge();
    sent(&mut judge, "x", Kind::Once, 5000);
    sent(&mut judge, "y", Kind::Idempotent, 5000);
    for id in ["x", "x", "y", "y"] {
        runs(&mut judge, id, "plain", 5001);
    }
    assert_eq!(rules(&judge), [Rule::Twice]);
}

#[test]
fn a_refusal_of_what_has_run_or_will() {
    let mut judge = judge();
    sent(&mut judge, "x", Kind::Once, 5000);
    runs(&mut judge, "x", "plain", 5001);
    judge.try_refused("x", 503, at(5002));
    sent(&mut judge, "y", Kind::Stream, 5000);
    judge.try_refused("y", 429, at(5002));
    runs(&mut judge, "y", "plain", 5003);
    assert_eq!(rules(&judge), [Rule::Refused, Rule::Refused]);
}

#[test]
fn a_service_that_no_version_names() {
    let mut judge = judge();
    sent(&mut judge, "x", Kind::Once, 5000);
    runs(&mut judge, "x", "other", 5001);
    assert_eq!(rules(&judge), [Rule::Route]);
}

#[test]
fn an_old_version_long_after_a_new_one_is_acknowledged() {
    let mut judge = judge();
    judge.version_sent(version(2, 1, "other", 10_000));
    acknowledged(&mut judge, 2, 1, 10_100);
    sent(&mut judge, "early", Kind::Once, 11_000);
    runs(&mut judge, "early", "plain", 11_001);
    assert_eq!(rules(&judge), []);
    sent(&mut judge, "late", Kind::Once, 12_200);
    runs(&mut judge, "late", "plain", 12_201);
    assert_eq!(rules(&judge), [Rule::Config]);
}

#[test]
fn a_machine_in_trouble_may_be_late() {
    let mut judge = judge();
    judge.version_sent(version(2, 1, "other", 10_000));
    acknowledged(&mut judge, 2, 1, 10_100);
    judge.trouble(3, at(10_000), at(11_000), false);
    sent(&mut judge, "late", Kind::Once, 12_200);
    runs(&mut judge, "late", "plain", 12_201);
    assert_eq!(rules(&judge), []);
}

#[test]
fn a_step_back_within_one_life() {
    let mut judge = judge();
    judge.version_sent(version(2, 1, "other", 10_000));
    sent(&mut judge, "new", Kind::Once, 11_000);
    runs(&mut judge, "new", "other", 11_001);
    sent(&mut judge, "old", Kind::Once, 13_100);
    runs(&mut judge, "old", "plain", 13_101);
    assert_eq!(rules(&judge), [Rule::Config]);
}

#[test]
fn a_step_back_right_after_the_newer_version_showed() {
    let mut judge = judge();
    judge.version_sent(version(2, 1, "other", 10_000));
    sent(&mut judge, "new", Kind::Once, 11_000);
    runs(&mut judge, "new", "other", 11_001);
    // Given a run by the new version, when a request that was sent before is handled by the old one, then nothing is broken,
    sent(&mut judge, "before", Kind::Once, 11_000);
    runs(&mut judge, "before", "plain", 11_002);
    assert_eq!(rules(&judge), []);
    // and when one is that was sent afterwards, then the node has gone back.
    sent(&mut judge, "after", Kind::Once, 11_002);
    runs(&mut judge, "after", "plain", 11_003);
    assert_eq!(rules(&judge), [Rule::Config]);
}

#[test]
fn a_read_of_the_configuration_that_is_older_than_what_was_acknowledged() {
    let mut judge = judge();
    judge.version_sent(version(2, 1, "other", 10_000));
    acknowledged(&mut judge, 2, 1, 10_100);
    // A read that was under way at the acknowledgement may show either.
    judge.peeked(b"version 1 on 0", at(10_050), at(10_200));
    judge.peeked(b"version 2 on 1", at(10_150), at(10_200));
    assert_eq!(rules(&judge), []);
    judge.peeked(b"version 1 on 0", at(10_150), at(10_200));
    assert_eq!(rules(&judge), [Rule::Stale]);
}

#[test]
fn two_changes_on_one_version() {
    let mut judge = judge();
    judge.version_sent(version(2, 1, "other", 10_000));
    judge.version_sent(version(3, 1, "other", 10_000));
    acknowledged(&mut judge, 2, 1, 10_100);
    acknowledged(&mut judge, 3, 1, 10_100);
    assert_eq!(rules(&judge), [Rule::Config]);
}

#[test]
fn what_is_read_back_must_be_the_newest_that_was_acknowledged() {
    let mut judge = judge();
    judge.version_sent(version(2, 1, "other", 10_000));
    acknowledged(&mut judge, 2, 1, 10_100);
    judge.shown(Some(b"version 1 on 0"), at(60_000), true);
    assert_eq!(rules(&judge), [Rule::Config]);
    judge.shown(None, at(60_000), true);
    assert_eq!(rules(&judge), [Rule::Config, Rule::Lost]);
    judge.shown(Some(b"version 2 on 1"), at(60_000), true);
    assert_eq!(judge.breaches.len(), 2);
}

#[test]
fn a_refused_change_in_force() {
    let mut judge = judge();
    judge.version_sent(version(2, 1, "other", 10_000));
    judge.version_refused(SentOrder { number: 2, base: 1, body: b"version 2 on 1" }, at(11_000));
    judge.shown(Some(b"version 2 on 1"), at(60_000), true);
    assert_eq!(rules(&judge), [Rule::Config]);
}

#[test]
fn a_request_to_an_executor_that_has_left() {
    let mut judge = judge();
    // Another machine is in trouble, so that only the operators' rule binds.
    judge.trouble(4, at(9_000), at(9_500), false);
    let leaving = judge.leaves(at(9_000));
    judge.drain_acknowledged("i-1", leaving, at(10_000));
    sent(&mut judge, "x", Kind::Once, 11_900);
    runs(&mut judge, "x", "plain", 11_950);
    assert_eq!(rules(&judge), []);
    sent(&mut judge, "y", Kind::Once, 12_000);
    runs(&mut judge, "y", "plain", 12_100);
    assert_eq!(rules(&judge), [Rule::Drain]);
}

#[test]
fn a_request_that_was_sent_after_all_should_know_of_a_drain() {
    let mut judge = judge();
    let leaving = judge.leaves(at(9_000));
    judge.drain_acknowledged("i-1", leaving, at(10_000));
    // One that was under way is let through,
    sent(&mut judge, "x", Kind::Once, 9_999);
    runs(&mut judge, "x", "plain", 10_010);
    assert_eq!(rules(&judge), []);
    // one that was sent later is not.
    sent(&mut judge, "y", Kind::Once, 10_001);
    runs(&mut judge, "y", "plain", 10_010);
    assert_eq!(rules(&judge), [Rule::Untold]);
}

#[test]
fn in_troubled_times_not_all_may_know_of_a_drain() {
    let mut judge = judge();
    judge.trouble(4, at(8_000), at(9_500), false);
    let leaving = judge.leaves(at(9_000));
    judge.drain_acknowledged("i-1", leaving, at(10_000));
    sent(&mut judge, "y", Kind::Once, 10_001);
    runs(&mut judge, "y", "plain", 10_010);
    assert_eq!(rules(&judge), []);
}

#[test]
fn an_order_without_an_acknowledgement_in_calm_times() {
    let mut judge = judge();
    judge.unacknowledged("version 2", at(10_000), at(15_000));
    assert_eq!(rules(&judge), [Rule::Acks]);
    judge.core_event(at(21_000));
    judge.unacknowledged("version 3", at(20_000), at(25_000));
    assert_eq!(judge.breaches.len(), 1);
}

#[test]
fn a_result_that_changes_its_place_or_its_text() {
    let mut judge = judge();
    with_job(&mut judge);
    judge.job_accepted("job", at(5000));
    judge.page_read("job", 0, &[complete("a")], 2, at(6000), at(6000));
    judge.page_read("job", 0, &[complete("a"), complete("b")], 2, at(7000), at(7000));
    assert_eq!(rules(&judge), []);
    // Both were sent before the second page came, so that they may be short.
    judge.page_read("job", 0, &[complete("b")], 2, at(6500), at(8000));
    assert_eq!(rules(&judge), [Rule::Twice]);
    let torn = Listed { text: "half".to_owned(), ..complete("a") };
    judge.page_read("job", 0, &[torn], 2, at(6500), at(8000));
    assert!(rules(&judge).contains(&Rule::Mixed));
}

#[test]
fn an_item_that_has_run_and_is_not_listed() {
    // Given a job whose items have run, when it is read to its end long after and only one is listed,
    let job_that_has_run = || {
        let mut judge = judge();
        with_job(&mut judge);
        judge.job_accepted("job", at(100));
        ["a", "b"].into_iter().for_each(|item| judge.item_finished(item, at(1000)));
        judge.page_read("job", 0, &[complete("a")], 2, at(20_000), at(20_001));
        judge
    };
    let mut judge = job_that_has_run();
    judge.job_read_to_its_end("job", at(20_001));
    assert_eq!(rules(&judge), [Rule::Lost]);
    // and none where it was read soon after, a machine was in trouble just before, the client ended the job, or all are listed.
    for excuse in ["soon", "trouble", "ended", "listed"] {
        let mut judge = job_that_has_run();
        let mut read = 20_001;
        match excuse {
            "soon" => read = 5000,
            "trouble" => judge.trouble(7, at(16_000), at(16_000), false),
            "ended" => judge.job_end_sent("job", at(200)),
            _ => judge.page_read("job", 1, &[complete("b")], 2, at(20_000), at(20_001)),
        }
        judge.job_read_to_its_end("job", at(read));
        assert_eq!(rules(&judge), [], "{excuse}");
    }
}

#[test]
fn an_accepted_item_that_no_executor_ever_finishes() {
    // Given a job that was accepted long before the end, when none of its items was finished or listed by then,
    let mut judge = judge();
    with_job(&mut judge);
    judge.job_accepted("job", at(100));
    judge.close(None, at(20_000));
    assert!(rules(&judge).contains(&Rule::Lost));
    // and none where the executor came to its end, it was accepted just before, or its client ended it.
    for excuse in ["finished", "late", "ended"] {
        let mut judge = self::judge();
        with_job(&mut judge);
        judge.job_accepted("job", at(if excuse == "late" { 15_000 } else { 100 }));
        match excuse {
            "finished" => ["a", "b"].into_iter().for_each(|item| judge.item_finished(item, at(19_000))),
            "ended" => judge.job_end_sent("job", at(200)),
            _ => {}
        }
        judge.close(None, at(20_000));
        assert_eq!(rules(&judge), [], "{excuse}");
    }
}

#[test]
fn a_job_that_is_not_known_any_more() {
    let mut judge = judge();
    with_job(&mut judge);
    judge.job_accepted("job", at(5000));
    // A read that was sent before the acceptance may not find it yet,
    judge.job_missing("job", 3, at(5000), at(5600), false);
    assert_eq!(rules(&judge), []);
    // one that was sent afterwards should not be told so, as a node that can't be sure says 503,
    judge.job_missing("job", 3, at(5500), at(5600), false);
    assert_eq!(rules(&judge), [Rule::Stale]);
    // and when it was to be settled, the operators' rule is broken too.
    judge.job_missing("job", 3, at(6500), at(6600), false);
    assert_eq!(rules(&judge), [Rule::Stale, Rule::Stale, Rule::Lost]);
}

#[test]
fn a_page_that_shows_less_than_an_earlier_one() {
    let mut judge = judge();
    with_job(&mut judge);
    judge.job_accepted("job", at(5000));
    judge.page_read("job", 0, &[complete("a"), complete("b")], 2, at(6000), at(6010));
    // A read that was under way then may show less,
    judge.page_read("job", 0, &[complete("a")], 2, at(6005), at(6020));
    assert_eq!(rules(&judge), []);
    // one that was sent afterwards may not.
    judge.page_read("job", 0, &[complete("a")], 2, at(6030), at(6040));
    assert_eq!(rules(&judge), [Rule::Stale]);
}

#[test]
fn items_of_a_job_that_was_refused_or_ended() {
    let mut judge = judge();
    with_job(&mut judge);
    judge.job_refused("job");
    item_runs(&mut judge, 5000);
    assert_eq!(rules(&judge), [Rule::Refused]);
    judge.job_accepted("job", at(6000));
    judge.job_end_sent("job", at(7000));
    judge.job_ended("job", 3, at(7100));
    item_runs(&mut judge, 10_000);
    assert_eq!(judge.breaches.len(), 1);
    item_runs(&mut judge, 10_200);
    assert_eq!(rules(&judge), [Rule::Refused, Rule::Unasked]);
}

#[test]
fn more_accepted_than_the_limit() {
    let mut judge = judge();
    for job in 0..2 {
        let items: Vec<MadeItem> = (0..2)
            .map(|item| MadeItem {
                id: format!("{job}-{item}"),
                path: "/bulk1/x".to_owned(),
                body: Vec::new(),
                tokens: 400,
            })
            .collect();
        judge.job_made(&format!("job {job}"), "/bulk1/", &items);
    }
    judge.job_accepted("job 0", at(5000));
    assert_eq!(rules(&judge), []);
    judge.job_accepted("job 1", at(5000));
    assert_eq!(rules(&judge), [Rule::Quota]);
}

#[test]
fn no_service_after_the_final_fault() {
    let mut judge = judge();
    for second in 0..60 {
        judge.request_over(at(second * 100), true);
        judge.request_over(at(30_000 + second * 100), false);
    }
    judge.close(Some((at(10_000), at(12_000))), at(60_000));
    assert_eq!(rules(&judge), [Rule::Recover]);
}

#[test]
fn an_order_that_was_taken_and_is_refused_when_it_comes_again() {
    let mut judge = judge();
    let order = SentOrder { number: 2, base: 1, body: b"version 2 on 1" };
    judge.version_sent(version(2, 1, "other", 10_000));
    judge.version_taken(order);
    judge.version_refused(order, at(11_000));
    assert_eq!(rules(&judge), [Rule::Config]);
}

#[test]
fn two_changes_under_one_number() {
    let mut judge = judge();
    let twin = Version { body: b"another".to_vec(), ..version(2, 1, "other", 10_000) };
    judge.version_sent(version(2, 1, "other", 10_000));
    judge.version_sent(twin);
    acknowledged(&mut judge, 2, 1, 10_100);
    assert_eq!(rules(&judge), []);
    judge.version_acknowledged(SentOrder { number: 2, base: 1, body: b"another" }, at(10_200));
    assert_eq!(rules(&judge), [Rule::Config]);
}
