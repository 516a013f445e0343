//! The reasons for which a text is not accepted as JSON.

use snafu::Snafu;

/// The reason for which a text is not accepted as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum JsonError {
    /// The bytes are not UTF-8.
    #[snafu(display("not UTF-8"))]
    NotUtf8,
    /// The text violates the grammar of JSON, ends early, or has further characters after the value.
    #[snafu(display("not JSON"))]
    NotJson,
    /// Arrays and objects are nested more deeply than in any body that operators send.
    #[snafu(display("nested too deeply"))]
    TooDeep,
    /// An object has the same key twice, so it is ambiguous which of the values is meant.
    #[snafu(display("an object holds one key twice"))]
    DuplicateKey,
}
