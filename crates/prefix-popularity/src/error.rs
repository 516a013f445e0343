//! Errors of settings and of bytes from outside.

use snafu::Snafu;

/// A setting is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)), display("{setting} is {value}, expected {expected}"))]
pub struct SettingsError {
    /// The field of [`crate::Settings`].
    pub setting: &'static str,
    /// Its value.
    pub value: f64,
    /// Its range, in words.
    pub expected: &'static str,
}

/// The bytes are not a contribution or a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// There are more bytes than allowed.
    #[snafu(display("{length} bytes, {max_length} at most"))]
    TooLong {
        /// The number of bytes.
        length: usize,
        /// The most bytes allowed.
        max_length: usize,
    },
    /// The bytes end early, continue after the end, or are of another kind.
    #[snafu(display("malformed"))]
    Malformed,
    /// The keys are not in ascending order, or one is there twice.
    #[snafu(display("keys out of order"))]
    Order,
}
