//! Parser of server-sent events.

/// One server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Value of the `event` field; empty when the field is absent.
    pub name: String,
    /// Value of the `id` field; `None` when the field is absent.
    pub id: Option<String>,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
}

/// Incremental parser, which accepts the bytes of a stream in pieces of any length.
#[derive(Debug, Default)]
pub struct SseParser {
    pending: Vec<u8>,
    event: SseEvent,
    has_data: bool,
}

impl SseParser {
    /// Creates a parser at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len() + self.event.data.len()
    }

    /// Parses the next bytes of the stream and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        let mut events = Vec::new();
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.pending.extend_from_slice(piece);
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.pending);
                self.parse_line(
                    String::from_utf8_lossy(&line).trim_end_matches(['\r', '\n']),
                    &mut events,
                );
            }
        }
        events
    }

    fn parse_line(&mut self, line: &str, events: &mut Vec<SseEvent>) {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            if std::mem::take(&mut self.has_data) {
                events.push(event);
            }
            return;
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => value.clone_into(&mut self.event.name),
            "id" => self.event.id = Some(value.to_owned()),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            _ => {}
        }
    }
}
