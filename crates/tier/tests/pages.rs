//! Checks that the documentation names only paths, code and messages that exist.

use rstest::rstest;
use std::path::{Path, PathBuf};

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    std::fs::read_to_string(workspace_root().join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// The texts in backticks on a page.
fn code_spans(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

fn is_path(word: &str) -> bool {
    ["crates/", "deploy/", "docs/"].iter().any(|folder| word.starts_with(folder))
        && !word.contains(['{', '*', ' '])
}

#[rstest]
#[case::readme("README.md")]
#[case::developers("DEVELOPERS.md")]
#[case::architecture("docs/architecture.md")]
#[case::glossary("docs/glossary.md")]
fn each_path_on_a_page_exists(#[case] name: &str) {
    let text = page(name);
    let missing: Vec<&str> = code_spans(&text)
        .filter(|word| is_path(word))
        .filter(|path| !workspace_root().join(path).exists())
        .collect();
    assert!(missing.is_empty(), "{name}: {missing:?}");
}

/// The rows of the glossary's tables: the names in the code, and the file that defines them.
fn glossary_rows(text: &str) -> Vec<(String, String)> {
    let cells = |line: &str| line.split('|').map(|cell| cell.trim().to_owned()).collect::<Vec<_>>();
    let rows = text.lines().filter(|line| line.starts_with("| ")).map(cells);
    let rows_with_file = rows.filter(|row| row.len() == 6 && row[3].starts_with("`crates/"));
    rows_with_file.map(|row| (row[2].clone(), row[3].clone())).collect()
}

#[test]
fn each_name_in_the_glossary_occurs_in_the_file_of_its_row() {
    let text = page("docs/glossary.md");
    let rows = glossary_rows(&text);
    assert!(rows.len() >= 40, "{} rows", rows.len());
    for (names, file) in rows {
        let file = code_spans(&file).next().expect("a path in backticks");
        let source = page(file);
        for name in code_spans(&names) {
            assert!(source.contains(name), "{file} has no {name}");
        }
    }
}

/// The literal messages of the `warn!` and `error!` calls in a source file.
fn warning_messages(source: &str) -> Vec<String> {
    let calls = ["warn!(", "error!("].into_iter().flat_map(|macro_name| source.split(macro_name).skip(1));
    let message = |call: &str| call.split('"').nth(1).map(str::to_owned);
    calls.filter_map(message).collect()
}

/// All files in a folder and its subfolders.
fn files_in(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("a readable folder");
    let paths = entries.map(|entry| entry.expect("a readable folder entry").path());
    paths.flat_map(|path| if path.is_dir() { files_in(&path) } else { vec![path] }).collect()
}

#[test]
fn each_warning_and_error_of_the_tier_is_on_the_operators_page() {
    let page = page("docs/tier-operations.md");
    let mut message_count = 0;
    for path in files_in(&workspace_root().join("crates/tier/src")) {
        let source = std::fs::read_to_string(&path).expect("a source file");
        for message in warning_messages(&source) {
            message_count += 1;
            assert!(page.contains(&message), "{}: {message}", path.display());
        }
    }
    assert!(message_count >= 10, "{message_count} messages");
}
