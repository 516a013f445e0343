//! The requests of a simulation: random arrival times, long-tailed sizes, and prompt prefixes that requests on the same
//! subject share.

use grebeusher_gateway::{PromptSegments, RetryClass, TokenCount};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// A truncated lognormal distribution of numbers of tokens, or of events: the mean, the standard deviation of the
/// logarithm, and the maximum.
#[derive(Clone, Copy, Debug)]
pub struct Lognormal(pub f64, pub f64, pub f64);

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub requests_per_s: f64,
    pub retry_class: RetryClass,
    /// The `max_attempts` of the route.
    pub max_attempts: u32,
    /// How many times a client retries a rejected request.
    pub client_retries: u32,
    /// The latest time of the first event after the arrival for a request to be in time, in ms.
    pub latency_objective_ms: f64,
    /// The time from the arrival to the deadline of a request, in ms.
    pub deadline_ms: f64,
    /// The number of prompt tokens that a request does not share.
    unshared_tokens: Lognormal,
    /// The number of prompt tokens that the requests on one subject share.
    shared_tokens: Lognormal,
    /// The number of events of a response.
    events: Lognormal,
    /// The number of subjects.
    subjects: usize,
    /// The exponent of the Zipf distribution of requests over subjects.
    zipf_exponent: f64,
}

impl RequestClass {
    /// Frequent streams with short prompts.
    pub fn heading(requests_per_s: f64) -> RequestClass {
        RequestClass {
            requests_per_s,
            retry_class: RetryClass::ResumableStream,
            max_attempts: 2,
            client_retries: 1,
            latency_objective_ms: 200.0,
            deadline_ms: 6000.0,
            unshared_tokens: Lognormal(543.0, 0.89, 2310.0),
            shared_tokens: Lognormal(172.0, 0.5, 463.0),
            events: Lognormal(17.5, 0.7, 59.5),
            subjects: 800,
            zipf_exponent: 0.3,
        }
    }

    /// Rarer non-idempotent requests with long shared prefixes.
    pub fn authority(requests_per_s: f64, subjects: usize) -> RequestClass {
        RequestClass {
            requests_per_s,
            retry_class: RetryClass::NonIdempotent,
            max_attempts: 1,
            latency_objective_ms: 300.0,
            deadline_ms: 4000.0,
            unshared_tokens: Lognormal(3720.0, 1.1, 53_200.0),
            shared_tokens: Lognormal(13_300.0, 0.7, 39_900.0),
            events: Lognormal(7.48, 1.4, 29.9),
            subjects,
            ..RequestClass::heading(requests_per_s)
        }
    }

    /// Items of batch jobs.
    pub fn batch() -> RequestClass {
        RequestClass {
            unshared_tokens: Lognormal(768.0, 0.6, 4370.0),
            shared_tokens: Lognormal(432.0, 0.4, 1080.0),
            events: Lognormal(42.0, 0.6, 92.4),
            subjects: 10,
            zipf_exponent: 0.7,
            ..RequestClass::heading(0.0)
        }
    }

    /// The same class with another exponent of the distribution of requests over subjects.
    pub fn with_zipf_exponent(mut self, zipf_exponent: f64) -> RequestClass {
        self.zipf_exponent = zipf_exponent;
        self
    }
}

/// A request that arrives at a node, or a batch item that becomes ready.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The time of the arrival in ms.
    pub at_ms: f64,
    /// The index of the request's class.
    pub class: usize,
    /// The index of the request's subject within its class.
    pub subject: u64,
    /// The size that the client states.
    pub tokens: TokenCount,
    /// The number of output tokens that the executor generates.
    pub output_tokens: u32,
    pub prompt: PromptSegments,
}

/// Generates the requests of a simulation.
pub struct Workload {
    rng: Pcg32,
    /// The classes and their subjects. For each subject, the number of prompt tokens that its requests share, and the sum
    /// of the weights of the subject and all subjects before it.
    classes: Vec<(RequestClass, Vec<(u32, f64)>)>,
    /// The number of requests generated so far.
    request_count: u64,
}

