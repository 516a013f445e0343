//! The header at the start of a slot or identity file: the kind of file and the version of its format, by which a newer
//! format is distinguished from damage.

/// The size of a header, in bytes.
pub(super) const HEADER_BYTES: usize = 4;

/// A kind of file and the version of its format that this program writes. The version increases with each change of the
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FileFormat {
    /// The bytes that identify the kind of file.
    pub(super) magic: [u8; 3],
    /// The version of the format as an ASCII digit, or as a letter once the digits are used up.
    pub(super) version: u8,
}

impl FileFormat {
    /// Returns the header of files of this format.
    pub(super) fn header(self) -> [u8; HEADER_BYTES] {
        let [first, second, third] = self.magic;
        [first, second, third, self.version]
    }

    /// Whether a file with this content has this format.
    pub(super) fn matches(self, bytes: &[u8]) -> bool {
        bytes.starts_with(&self.header())
    }

    /// Whether a file with this content is of the same kind and has a newer format.
    pub(super) fn is_newer(self, bytes: &[u8]) -> bool {
        let version = bytes.strip_prefix(&self.magic).and_then(<[u8]>::first);
        version.is_some_and(|version| *version > self.version && version.is_ascii_alphanumeric())
    }
}
