//! An incremental parser of server-sent events.

/// Largest event and most bytes between two numbered events, in bytes. Events of model
/// engines have some hundred bytes; a backend server that never completes an event, or
/// sends unnumbered ones without end, is faulty.
pub const EVENT_BYTES_MAX: usize = 64 << 10;

/// Most bytes of events that a response repeats. A backend server may send a resumed stream
/// from its start, but one that repeats events without end is faulty.
pub const REPEATED_BYTES_MAX: usize = 1 << 20;

/// A complete server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The number in the `id` field, if the event has one.
    pub id: Option<u64>,
    /// The bytes as they were received, including the blank line that ends the event.
    pub bytes: Vec<u8>,
}

impl Event {
    /// Returns whether this is the head of another response, which a faulty backend
    /// server sends within a body whose length is not stated.
    pub fn is_response_head(&self) -> bool {
        self.bytes.trim_ascii_start().starts_with(b"HTTP/1.")
    }

    /// Returns the values of the `data` fields, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        let lines = text.lines().filter_map(|line| field(line, "data"));
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: Vec<u8>,
    /// Length of the part of the buffer that holds no end of an event.
    searched: usize,
    /// Bytes of complete events since the last numbered one.
    unnumbered: usize,
    /// Bytes of events that the reader had before.
    repeated: usize,
}

impl Parser {
    /// Appends received bytes, which may end within an event.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; `None` until its end was received.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let rest = self.buffer.split_off(end);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        self.searched = 0;
        let id = event_id(&bytes);
        self.unnumbered = match id {
            Some(_) => 0,
            None => self.unnumbered + bytes.len(),
        };
        Some(Event { id, bytes })
    }

    /// Counts an event that the reader had before and skips.
    pub fn note_repeated(&mut self, event: &Event) {
        self.repeated += event.bytes.len();
    }

    /// Returns whether no bytes are buffered. Otherwise the stream ends within an event
    /// if it ends now.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether more than [`EVENT_BYTES_MAX`] bytes were received since the last
    /// numbered event, or more than [`REPEATED_BYTES_MAX`] bytes of repeated events.
    pub fn is_too_large(&self) -> bool {
        self.buffer.len() + self.unnumbered > EVENT_BYTES_MAX || self.repeated > REPEATED_BYTES_MAX
    }

    /// Returns the length of the first event if it is complete.
    fn find_end(&mut self) -> Option<usize> {
        // The blank line may have begun in the part that was searched before.
        let start = self.searched.saturating_sub(3);
        for index in start..self.buffer.len() {
            let rest = &self.buffer[index..];
            if rest.starts_with(b"\n\n") {
                return Some(index + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(index + 4);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| std::str::from_utf8(line).ok());
    ids.find_map(|line| field(line.trim_end_matches('\r'), "id"))
        .and_then(|value| value.trim().parse().ok())
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
