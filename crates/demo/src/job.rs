//! A batch job as its client sees it: handed in, read as it gets on, read again, ended.

use crate::client::{Answer, Call, CallError, call};
use crate::error::DemoError;
use crate::operator::{JOB_HOST, JOB_PREFIX};
use crate::watch::Watch;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use std::net::SocketAddrV4;
use std::time::Duration;
use tinyjson::JsonValue;

/// What a call may take, beside the time that a read is held.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long a read asks to be held until there is a result, in milliseconds.
const HOLD_MS: u64 = 500;
/// The words of an item.
const WORDS_PER_ITEM: usize = 12;
/// The tokens that an item names: some for its prompt, and its words.
const TOKENS_PER_ITEM: usize = 20 + WORDS_PER_ITEM;

/// A job and the nodes that its client calls, each in turn.
pub struct Job<'a> {
    watch: &'a Watch,
    frontends: &'a [SocketAddrV4],
    number: u64,
    id: String,
    items: usize,
    turn: usize,
}

/// One listed result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// The item.
    pub id: String,
    /// `complete` or `dead_letter`.
    pub state: String,
    /// The data of all events.
    pub text: String,
}

impl<'a> Job<'a> {
    /// A job of so many items that is not handed in yet.
    pub fn new(watch: &'a Watch, frontends: &'a [SocketAddrV4], items: usize) -> Job<'a> {
        let mut job = Job::numbered(watch, frontends, 0, items);
        job.id = format!("{:016x}", 0x00d3_0000_u64 + u64::from(std::process::id()));
        job
    }

    /// As [`Job::new`]; the ids of the job and its items follow from `number`.
    pub fn numbered(watch: &'a Watch, frontends: &'a [SocketAddrV4], number: u64, items: usize) -> Job<'a> {
        Job {
            watch,
            frontends,
            number,
            id: format!("{:016x}", (1 << 48) + number),
            items,
            turn: number as usize,
        }
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// How many items there are.
    pub fn items(&self) -> usize {
        self.items
    }

    /// Hands the job in until it is taken; at which try.
    ///
    /// # Errors
    /// It is refused for good, or not taken in the time of the whole.
    pub fn submit(&mut self) -> Result<usize, DemoError> {
        let body = self.body();
        let target = format!("{JOB_PREFIX}{}", self.id);
        let headers = vec![
            ("X-Grebeusher-Attempt-Id", self.id.clone()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let (answer, tries) = self.call("POST", &target, &headers, body.as_bytes())?;
        if answer.status == 202 { Ok(tries) } else { Err(wrong("the job is handed in", &answer)) }
    }

    /// The results from a position on; empty if there is none yet.
    ///
    /// # Errors
    /// The tier says that it doesn't know the job, or can't be understood, or doesn't answer in the time of the whole.
    pub fn read(&mut self, resume_after: usize) -> Result<Vec<ItemResult>, DemoError> {
        let target = format!("/api/lots/{}?resume_after={resume_after}", self.id);
        let headers = vec![("X-Grebeusher-Hold-Ms", HOLD_MS.to_string())];
        let (answer, _) = self.call("GET", &target, &headers, b"")?;
        let page = (answer.status == 200).then(|| read_page(&answer.text())).flatten();
        page.ok_or_else(|| wrong("results are read", &answer))
    }

    /// Ends the job.
    ///
    /// # Errors
    /// It is refused, or not answered in the time of the whole.
    pub fn end(&mut self) -> Result<(), DemoError> {
        let target = format!("/api/lots/{}", self.id);
        let (answer, _) = self.call("DELETE", &target, &[], b"")?;
        if answer.status == 200 { Ok(()) } else { Err(wrong("the job is ended", &answer)) }
    }

    /// The results that do not hold exactly the words of their item, or come twice.
    pub fn faults(&self, results: &[ItemResult]) -> usize {
        let right = |index: usize| {
            let (id, text) = (self.item_id(index), self.text(index));
            let own = || results.iter().filter(|result| result.id == id);
            own().count() == 1 && own().all(|result| result.state == "complete" && result.text == text)
        };
        (0..self.items).filter(|index| !right(*index)).count()
    }

    /// The id of an item.
    pub fn item_id(&self, index: usize) -> String {
        format!("{:016x}", (self.number << 16) + index as u64)
    }

    /// The whole text of an item.
    pub fn text(&self, index: usize) -> String {
        words(index).join("\n")
    }

    fn body(&self) -> String {
        let item = |index: usize| {
            let payload = STANDARD.encode(words(index).join(" "));
            format!(
                r#"{{"instance_id":"{}","path":"{JOB_PREFIX}item/{index}","header_map":{{"X-Grebeusher-Token-Count":"20,{WORDS_PER_ITEM}"}},"payload":"{payload}","token_count":{TOKENS_PER_ITEM}}}"#,
                self.item_id(index)
            )
        };
        let items: Vec<String> = (0..self.items).map(item).collect();
        format!(r#"{{"batch_items":[{}]}}"#, items.join(","))
    }

    /// Calls one node after the other until one answers clearly; at which try.
    fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Result<(Answer, usize), DemoError> {
        let (watch, frontends) = (self.watch, self.frontends);
        let turn = &mut self.turn;
        let mut tries = 0;
        watch.until(target, || {
            tries += 1;
            *turn += 1;
            let answer: Result<Answer, CallError> = call(&Call {
                address: frontends[*turn % frontends.len()],
                method,
                target,
                host: JOB_HOST,
                headers: headers.to_vec(),
                body,
                within: ANSWER_TIMEOUT,
            });
            let clear = answer.ok().filter(|answer| answer.status < 500 && answer.status != 429);
            Ok(clear.map(|answer| (answer, tries)))
        })
    }
}

fn words(index: usize) -> Vec<String> {
    (1..=WORDS_PER_ITEM).map(|word| format!("item{index}word{word}")).collect()
}

fn read_page(text: &str) -> Option<Vec<ItemResult>> {
    let JsonValue::Object(mut page) = text.parse().ok()? else { return None };
    let JsonValue::Array(results) = page.remove("result_list")? else { return None };
    results.into_iter().map(read_result).collect()
}

fn read_result(value: JsonValue) -> Option<ItemResult> {
    let JsonValue::Object(mut fields) = value else { return None };
    let mut text = |name: &str| match fields.remove(name) {
        Some(JsonValue::String(text)) => Some(text),
        _ => None,
    };
    Some(ItemResult { id: text("instance_id")?, state: text("state")?, text: text("text")? })
}

fn wrong(step: &str, answer: &Answer) -> DemoError {
    DemoError::Wrong {
        step: step.to_owned(),
        what: format!("status {}, body {:?}", answer.status, answer.text()),
    }
}
