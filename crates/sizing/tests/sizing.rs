//! Tests of the sample, the cut-offs, the lanes and the weighted pick.

use grebeusher_sizing::{
    BoundaryRule, CutOffs, MIN_WEIGHT, Remainder, Sample, WeightedCandidate, capacity_by_lane, fixed_hash,
    lanes_by_hash, lanes_by_share, lanes_in_order, pick, rendezvous, weight,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

fn sample_of(sizes: impl IntoIterator<Item = f64>) -> Sample {
    let mut sample = Sample::new(1000);
    for size in sizes {
        sample.observe(size, size);
    }
    sample
}

fn work_by_lane(sample: &Sample, cut_offs: &CutOffs, lanes: usize) -> Vec<f64> {
    capacity_by_lane(lanes, sample.entries().map(|entry| (cut_offs.lane_of(entry.size), entry.work)))
}

#[rstest]
#[case::equal(&[1.0, 1.0])]
#[case::few_and_many(&[3.0, 1.0])]
#[case::three_lanes(&[2.0, 1.0, 1.0])]
fn cut_offs_equalise_summed_work_per_share(#[case] shares: &[f64]) {
    // given sizes over four orders of magnitude
    let mut rng = Pcg32::seed_from_u64(7);
    let sample = sample_of((0..1000).map(|_| 10.0_f64.powf(4.0 * rng.random::<f64>())));
    // when the cut-offs are computed
    let cut_offs = CutOffs::equalising(&sample, shares, 50);
    // then each lane's part of the work is its share, up to the work of one large request
    let lane_work = work_by_lane(&sample, &cut_offs, shares.len());
    let (total_work, total_share) = (lane_work.iter().sum::<f64>(), shares.iter().sum::<f64>());
    for (work, share) in lane_work.iter().zip(shares) {
        assert!(
            (work / total_work - share / total_share).abs() < 0.02,
            "{lane_work:?} for shares {shares:?}"
        );
    }
}

#[rstest]
#[case::lower_lane(BoundaryRule::LowerLane, 7.0)]
#[case::majority_lane(BoundaryRule::MajorityLane, 3.0)]
fn the_boundary_rule_decides_the_lane_of_a_request_on_a_cut_off(
    #[case] rule: BoundaryRule,
    #[case] bound: f64,
) {
    // given sizes of which the fourth, 7, crosses the cut-off with a little more than half of its work above
    let sorted = sample_of([9.0, 1.0, 3.0, 7.0, 2.0]).sorted();
    // when the cut-off is at a summed work of 9.4
    let cut_offs = CutOffs::at_sums(&sorted, &[9.4], rule);
    // then the fourth size is in the lane that the rule names
    assert_eq!(cut_offs.bounds(), [bound]);
    assert_eq!(CutOffs::at_sums(&sorted, &[f64::NAN], rule), CutOffs::one_lane());
}

#[test]
fn lanes_are_by_size_and_cut_offs_by_work() {
    // given large requests that cost little, as most of their input is already cached
    let mut sample = Sample::new(1000);
    for _ in 0..300 {
        sample.observe(100.0, 100.0);
        sample.observe(5000.0, 50.0);
        sample.observe(9000.0, 50.0);
    }
    // when the cut-offs are computed for equal lanes
    let cut_offs = CutOffs::equalising(&sample, &[1.0, 1.0], 50);
    // then the small requests have a lane of their own, although they are less than a hundredth of the summed size
    assert_eq!([100.0, 5000.0, 9000.0].map(|size| cut_offs.lane_of(size)), [0, 1, 1]);
}

#[test]
fn cut_offs_sum_work_not_size() {
    // given a thousand requests of equal work whose sizes rise as squares
    let mut sample = Sample::new(1000);
    let all_added = (1..=1000).all(|n| sample.observe(f64::from(n * n), 7.0));
    assert!(all_added);
    // when the cut-offs are computed for lanes of a half, a quarter and a quarter
    let cut_offs = CutOffs::equalising(&sample, &[2.0, 1.0, 1.0], 50);
    // then they divide the requests by number
    assert_eq!(cut_offs.bounds(), [500.0 * 500.0, 750.0 * 750.0]);
}

#[rstest]
#[case::too_few(49, &[1.0, 1.0])]
#[case::one_lane(100, &[1.0])]
#[case::no_shares(100, &[])]
#[case::zero_share(100, &[1.0, 0.0])]
#[case::nan_share(100, &[1.0, f64::NAN])]
fn one_lane_has_all_where_no_cut_off_is_possible(#[case] count: usize, #[case] shares: &[f64]) {
    let sample = sample_of((0..count).map(|n| n as f64 + 1.0));
    assert_eq!(CutOffs::equalising(&sample, shares, 50), CutOffs::one_lane());
}

#[test]
fn the_sample_has_the_last_valid_requests() {
    let mut sample = Sample::new(3);
    for size in [1.0, f64::NAN, 2.0, 0.0, -1.0, 3.0, f64::INFINITY, 4.0] {
        sample.observe(size, size);
    }
    let sizes: Vec<f64> = sample.entries().map(|entry| entry.size).collect();
    assert_eq!(sizes, [2.0, 3.0, 4.0]);
    assert_eq!((sample.median(), sample.mean_work()), (Some(3.0), Some(3.0)));
    assert_eq!((Sample::new(0).median(), Sample::new(0).mean_work()), (None, None));
}

#[rstest]
#[case(18, 2, &[9, 9])]
#[case(9, 2, &[4, 5])]
#[case(10, 3, &[3, 3, 4])]
#[case(1, 2, &[1])]
#[case(5, 0, &[5])]
fn lanes_by_hash_have_nearly_equal_numbers(
    #[case] count: u64,
    #[case] lanes: usize,
    #[case] expected: &[usize],
) {
    let hashes: Vec<u64> = (0..count).map(|n| fixed_hash(&format!("i-{n}"))).collect();
    let assigned = lanes_by_hash(&hashes, lanes);
    let counts: Vec<usize> =
        (0..expected.len()).map(|lane| assigned.iter().filter(|at| **at == lane).count()).collect();
    assert_eq!(counts, expected);
}

#[rstest]
#[case(18, &[1.0, 3.0], &[4, 14])]
#[case(9, &[1.0, 3.0], &[2, 7])]
#[case(3, &[1.0, 3.0], &[1, 2])]
#[case(2, &[1.0, 3.0], &[1, 1])]
#[case(10, &[1.0, 0.01, 0.01], &[8, 1, 1])]
#[case(10, &[0.01, 0.01, 1.0], &[1, 1, 8])]
#[case(1, &[1.0, 3.0], &[1, 0])]
#[case(5, &[1.0, 0.0], &[5, 0])]
#[case(5, &[1.0, f64::NAN], &[5, 0])]
fn lanes_by_share_have_at_least_one_executor(
    #[case] count: u64,
    #[case] shares: &[f64],
    #[case] expected: &[usize],
) {
    let hashes: Vec<u64> = (0..count).map(|n| fixed_hash(&format!("i-{n}"))).collect();
    let assigned = lanes_by_share(&hashes, shares);
    let counts: Vec<usize> =
        (0..expected.len()).map(|lane| assigned.iter().filter(|at| **at == lane).count()).collect();
    assert_eq!(counts, expected);
}

#[test]
fn the_remainder_goes_to_the_chosen_lane() {
    for count in 2_usize..5000 {
        let first = |remainder| {
            lanes_in_order(count, &[3.0, 1.0], remainder).iter().filter(|lane| **lane == 0).count()
        };
        let max = count - 1;
        assert_eq!(first(Remainder::Earlier), (count * 3).div_ceil(4).min(max));
        assert_eq!(first(Remainder::Later), count * 3 / 4);
    }
    assert_eq!(lanes_in_order(1, &[3.0, 1.0], Remainder::Earlier), [0]);
    assert!(lanes_in_order(0, &[3.0, 1.0], Remainder::Earlier).is_empty());
}

#[test]
fn older_entries_never_replace_newer_ones() {
    let mut sample = Sample::new(3);
    sample.observe(2.0, 2.0);
    let older = grebeusher_sizing::SampledRequest { size: 1.0, work: 1.0 };
    assert_eq!([older, older, older].map(|entry| sample.add_older(entry)), [true, true, false]);
    assert!(sample.observe(3.0, 3.0));
    let sizes: Vec<f64> = sample.entries().map(|entry| entry.size).collect();
    assert_eq!(sizes, [1.0, 2.0, 3.0]);
}

#[test]
fn lanes_do_not_depend_on_order_and_a_removal_moves_at_most_one_executor() {
    let hashes: Vec<u64> = (0..18).map(|n| fixed_hash(&format!("i-{n}"))).collect();
    let lanes = lanes_by_hash(&hashes, 2);
    let reversed: Vec<u64> = hashes.iter().rev().copied().collect();
    let mut lanes_of_reversed = lanes_by_hash(&reversed, 2);
    lanes_of_reversed.reverse();
    assert_eq!(lanes_of_reversed, lanes);
    for removed in 0..18 {
        let mut remaining: Vec<(u64, usize)> = hashes.iter().copied().zip(lanes.iter().copied()).collect();
        remaining.remove(removed);
        let after = lanes_by_hash(&remaining.iter().map(|(hash, _)| *hash).collect::<Vec<_>>(), 2);
        let moved = remaining.iter().zip(&after).filter(|((_, before), after)| before != *after).count();
        assert!(moved <= 1, "{moved} executors changed their lane");
    }
}

#[test]
fn removing_a_member_keeps_the_rendezvous_order_of_the_others() {
    let order = |key: u64, members: &[u64]| {
        let mut members = members.to_vec();
        members.sort_by_key(|member| std::cmp::Reverse(rendezvous(key, *member)));
        members
    };
    let members: Vec<u64> = (0..9).map(|n| fixed_hash(&format!("i-{n}"))).collect();
    let mut keys_by_member = std::collections::BTreeMap::new();
    for key in 0..900 {
        let all = order(key, &members);
        *keys_by_member.entry(all[0]).or_insert(0) += 1;
        let without: Vec<u64> = members.iter().copied().filter(|member| *member != all[0]).collect();
        assert_eq!(order(key, &without), all[1..]);
    }
    assert!(
        keys_by_member.len() == 9 && keys_by_member.values().all(|count| (60..140).contains(count)),
        "{keys_by_member:?}"
    );
}

#[rstest]
#[case(0.0, 1.0)]
#[case(0.25, 0.75)]
#[case(0.95, MIN_WEIGHT)]
#[case(1.0, MIN_WEIGHT)]
#[case(2.0, MIN_WEIGHT / 2.0)]
#[case(-1.0, 1.0)]
#[case(f64::NAN, MIN_WEIGHT)]
fn the_weight_is_the_free_capacity_with_a_minimum(#[case] utilisation: f64, #[case] expected: f64) {
    assert!((weight(utilisation) - expected).abs() < 1e-12);
}

#[test]
fn picks_follow_the_weights_and_unknown_utilisation_gets_the_mean() {
    let candidate = |utilisation| WeightedCandidate { utilisation, weight_factor: 1.0 };
    let candidates = [candidate(Some(0.0)), candidate(Some(0.5)), candidate(Some(1.0)), candidate(None)];
    let mut rng = Pcg32::seed_from_u64(3);
    let mut counts = [0.0; 4];
    for _ in 0..20_000 {
        counts[pick(&mut rng, &candidates).unwrap()] += 1.0;
    }
    let mean = (1.0 + 0.5 + MIN_WEIGHT) / 3.0;
    let total = 1.0 + 0.5 + MIN_WEIGHT + mean;
    for (count, weight) in counts.iter().zip([1.0, 0.5, MIN_WEIGHT, mean]) {
        assert!((count / 20_000.0 - weight / total).abs() < 0.01, "{counts:?}");
    }
}

#[test]
fn a_candidate_without_weight_is_never_picked() {
    let candidate = |weight_factor| WeightedCandidate { utilisation: None, weight_factor };
    let mut rng = Pcg32::seed_from_u64(3);
    for _ in 0..100 {
        assert_eq!(
            pick(&mut rng, &[candidate(0.0), candidate(1.0), candidate(f64::NAN), candidate(-1.0)]),
            Some(1)
        );
    }
    assert_eq!(pick(&mut rng, &[candidate(0.0)]), None);
    assert_eq!(pick(&mut rng, &[]), None);
}

proptest! {
    #[test]
    fn no_input_panics_and_bounds_ascend(
        sizes in proptest::collection::vec(any::<f64>(), 0..200),
        shares in proptest::collection::vec(any::<f64>(), 0..5),
        min_sample in 0_usize..100,
        probe in any::<f64>(),
    ) {
        let cut_offs = CutOffs::equalising(&sample_of(sizes), &shares, min_sample);
        prop_assert!(cut_offs.bounds().is_sorted());
        prop_assert!(cut_offs.lane_of(probe) < cut_offs.lane_count());
    }
}
