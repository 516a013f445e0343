//! One executor: a batch of slots, prompts read in chunks between the tokens, a cache of prompt segments, a queue.

use super::workload::Arrival;
use grebeusher_gateway::PromptSegments;
use std::collections::{BTreeMap, VecDeque};

/// Tokens of an event, and of a piece of a `prompt_tokens`.
const STRIDE: u32 = 16;
const PIECE: u32 = 1024;

/// What a request got from a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Made {
    Event,
    Last,
}

pub struct Job {
    request: usize,
    prompt_tokens: u32,
    unread: u32,
    output_tokens: u32,
    made: u32,
    prompt: PromptSegments,
    admitted: bool,
}

impl Job {
    pub fn new(request: usize, arrival: &Arrival) -> Job {
        let (prompt_tokens, output_tokens) = (arrival.tokens.prompt, arrival.output.max(1));
        Job {
            request,
            prompt_tokens,
            unread: prompt_tokens,
            output_tokens,
            made: 0,
            prompt: arrival.prompt,
            admitted: false,
        }
    }

    fn context(&self) -> u64 {
        u64::from(self.prompt_tokens - self.unread + self.made)
    }

    /// Tokens in memory that no other has a segment in.
    fn own(&self) -> u64 {
        u64::from(self.prompt_tokens.saturating_sub(self.prompt.shared_tokens()) + self.made)
    }
}

pub struct Engine {
    slots: usize,
    queue_most: usize,
    kv_tokens: u64,
    step_ms: f64,
    read_per_ms: f64,
    batch: Vec<Job>,
    queue: VecDeque<Job>,
    cache: BTreeMap<u64, (u32, u64)>,
    clock: u64,
    /// Tokens read, and ten times the tokens made.
    pub work: f64,
    /// Shared segments that were read: chain hash and tokens.
    pub reads: Vec<(u64, u64)>,
}

impl Engine {
    pub fn new(slots: usize, queue_most: usize, kv_tokens: u64, step_ms: f64, read_per_ms: f64) -> Engine {
        Engine {
            slots,
            queue_most,
            kv_tokens,
            step_ms,
            read_per_ms,
            batch: Vec::new(),
            queue: VecDeque::new(),
            cache: BTreeMap::new(),
            clock: 0,
            work: 0.0,
            reads: Vec::new(),
        }
    }

    pub fn running(&self) -> usize {
        self.batch.len()
    }

    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    pub fn cached_tokens(&self, prompt: &PromptSegments) -> u32 {
        let kept = prompt.all().iter().take_while(|segment| self.cache.contains_key(&segment.chain_hash));
        kept.map(|segment| segment.tokens).sum()
    }

    /// Milliseconds until a new request's `prompt_tokens` would be read from.
    pub fn backlog_ms(&self) -> f64 {
        let unread: u32 = self.batch.iter().chain(&self.queue).map(|job| job.unread).sum();
        let finished = (self.batch.len() + self.queue.len() + 1).saturating_sub(self.slots);
        f64::from(unread) / self.read_per_ms
            + finished as f64 * 30.0
            + 0.01 * (self.batch.len() + self.queue.len()) as f64
    }

    pub fn take(&mut self, job: Job) -> bool {
        if self.queue.len() >= self.queue_most
            || u64::from(job.prompt_tokens + job.output_tokens) > self.kv_tokens
        {
            return false;
        }
        self.queue.push_back(job);
        true
    }

    fn running_tokens(&self) -> u64 {
        let shared: BTreeMap<u64, u32> = self
            .batch
            .iter()
            .flat_map(|job| job.prompt.shared())
            .map(|segment| (segment.chain_hash, segment.tokens))
            .collect();
        let shared: u64 = shared.values().map(|tokens| u64::from(*tokens)).sum();
        shared + self.batch.iter().map(Job::own).sum::<u64>()
    }

    fn admit(&mut self) {
        while self.batch.len() < self.slots {
            let Some(next) = self.queue.front() else { return };
            if self.running_tokens() + u64::from(next.prompt_tokens) > self.kv_tokens {
                return;
            }
            let mut job = self.queue.pop_front().unwrap();
            if !job.admitted {
                let kept = self.cached_tokens(&job.prompt);
                job.unread = job.prompt_tokens.saturating_sub(kept);
                job.admitted = true;
            }
            self.batch.push(job);
        }
    }

    /// Admits and begins a step; how long it takes. `None` when idle.
    pub fn begin_step(&mut self) -> Option<f64> {
        self.admit();
        if self.batch.is_empty() {
            return None;
        }
        let (mut piece, mut read, mut pairs, mut context) = (PIECE, 0, 0.0, 0);
        for job in &self.batch {
            let now = job.unread.min(piece);
            pairs += f64::from(now) * f64::from(job.prompt_tokens - job.unread + now / 2);
            (piece, read) = (piece - now, read + now);
            context += job.context();
        }
        let ms = self.step_ms
            + 0.00967 * self.batch.len() as f64
            + 0.005_08 * context as f64 / 1000.0
            + f64::from(read) / self.read_per_ms
            + 0.183 * pairs / 1e6;
        self.work += f64::from(read);
        Some(ms)
    }

    /// Ends the step: tokens for all whose `prompt_tokens` is read, pieces for the others.
    pub fn end_step(&mut self) -> Vec<(usize, Made)> {
        let (mut piece, mut made, mut read) = (PIECE, Vec::new(), Vec::new());
        for job in &mut self.batch {
            if job.unread > 0 {
                let now = job.unread.min(piece);
                (piece, job.unread) = (piece - now, job.unread - now);
                if job.unread > 0 {
                    continue;
                }
                read.push(job.prompt);
            }
            if job.made == 0 {
                read.push(job.prompt);
            }
            job.made += 1;
            self.work += 10.0;
            if job.made >= job.output_tokens {
                made.push((job.request, Made::Last));
            } else if job.made % STRIDE == 0 {
                made.push((job.request, Made::Event));
            }
        }
        self.batch.retain(|job| job.made < job.output_tokens);
        read.iter().for_each(|prompt| self.keep(prompt));
        made
    }

    fn keep(&mut self, prompt: &PromptSegments) {
        let mut intact = true;
        for segment in prompt.all() {
            self.clock += 1;
            intact &= self.cache.contains_key(&segment.chain_hash);
            if !intact && prompt.shared().contains(segment) {
                self.reads.push((segment.chain_hash, u64::from(segment.tokens)));
            }
            self.cache.insert(segment.chain_hash, (segment.tokens, self.clock));
        }
        // What runs is in the cache too, but for what it has made.
        let made: u64 = self.batch.iter().map(|job| u64::from(job.made)).sum();
        let room = self.kv_tokens.saturating_sub(made);
        let mut tokens: u64 = self.cache.values().map(|(tokens, _)| u64::from(*tokens)).sum();
        while tokens > room {
            let oldest = self.cache.iter().min_by_key(|(_, (_, used))| *used).map(|(chain, _)| *chain);
            let Some(gone) = oldest.and_then(|chain| self.cache.remove(&chain)) else { return };
            tokens -= u64::from(gone.0);
        }
    }
}
