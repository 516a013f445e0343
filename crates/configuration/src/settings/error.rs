//! The reasons for which a settings file is rejected.

use crate::json::{FieldError, JsonError};
use snafu::Snafu;

/// The reason for which a settings file is rejected. Its text is one line that names the field.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// The text is not JSON.
    #[snafu(display("settings: {source}"))]
    Text {
        /// What is wrong with the text.
        source: JsonError,
    },
    /// A field is missing or wrong.
    #[snafu(display("settings: {source}"))]
    Field {
        /// The field, and the value that was expected there.
        source: FieldError,
    },
}
