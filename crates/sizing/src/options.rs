//! The parameters of callers: the rules for boundary cases, and the candidates of a pick.

/// Which lane gets a request whose work crosses a cut-off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoundaryRule {
    /// The lane below the cut-off, however little of the request's work lies there.
    LowerLane,
    /// The lane that has more than half of the request's work.
    MajorityLane,
}

/// Which lane gets an executor that crosses the boundary of two lanes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remainder {
    /// The earlier lane of the two.
    Earlier,
    /// The later lane of the two.
    Later,
}

/// An executor in a weighted pick.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedCandidate {
    /// The fraction of its capacity in use: 1 when it is full, more when requests wait there. `None` if unknown.
    pub utilisation: Option<f64>,
    /// A factor of the weight beside utilisation, such as speed or nearness; 1 for none. An executor whose factor is not above
    /// 0 is never picked.
    pub weight_factor: f64,
}
