//! The errors of decoding messages and heartbeat bodies.

use snafu::Snafu;

/// Why bytes are not a [`crate::Message`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The bytes end before the message does.
    #[snafu(display("the message ends early"))]
    Truncated,
    /// A count or length exceeds its bound.
    #[snafu(display("{what} has a length of {length}, more than {largest}"))]
    TooLong {
        /// The value that has the length.
        what: &'static str,
        /// The length found.
        length: usize,
        /// The largest length allowed.
        largest: usize,
    },
    /// A tag names no variant.
    #[snafu(display("{what} has no variant {tag}"))]
    UnknownVariant {
        /// The type with the tag.
        what: &'static str,
        /// The tag found.
        tag: u8,
    },
    /// A text is not UTF-8.
    #[snafu(display("a text is not UTF-8"))]
    NotUtf8,
    /// Bytes follow the end of the message.
    #[snafu(display("{count} bytes follow the message"))]
    Trailing {
        /// The number of bytes after the message.
        count: usize,
    },
}

/// Why a body is not a valid heartbeat of an executor; the caller answers with status 400.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReportError {
    /// The body exceeds [`crate::MAX_REPORT`] bytes.
    #[snafu(display("a heartbeat of {length} bytes"))]
    TooLarge {
        /// The length of the body.
        length: usize,
    },
    /// The body is not a JSON object, or its values are nested too deeply.
    #[snafu(display("a heartbeat that is not JSON"))]
    NotJson,
    /// A field is missing, has another type or is out of its range.
    #[snafu(display("a heartbeat without a proper {field}"))]
    Field {
        /// The name of the field.
        field: &'static str,
    },
}
