//! How sizes are spread, with the moments that the formulas of queueing theory want.

use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal};
use serde::Deserialize;

/// A law of sizes in seconds of work on a standard core.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(tag = "law", rename_all = "lowercase", deny_unknown_fields)]
pub enum Sizes {
    Fixed {
        mean_s: f64,
    },
    Exponential {
        mean_s: f64,
    },
    /// `cv`: standard deviation over mean.
    Lognormal {
        mean_s: f64,
        cv: f64,
    },
    /// A tail that falls with the power `shape`, cut where it is `ratio` times the smallest.
    Pareto {
        mean_s: f64,
        shape: f64,
        ratio: f64,
    },
}

impl Sizes {
    pub fn mean_s(self) -> f64 {
        match self {
            Sizes::Fixed { mean_s }
            | Sizes::Exponential { mean_s }
            | Sizes::Lognormal { mean_s, .. }
            | Sizes::Pareto { mean_s, .. } => mean_s,
        }
    }

    /// The mean of the square.
    pub fn second_moment(self) -> f64 {
        let squared = self.mean_s().powi(2);
        match self {
            Sizes::Fixed { .. } => squared,
            Sizes::Exponential { .. } => 2.0 * squared,
            Sizes::Lognormal { cv, .. } => squared * (1.0 + cv * cv),
            Sizes::Pareto { shape, ratio, .. } => {
                squared * pareto_moment(shape, ratio, 2.0) / pareto_moment(shape, ratio, 1.0).powi(2)
            }
        }
    }

    pub fn draw(self, chance: &mut impl Rng) -> f64 {
        match self {
            Sizes::Fixed { mean_s } => mean_s,
            Sizes::Exponential { mean_s } => mean_s * sample(chance, Exp1),
            Sizes::Lognormal { mean_s, cv } => mean_s * noise(chance, cv),
            Sizes::Pareto { mean_s, shape, ratio } => {
                let u: f64 = chance.random();
                let smallest = mean_s / pareto_moment(shape, ratio, 1.0);
                smallest * (1.0 - u * (1.0 - ratio.powf(-shape))).powf(-1.0 / shape)
            }
        }
    }
}

/// A moment of the cut Pareto law whose smallest value is one.
fn pareto_moment(shape: f64, ratio: f64, power: f64) -> f64 {
    let whole = shape / (1.0 - ratio.powf(-shape));
    if (shape - power).abs() < 1e-9 {
        whole * ratio.ln()
    } else {
        whole * (ratio.powf(power - shape) - 1.0) / (power - shape)
    }
}

/// A factor of mean one that varies by so much.
pub fn noise(chance: &mut impl Rng, cv: f64) -> f64 {
    if cv <= 0.0 {
        return 1.0;
    }
    // The variance of the logarithm that gives this ratio; its mean follows from that of the factor being one.
    let variance = (1.0 + cv * cv).ln();
    // The law exists for every finite spread.
    LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |law| law.sample(chance))
}

/// A span that is mostly short: exponential with mean one.
pub fn exponential(chance: &mut impl Rng) -> f64 {
    sample(chance, Exp1)
}

fn sample(chance: &mut impl Rng, law: impl Distribution<f64>) -> f64 {
    law.sample(chance)
}
