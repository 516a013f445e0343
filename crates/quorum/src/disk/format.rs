//! The header at the start of each file: the kind of file and the version of its format, so that a newer format is told
//! from damage.

/// The size of a header, in bytes.
pub(super) const HEADER_BYTES: usize = 4;

/// A kind of file and the version of its format that this program writes. The version rises with each change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FileFormat {
    /// The kind of file.
    pub(super) magic: [u8; 3],
    /// A digit, or a letter after the digits are used up.
    pub(super) version: u8,
}

impl FileFormat {
    /// The header of files of this format.
    pub(super) fn header(self) -> [u8; HEADER_BYTES] {
        let [first, second, third] = self.magic;
        [first, second, third, self.version]
    }

    /// Whether a file has this format.
    pub(super) fn matches(self, bytes: &[u8]) -> bool {
        bytes.starts_with(&self.header())
    }

    /// Whether a file has a later format of the same kind.
    pub(super) fn is_newer(self, bytes: &[u8]) -> bool {
        let version = bytes.strip_prefix(&self.magic).and_then(<[u8]>::first);
        version.is_some_and(|version| *version > self.version && version.is_ascii_alphanumeric())
    }
}
