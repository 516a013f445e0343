//! The pages for readers name only what exists.

use rstest::rstest;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    std::fs::read_to_string(root().join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// What stands in backticks on a page.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

fn is_path(word: &str) -> bool {
    ["crates/", "deploy/", "docs/"].iter().any(|root| word.starts_with(root))
        && !word.contains(['{', '*', ' '])
}

#[rstest]
#[case::readme("README.md")]
#[case::developers("DEVELOPERS.md")]
#[case::architecture("docs/architecture.md")]
#[case::glossary("docs/glossary.md")]
fn each_path_on_a_page_exists(#[case] name: &str) {
    let text = page(name);
    let missing: Vec<&str> =
        quoted(&text).filter(|word| is_path(word)).filter(|path| !root().join(path).exists()).collect();
    assert!(missing.is_empty(), "{name}: {missing:?}");
}

/// The rows of the glossary's tables: what operators say, the name in the code, and the file that defines it.
fn glossary_rows(text: &str) -> Vec<(String, String)> {
    let cells = |line: &str| line.split('|').map(|cell| cell.trim().to_owned()).collect::<Vec<_>>();
    let rows = text.lines().filter(|line| line.starts_with("| ")).map(cells);
    let named = rows.filter(|row| row.len() == 6 && row[3].starts_with("`crates/"));
    named.map(|row| (row[2].clone(), row[3].clone())).collect()
}

#[test]
fn each_name_in_the_glossary_stands_in_the_file_that_the_row_gives() {
    let text = page("docs/glossary.md");
    let rows = glossary_rows(&text);
    assert!(rows.len() >= 40, "{} rows", rows.len());
    for (names, file) in rows {
        let file = quoted(&file).next().expect("a path in backticks");
        let source = page(file);
        for name in quoted(&names) {
            assert!(source.contains(name), "{file} has no {name}");
        }
    }
}

/// The constant messages of the warnings and errors in a source file.
fn warnings_in(source: &str) -> Vec<String> {
    let calls = ["warn!(", "error!("].into_iter().flat_map(|macro_name| source.split(macro_name).skip(1));
    let message = |call: &str| call.split('"').nth(1).map(str::to_owned);
    calls.filter_map(message).collect()
}

fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("a folder of the sources");
    let paths = entries.map(|entry| entry.expect("a file of the sources").path());
    paths.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] }).collect()
}

#[test]
fn each_warning_and_error_of_the_tier_has_a_row_on_the_operators_page() {
    let page = page("docs/tier-operations.md");
    let mut found = 0;
    for path in sources(&root().join("crates/tier/src")) {
        let source = std::fs::read_to_string(&path).expect("a source file");
        for message in warnings_in(&source) {
            found += 1;
            assert!(page.contains(&message), "{}: {message}", path.display());
        }
    }
    assert!(found >= 10, "{found} messages");
}
