//! Marks at the start of files: what a file is and in which form, so that a newer form is told from damage.

/// The bytes of a mark.
pub(super) const HEADER_BYTES: usize = 4;

/// A kind of file and the form of it that this program writes. The version rises with each change of the form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FileFormat {
    /// Which kind.
    pub(super) magic: [u8; 3],
    /// Which form: a digit or a letter after it.
    pub(super) version: u8,
}

impl FileFormat {
    /// The mark of files of this form.
    pub(super) fn header(self) -> [u8; HEADER_BYTES] {
        let [first, second, third] = self.magic;
        [first, second, third, self.version]
    }

    /// Whether a file is of this form.
    pub(super) fn matches(self, bytes: &[u8]) -> bool {
        bytes.starts_with(&self.header())
    }

    /// Whether a file is marked as of a later form of its kind.
    pub(super) fn is_newer(self, bytes: &[u8]) -> bool {
        let version = bytes.strip_prefix(&self.magic).and_then(<[u8]>::first);
        version.is_some_and(|version| *version > self.version && version.is_ascii_alphanumeric())
    }
}
