//! How deep a text nests.

use grebeusher_json_depth::is_shallow;

#[test]
fn brackets_are_counted_where_they_open_values() {
    assert!(is_shallow(br#"{"a":[1,{"b":[]}]}"#, 4));
    assert!(!is_shallow(br#"{"a":[1,{"b":[]}]}"#, 3));
    // side by side is not inside
    assert!(is_shallow(b"[[],[],[],[]]", 2));
    // what closes nothing makes no room
    assert!(!is_shallow(b"]]]][[[", 2));
}

#[test]
fn brackets_in_strings_are_text() {
    assert!(is_shallow(br#"["[[[[[[", "\"[[[[[", "\\"]"#, 1));
    assert!(!is_shallow(br#"["\\",[["#, 2));
}
