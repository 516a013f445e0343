//! The settings of a process, which the platform writes to a JSON file.
//!
//! Unknown fields are ignored. An invalid file is rejected with an error of one line that names the field.

mod bounds;
mod error;
mod model;
mod parse;

use crate::json;

pub use bounds::Bounds;
pub use error::SettingsError;
pub use model::{
    Bindings, Contract, FaultTolerance, MachineClass, PortRange, ProcessLimits, ServedRole, Settings, Zones,
};

impl Settings {
    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// The text is not JSON, or a field is missing, of the wrong kind or out of range.
    pub fn read(text: &str) -> Result<Settings, SettingsError> {
        let value = json::parse(text).map_err(|source| SettingsError::Text { source })?;
        parse::settings(&value).map_err(|source| SettingsError::Field { source })
    }
}
