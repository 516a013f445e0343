//! SITA-E, size interval task assignment with equal load, without I/O, clock or executors.
//!
//! From "Size-Based Routing Policies": cut-offs give each lane of executors one interval of sizes such that the
//! load of the interval matches the lane's share of the capacity; inside a lane a random pick is weighted by what
//! is left of each executor. This crate holds just that, for every program that routes by it:
//!
//! * [`Sample`]: the sizes of the last requests, with what else a program keeps of each ([`SampleEntry`]);
//! * [`CutOffs`]: the interval bounds that equalise summed work per share of capacity, and the lane of a size;
//! * [`lanes_in_order`], [`lanes_by_hash`], [`lanes_by_share`]: which executor is in which lane, the same on every
//!   node;
//! * [`weight`], [`weights`], [`pick`]: the weighted pick inside a lane;
//! * [`fixed_hash`], [`mixed`], [`rendezvous`]: hashes that agree between processes.
//!
//! Both programs use it: the tier through `grebeusher-gateway`, the node through `grebeusher-dispatch`. Where they
//! differ the caller says which way: [`Straddler`] for cut-offs, [`Remainder`] for lanes. What the node uses stands in
//! files that `policy` in `deploy/balancer.toml` names.
//!
//! ```
//! use grebeusher_sizing::{CutOffs, Sample};
//!
//! let mut sample = Sample::new(1000);
//! for size in 1..=100 {
//!     sample.saw(f64::from(size), f64::from(size));
//! }
//! let cut_offs = CutOffs::equalising(&sample, &[0.5, 0.5], 50);
//! assert_eq!(cut_offs.lane_of(10.0), 0); // sizes 1 to 71 sum up to half of all
//! assert_eq!(cut_offs.lane_of(95.0), 1);
//! ```

mod cut_offs;
mod hash;
mod lanes;
mod pick;
mod places;
mod sample;
mod shares;
mod terms;
mod weight;

pub use cut_offs::CutOffs;
pub use hash::{fixed_hash, mixed, rendezvous};
pub use lanes::{lanes_by_hash, lanes_by_share};
pub use pick::pick;
pub use places::lanes_in_order;
pub use sample::{Entry, Sample, SampleEntry};
pub use shares::share_of_lanes;
pub use terms::{Candidate, Remainder, Straddler};
pub use weight::{FLOOR, weight, weights};
