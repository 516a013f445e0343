//! The parser of event streams, with any chunk boundaries.

use grebeusher_batch::*;
use proptest::prelude::*;
use rstest::rstest;

fn read(chunks: &[&[u8]]) -> (Vec<(u64, String)>, Result<(), EventError>) {
    let (mut reader, mut events) = (EventReader::new(), Vec::new());
    for chunk in chunks {
        let pushed = reader.push(chunk, |event| events.push((event.id, event.data)));
        if pushed.is_err() {
            return (events, pushed);
        }
    }
    (events, reader.finish())
}

#[rstest]
#[case::plain("id: 1\ndata: a\n\n", &[(1, "a")])]
#[case::data_first("data: a\nid: 1\n\n", &[(1, "a")])]
#[case::carriage_returns("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", &[(1, "a"), (2, "b")])]
#[case::no_space("id:1\ndata:a\n\n", &[(1, "a")])]
#[case::only_one_space_is_removed("id: 1\ndata:  a \n\n", &[(1, " a ")])]
#[case::several_data_lines("id: 1\ndata: a\ndata:\ndata: b\n\n", &[(1, "a\n\nb")])]
#[case::empty_data("id: 1\ndata:\n\n", &[(1, "")])]
#[case::field_without_colon("id: 1\ndata\n\n", &[(1, "")])]
#[case::versions("versions: 12\nid: 1\ndata: a\n\n", &[(1, "a")])]
#[case::comments(": hello\n\n\n: id: 7\nid: 1\n: more\ndata: a\n\n: bye\n\n", &[(1, "a")])]
#[case::other_fields("event: token\nid: 1\ndataset: no\nidx: 3\ndata: a\nretry: 5\n\n", &[(1, "a")])]
#[case::byte_order_mark("\u{feff}id: 1\ndata: a\n\n", &[(1, "a")])]
#[case::colons("id: 1\ndata: a: b:\n\n", &[(1, "a: b:")])]
#[case::multi_byte_characters("id: 1\ndata: čš\u{1f600}\n\n", &[(1, "čš\u{1f600}")])]
#[case::single_return_is_data("id: 1\ndata: a\rb\n\n", &[(1, "a\rb")])]
#[case::nothing("", &[])]
fn complete_events_are_read(#[case] stream: &str, #[case] events: &[(u64, &str)]) {
    let events: Vec<(u64, String)> = events.iter().map(|(id, data)| (*id, (*data).into())).collect();
    assert_eq!(read(&[stream.as_bytes()]), (events.clone(), Ok(())));
    let bytes: Vec<&[u8]> = stream.as_bytes().chunks(1).collect();
    assert_eq!(read(&bytes), (events.clone(), Ok(())), "byte by byte");
    for cut in 0..stream.len() {
        let (first, second) = stream.as_bytes().split_at(cut);
        assert_eq!(read(&[first, second]), (events.clone(), Ok(())), "cut at {cut}");
    }
}

#[rstest]
#[case::no_empty_line("id: 1\ndata: a\n")]
#[case::incomplete_line("id: 1\nda")]
#[case::only_an_id("id: 1\n")]
#[case::only_data("data: a\n")]
#[case::one_event_and_a_byte("id: 1\ndata: a\n\ni")]
fn a_stream_that_ends_inside_an_event_is_unfinished(#[case] stream: &str) {
    let (_, end) = read(&[stream.as_bytes()]);
    assert_eq!(end, Err(EventError::Unfinished));
}

#[rstest]
#[case::no_id(b"data: a\n\n", EventError::NoId)]
#[case::no_number(b"id: x\ndata: a\n\n", EventError::NoId)]
#[case::too_large_a_number(b"id: 18446744073709551616\ndata: a\n\n", EventError::NoId)]
#[case::no_text(b"id: 1\ndata: \xff\n\n", EventError::NotText)]
fn an_invalid_event_fails_the_stream(#[case] stream: &[u8], #[case] error: EventError) {
    let mut reader = EventReader::new();
    let mut events = Vec::new();
    assert_eq!(reader.push(b"id: 0\ndata: a\n\n", |event| events.push(event.id)), Ok(()));
    assert_eq!(reader.push(stream, |event| events.push(event.id)), Err(error));
    assert_eq!(reader.push(b"id: 1\ndata: a\n\n", |event| events.push(event.id)), Err(EventError::Failed));
    assert_eq!((events, reader.finish()), (vec![0], Err(EventError::Failed)));
}

#[rstest]
#[case::one_line(b"x")]
#[case::many_lines(b"data: x\n")]
#[case::many_comments(b": x\n")]
fn an_event_beyond_the_limit_is_an_error(#[case] chunk: &[u8]) {
    let mut reader = EventReader::new();
    let pushed =
        (0..MAX_EVENT_BYTES + 1).try_for_each(|_| reader.push(chunk, |_| panic!("no event is complete")));
    assert_eq!(pushed, Err(EventError::TooLarge));
}

#[test]
fn the_size_limit_is_per_event() {
    let mut reader = EventReader::new();
    let mut count = 0;
    for id in 0..40_000 {
        reader
            .push(format!("id: {id}\ndata: abcdefg\n\n").as_bytes(), |_| count += 1)
            .expect("a valid event");
    }
    assert_eq!(count, 40_000);
}

proptest! {
    /// Any stream gives the same events in any chunks as in a single one, and never panics.
    #[test]
    fn chunk_boundaries_make_no_difference(
        stream in r"(id: ?[0-9]{1,3}|data: ?[a-z]{0,4}|:|versions: 1|\r|\n|\n|\r\n\r\n|é){0,40}",
        cuts in prop::collection::vec(0usize..200, 0..10),
    ) {
        let bytes = stream.as_bytes();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.push(0);
        cuts.push(bytes.len());
        cuts.sort_unstable();
        let chunks: Vec<&[u8]> = cuts.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect();
        prop_assert_eq!(read(&chunks), read(&[bytes]));
    }

    #[test]
    fn random_bytes_do_not_panic(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..30), 0..10)) {
        let chunks: Vec<&[u8]> = chunks.iter().map(Vec::as_slice).collect();
        let _ = read(&chunks);
    }

    /// Events are read back as they were written, if their data has no line ends.
    #[test]
    fn written_events_are_read_back(data in prop::collection::vec("[^\r\n]{0,12}", 0..8), chunk_bytes in 1usize..20) {
        let lines = data.iter().enumerate();
        let stream: String = lines.map(|(id, data)| format!("data: {data}\nid: {id}\n\n")).collect();
        let chunks: Vec<&[u8]> = stream.as_bytes().chunks(chunk_bytes).collect();
        let events: Vec<(u64, String)> = (0u64..).zip(data).collect();
        prop_assert_eq!(read(&chunks), (events, Ok(())));
    }
}
