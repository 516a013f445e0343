//! The compact binary encoding of what is logged and sent between the nodes of the tier: numbers in seven bits a byte,
//! lengths checked against the available bytes before anything is allocated for them.
//!
//! nanoserde's own encodings of strings and lists trust the length that they read; these don't. The bytes are stored and
//! must not change; `tests/stable_bytes.rs` pins them.

use nanoserde::{DeBin, DeBinErr, SerBin};

use crate::shared_bytes::{SharedBytes, SharedText};

/// A value that is decoded from shared bytes, and refers to them for its large fields.
pub(crate) trait DecodeShared: Sized {
    /// Reads one at the offset, and moves that behind it.
    fn take(offset: &mut usize, bytes: &SharedBytes) -> Result<Self, DeBinErr>;

    /// Reads one from bytes that are not shared: it refers to a copy of them.
    fn take_copied(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let rest = bytes.get(*offset..).ok_or_else(|| malformed(*offset, 1, bytes))?;
        let mut taken = 0;
        let value = Self::take(&mut taken, &SharedBytes::from(rest))?;
        *offset += taken;
        Ok(value)
    }
}

/// A list preallocates at most so many elements before it has read them.
const MAX_PREALLOCATED_ELEMENTS: usize = 256;
/// Bytes of the longest number: ten times seven bits have space for 64.
const MAX_NUMBER_BYTES: usize = 10;

pub(crate) fn malformed(offset: usize, wanted: usize, bytes: &[u8]) -> DeBinErr {
    DeBinErr::new(offset, wanted, bytes.len())
}

pub(crate) fn put_number(out: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        out.push(number as u8 | 0x80);
        number >>= 7;
    }
    out.push(number as u8);
}

pub(crate) fn take_number(offset: &mut usize, bytes: &[u8]) -> Result<u64, DeBinErr> {
    let mut number = 0u64;
    for index in 0..MAX_NUMBER_BYTES {
        let byte = take_byte(offset, bytes)?;
        let bits = u64::from(byte & 0x7f);
        if index == MAX_NUMBER_BYTES - 1 && bits > 1 {
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

/// A number that must fit a smaller type.
pub(crate) fn take_small<T: TryFrom<u64>>(offset: &mut usize, bytes: &[u8]) -> Result<T, DeBinErr> {
    let number = take_number(offset, bytes)?;
    T::try_from(number).map_err(|_| malformed(*offset, 0, bytes))
}

pub(crate) fn put_bytes(out: &mut Vec<u8>, field: &[u8]) {
    put_number(out, field.len() as u64);
    out.extend_from_slice(field);
}

pub(crate) fn take_bytes<'a>(offset: &mut usize, bytes: &'a [u8]) -> Result<&'a [u8], DeBinErr> {
    let length: usize = take_small(offset, bytes)?;
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
    put_number(out, list.len() as u64);
    for element in list {
        element.ser_bin(out);
    }
}

/// A list of `max_len` elements, each of which takes a byte or more.
pub(crate) fn take_list<T: DeBin>(
    offset: &mut usize,
    bytes: &[u8],
    max_len: usize,
) -> Result<Vec<T>, DeBinErr> {
    take_elements(offset, bytes, max_len, |offset| T::de_bin(offset, bytes))
}

/// As [`take_list`], of elements that refer to the bytes.
pub(crate) fn take_shared_list<T: DecodeShared>(
    offset: &mut usize,
    bytes: &SharedBytes,
    max_len: usize,
) -> Result<Vec<T>, DeBinErr> {
    take_elements(offset, bytes, max_len, |offset| T::take(offset, bytes))
}

fn take_elements<T>(
    offset: &mut usize,
    bytes: &[u8],
    max_len: usize,
    take: impl Fn(&mut usize) -> Result<T, DeBinErr>,
) -> Result<Vec<T>, DeBinErr> {
    let count: usize = take_small(offset, bytes)?;
    if count > max_len || count > bytes.len() - *offset {
        return Err(malformed(*offset, count, bytes));
    }
    let mut list = Vec::with_capacity(count.min(MAX_PREALLOCATED_ELEMENTS));
    for _ in 0..count {
        list.push(take(offset)?);
    }
    Ok(list)
}

pub(crate) fn put_optional_number(out: &mut Vec<u8>, number: Option<u64>) {
    out.push(u8::from(number.is_some()));
    if let Some(number) = number {
        put_number(out, number);
    }
}

pub(crate) fn take_optional_number(offset: &mut usize, bytes: &[u8]) -> Result<Option<u64>, DeBinErr> {
    match take_byte(offset, bytes)? {
        0 => Ok(None),
        1 => take_number(offset, bytes).map(Some),
        _ => Err(malformed(*offset, 0, bytes)),
    }
}
