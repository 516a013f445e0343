//! What is read from the run of a test without its guard, and which guards may stand in the table.

use grebeusher_mutation_testing::table::{Guard, Table, TableError};
use grebeusher_mutation_testing::trial::{Outcome, read_run};
use rstest::rstest;
use std::path::{Path, PathBuf};

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[rstest]
#[case::all_pass("test a ... ok\ntest b ... ok\n", true, Outcome::Unnoticed)]
#[case::one_fails("test a ... ok\ntest b ... FAILED\n", false, Outcome::Noticed { cases: 1 })]
#[case::none_ran("running 0 tests\n", true, Outcome::NoSuchTest)]
fn a_run_is_read_by_its_cases(#[case] text: &str, #[case] passed: bool, #[case] outcome: Outcome) {
    assert_eq!(read_run(text, passed), outcome);
}

#[test]
fn each_guard_of_the_table_stands_in_its_file_once() {
    let table =
        Table::read(&workspace().join("crates/mutation-testing/guards.toml")).expect("the table can be read");
    assert!(table.guard.len() >= 20, "{} guards", table.guard.len());
    for guard in &table.guard {
        let without = guard.taken_out(&workspace());
        assert!(without.is_ok(), "{without:?}");
    }
}

#[test]
fn a_guard_that_is_not_there_is_an_error() {
    let guard = Guard {
        name: "nothing".to_owned(),
        file: PathBuf::from("Cargo.toml"),
        guard: "this text stands nowhere in it".to_owned(),
        without: String::new(),
        package: String::new(),
        test: String::new(),
        case: String::new(),
    };
    assert!(matches!(guard.taken_out(&workspace()), Err(TableError::Place { count: 0, .. })));
}
