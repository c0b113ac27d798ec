//! Event streams cut into whole events.

use bytes::{Bytes, BytesMut};

/// A whole event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event with its closing blank line.
    pub bytes: Bytes,
    /// Number in the event's `id` line.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// Appends the event's data, several lines joined by a line feed, and a line feed after them.
    pub fn append_data(&self, text: &mut Vec<u8>) {
        let mut is_first = true;
        for line in lines_of(&self.bytes) {
            let Some(data) = field_of(line, b"data") else {
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

    /// Returns whether the event has data.
    pub fn has_data(&self) -> bool {
        lines_of(&self.bytes).any(|line| field_of(line, b"data").is_some())
    }
}

/// Collects bytes and releases them event by event, so that no caller sees half an event.
#[derive(Debug, Default)]
pub struct EventAssembler {
    buffer: BytesMut,
    searched: usize,
}

impl EventAssembler {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = lines_of(&bytes)
            .find_map(|line| field_of(line, b"id"))
            .and_then(parse_number);
        Some(StreamEvent { bytes, id })
    }

    /// Returns whether bytes of an unfinished event are held.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets the bytes of an unfinished event.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Returns the length of the first event with its blank line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        let mut place = self.searched;
        while place < bytes.len() {
            if bytes[place] == b'\n' {
                match bytes.get(place + 1..) {
                    Some([b'\n', ..]) => return Some(place + 2),
                    Some([b'\r', b'\n', ..]) => return Some(place + 3),
                    _ => {}
                }
            }
            place += 1;
        }
        // The last two bytes may begin a separator that has not arrived whole.
        self.searched = bytes.len().saturating_sub(2);
        None
    }
}

fn lines_of(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes
        .split(|&byte| byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Returns the value of a line's field without the space that may precede it.
fn field_of<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn parse_number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
