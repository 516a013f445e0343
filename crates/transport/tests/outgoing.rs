//! An outgoing link without its socket: what waits, what gives way, when it dials and gives up.

use grebeusher_time::{Duration, Instant};
use grebeusher_transport::link::{self, Frame, FrameDecoder, Hello, MAX_PAYLOAD};
use grebeusher_transport::outgoing::{Action, Bounds, Delivery, Outgoing, SendError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::{Ipv4Addr, SocketAddrV4};

const BOUNDS: Bounds = Bounds {
    most_waiting: 100,
    connect_within: Duration::from_millis(600),
    stuck_after: Duration::from_millis(1500),
    redial_after: Duration::from_millis(150),
};
/// A payload that makes a frame of 20 bytes.
const PAYLOAD: usize = 15;

fn at(ms: u64) -> Instant {
    Instant(0) + Duration::from_millis(ms)
}

fn outgoing() -> Outgoing {
    Outgoing::new(BOUNDS, Hello::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1)))
}

/// A link that is up and has sent its greeting.
fn up() -> Outgoing {
    let mut link = outgoing();
    link.push(9, b"", Delivery::Reliable, at(0)).expect("there is room");
    assert_eq!(link.poll(at(0)), Action::Dial);
    link.connected(at(0));
    take_all(&mut link, at(0));
    link
}

fn push(link: &mut Outgoing, mark: u8, delivery: Delivery) -> Result<usize, SendError> {
    link.push(mark, &[mark; PAYLOAD], delivery, at(0))
}

fn take_all(link: &mut Outgoing, now: Instant) -> Vec<u8> {
    let mut taken = Vec::new();
    while !link.next_bytes().is_empty() {
        let bytes = link.next_bytes().to_vec();
        link.written(bytes.len(), now);
        taken.extend(bytes);
    }
    taken
}

fn channels(bytes: &[u8]) -> Vec<u8> {
    let mut decoder = FrameDecoder::default();
    decoder.feed(&link::encode_hello(&Hello::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1))));
    assert!(decoder.next_frame().is_ok());
    decoder.feed(bytes);
    std::iter::from_fn(|| decoder.next_frame().expect("frames")).map(|frame: Frame| frame.channel).collect()
}

#[test]
fn the_greeting_goes_first_on_every_connection() {
    let mut link = outgoing();
    push(&mut link, 1, Delivery::Reliable).expect("there is room");
    for round in 0..2 {
        let now = at(round * 1000);
        assert_eq!(link.poll(now), Action::Dial);
        assert!(link.next_bytes().is_empty(), "nothing is written before it is up");
        link.connected(now);
        let hello = link::encode_hello(&Hello::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1)));
        assert_eq!(link.next_bytes(), hello);
        link.ended(now);
    }
}

#[test]
fn without_anything_to_say_nothing_is_dialled() {
    let mut link = outgoing();
    assert_eq!((link.poll(at(0)), link.next_due()), (Action::None, None));
}

#[test]
fn the_oldest_lossy_ones_give_way() {
    let mut link = up();
    assert_eq!(push(&mut link, 1, Delivery::Reliable), Ok(0));
    for mark in 2..=5 {
        assert_eq!(push(&mut link, mark, Delivery::Lossy), Ok(0));
    }
    assert_eq!(push(&mut link, 6, Delivery::Lossy), Ok(1));
    assert_eq!(push(&mut link, 7, Delivery::Reliable), Ok(1));
    assert_eq!(channels(&take_all(&mut link, at(0))), [1, 4, 5, 6, 7]);
}

#[test]
fn what_may_not_be_dropped_is_refused_when_there_is_no_room() {
    let mut link = up();
    (1..=5).for_each(|mark| assert_eq!(push(&mut link, mark, Delivery::Reliable), Ok(0)));
    for delivery in [Delivery::Reliable, Delivery::Lossy] {
        assert_eq!(push(&mut link, 6, delivery), Err(SendError::Full { waiting: 100 }));
    }
    assert_eq!(channels(&take_all(&mut link, at(0))), [1, 2, 3, 4, 5]);
    assert_eq!(push(&mut link, 7, Delivery::Reliable), Ok(0), "what was sent makes room");
}

#[test]
fn nothing_is_dropped_for_what_has_no_room_in_any_case() {
    let mut link = up();
    push(&mut link, 1, Delivery::Lossy).expect("there is room");
    assert_eq!(link.push(2, &[0; 200], Delivery::Reliable, at(0)), Err(SendError::Full { waiting: 20 }));
    assert_eq!(channels(&take_all(&mut link, at(0))), [1]);
}

