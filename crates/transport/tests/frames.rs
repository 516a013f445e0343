//! Frames on links: any cut gives the same frames, no bytes take memory or make it panic, versions are told apart.

use grebeusher_transport::link::{
    self, Frame, FrameDecoder, HELLO_CHANNEL, Hello, LinkError, MAX_HELLO, MAX_PAYLOAD, VERSION,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddrV4};

const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, 3), 4567);

fn seeded() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x6672_616d),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// A decoder that has read the greeting.
fn greeted() -> FrameDecoder {
    let mut decoder = FrameDecoder::default();
    decoder.feed(&link::encode_hello(&Hello::new(ADDRESS)));
    let hello = decoder.next_frame().expect("a frame").expect("whole");
    assert_eq!(link::decode_hello(&hello), Ok(Hello { version: VERSION, address: ADDRESS }));
    decoder
}

fn frames_in_pieces(
    decoder: &mut FrameDecoder,
    bytes: &[u8],
    pieces: &[usize],
) -> Result<Vec<Frame>, LinkError> {
    let (mut frames, mut rest, mut pieces) = (Vec::new(), bytes, pieces.iter().cycle());
    while !rest.is_empty() {
        let (piece, behind) = rest.split_at(pieces.next().copied().unwrap_or(1).clamp(1, rest.len()));
        decoder.feed(piece);
        while let Some(frame) = decoder.next_frame()? {
            frames.push(frame);
        }
        rest = behind;
    }
    Ok(frames)
}

fn any_frame() -> impl Strategy<Value = Frame> {
    (any::<u8>(), prop::collection::vec(any::<u8>(), 0..500))
        .prop_map(|(channel, payload)| Frame { channel, payload })
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn frames_cut_anywhere_come_whole_and_in_order(
        frames in prop::collection::vec(any_frame(), 0..12),
        pieces in prop::collection::vec(1_usize..200, 1..20),
    ) {
        let bytes: Vec<u8> = frames.iter().flat_map(|f| link::encode_frame(f.channel, &f.payload)).collect();
        let mut decoder = greeted();
        prop_assert_eq!(frames_in_pieces(&mut decoder, &bytes, &pieces), Ok(frames));
        prop_assert_eq!(decoder.buffered(), 0);
    }

    #[test]
    fn cuts_change_nothing_about_any_bytes(
        bytes in prop::collection::vec(prop_oneof![Just(0_u8), Just(1), Just(3), any::<u8>()], 0..400),
        pieces in prop::collection::vec(1_usize..9, 1..20),
    ) {
        let at_once = frames_in_pieces(&mut greeted(), &bytes, &[bytes.len().max(1)]);
        prop_assert_eq!(at_once, frames_in_pieces(&mut greeted(), &bytes, &pieces));
    }

    #[test]
    fn no_greeting_makes_it_panic(channel in 0_u8..2, payload in prop::collection::vec(any::<u8>(), 0..40)) {
        let _ = link::decode_hello(&Frame { channel, payload });
    }
}

#[test]
fn a_frame_of_the_largest_size_is_borne_and_one_byte_more_is_not() {
    let mut bytes = Vec::new();
    assert!(link::append_frame(7, &vec![1; MAX_PAYLOAD], &mut bytes).is_ok());
    let frames = frames_in_pieces(&mut greeted(), &bytes, &[1 << 20]).expect("borne");
    assert_eq!(frames.iter().map(|frame| frame.payload.len()).collect::<Vec<_>>(), [MAX_PAYLOAD]);

    let too_large = vec![1; MAX_PAYLOAD + 1];
    let refused = LinkError::FrameTooLarge { length: MAX_PAYLOAD + 1, most: MAX_PAYLOAD };
    bytes.clear();
    assert_eq!(link::append_frame(7, &too_large, &mut bytes), Err(refused));
    assert!(bytes.is_empty() && link::encode_frame(7, &too_large).is_empty(), "nothing of it is sent");

    let mut decoder = greeted();
    decoder.feed(&(MAX_PAYLOAD as u32 + 2).to_le_bytes());
    assert_eq!(decoder.next_frame(), Err(refused), "its length is enough to refuse it");
}

#[test]
fn a_link_that_failed_stays_so_and_keeps_nothing() {
    let mut decoder = greeted();
    decoder.feed(&[0, 0, 0, 0]);
    assert_eq!(decoder.next_frame(), Err(LinkError::NoChannel));
    decoder.feed(&link::encode_frame(1, b"later"));
    assert_eq!(decoder.next_frame(), Err(LinkError::NoChannel));
    assert_eq!(decoder.buffered(), 0);
}

#[test]
fn before_the_greeting_no_large_frame_is_borne() {
    let mut decoder = FrameDecoder::default();
    decoder.feed(&(MAX_HELLO as u32 + 2).to_le_bytes());
    let refused = LinkError::FrameTooLarge { length: MAX_HELLO + 1, most: MAX_HELLO };
    assert_eq!(decoder.next_frame(), Err(refused));
}

#[test]
fn a_decoder_that_nobody_takes_from_is_bounded() {
    let mut decoder = greeted();
    let frame = link::encode_frame(1, &vec![0; 1 << 20]);
    (0..17).for_each(|_| decoder.feed(&frame));
    assert_eq!(decoder.next_frame(), Err(LinkError::NotTakenOut));
    assert_eq!(decoder.buffered(), 0);
}

fn hello_frame(version: u16) -> Frame {
    let bytes = link::encode_hello(&Hello { version, address: ADDRESS });
    Frame { channel: bytes[4], payload: bytes[5..].to_vec() }
}

#[test]
fn an_older_greeting_is_read_and_a_newer_one_refused() {
    let older = hello_frame(VERSION - 1);
    assert_eq!(link::decode_hello(&older), Ok(Hello { version: VERSION - 1, address: ADDRESS }));
    let newer = link::decode_hello(&hello_frame(VERSION + 1));
    assert_eq!(newer, Err(LinkError::NewerVersion { version: VERSION + 1 }));
}

#[test]
fn a_newer_greeting_is_told_whatever_its_form() {
    let mut newer = hello_frame(VERSION + 1);
    newer.payload.truncate(6);
    assert_eq!(link::decode_hello(&newer), Err(LinkError::NewerVersion { version: VERSION + 1 }));
}

#[rstest]
#[case::other_channel(1, hello_frame(VERSION).payload)]
#[case::cut(HELLO_CHANNEL, hello_frame(VERSION).payload[..11].to_vec())]
#[case::empty(HELLO_CHANNEL, Vec::new())]
#[case::something_else(HELLO_CHANNEL, b"GET / HTTP/1.1\r\n".to_vec())]
fn what_is_no_greeting_is_refused(#[case] channel: u8, #[case] payload: Vec<u8>) {
    assert_eq!(link::decode_hello(&Frame { channel, payload }), Err(LinkError::NoHello));
}
