//! The identity of a disk, which is stored in two small files with the same content.

use std::path::Path;

use nanoserde::{DeBin, SerBin};

use super::error::{DamagedSnafu, NewerFormatSnafu, StoreError};
use super::files;
use super::format::{FileFormat, HEADER_BYTES};
use crate::ids::ReplicaId;

/// The identity of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The id of the replica that this disk belongs to.
    pub id: ReplicaId,
    /// Whether the disk had the id before; otherwise it was created now.
    pub existed: bool,
}

/// The format of an identity file, whose header is "GQI1". In every format the last four bytes are the checksum of all
/// bytes before them.
const FORMAT: FileFormat = FileFormat { magic: *b"GQI", version: b'1' };

/// The size of the checksum, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// The size of an identity file, in bytes: header, id and checksum.
const FILE_BYTES: usize = HEADER_BYTES + 8 + CHECKSUM_BYTES;

impl Identity {
    /// Loads the identity from `folder`. If there is none, it creates one with the id `random` and syncs both copies
    /// before it returns.
    ///
    /// # Errors
    ///
    /// When the disk returns an error, when a newer version of this program has written the identity, or when both
    /// copies are damaged although one was complete before: such a disk has to be wiped.
    pub fn load_or_create(folder: &Path, random: u64) -> Result<Identity, StoreError> {
        files::create_folder(folder)?;
        let copies = [folder.join("identity-0"), folder.join("identity-1")];
        let contents = [files::read(&copies[0])?, files::read(&copies[1])?];
        if let Some(newer) = contents.iter().position(|content| is_newer(content)) {
            return NewerFormatSnafu { what: "the identity", path: &copies[newer] }.fail();
        }
        let stored_id = contents.iter().find_map(|content| decode(content));
        let id = match stored_id {
            Some(id) => id,
            // The second copy is written only after the first one is synced, so the first one was never complete.
            None if contents[1].is_empty() => ReplicaId(random),
            None => return DamagedSnafu { what: "no copy of the identity is whole", path: folder }.fail(),
        };
        for (copy, content) in copies.iter().zip(&contents) {
            // A process that ended between write and sync leaves a copy that is readable but not synced.
            match decode(content) == Some(id) {
                true => files::sync_file(copy)?,
                false => drop(files::replace(copy, &encode(id))?),
            }
            files::sync_folder(folder)?;
        }
        Ok(Identity { id, existed: stored_id.is_some() })
    }
}

fn encode(id: ReplicaId) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FILE_BYTES);
    bytes.extend_from_slice(&FORMAT.header());
    id.ser_bin(&mut bytes);
    crc32fast::hash(&bytes).ser_bin(&mut bytes);
    bytes
}

fn decode(bytes: &[u8]) -> Option<ReplicaId> {
    let content: &[u8; FILE_BYTES] = bytes.try_into().ok()?;
    let mut offset = HEADER_BYTES;
    let id = ReplicaId::de_bin(&mut offset, content).ok()?;
    (encode(id) == content).then_some(id)
}

fn is_newer(bytes: &[u8]) -> bool {
    let Some((content, checksum)) = bytes.split_last_chunk::<CHECKSUM_BYTES>() else { return false };
    FORMAT.is_newer(content) && crc32fast::hash(content) == u32::from_le_bytes(*checksum)
}
