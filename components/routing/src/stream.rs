//! Splits a byte stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// A complete event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Number in the event's `id` line, if it has one.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// Appends the event's data lines, separated by line feeds, and a final line feed.
    pub fn append_data(&self, text: &mut Vec<u8>) {
        let mut is_first = true;
        for line in lines_of(&self.bytes) {
            let Some(data) = field_value(line, b"data") else {
                continue;
            };
            if !is_first {
                text.push(b'\n');
            }
            text.extend_from_slice(data);
            is_first = false;
        }
        text.push(b'\n');
    }

    /// Returns whether the event has a `data` line.
    pub fn has_data(&self) -> bool {
        lines_of(&self.bytes).any(|line| field_value(line, b"data").is_some())
    }
}

/// Collects received bytes and returns them event by event, so that no caller receives an incomplete event.
#[derive(Debug, Default)]
pub struct EventAssembler {
    buffer: BytesMut,
    searched_bytes: usize,
}

impl EventAssembler {
    /// Adds received bytes, in their order of arrival.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or `None` until more bytes arrive.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched_bytes = 0;
        let id = lines_of(&bytes)
            .find_map(|line| field_value(line, b"id"))
            .and_then(parse_number);
        Some(StreamEvent { bytes, id })
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of bytes in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Discards the bytes of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.searched_bytes = 0;
    }

    /// Returns the length of the first event in bytes, including its blank line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        let mut position = self.searched_bytes;
        while position < bytes.len() {
            if bytes[position] == b'\n' {
                match bytes.get(position + 1..) {
                    Some([b'\n', ..]) => return Some(position + 2),
                    Some([b'\r', b'\n', ..]) => return Some(position + 3),
                    _ => {}
                }
            }
            position += 1;
        }
        // The last two bytes may be the start of a separator whose other bytes have not arrived yet.
        self.searched_bytes = bytes.len().saturating_sub(2);
        None
    }
}

fn lines_of(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes
        .split(|&byte| byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Returns the value of the field `name` of a line, without the space that may precede it.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn parse_number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
