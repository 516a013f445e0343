//! The parsing of the headers of clients and executors.

use grebeusher_gateway::{HeaderError, MAX_SEGMENTS, PromptSegments, ServerLoad, TokenCount};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case("1460,80", Ok(TokenCount { prompt: 1460, output: 80 }))]
#[case(" 1 , 2 ", Ok(TokenCount { prompt: 1, output: 2 }))]
#[case("1460", Err(HeaderError::FieldCount))]
#[case("1,2,3", Err(HeaderError::InvalidNumber))]
#[case("+1,2", Err(HeaderError::InvalidNumber))]
#[case("-1,2", Err(HeaderError::InvalidNumber))]
#[case("1.5,2", Err(HeaderError::InvalidNumber))]
#[case("99999999999,1", Err(HeaderError::InvalidNumber))]
#[case("16000001,1", Err(HeaderError::InvalidNumber))]
#[case(",", Err(HeaderError::InvalidNumber))]
fn token_counts_are_parsed(#[case] value: &str, #[case] expected: Result<TokenCount, HeaderError>) {
    assert_eq!(TokenCount::parse(value), expected);
}

#[rstest]
#[case("3,0,24", Ok(ServerLoad { running: 3, waiting: 0, slots: 24 }))]
#[case("3,0", Err(HeaderError::FieldCount))]
#[case("3,0,24,1", Err(HeaderError::FieldCount))]
#[case("a,0,24", Err(HeaderError::InvalidNumber))]
fn server_loads_are_parsed(#[case] value: &str, #[case] expected: Result<ServerLoad, HeaderError>) {
    assert_eq!(ServerLoad::parse(value), expected);
}

#[test]
fn the_last_segment_is_not_shared() {
    let prompt = PromptSegments::parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250").unwrap();
    assert_eq!(prompt.all().iter().map(|segment| segment.tokens).collect::<Vec<_>>(), [800, 410, 250]);
    assert_eq!((prompt.shared().len(), prompt.shared_tokens()), (2, 1210));
    assert!(PromptSegments::default().shared().is_empty());
    assert!(PromptSegments::parse("5c1e07a2:800").unwrap().shared().is_empty());
}

#[test]
fn the_chain_hash_depends_on_all_segments_before() {
    let chain = |value| PromptSegments::parse(value).unwrap().all().last().unwrap().chain_hash;
    assert_eq!(chain("aa:1,bb:2"), chain("AA:1, bb:2"));
    assert_ne!(chain("aa:1,bb:2"), chain("cc:1,bb:2"));
    assert_ne!(chain("aa:1,bb:2"), chain("aab:1,b:2"));
    assert_ne!(chain("bb:2"), chain("aa:1,bb:2"));
}

#[rstest]
#[case("")]
#[case("aa")]
#[case("aa:")]
#[case(":5")]
#[case("xy:5")]
#[case("aa:5,")]
#[case("aa:-5")]
fn malformed_prompts_are_errors(#[case] value: &str) {
    assert!(PromptSegments::parse(value).is_err());
}

#[test]
fn only_the_first_segments_are_kept() {
    let value = (0..1000).map(|n| format!("{n:x}:16000000")).collect::<Vec<_>>().join(",");
    let prompt = PromptSegments::parse(&value).unwrap();
    assert_eq!(prompt.all().len(), MAX_SEGMENTS);
    // All kept segments are shared, because the last segment of the header is not kept.
    assert_eq!(prompt.shared_tokens(), 16 * 16_000_000);
}

proptest! {
    #[test]
    fn no_header_value_panics(value in ".{0,200}") {
        let _ = TokenCount::parse(&value);
        let _ = ServerLoad::parse(&value);
        let _ = PromptSegments::parse(&value);
    }
}
