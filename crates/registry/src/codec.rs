//! The binary encoding: every length is checked against its limit and the remaining bytes before memory is allocated.

use crate::error::{DecodeError, NotUtf8Snafu, TooLongSnafu, TruncatedSnafu, UnknownVariantSnafu};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The largest length of a text in a register, in bytes.
pub(crate) const MAX_TEXT: usize = 255;

/// A value with a binary encoding.
pub(crate) trait Wire: Sized {
    fn write(&self, out: &mut Writer);
    fn read(input: &mut Reader<'_>) -> Result<Self, DecodeError>;
}

/// An encoder that appends values to a buffer.
#[derive(Default)]
pub(crate) struct Writer {
    pub(crate) bytes: Vec<u8>,
}

impl Writer {
    pub(crate) fn u8(&mut self, value: u8) {
        self.bytes.push(value);
    }

    pub(crate) fn u16(&mut self, value: u16) {
        self.bytes.extend_from_slice(&value.to_le_bytes());
    }

    pub(crate) fn u32(&mut self, value: u32) {
        self.bytes.extend_from_slice(&value.to_le_bytes());
    }

    pub(crate) fn u64(&mut self, value: u64) {
        self.bytes.extend_from_slice(&value.to_le_bytes());
    }

    /// Writes a text of at most [`MAX_TEXT`] bytes; a longer text is truncated at a character boundary.
    pub(crate) fn text(&mut self, text: &str) {
        let mut length = text.len().min(MAX_TEXT);
        while !text.is_char_boundary(length) {
            length -= 1;
        }
        self.u8(length as u8);
        self.bytes.extend_from_slice(&text.as_bytes()[..length]);
    }

    /// Writes the first 65,535 items of a list.
    pub(crate) fn list<T: Wire>(&mut self, items: &[T]) {
        let count = items.len().min(usize::from(u16::MAX));
        self.u16(count as u16);
        items[..count].iter().for_each(|item| item.write(self));
    }
}

/// A decoder that takes values from the front of a slice.
pub(crate) struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes }
    }

    pub(crate) fn remaining(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn take(&mut self, length: usize) -> Result<&'a [u8], DecodeError> {
        let Some((head, tail)) = self.bytes.split_at_checked(length) else {
            return TruncatedSnafu.fail();
        };
        self.bytes = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    pub(crate) fn u8(&mut self) -> Result<u8, DecodeError> {
        Ok(u8::from_le_bytes(self.array()?))
    }

    pub(crate) fn u16(&mut self) -> Result<u16, DecodeError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub(crate) fn u32(&mut self) -> Result<u32, DecodeError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub(crate) fn u64(&mut self) -> Result<u64, DecodeError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub(crate) fn text(&mut self) -> Result<String, DecodeError> {
        let length = usize::from(self.u8()?);
        let bytes = self.take(length)?;
        match std::str::from_utf8(bytes) {
            Ok(text) => Ok(text.to_owned()),
            Err(_) => NotUtf8Snafu.fail(),
        }
    }

    /// Reads a list of at most `largest` items, each of which takes at least one byte. Errors name the list as `what`.
    pub(crate) fn list<T: Wire>(
        &mut self,
        what: &'static str,
        largest: usize,
    ) -> Result<Vec<T>, DecodeError> {
        let length = usize::from(self.u16()?);
        if length > largest {
            return TooLongSnafu { what, length, largest }.fail();
        }
        if length > self.remaining() {
            return TruncatedSnafu.fail();
        }
        // Memory is allocated item by item, so that a short message cannot cause a large allocation.
        let mut items = Vec::new();
        for _ in 0..length {
            items.push(T::read(self)?);
        }
        Ok(items)
    }
}

impl Wire for u64 {
    fn write(&self, out: &mut Writer) {
        out.u64(*self);
    }

    fn read(input: &mut Reader<'_>) -> Result<u64, DecodeError> {
        input.u64()
    }
}

impl Wire for SocketAddrV4 {
    fn write(&self, out: &mut Writer) {
        out.bytes.extend_from_slice(&self.ip().octets());
        out.u16(self.port());
    }

    fn read(input: &mut Reader<'_>) -> Result<SocketAddrV4, DecodeError> {
        let octets: [u8; 4] = input.array()?;
        Ok(SocketAddrV4::new(Ipv4Addr::from(octets), input.u16()?))
    }
}

impl<T: Wire> Wire for Option<T> {
    fn write(&self, out: &mut Writer) {
        out.u8(u8::from(self.is_some()));
        if let Some(value) = self {
            value.write(out);
        }
    }

    fn read(input: &mut Reader<'_>) -> Result<Option<T>, DecodeError> {
        match input.u8()? {
            0 => Ok(None),
            1 => Ok(Some(T::read(input)?)),
            tag => UnknownVariantSnafu { what: "an option", tag }.fail(),
        }
    }
}
