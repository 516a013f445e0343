//! The answer to an operator who sends a change of the configuration.

use super::state::{Applied, Verdict};

/// The answer to an operator who sends a change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The change was accepted, now or before.
    Acknowledged,
    /// The current version is not the base of the change.
    VersionMismatch,
    /// The configuration is invalid.
    ConfigurationError,
}

impl Answer {
    /// Returns the status code of the HTTP response.
    pub const fn status(self) -> u16 {
        match self {
            Answer::Acknowledged => 200,
            Answer::VersionMismatch => 412,
            Answer::ConfigurationError => 400,
        }
    }
}

impl Verdict {
    /// Returns the answer that this verdict allows at once. It is `None` if the change has yet to be proposed, if it is
    /// undecided, or if the history no longer shows whether it was accepted.
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
    /// Returns the answer to the operator whose change was proposed and has now been applied.
    pub const fn answer(self) -> Answer {
        match self {
            Applied::Accepted | Applied::AlreadyAccepted => Answer::Acknowledged,
            Applied::Conflict => Answer::VersionMismatch,
        }
    }
}
