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
