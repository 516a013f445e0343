//! Bodies piece by piece: any cut gives the same body, and what could be read in two ways is refused.

use grebeusher_transport::http::{self, BodyReader, Framing, Limits, Malformed};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const LIMITS: Limits = Limits { most_head: 16 * 1024, most_headers: 64, most_body: 64 * 1024 };

fn seeded() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x626f_6479),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// What a reader makes of bytes that come in pieces.
#[derive(Debug, PartialEq, Eq)]
struct Read {
    body: Vec<u8>,
    consumed: usize,
    done: bool,
}

fn read_in_pieces(
    mut reader: BodyReader,
    bytes: &[u8],
    mut piece: impl FnMut() -> usize,
) -> Result<Read, Malformed> {
    let mut read = Read { body: Vec::new(), consumed: 0, done: reader.is_done() };
    while read.consumed < bytes.len() && !read.done {
        let end = bytes.len().min(read.consumed + piece().max(1));
        let part = &bytes[read.consumed..end];
        let progress = reader.read(part)?;
        assert!(progress.done || progress.consumed == part.len(), "all is read but what is behind the end");
        for range in progress.data {
            assert!(!range.is_empty());
            read.body.extend_from_slice(&part[range]);
        }
        read.consumed += progress.consumed;
        read.done = progress.done;
    }
    Ok(read)
}

fn read_at_once(framing: Framing, bytes: &[u8]) -> Result<Read, Malformed> {
    read_in_pieces(BodyReader::new(framing), bytes, || bytes.len())
}

/// A body in chunks of these sizes, with extensions, blanks and trailers here and there.
fn chunked(body: &[u8], sizes: &[usize], trailers: bool) -> Vec<u8> {
    let (mut framed, mut rest, mut sizes) = (Vec::new(), body, sizes.iter().cycle());
    while !rest.is_empty() {
        let size = sizes.next().copied().unwrap_or(1).clamp(1, rest.len());
        let (chunk, behind) = rest.split_at(size);
        let ending = ["", ";a=b", " ;q=\"x\"", "  "][size % 4];
        framed.extend_from_slice(format!("{size:x}{ending}\r\n").as_bytes());
        framed.extend_from_slice(chunk);
        framed.extend_from_slice(b"\r\n");
        rest = behind;
    }
    framed.extend_from_slice(b"0\r\n");
    framed.extend_from_slice(if trailers { b"X-Sum: 7\r\nY:\r\n\r\n" } else { b"\r\n" });
    framed
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn chunks_cut_anywhere_give_the_body_and_leave_what_is_behind(
        body in prop::collection::vec(any::<u8>(), 0..3000),
        sizes in prop::collection::vec(1_usize..700, 1..8),
        pieces in prop::collection::vec(1_usize..40, 1..20),
        trailers in any::<bool>(),
    ) {
        let mut bytes = chunked(&body, &sizes, trailers);
        let length = bytes.len();
        bytes.extend_from_slice(b"GET / HTTP/1.1\r\n\r\n");
        let mut pieces = pieces.into_iter().cycle();
        let read = read_in_pieces(BodyReader::new(Framing::Chunked), &bytes, || pieces.next().unwrap_or(1));
        prop_assert_eq!(read, Ok(Read { body, consumed: length, done: true }));
    }

    #[test]
    fn a_length_cut_anywhere_gives_the_body_and_leaves_what_is_behind(
        body in prop::collection::vec(any::<u8>(), 1..2000),
        behind in prop::collection::vec(any::<u8>(), 0..20),
        pieces in prop::collection::vec(1_usize..90, 1..20),
    ) {
        let mut bytes = body.clone();
        bytes.extend_from_slice(&behind);
        let mut pieces = pieces.into_iter().cycle();
        let reader = BodyReader::new(Framing::Length(body.len() as u64));
        let read = read_in_pieces(reader, &bytes, || pieces.next().unwrap_or(1));
        prop_assert_eq!(read, Ok(Read { consumed: body.len(), body, done: true }));
    }

    /// Bytes that are nearly chunks: cuts make no difference to what is refused, and what is accepted is the very body
    /// that the reader of whole messages finds.
    #[test]
    fn cuts_change_nothing_and_both_readers_agree(
        parts in prop::collection::vec(
            prop::sample::select(vec![
                "0", "1", "a", "3", "\r\n", "\r\n", "\r\n", "\r", "\n", ";", ";x=1", " ", "\t", "abc", "A: b", ":", "\0", "é",
                "0\r\n\r\n", "3\r\nabc\r\n", "1\r\nx\r\n",
            ]),
            1..14,
        ),
        pieces in prop::collection::vec(1_usize..6, 1..20),
    ) {
        let bytes = parts.concat().into_bytes();
        let at_once = read_at_once(Framing::Chunked, &bytes);
        let mut pieces = pieces.into_iter().cycle();
        let cut = read_in_pieces(BodyReader::new(Framing::Chunked), &bytes, || pieces.next().unwrap_or(1));
        prop_assert_eq!(&at_once, &cut);
        if let Ok(Read { body, consumed, done: true }) = at_once {
            let mut message = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
            let head = message.len();
            message.extend_from_slice(&bytes);
            let whole = http::request(&message, &LIMITS).map(|read| read.map(|(request, length)| (request.body, length)));
            prop_assert_eq!(whole, Ok(Some((body, head + consumed))));
        }
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = read_at_once(Framing::Chunked, &bytes);
        let _ = http::request_head(&bytes, &LIMITS);
        let _ = http::response(&bytes, &LIMITS);
        let _ = http::chunk(&bytes, &LIMITS);
    }
}

