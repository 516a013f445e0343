//! The answer that an operator gets to a change.

use super::{Applied, Verdict};

/// What the operator is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The change is in force, or was.
    Acknowledged,
    /// Another version than the change's base is current.
    OtherVersion,
    /// The configuration is invalid.
    Invalid,
}

impl Answer {
    /// The status of the HTTP answer.
    pub const fn status(self) -> u16 {
        match self {
            Answer::Acknowledged => 200,
            Answer::OtherVersion => 412,
            Answer::Invalid => 400,
        }
    }
}

impl Verdict {
    /// The answer that follows at once; none while the change is to be proposed or is undecided, or if none is known.
    pub const fn answer(self) -> Option<Answer> {
        match self {
            Verdict::AlreadyTaken => Some(Answer::Acknowledged),
            Verdict::OtherVersionIsCurrent => Some(Answer::OtherVersion),
            Verdict::NotAbove => Some(Answer::Invalid),
            Verdict::Take | Verdict::Undecided | Verdict::TooOld => None,
        }
    }
}

impl Applied {
    /// The answer to the call that had the change proposed.
    pub const fn answer(self) -> Answer {
        match self {
            Applied::Taken | Applied::AlreadyTaken => Answer::Acknowledged,
            Applied::LostRace => Answer::OtherVersion,
        }
    }
}
