//! The answer that an operator gets to a change.

use super::state::{Applied, Verdict};

/// What the operator is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The change is in force, or was.
    Acknowledged,
    /// Another version than the change's base is current.
    VersionMismatch,
    /// The configuration is invalid.
    ConfigurationError,
}

impl Answer {
    /// The status of the HTTP answer.
    pub const fn status(self) -> u16 {
        match self {
            Answer::Acknowledged => 200,
            Answer::VersionMismatch => 412,
            Answer::ConfigurationError => 400,
        }
    }
}

impl Verdict {
    /// The answer that follows at once; none while the change is to be proposed or is undecided, or if none is known.
    pub const fn answer(self) -> Option<Answer> {
        match self {
            Verdict::AlreadyAccepted => Some(Answer::Acknowledged),
            Verdict::VersionMismatch => Some(Answer::VersionMismatch),
            Verdict::VersionNotAbove => Some(Answer::ConfigurationError),
            Verdict::Accept | Verdict::Undecided | Verdict::OlderThanHistory => None,
        }
    }
}

impl Applied {
    /// The answer to the call that had the change proposed.
    pub const fn answer(self) -> Answer {
        match self {
            Applied::Accepted | Applied::AlreadyAccepted => Answer::Acknowledged,
            Applied::Conflict => Answer::VersionMismatch,
        }
    }
}
