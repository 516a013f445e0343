//! Why a text is not JSON that this crate takes.

use snafu::Snafu;

/// Why a text is not accepted as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JsonError {
    /// The bytes are not UTF-8.
    #[snafu(display("not UTF-8"))]
    NotUtf8,
    /// The text breaks the grammar of JSON, ends early, or goes on after the value.
    #[snafu(display("not JSON"))]
    NotJson,
    /// Arrays and objects are nested deeper than any body of the operators.
    #[snafu(display("nested too deeply"))]
    TooDeep,
    /// An object holds one key twice, so that it can't be told which value is meant.
    #[snafu(display("an object holds one key twice"))]
    DuplicateKey,
}
