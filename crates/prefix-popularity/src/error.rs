//! The errors of invalid settings, and of invalid bytes from other nodes or from the disk.

use snafu::Snafu;

/// The error of a setting that is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)), display("{setting} is {value}, expected {expected}"))]
pub struct SettingsError {
    /// The name of the field of [`crate::EstimatorSettings`].
    pub setting: &'static str,
    /// The invalid value, in ms if it is a duration.
    pub value: f64,
    /// The description of the valid range.
    pub expected: &'static str,
}

/// The error of bytes that are not a valid contribution or snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// There are more bytes than a valid encoding can have.
    #[snafu(display("the encoding has {length} bytes, more than the maximum of {max_length}"))]
    TooLong {
        /// The number of bytes.
        length: usize,
        /// The greatest number of bytes of a valid encoding.
        max_length: usize,
    },
    /// The bytes are incomplete, have further bytes at the end, or are of another format.
    #[snafu(display("the encoding is malformed"))]
    Malformed,
    /// The keys are not in ascending order, or a key occurs twice.
    #[snafu(display("the keys are not in ascending order"))]
    KeysOutOfOrder,
}
