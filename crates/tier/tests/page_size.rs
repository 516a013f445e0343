//! The size of result pages by the speed of the leader's network link.

use grebeusher_batch::MAX_PAGE_BYTES;
use grebeusher_tier::batch::page_size::max_page_bytes;
use rstest::rstest;

#[rstest]
fn twenty_pages_are_sent_before_their_readers_ask_again(
    #[values(60.0, 100.0, 480.0, 1000.0)] link_mbps: f64,
) {
    // Given a leader whose readers ask again after about 700 ms, when twenty of them request a page at once,
    let seconds = 20.0 * max_page_bytes(link_mbps) as f64 * 8.0 / (link_mbps * 1e6);
    // then the last page is sent before they ask again.
    assert!(seconds < 0.6, "{seconds} s");
}

#[test]
fn a_page_has_a_minimum_size_on_a_slow_link_and_the_protocol_s_maximum_on_a_fast_one() {
    assert!(max_page_bytes(0.1) >= 32 * 1024);
    assert_eq!(max_page_bytes(100_000.0), MAX_PAGE_BYTES);
}
