//! Requests: sizes of long tails, shared prompt prefixes of subjects, times by chance.

use grebeusher_gateway::{PromptSegments, RetryClass, TokenCount};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Tokens: mean, spread of their logarithm, most.
#[derive(Clone, Copy, Debug)]
pub struct Tokens(pub f64, pub f64, pub f64);

#[derive(Clone, Debug)]
pub struct Class {
    pub per_s: f64,
    pub retry_class: RetryClass,
    pub max_attempts: u32,
    pub retries: u32,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    own: Tokens,
    shared: Tokens,
    events: Tokens,
    subjects: usize,
    skew: f64,
}

impl Class {
    pub fn heading(per_s: f64) -> Class {
        Class {
            per_s,
            retry_class: RetryClass::ResumableStream,
            max_attempts: 2,
            retries: 1,
            aim_ms: 200.0,
            deadline_ms: 6000.0,
            own: Tokens(543.0, 0.89, 2310.0),
            shared: Tokens(172.0, 0.5, 463.0),
            events: Tokens(17.5, 0.7, 59.5),
            subjects: 800,
            skew: 0.3,
        }
    }

    pub fn authority(per_s: f64, subjects: usize) -> Class {
        Class {
            per_s,
            retry_class: RetryClass::NonIdempotent,
            max_attempts: 1,
            aim_ms: 300.0,
            deadline_ms: 4000.0,
            own: Tokens(3720.0, 1.1, 53_200.0),
            shared: Tokens(13_300.0, 0.7, 39_900.0),
            events: Tokens(7.48, 1.4, 29.9),
            subjects,
            ..Class::heading(per_s)
        }
    }

    pub fn batch() -> Class {
        Class {
            own: Tokens(768.0, 0.6, 4370.0),
            shared: Tokens(432.0, 0.4, 1080.0),
            events: Tokens(42.0, 0.6, 92.4),
            subjects: 10,
            skew: 0.7,
            ..Class::heading(0.0)
        }
    }

    pub fn skewed(mut self, skew: f64) -> Class {
        self.skew = skew;
        self
    }
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub class: usize,
    pub subject: u64,
    pub tokens: TokenCount,
    /// Output tokens that the executor really makes.
    pub output: u32,
    pub prompt: PromptSegments,
}

pub struct Workload {
    rng: Pcg32,
    classes: Vec<(Class, Vec<(u32, f64)>)>,
    number: u64,
}

impl Workload {
    pub fn new(classes: &[Class], seed: u64) -> Workload {
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x5eed);
        let classes = classes.iter().map(|class| (class.clone(), subjects(&mut rng, class))).collect();
        Workload { rng, classes, number: 0 }
    }

    /// All arrivals until `end`, in order.
    pub fn draw(&mut self, end: f64) -> Vec<Arrival> {
        let mut all = Vec::new();
        for class in 0..self.classes.len() {
            let (per_s, mut at) = (self.classes[class].0.per_s, 0.0);
            loop {
                at -= (1.0 - self.rng.random::<f64>()).ln() * 1000.0 / per_s;
                if at >= end {
                    break;
                }
                all.push(self.one(class, at));
            }
        }
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
        all
    }

    /// Batch items that come in jobs of 40.
    pub fn batch(&mut self, items_per_s: f64, end: f64) -> Vec<Arrival> {
        let class = Class::batch();
        let things = subjects(&mut self.rng, &class);
        self.classes.push((class, things));
        let last = self.classes.len() - 1;
        let jobs = (items_per_s / 40.0 * end / 1000.0) as usize;
        let mut starts: Vec<f64> = (0..jobs).map(|_| self.rng.random::<f64>() * end).collect();
        starts.sort_by(f64::total_cmp);
        starts.into_iter().flat_map(|at| vec![at; 40]).map(|at| self.one(last, at)).collect()
    }

    fn one(&mut self, class: usize, at: f64) -> Arrival {
        self.number += 1;
        let (shape, things) = &self.classes[class];
        let subject = zipf(&mut self.rng, things);
        let shared = things[subject].0;
        let own = lognormal(&mut self.rng, shape.own);
        let output = 16 * lognormal(&mut self.rng, shape.events);
        let header =
            format!("{:x}:{shared},{:x}:{own}", (class << 32) + subject, 0xabc_0000_0000 + self.number);
        let prompt = PromptSegments::parse(&header).unwrap();
        let tokens = TokenCount { prompt: shared + own, output };
        Arrival { at, class, subject: subject as u64, tokens, output, prompt }
    }
}

fn subjects(rng: &mut Pcg32, class: &Class) -> Vec<(u32, f64)> {
    let mut summed = 0.0;
    (1..=class.subjects)
        .map(|rank| {
            summed += (rank as f64).powf(-class.skew);
            (lognormal(rng, class.shared), summed)
        })
        .collect()
}

fn zipf(rng: &mut Pcg32, subjects: &[(u32, f64)]) -> usize {
    let at = rng.random::<f64>() * subjects.last().unwrap().1;
    subjects.partition_point(|(_, summed)| *summed <= at).min(subjects.len() - 1)
}

fn lognormal(rng: &mut Pcg32, Tokens(mean, spread, most): Tokens) -> u32 {
    let (a, b) = (1.0 - rng.random::<f64>(), rng.random::<f64>());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    (mean * (spread * normal - spread * spread / 2.0).exp()).clamp(1.0, most) as u32
}