impl Workload {
    pub fn new(classes: &[RequestClass], seed: u64) -> Workload {
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x5eed);
        let classes = classes.iter().map(|class| (class.clone(), subjects(&mut rng, class))).collect();
        Workload { rng, classes, request_count: 0 }
    }

    /// Generates all live requests that arrive before `end_ms`, in the order of their arrival.
    pub fn live_arrivals(&mut self, end_ms: f64) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for class in 0..self.classes.len() {
            let (requests_per_s, mut at_ms) = (self.classes[class].0.requests_per_s, 0.0);
            loop {
                at_ms -= (1.0 - self.rng.random::<f64>()).ln() * 1000.0 / requests_per_s;
                if at_ms >= end_ms {
                    break;
                }
                arrivals.push(self.arrival(class, at_ms));
            }
        }
        arrivals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        arrivals
    }

    /// Generates the batch items that become ready before `end_ms`, in jobs of 40 items.
    pub fn batch_arrivals(&mut self, items_per_s: f64, end_ms: f64) -> Vec<Arrival> {
        let class = RequestClass::batch();
        let subjects = subjects(&mut self.rng, &class);
        self.classes.push((class, subjects));
        let batch_class = self.classes.len() - 1;
        let jobs = (items_per_s / 40.0 * end_ms / 1000.0) as usize;
        let mut job_starts_ms: Vec<f64> = (0..jobs).map(|_| self.rng.random::<f64>() * end_ms).collect();
        job_starts_ms.sort_by(f64::total_cmp);
        job_starts_ms
            .into_iter()
            .flat_map(|at_ms| vec![at_ms; 40])
            .map(|at_ms| self.arrival(batch_class, at_ms))
            .collect()
    }

    /// Generates one request of a class.
    fn arrival(&mut self, class_index: usize, at_ms: f64) -> Arrival {
        self.request_count += 1;
        let (class, subjects) = &self.classes[class_index];
        let subject = random_subject(&mut self.rng, subjects);
        let shared = subjects[subject].0;
        let unshared = random_count(&mut self.rng, class.unshared_tokens);
        let output_tokens = 16 * random_count(&mut self.rng, class.events);
        let header = format!(
            "{:x}:{shared},{:x}:{unshared}",
            (class_index << 32) + subject,
            0xabc_0000_0000 + self.request_count
        );
        let prompt = PromptSegments::parse(&header).unwrap();
        let tokens = TokenCount { prompt: shared + unshared, output: output_tokens };
        Arrival { at_ms, class: class_index, subject: subject as u64, tokens, output_tokens, prompt }
    }
}

/// Generates the subjects of a class, each with its number of shared tokens and its cumulative weight.
fn subjects(rng: &mut Pcg32, class: &RequestClass) -> Vec<(u32, f64)> {
    let mut cumulative_weight = 0.0;
    (1..=class.subjects)
        .map(|rank| {
            cumulative_weight += (rank as f64).powf(-class.zipf_exponent);
            (random_count(rng, class.shared_tokens), cumulative_weight)
        })
        .collect()
}

/// The index of a random subject, with a probability proportional to its weight.
fn random_subject(rng: &mut Pcg32, subjects: &[(u32, f64)]) -> usize {
    let position = rng.random::<f64>() * subjects.last().unwrap().1;
    subjects.partition_point(|(_, cumulative_weight)| *cumulative_weight <= position).min(subjects.len() - 1)
}

/// A random number of a distribution, at least 1.
fn random_count(rng: &mut Pcg32, Lognormal(mean, sigma, max): Lognormal) -> u32 {
    // The Box-Muller transform makes a normally distributed number of two uniformly distributed ones.
    let (uniform_radius, uniform_angle) = (1.0 - rng.random::<f64>(), rng.random::<f64>());
    let normal = (-2.0 * uniform_radius.ln()).sqrt() * (std::f64::consts::TAU * uniform_angle).cos();
    (mean * (sigma * normal - sigma * sigma / 2.0).exp()).clamp(1.0, max) as u32
}