#[test]
fn a_frame_that_no_peer_bears_is_refused() {
    let refused = outgoing().push(1, &vec![0; MAX_PAYLOAD + 1], Delivery::Lossy, at(0));
    assert!(matches!(refused, Err(SendError::TooLarge { .. })));
}

#[test]
fn a_frame_that_is_sent_in_part_is_not_dropped() {
    let mut link = up();
    (1..=5).for_each(|mark| assert_eq!(push(&mut link, mark, Delivery::Lossy), Ok(0)));
    let begun = link.next_bytes()[..7].to_vec();
    link.written(7, at(0));
    assert_eq!(push(&mut link, 6, Delivery::Lossy), Ok(1));
    let rest = take_all(&mut link, at(0));
    assert_eq!(channels(&[begun, rest].concat()), [1, 3, 4, 5, 6]);
}

#[test]
fn a_frame_that_is_sent_in_part_stays_whole_when_the_rest_is_cleared() {
    let mut link = up();
    (1..=3).for_each(|mark| assert_eq!(push(&mut link, mark, Delivery::Reliable), Ok(0)));
    let begun = link.next_bytes()[..7].to_vec();
    link.written(7, at(0));
    link.clear();
    assert_eq!(link.waiting(), 13);
    let rest = take_all(&mut link, at(0));
    assert_eq!(channels(&[begun, rest].concat()), [1]);
}

#[test]
fn a_frame_that_a_lost_connection_cut_goes_whole_on_the_next() {
    let mut link = up();
    push(&mut link, 1, Delivery::Reliable).expect("there is room");
    link.written(7, at(0));
    link.ended(at(10));
    assert_eq!(link.poll(at(159)), Action::None, "it is not dialled again at once");
    assert_eq!(link.next_due(), Some(at(160)));
    assert_eq!(link.poll(at(160)), Action::Dial);
    link.connected(at(170));
    let hello = link.next_bytes().len();
    assert_eq!(channels(&take_all(&mut link, at(170))[hello..]), [1]);
}

#[test]
fn a_connection_that_does_not_come_up_is_given_up() {
    let mut link = outgoing();
    push(&mut link, 1, Delivery::Reliable).expect("there is room");
    assert_eq!(link.poll(at(0)), Action::Dial);
    assert_eq!((link.next_due(), link.poll(at(599))), (Some(at(600)), Action::None));
    assert_eq!(link.poll(at(600)), Action::Close);
    assert_eq!(link.poll(at(750)), Action::Dial);
    link.ended(at(760));
    link.connected(at(761));
    assert!(link.next_bytes().is_empty(), "word of a connection that was given up changes nothing");
}

#[test]
fn a_connection_that_takes_nothing_is_given_up_and_an_idle_one_is_not() {
    let mut link = up();
    assert_eq!((link.next_due(), link.poll(at(100_000))), (None, Action::None));
    link.push(1, &[0; PAYLOAD], Delivery::Reliable, at(100_000)).expect("there is room");
    assert_eq!(link.poll(at(101_499)), Action::None, "it began to wait just now");
    link.written(3, at(101_499));
    assert_eq!(link.poll(at(102_998)), Action::None, "some of it was taken");
    assert_eq!(link.poll(at(102_999)), Action::Close);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x6c69_6e6b),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn what_waits_is_bounded_and_frames_stay_whole(
        steps in prop::collection::vec((0_usize..60, any::<bool>(), 0_usize..90), 1..80),
    ) {
        let mut link = up();
        let (mut sent, mut reliable) = (Vec::new(), 0);
        for (payload, lossy, taken) in steps {
            let delivery = if lossy { Delivery::Lossy } else { Delivery::Reliable };
            let pushed = link.push(u8::from(lossy), &vec![0; payload], delivery, at(0));
            reliable += usize::from(pushed.is_ok() && !lossy);
            prop_assert!(link.waiting() <= BOUNDS.most_waiting);
            let taken = taken.min(link.next_bytes().len());
            sent.extend_from_slice(&link.next_bytes()[..taken]);
            link.written(taken, at(0));
        }
        sent.extend(take_all(&mut link, at(0)));
        prop_assert_eq!(link.waiting(), 0);
        let arrived = channels(&sent);
        prop_assert_eq!(arrived.iter().filter(|&&channel| channel == 0).count(), reliable);
    }
}
