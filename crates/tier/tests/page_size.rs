//! Pages of results on links of all speeds.

use grebeusher_batch::MAX_PAGE_BYTES;
use grebeusher_tier::batch::page_size::max_page_bytes;
use rstest::rstest;

#[rstest]
fn many_pages_pass_a_link_before_their_readers_ask_again(
    #[values(60.0, 100.0, 480.0, 1000.0)] link_mbps: f64,
) {
    // Given a leader whose readers ask again after about 700 ms, when twenty of them want a page at once,
    let seconds = 20.0 * max_page_bytes(link_mbps) as f64 * 8.0 / (link_mbps * 1e6);
    // then the last has its page before.
    assert!(seconds < 0.6, "{seconds} s");
}

#[test]
fn a_page_is_neither_tiny_on_a_slow_link_nor_beyond_the_protocol_on_a_fast_one() {
    assert!(max_page_bytes(0.1) >= 32 * 1024);
    assert_eq!(max_page_bytes(100_000.0), MAX_PAGE_BYTES);
}
