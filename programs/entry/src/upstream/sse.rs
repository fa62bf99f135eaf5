//! Splits a server-sent event stream into its data lines.

use bytes::{Buf, Bytes, BytesMut};

/// The longest accepted line, in bytes. Chunks of engines have some hundred bytes; all
/// engines of a small VM may send a line without an end to each of its requests.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// The error of a line longer than [`MAX_LINE_BYTES`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TooLong;

/// Splits the frames of a body into lines.
///
/// A line within one frame is not copied; only a line that spans frames is
/// buffered.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    frame: Bytes,
    partial: BytesMut,
}

impl Lines {
    /// Sets the next frame. All lines of the previous one must have been returned.
    pub(crate) fn push(&mut self, frame: Bytes) {
        self.frame = frame;
    }

    /// Returns the data of the next complete `data:` line, or none if more frames
    /// are needed.
    pub(crate) fn next(&mut self) -> Result<Option<Bytes>, TooLong> {
        while let Some(line) = self.line()? {
            if let Some(data) = data_of(&line) {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    fn line(&mut self) -> Result<Option<Bytes>, TooLong> {
        let end = self.frame.iter().position(|byte| *byte == b'\n');
        let length = end.unwrap_or(self.frame.len());
        if self.partial.len() + length > MAX_LINE_BYTES {
            return Err(TooLong);
        }
        let part = self.frame.split_to(length);
        if end.is_none() {
            self.partial.extend_from_slice(&part);
            self.frame = Bytes::new();
            return Ok(None);
        }
        self.frame.advance(1);
        if self.frame.is_empty() {
            // An empty slice would keep the connection's read buffer from being
            // reused, so that each read would allocate a new one.
            self.frame = Bytes::new();
        }
        if self.partial.is_empty() {
            return Ok(Some(part));
        }
        self.partial.extend_from_slice(&part);
        Ok(Some(std::mem::take(&mut self.partial).freeze()))
    }
}

/// Returns the content of a `data:` line; other fields and comments have none.
fn data_of(line: &Bytes) -> Option<Bytes> {
    let line = match line.strip_suffix(b"\r") {
        Some(rest) => line.slice(..rest.len()),
        None => line.clone(),
    };
    let rest = line.strip_prefix(b"data:")?;
    let rest = rest.strip_prefix(b" ").unwrap_or(rest);
    Some(line.slice_ref(rest))
}
