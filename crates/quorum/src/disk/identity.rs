//! The identity of a disk, in a small file that is kept twice.

use std::path::Path;

use nanoserde::{DeBin, SerBin};

use super::error::{DamagedSnafu, StoreError};
use super::files;
use crate::ids::ReplicaId;

/// The identity of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    pub id: ReplicaId,
    /// Whether the disk had it before.
    pub existed: bool,
}

/// "GQI1": marks an identity.
const MARK: u32 = 0x3149_5147;

/// Mark, identity and checksum.
const BYTES: usize = 4 + 8 + 4;

impl Identity {
    /// The identity in `folder`; if there is none, it becomes `random`, synced in both copies before it is returned.
    ///
    /// # Errors
    ///
    /// When the disk refuses, or both copies are damaged though one was whole once: such a disk is to be wiped.
    pub fn load_or_create(folder: &Path, random: u64) -> Result<Identity, StoreError> {
        files::create_folder(folder)?;
        let copies = [folder.join("identity-0"), folder.join("identity-1")];
        let contents = [files::read(&copies[0])?, files::read(&copies[1])?];
        let known = contents.iter().find_map(|content| parse(content));
        let id = match known {
            Some(id) => id,
            // The second copy is begun only when the first one is synced.
            None if contents[1].is_empty() => ReplicaId(random),
            None => return DamagedSnafu { what: "no copy of the identity is whole", path: folder }.fail(),
        };
        for (copy, content) in copies.iter().zip(&contents) {
            // A process that ended between write and sync leaves a copy that is readable but not yet safe.
            match parse(content) == Some(id) {
                true => files::sync_file(copy)?,
                false => drop(files::replace(copy, &form(id))?),
            }
            files::sync_folder(folder)?;
        }
        Ok(Identity { id, existed: known.is_some() })
    }
}

fn form(id: ReplicaId) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(BYTES);
    MARK.ser_bin(&mut bytes);
    id.ser_bin(&mut bytes);
    crc32fast::hash(&bytes).ser_bin(&mut bytes);
    bytes
}

fn parse(bytes: &[u8]) -> Option<ReplicaId> {
    let content: &[u8; BYTES] = bytes.try_into().ok()?;
    let mut offset = 4;
    let id = ReplicaId::de_bin(&mut offset, content).ok()?;
    (form(id) == content).then_some(id)
}
