//! The binary encoding of log entries, snapshots and messages between the nodes of the tier. Numbers are
//! variable-length integers with seven bits a byte. Each length is checked against the available bytes before memory
//! is allocated for it.
//!
//! nanoserde's own decoders of strings and lists trust the length that they read, which is why they are not used. The
//! encoding is stored on disk and must not change; `tests/stable_bytes.rs` checks it against fixed samples.

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::shared_bytes::{SharedBytes, SharedText};

/// A type that is decoded from a shared buffer, and whose large fields refer to that buffer instead of copying it.
pub(crate) trait DecodeShared: Sized {
    /// Decodes a value at `offset` and advances `offset` past it.
    fn decode(offset: &mut usize, bytes: &SharedBytes) -> Result<Self, DeBinErr>;

    /// As [`DecodeShared::decode`], from bytes that are not shared: the value refers to a copy of them.
    fn decode_copied(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let rest = bytes.get(*offset..).ok_or_else(|| malformed(*offset, 1, bytes))?;
        let mut length = 0;
        let value = Self::decode(&mut length, &SharedBytes::from(rest))?;
        *offset += length;
        Ok(value)
    }
}

/// The maximum number of elements for which a list reserves memory before they are decoded.
const MAX_PREALLOCATED_ELEMENTS: usize = 256;
/// The maximum length of an encoded integer in bytes: ten bytes of seven bits hold 64 bits.
const MAX_VARINT_BYTES: usize = 10;

/// The error of a decoder that failed at `offset` and expected `expected_len` bytes there.
pub(crate) fn malformed(offset: usize, expected_len: usize, bytes: &[u8]) -> DeBinErr {
    DeBinErr::new(offset, expected_len, bytes.len())
}

pub(crate) fn put_varint(out: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        out.push(number as u8 | 0x80);
        number >>= 7;
    }
    out.push(number as u8);
}

pub(crate) fn take_varint(offset: &mut usize, bytes: &[u8]) -> Result<u64, DeBinErr> {
    let mut number = 0u64;
    for index in 0..MAX_VARINT_BYTES {
        let byte = take_byte(offset, bytes)?;
        let bits = u64::from(byte & 0x7f);
        if index == MAX_VARINT_BYTES - 1 && bits > 1 {
            break;
        }
        number |= bits << (7 * index);
        if byte & 0x80 == 0 {
            return Ok(number);
        }
    }
    Err(malformed(*offset, 1, bytes))
}

pub(crate) fn take_byte(offset: &mut usize, bytes: &[u8]) -> Result<u8, DeBinErr> {
    let byte = *bytes.get(*offset).ok_or_else(|| malformed(*offset, 1, bytes))?;
    *offset += 1;
    Ok(byte)
}

/// Decodes an integer and converts it to a smaller type.
pub(crate) fn take_varint_as<T: TryFrom<u64>>(offset: &mut usize, bytes: &[u8]) -> Result<T, DeBinErr> {
    let number = take_varint(offset, bytes)?;
    T::try_from(number).map_err(|_| malformed(*offset, 0, bytes))
}

pub(crate) fn put_bytes(out: &mut Vec<u8>, field: &[u8]) {
    put_varint(out, field.len() as u64);
    out.extend_from_slice(field);
}

pub(crate) fn take_bytes<'a>(offset: &mut usize, bytes: &'a [u8]) -> Result<&'a [u8], DeBinErr> {
    let length: usize = take_varint_as(offset, bytes)?;
    let end = offset.checked_add(length).filter(|&end| end <= bytes.len());
    let end = end.ok_or_else(|| malformed(*offset, length, bytes))?;
    let field = &bytes[*offset..end];
    *offset = end;
    Ok(field)
}

pub(crate) fn take_text<'a>(offset: &mut usize, bytes: &'a [u8]) -> Result<&'a str, DeBinErr> {
    let start = *offset;
    std::str::from_utf8(take_bytes(offset, bytes)?).map_err(|_| malformed(start, 0, bytes))
}

pub(crate) fn take_shared_bytes(offset: &mut usize, bytes: &SharedBytes) -> Result<SharedBytes, DeBinErr> {
    let length = take_bytes(offset, bytes)?.len();
    bytes.slice(*offset - length..*offset).ok_or_else(|| malformed(*offset, length, bytes))
}

pub(crate) fn take_shared_text(offset: &mut usize, bytes: &SharedBytes) -> Result<SharedText, DeBinErr> {
    let start = *offset;
    SharedText::new(take_shared_bytes(offset, bytes)?).map_err(|_| malformed(start, 0, bytes))
}

pub(crate) fn put_list<T: SerBin>(out: &mut Vec<u8>, list: &[T]) {
    put_varint(out, list.len() as u64);
    for element in list {
        element.ser_bin(out);
    }
}

/// Decodes a list of at most `max_len` elements, each of which takes at least one byte.
pub(crate) fn take_list<T: DeBin>(
    offset: &mut usize,
    bytes: &[u8],
    max_len: usize,
) -> Result<Vec<T>, DeBinErr> {
    take_elements(offset, bytes, max_len, |offset| T::de_bin(offset, bytes))
}

/// As [`take_list`], for elements that refer to the shared buffer.
pub(crate) fn take_shared_list<T: DecodeShared>(
    offset: &mut usize,
    bytes: &SharedBytes,
    max_len: usize,
) -> Result<Vec<T>, DeBinErr> {
    take_elements(offset, bytes, max_len, |offset| T::decode(offset, bytes))
}

fn take_elements<T>(
    offset: &mut usize,
    bytes: &[u8],
    max_len: usize,
    decode: impl Fn(&mut usize) -> Result<T, DeBinErr>,
) -> Result<Vec<T>, DeBinErr> {
    let count: usize = take_varint_as(offset, bytes)?;
    if count > max_len || count > bytes.len() - *offset {
        return Err(malformed(*offset, count, bytes));
    }
    let mut list = Vec::with_capacity(count.min(MAX_PREALLOCATED_ELEMENTS));
    for _ in 0..count {
        list.push(decode(offset)?);
    }
    Ok(list)
}

pub(crate) fn put_optional_varint(out: &mut Vec<u8>, number: Option<u64>) {
    out.push(u8::from(number.is_some()));
    if let Some(number) = number {
        put_varint(out, number);
    }
}

pub(crate) fn take_optional_varint(offset: &mut usize, bytes: &[u8]) -> Result<Option<u64>, DeBinErr> {
    match take_byte(offset, bytes)? {
        0 => Ok(None),
        1 => take_varint(offset, bytes).map(Some),
        _ => Err(malformed(*offset, 0, bytes)),
    }
}
