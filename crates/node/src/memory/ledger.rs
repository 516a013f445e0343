//! Jobs that outlive the process, as this process has them: the log on disk, and those of an earlier life that executors may
//! still be running.

use crate::memory::clock::Clock;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_job_log::book::{Answer, Due, Job, Record};
use grebeusher_job_log::log::Log;
use grebeusher_node_config::frontends::JobLogSettings;
use grebeusher_transport::alarms::Alarms;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use tracing::{error, info};

/// How often answers that were kept for long enough are looked for.
const COMPACTION_INTERVAL: Duration = Duration::from_millis(10_000);

/// A job of an earlier life that may be running: when nobody waits any more, and until when its executor must say
/// something if it is not to be placed anew.
struct Settling {
    job: Job,
    /// Which sending of it was open.
    number: u32,
    until: Instant,
}

struct Inside {
    log: Log,
    settling: HashMap<String, Settling>,
    dues: Alarms<String>,
    tidy_at: Instant,
}

pub struct Ledger {
    clock: Clock,
    keep_ms: u64,
    most: usize,
    /// An executor that has said nothing of a retriable job for so long has lost it.
    silent: Duration,
    inside: RefCell<Inside>,
}

/// What is known of a job by its id.
pub enum Known {
    Nothing,
    Open,
    Ended(Answer),
}

/// The clock counts from the Unix time.
pub fn ms(at: Instant) -> u64 {
    at.0 / 1_000_000
}

pub fn moment(ms: u64) -> Instant {
    Instant(0) + Duration::from_millis(ms)
}

impl Ledger {
    /// `pace`: how often executors tell of what runs.
    pub fn open(posted: &JobLogSettings, pace: Option<Duration>, clock: Clock) -> io::Result<Ledger> {
        // As the decisions have it: so many paces without a word are no chance. Where nothing is told, a moment.
        const SILENT_PACES: f64 = 2.5;
        const UNTOLD: Duration = Duration::from_millis(2000);
        let log = Log::open(&posted.folder)?;
        if log.torn > 0 {
            info!("a crash had torn the end of the log: {} bytes were cut off", log.torn);
        }
        Ok(Ledger {
            clock,
            keep_ms: posted.answer_ttl().nanos() / 1_000_000,
            most: posted.max_jobs(),
            silent: pace.map_or(UNTOLD, |pace| pace.scaled(SILENT_PACES)),
            inside: RefCell::new(Inside {
                log,
                settling: HashMap::new(),
                dues: Alarms::default(),
                tidy_at: clock.now() + COMPACTION_INTERVAL,
            }),
        })
    }

    fn add(&self, record: &Record, sync: bool) -> io::Result<()> {
        let added = self.inside.borrow_mut().log.add(record, sync);
        added.inspect_err(|e| error!("the log of jobs can't be written: {e}"))
    }

    pub fn open_jobs(&self) -> usize {
        self.inside.borrow().log.book().open()
    }

    pub fn known(&self, id: &str) -> Known {
        match self.inside.borrow().log.book().page(id) {
            None => Known::Nothing,
            Some(page) => page.answer.clone().map_or(Known::Open, Known::Ended),
        }
    }

    /// A job is taken: on disk when this returns.
    pub fn taken(&self, job: Job) -> io::Result<()> {
        if self.inside.borrow().log.book().len() >= self.most {
            return Err(io::Error::other("there are as many jobs as it may hold"));
        }
        self.add(&Record::taken(job), true)
    }

    /// It is about to be sent. Of a binding one that is on disk when this returns: a crash in the next moment must find
    /// it.
    pub fn sent(&self, id: &str, number: usize, executor: &str, binding: bool) -> io::Result<()> {
        let (id, executor) = (id.to_owned(), executor.to_owned());
        self.add(&Record::Sent { id, number: number as u32, executor }, binding)
    }

    pub fn ended(&self, id: &str, number: usize, never_ran: bool) {
        // What is not written is taken for open, and settled.
        let _ = self.add(&Record::Ended { id: id.to_owned(), number: number as u32, never_ran }, false);
    }

    /// The final answer, on disk before anybody can ask for it.
    pub fn answered(&self, id: &str, status: u16, result: &[u8]) {
        let answer = Answer { status, result: result.to_vec(), at_ms: ms(self.clock.now()) };
        // Not written it is not answered either: the next life settles it again.
        let _ = self.add(&Record::Answered { id: id.to_owned(), answer }, true);
    }

    /// What is due after the last life; those that may be running are kept here until they are settled.
    pub fn recover(&self) -> Vec<(Job, Due)> {
        let now = self.clock.now();
        let mut inside = self.inside.borrow_mut();
        let Inside { log, settling, dues, .. } = &mut *inside;
        let mut due = Vec::new();
        for (page, what) in log.book().due(ms(now)) {
            let job = page.job.clone();
            if what != Due::Settle {
                due.push((job, what));
                continue;
            }
            let number = page.sendings.iter().find(|s| s.open).map_or(0, |s| s.number);
            let until = moment(job.ends_ms);
            dues.set(if job.binding { until } else { until.min(now + self.silent) }, job.id.clone());
            settling.insert(job.id.clone(), Settling { job, number, until });
        }
        info!("{} jobs of an earlier life are placed or ended, {} may be running", due.len(), settling.len());
        due
    }

    pub fn is_settling(&self, id: &str) -> bool {
        self.inside.borrow().settling.contains_key(id)
    }

    /// An executor tells that a job of an earlier life runs.
    pub fn runs(&self, id: &str) {
        let mut inside = self.inside.borrow_mut();
        let Inside { settling, dues, .. } = &mut *inside;
        if let Some(settles) = settling.get(id).filter(|settles| !settles.job.binding) {
            // The alarm before this one finds that word has come.
            dues.set(settles.until.min(self.clock.now() + self.silent), id.to_owned());
        }
    }

    /// It is settled; `never_ran`: its executor handed it back.
    pub fn settled(&self, id: &str, never_ran: bool) -> Option<Job> {
        let settling = self.inside.borrow_mut().settling.remove(id)?;
        self.ended(id, settling.number as usize, never_ran);
        Some(settling.job)
    }

    pub fn next_due(&self) -> Option<Instant> {
        let inside = self.inside.borrow();
        inside.dues.next_at().into_iter().chain([inside.tidy_at]).min()
    }

    /// The next job of an earlier life whose executor has said nothing for too long, or for which nobody waits any more.
    pub fn due(&self) -> Option<Job> {
        let now = self.clock.now();
        let mut inside = self.inside.borrow_mut();
        if inside.tidy_at <= now {
            inside.tidy_at = now + COMPACTION_INTERVAL;
            if let Err(e) = inside.log.tidy(ms(now), self.keep_ms) {
                error!("the log of jobs can't be written anew: {e}");
            }
        }
        while let Some(id) = inside.dues.due(now) {
            let Inside { settling, dues, .. } = &mut *inside;
            // Of several alarms for a job that was heard of only the last one counts.
            let later = dues.any(|other| *other == id);
            if let Some(settles) = settling.get(&id).filter(|_| !later) {
                return Some(settles.job.clone());
            }
        }
        None
    }
}
