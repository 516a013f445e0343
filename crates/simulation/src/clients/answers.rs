//! Whether answers are the executor's.

use super::live::Live;
use crate::call::HttpCall;
use crate::content::{self, names};
use crate::judge::{Kind, Rule};
use crate::stage::Stage;

fn check_head(live: &Live, call: &HttpCall, stage: &mut Stage<'_>) -> bool {
    let now = stage.now();
    let headers = call.headers.as_ref();
    let seal = headers.and_then(|headers| headers.get(names::SERVER_SEAL));
    let id = headers.and_then(|headers| headers.get(names::ATTEMPT_ID));
    if seal.is_none() {
        stage.judge.breach(Rule::Mixed, now, format!("{} got a success without a seal", live.attempt));
        return false;
    }
    if id != Some(live.attempt.as_str()) {
        stage.judge.breach(Rule::Mixed, now, format!("{} got an answer to {id:?}", live.attempt));
        return false;
    }
    true
}

pub(super) fn check_plain(live: &Live, call: &HttpCall, stage: &mut Stage<'_>) -> bool {
    if !check_head(live, call, stage) {
        return false;
    }
    let seal = call.headers.as_ref().and_then(|headers| headers.get(names::SERVER_SEAL)).unwrap_or_default();
    let instance = seal.split('.').next().unwrap_or_default();
    if call.body != content::plain_body(&live.attempt, &live.path, instance) {
        let now = stage.now();
        stage.judge.breach(Rule::Mixed, now, format!("{} got another body", live.attempt));
        return false;
    }
    true
}

/// Whether a stream came to its end. What came of it must be right in any case.
pub(super) fn check_stream(live: &mut Live, call: &HttpCall, whole: bool, stage: &mut Stage<'_>) -> bool {
    if !check_head(live, call, stage) {
        return false;
    }
    let now = stage.now();
    let mut text = String::from_utf8_lossy(&call.body).into_owned();
    if !whole {
        // The last event may have been cut.
        let end = text.rfind("\n\n").map_or(0, |at| at + 2);
        text.truncate(end);
    }
    let mut next = live.last_event + 1;
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        let right = format!("id: {next}\ndata: {}", content::event_data(&live.path, next));
        if event != right {
            let what = format!("{}: event {next} was due, {event:?} came", live.attempt);
            stage.judge.breach(Rule::Order, now, what);
            return false;
        }
        next += 1;
    }
    let last = next - 1;
    let count = content::event_count(&live.path);
    if whole && last != count {
        let what = format!("{}: complete after event {last} of {count}", live.attempt);
        stage.judge.breach(Rule::Order, now, what);
    }
    if live.kind == Kind::Resumable {
        live.last_event = last;
    }
    whole || last == count
}
