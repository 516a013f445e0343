//! What can be wrong with settings and with bytes from outside.

use snafu::Snafu;

/// A setting is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)), display("{setting} is {value}, expected {expected}"))]
pub struct SettingsError {
    /// The field of [`crate::Settings`].
    pub setting: &'static str,
    /// What it is.
    pub value: f64,
    /// What it may be.
    pub expected: &'static str,
}

/// Bytes are no register or no snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// There are more of them than there may be.
    #[snafu(display("{length} bytes, {largest} at most"))]
    TooLong {
        /// How many there are.
        length: usize,
        /// How many there may be.
        largest: usize,
    },
    /// They end early, go on after the end, or are of another kind.
    #[snafu(display("malformed"))]
    Malformed,
    /// Keys are not in order, each once.
    #[snafu(display("keys out of order"))]
    Order,
}