#[rstest]
#[case::no_size(b"\r\n")]
#[case::sign(b"+3\r\nabc\r\n")]
#[case::prefix(b"0x3\r\nabc\r\n")]
#[case::blank_before(b" 3\r\nabc\r\n")]
#[case::digits_after_blank(b"1 0\r\n")]
#[case::bare_line_feed(b"3\nabc\r\n")]
#[case::bare_return(b"3\rabc\r\n")]
#[case::more_than_said(b"3\r\nabcd\r\n")]
#[case::no_line_feed_behind(b"3\r\nabc\rX")]
#[case::overflow(b"10000000000000003\r\n")]
#[case::line_feed_in_extension(b"3;a\nb\r\n")]
#[case::control_in_extension(b"3;a\0b\r\n")]
#[case::trailer_without_name(b"0\r\n: x\r\n\r\n")]
#[case::trailer_without_colon(b"0\r\nGET / HTTP\r\n\r\n")]
#[case::folded_trailer(b"0\r\nA: b\r\n c\r\n\r\n")]
#[case::folded_trailer_with_colon(b"0\r\nA: b\r\n c: d\r\n\r\n")]
#[case::trailer_that_begins_with_a_colon(b"0\r\n:a: b\r\n\r\n")]
#[case::trailer_with_bare_line_feed(b"0\r\nA: b\nC: d\r\n\r\n")]
#[case::bare_line_feed_at_the_end(b"0\r\n\n")]
#[case::return_at_the_end(b"0\r\n\rX")]
fn what_is_no_chunk_is_refused_and_stays_so(#[case] bytes: &[u8]) {
    let mut reader = BodyReader::new(Framing::Chunked);
    assert_eq!(reader.read(bytes), Err(Malformed(400)));
    assert_eq!(reader.read(b"0\r\n\r\n"), Err(Malformed(400)), "once refused, nothing mends it");
    assert!(!reader.is_done() && !reader.is_complete_at_close());
}

#[rstest]
#[case::extension([b"3;".as_slice(), &[b'a'; 300]].concat())]
#[case::blanks([b"3".as_slice(), &[b' '; 300]].concat())]
#[case::trailers([b"0\r\n".as_slice(), &b"A: b\r\n".repeat(4000)].concat())]
#[case::one_trailer([b"0\r\nA: ".as_slice(), &[b'b'; 17 * 1024]].concat())]
fn lines_without_an_end_are_refused(#[case] bytes: Vec<u8>) {
    assert_eq!(read_at_once(Framing::Chunked, &bytes), Err(Malformed(400)));
    let by_one = read_in_pieces(BodyReader::new(Framing::Chunked), &bytes, || 1);
    assert_eq!(by_one, Err(Malformed(400)));
}

#[test]
fn each_chunk_has_a_line_of_its_own() {
    // Given more bytes of extensions than one line may have, on many lines.
    let framed = format!("1;{}\r\nx\r\n", "a".repeat(200)).repeat(5) + "0\r\n\r\n";
    let read = read_at_once(Framing::Chunked, framed.as_bytes());
    assert_eq!(read.map(|read| (read.body, read.done)), Ok((b"xxxxx".to_vec(), true)));
}

#[rstest]
#[case(Framing::Length(11), b"".as_slice())]
#[case(Framing::Chunked, b"b\r\n")]
#[case(Framing::Chunked, b"6\r\nabcdef\r\n5\r\n")]
#[case(Framing::UntilClose, b"abcdefghijk")]
fn a_body_beyond_what_is_borne_is_refused_as_soon_as_that_shows(
    #[case] framing: Framing,
    #[case] bytes: &[u8],
) {
    let mut reader = BodyReader::with_most(framing, 10);
    assert_eq!(reader.read(bytes), Err(Malformed(413)));
}

#[test]
fn a_body_of_just_what_is_borne_is_read() {
    let reader = BodyReader::with_most(Framing::Chunked, 10);
    let read = read_in_pieces(reader, b"6\r\nabcdef\r\n4\r\nghij\r\n0\r\n\r\n", || 3);
    assert_eq!(read.map(|read| read.done), Ok(true));
}

#[rstest]
#[case(Framing::None, b"".as_slice(), true)]
#[case(Framing::Length(3), b"abc", true)]
#[case(Framing::Length(3), b"ab", false)]
#[case(Framing::Chunked, b"3\r\nabc\r\n0\r\n\r\n", true)]
#[case(Framing::Chunked, b"3\r\nabc\r\n0\r\n", false)]
#[case(Framing::Chunked, b"3\r\nabc\r\n", false)]
#[case(Framing::UntilClose, b"abc", true)]
fn at_the_end_of_the_connection_a_cut_body_is_told_from_a_whole_one(
    #[case] framing: Framing,
    #[case] bytes: &[u8],
    #[case] whole: bool,
) {
    let mut reader = BodyReader::new(framing);
    assert!(reader.read(bytes).is_ok());
    assert_eq!(reader.is_complete_at_close(), whole);
}

#[test]
fn parts_handed_on_are_those_that_are_listed() {
    let bytes = chunked(b"some bytes of a body", &[3, 5], true);
    let mut handed_on = Vec::new();
    let mut reader = BodyReader::new(Framing::Chunked);
    let consumed = reader.read_with(&bytes, |part| handed_on.extend_from_slice(part));
    assert_eq!(consumed, Ok(bytes.len()));
    assert_eq!(handed_on, b"some bytes of a body");
    assert!(reader.is_done());
}
