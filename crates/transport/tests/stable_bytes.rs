//! Bytes written by earlier versions that this one must read and write unchanged: frames on links, and the greeting that
//! comes first.

use grebeusher_transport::link::{
    Frame, FrameDecoder, HELLO_CHANNEL, Hello, MAX_HELLO, MAX_PAYLOAD, VERSION, append_frame, decode_hello,
    encode_frame, encode_hello,
};
use rstest::rstest;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};

const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, 3), 4567);
const GREETING: &str = "0d000000006772626c01000a010203d711";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes all");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal")).collect()
}

/// All frames of a link after its greeting.
fn frames_after_greeting(sent: &[u8]) -> Vec<Frame> {
    let mut decoder = FrameDecoder::default();
    decoder.feed(&bytes(GREETING));
    decoder.feed(sent);
    let mut frames = Vec::new();
    while let Some(frame) = decoder.next_frame().expect("frames") {
        frames.push(frame);
    }
    assert_eq!(decoder.buffered(), 0);
    frames.split_off(1)
}

#[rstest]
#[case::of_no_payload(1, &[], "0100000001")]
#[case::of_some_bytes(2, &[0xab, 0x00, 0xcd], "0400000002ab00cd")]
#[case::of_the_highest_channel(255, b"text", "05000000ff74657874")]
fn a_frame_keeps_its_bytes(#[case] channel: u8, #[case] payload: &[u8], #[case] pinned: &str) {
    assert_eq!(hex(&encode_frame(channel, payload)), pinned);
    assert_eq!(frames_after_greeting(&bytes(pinned)), [Frame { channel, payload: payload.to_vec() }]);
}

#[test]
fn a_frame_of_more_than_a_byte_can_count_keeps_its_head() {
    let payload = vec![0x5a; 70_000];
    let written = encode_frame(3, &payload);
    assert_eq!(hex(&written[..5]), "7111010003");
    assert_eq!(written[5..], payload);
    assert_eq!(frames_after_greeting(&written), [Frame { channel: 3, payload }]);
}

#[test]
fn frames_follow_each_other_without_anything_between() {
    let mut written = Vec::new();
    append_frame(4, b"ab", &mut written).expect("small");
    append_frame(5, b"", &mut written).expect("small");
    append_frame(6, b"c", &mut written).expect("small");
    assert_eq!(hex(&written), "030000000461620100000005020000000663");
    let frame = |channel, payload: &[u8]| Frame { channel, payload: payload.to_vec() };
    assert_eq!(frames_after_greeting(&written), [frame(4, b"ab"), frame(5, b""), frame(6, b"c")]);
}

#[test]
fn the_greeting_keeps_its_bytes() {
    assert_eq!(hex(&encode_hello(&Hello { version: 1, address: ADDRESS })), GREETING);
    assert_eq!(hex(&encode_hello(&Hello::new(ADDRESS))), GREETING);
    let mut decoder = FrameDecoder::default();
    decoder.feed(&bytes(GREETING));
    let first = decoder.next_frame().expect("a frame").expect("whole");
    assert_eq!(decode_hello(&first), Ok(Hello { version: 1, address: ADDRESS }));
}

#[test]
fn the_figures_that_both_ends_of_a_link_rely_on_keep_their_values() {
    assert_eq!(VERSION, 1);
    assert_eq!(HELLO_CHANNEL, 0);
    assert_eq!(MAX_HELLO, 256);
    assert_eq!(MAX_PAYLOAD, 8_388_608);
}
