//! What callers say to the functions of this crate.

/// The lane of a request whose work lies on both sides of what is due to a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Straddler {
    /// The lane below, whatever its part there.
    Below,
    /// The lane that has more than half of it.
    ByHalf,
}

/// Which lane gets an executor that lies on both sides of a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remainder {
    /// The earlier of the two.
    Earlier,
    /// The later of the two.
    Later,
}

/// What a pick has to know of an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The part of it that is taken: 1 when full, more when requests wait there. `None` without a figure.
    pub utilisation: Option<f64>,
    /// By how much it counts beside that: 1, or its speed, its nearness. What is not above 0 is never picked.
    pub strength: f64,
}
