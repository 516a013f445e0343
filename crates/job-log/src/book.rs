//! What the log tells, record by record, and what follows from it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A job as it was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    pub id: String,
    pub tariff: String,
    pub binding: bool,
    pub target: String,
    /// The lines of the client's headers that go on. Logs of before they did have none, so a record of its own holds them.
    #[serde(skip)]
    pub headers: String,
    pub body: Vec<u8>,
    pub hint_us: Option<u64>,
    /// Unix time in milliseconds at which it was taken, and at which nobody waits any more.
    pub taken_ms: u64,
    pub ends_ms: u64,
}

/// The final answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub status: u16,
    pub result: Vec<u8>,
    /// Unix time in milliseconds.
    pub at_ms: u64,
}

/// Something that happened to a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    Taken(Job),
    /// It is about to be sent to an executor, for the so many-th time.
    Sent {
        id: String,
        number: u32,
        executor: String,
    },
    /// One of these has ended; whether that proves that it never ran.
    Ended {
        id: String,
        number: u32,
        never_ran: bool,
    },
    Answered {
        id: String,
        answer: Answer,
    },
    /// Its answer was kept for long enough.
    Forgotten {
        id: String,
    },
    /// Taken, with the lines of its headers.
    TakenWith(Job, String),
}

impl Record {
    pub fn taken(job: Job) -> Record {
        let headers = job.headers.clone();
        if headers.is_empty() { Record::Taken(job) } else { Record::TakenWith(job, headers) }
    }
}

/// One time that a job was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Sending {
    pub number: u32,
    pub executor: String,
    pub open: bool,
    pub may_have_run: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    pub job: Job,
    pub sendings: Vec<Sending>,
    pub answer: Option<Answer>,
}

/// What is to be done with a job after a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Nothing of it has run: it is placed as if it had just come.
    Anew,
    /// Something of it may be running: what executors say of it is waited for.
    Settle,
    /// It may have run and must not run again, or its time is over: nothing more is promised of it.
    Forfeit,
    /// Its time is over, and nothing of it can have run.
    TurnBack,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Book {
    pages: BTreeMap<String, Page>,
}

impl Book {
    pub fn page(&self, id: &str) -> Option<&Page> {
        self.pages.get(id)
    }

    pub fn len(&self) -> usize {
        self.pages.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pages.is_empty()
    }

    /// How many jobs have no answer yet.
    pub fn open(&self) -> usize {
        self.pages.values().filter(|page| page.answer.is_none()).count()
    }

    /// Takes in what happened. What speaks of a job that is not there, or is over, changes nothing: the first answer is
    /// the one that somebody may have heard.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Taken(job) => self.take(job.clone()),
            Record::TakenWith(job, headers) => self.take(Job { headers: headers.clone(), ..job.clone() }),
            Record::Sent { id, number, executor } => {
                if let Some(page) = self.open_page(id) {
                    let (number, executor) = (*number, executor.clone());
                    page.sendings.push(Sending { number, executor, open: true, may_have_run: true });
                }
            }
            Record::Ended { id, number, never_ran } => {
                let sending = self.open_page(id).and_then(|page| {
                    // Numbers begin anew with each life of the process: the last one is meant.
                    page.sendings.iter_mut().rev().find(|s| s.number == *number && s.open)
                });
                if let Some(sending) = sending {
                    (sending.open, sending.may_have_run) = (false, !never_ran);
                }
            }
            Record::Answered { id, answer } => {
                if let Some(page) = self.open_page(id) {
                    page.answer = Some(answer.clone());
                }
            }
            Record::Forgotten { id } => drop(self.pages.remove(id)),
        }
    }

    fn take(&mut self, job: Job) {
        let id = job.id.clone();
        self.pages.entry(id).or_insert_with(|| Page { job, sendings: Vec::new(), answer: None });
    }

    fn open_page(&mut self, id: &str) -> Option<&mut Page> {
        self.pages.get_mut(id).filter(|page| page.answer.is_none())
    }

    /// What is to be done with each job that has no answer, after a crash.
    pub fn due(&self, now_ms: u64) -> Vec<(&Page, Due)> {
        let open = self.pages.values().filter(|page| page.answer.is_none());
        open.map(|page| (page, page.due(now_ms))).collect()
    }

    /// Answered jobs whose answer was kept for so long.
    pub fn outlived(&self, now_ms: u64, kept_ms: u64) -> Vec<String> {
        let over = |page: &&Page| page.answer.as_ref().is_some_and(|a| a.at_ms + kept_ms <= now_ms);
        self.pages.values().filter(over).map(|page| page.job.id.clone()).collect()
    }

    /// The records that tell the same, and nothing of what is over.
    pub fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for page in self.pages.values() {
            let id = || page.job.id.clone();
            let job = match page.answer {
                // Nobody sends it again.
                Some(_) => Job { body: Vec::new(), headers: String::new(), ..page.job.clone() },
                None => page.job.clone(),
            };
            records.push(Record::taken(job));
            for sending in page.sendings.iter().filter(|_| page.answer.is_none()) {
                let (number, executor) = (sending.number, sending.executor.clone());
                records.push(Record::Sent { id: id(), number, executor });
                if !sending.open {
                    let never_ran = !sending.may_have_run;
                    records.push(Record::Ended { id: id(), number, never_ran });
                }
            }
            records.extend(page.answer.clone().map(|answer| Record::Answered { id: id(), answer }));
        }
        records
    }
}

impl Page {
    fn due(&self, now_ms: u64) -> Due {
        let ran = self.sendings.iter().any(|s| s.may_have_run);
        let open = self.sendings.iter().any(|s| s.open);
        let over = self.job.ends_ms <= now_ms;
        match (ran, self.job.binding) {
            (true, true) if over || !open => Due::Forfeit,
            (_, false) | (false, _) if over => Due::TurnBack,
            (true, _) if open => Due::Settle,
            _ => Due::Anew,
        }
    }
}
