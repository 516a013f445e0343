//! SITA-E (size interval task assignment with equal load), without I/O, a clock or executors.
//!
//! The policy is from "Size-Based Routing Policies": cut-offs assign one interval of sizes to each lane of executors, such that
//! the load of the interval matches the lane's share of the capacity. Inside a lane a random pick is weighted by the free
//! capacity of each executor. The crate contains:
//!
//! * [`Sample`]: the sizes of the last requests, with what else the caller stores of each ([`SampleEntry`]);
//! * [`CutOffs`]: the bounds that make summed work proportional to capacity, and the lane of a size;
//! * [`lanes_in_order`], [`lanes_by_hash`], [`lanes_by_share`]: the lane of each executor, the same on every node;
//! * [`weight`], [`weights`], [`pick`]: the weighted pick inside a lane;
//! * [`fixed_hash`], [`mix64`], [`rendezvous`]: hashes that are the same in every process.
//!
//! The tier uses it through `grebeusher-gateway`, and the node through `grebeusher-dispatch`. Where the two differ the caller
//! chooses: [`BoundaryRule`] for cut-offs, [`Remainder`] for lanes. The files that the node uses (`cut_offs.rs`, `places.rs`,
//! `weight.rs`) are listed as `policy` in `deploy/balancer.toml`, so their paths have to stay. Results must not change by a
//! single bit: all nodes have to compute the same lanes, and recorded runs are compared.
//!
//! ```
//! use grebeusher_sizing::{CutOffs, Sample};
//!
//! let mut sample = Sample::new(1000);
//! for size in 1..=100 {
//!     sample.observe(f64::from(size), f64::from(size));
//! }
//! let cut_offs = CutOffs::equalising(&sample, &[0.5, 0.5], 50);
//! assert_eq!(cut_offs.lane_of(10.0), 0); // sizes 1 to 71 are about half of the sum
//! assert_eq!(cut_offs.lane_of(95.0), 1);
//! ```

#![warn(missing_docs)]

mod cut_offs;
mod lanes;
mod options;
mod pick;
mod places;
mod rendezvous;
mod sample;
mod shares;
mod weight;

pub use cut_offs::CutOffs;
pub use lanes::{lanes_by_hash, lanes_by_share};
pub use options::{BoundaryRule, Remainder, WeightedCandidate};
pub use pick::pick;
pub use places::lanes_in_order;
pub use rendezvous::{fixed_hash, mix64, rendezvous};
pub use sample::{Sample, SampleEntry, SampledRequest};
pub use shares::capacity_by_lane;
pub use weight::{MIN_WEIGHT, weight, weights};
