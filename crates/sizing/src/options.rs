//! What callers choose and hand in: the rules for boundary cases, and the executors of a pick.

/// The lane of a request whose work crosses a cut-off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoundaryRule {
    /// The lane below the cut-off, however little of the work lies there.
    LowerLane,
    /// The lane that has more than half of the work.
    MajorityLane,
}

/// The lane of an executor whose capacity crosses the boundary of two lanes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remainder {
    /// The earlier lane of the two.
    Earlier,
    /// The later lane of the two.
    Later,
}

/// An executor as a weighted pick sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedCandidate {
    /// The occupied fraction of it: 1 when full, more when requests wait there. `None` if it is unknown.
    pub utilisation: Option<f64>,
    /// A factor of its weight beside utilisation: 1, or its speed or its nearness. One that is not above 0 is never picked.
    pub weight_factor: f64,
}
