//! Marks at the start of files: what a file is and in which form, so that a newer form is told from damage.

/// The bytes of a mark.
pub(super) const MARK_BYTES: usize = 4;

/// A kind of file and the form of it that this program writes. The number rises with each change of the form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Form {
    /// Which kind.
    pub(super) letters: [u8; 3],
    /// Which form: a digit or a letter after it.
    pub(super) number: u8,
}

impl Form {
    /// The mark of files of this form.
    pub(super) fn mark(self) -> [u8; MARK_BYTES] {
        let [first, second, third] = self.letters;
        [first, second, third, self.number]
    }

    /// Whether a file is of this form.
    pub(super) fn is_this(self, bytes: &[u8]) -> bool {
        bytes.starts_with(&self.mark())
    }

    /// Whether a file is marked as of a later form of its kind.
    pub(super) fn is_newer(self, bytes: &[u8]) -> bool {
        let number = bytes.strip_prefix(&self.letters).and_then(<[u8]>::first);
        number.is_some_and(|number| *number > self.number && number.is_ascii_alphanumeric())
    }
}
