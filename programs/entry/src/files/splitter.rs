//! Splitting of a byte stream into lines, and of lines into chunks.

use std::{collections, mem};

use bw_wire::{command::work, fingerprint, refusal};

use super::line;

/// Splits the bytes of a batch file into chunks of items.
pub(super) struct Splitter {
    line_bytes: usize,
    /// The start of the current line, whose end has not arrived yet.
    partial: Vec<u8>,
    /// Whether the current line is too long. Its bytes are discarded.
    oversized: bool,
    /// Number of lines that have ended, empty ones included.
    number: u32,
    items: u32,
    /// The current chunk.
    lines: Vec<work::Line>,
    lines_bytes: usize,
    /// Fingerprints of the `custom_id` values so far, which must be unique in a file.
    custom_ids: collections::HashSet<fingerprint::Fingerprint>,
}

impl Splitter {
    pub(super) fn new(line_bytes: usize) -> Splitter {
        Splitter {
            line_bytes,
            partial: Vec::new(),
            oversized: false,
            number: 0,
            items: 0,
            lines: Vec::new(),
            lines_bytes: 0,
            custom_ids: collections::HashSet::new(),
        }
    }

    /// Returns the number of items so far, invalid ones included.
    pub(super) fn items(&self) -> u32 {
        self.items
    }

    /// Adds bytes and returns the chunks that they completed.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Vec<Vec<work::Line>> {
        let mut complete = Vec::new();
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.extend(&rest[..end]);
            complete.extend(self.end_line());
            rest = &rest[end + 1..];
        }
        self.extend(rest);
        complete
    }

    /// Ends the file and returns the remaining chunks.
    pub(super) fn finish(mut self) -> Vec<Vec<work::Line>> {
        let mut complete: Vec<_> = self.end_line().into_iter().collect();
        if !self.lines.is_empty() {
            complete.push(mem::take(&mut self.lines));
        }
        complete
    }

    fn extend(&mut self, bytes: &[u8]) {
        if self.oversized || self.partial.len() + bytes.len() > self.line_bytes {
            self.oversized = true;
            self.partial.clear();
            return;
        }
        self.partial.extend_from_slice(bytes);
    }

    /// Ends the current line and adds it to the current chunk. If it does not fit, starts
    /// a new chunk with it and returns the completed one.
    fn end_line(&mut self) -> Option<Vec<work::Line>> {
        self.number += 1;
        let bytes = mem::take(&mut self.partial);
        let oversized = mem::take(&mut self.oversized);
        if !oversized && bytes.trim_ascii().is_empty() {
            return None;
        }
        let line = self.read(&bytes, oversized);
        self.items += 1;
        let fits = self.lines.len() < work::CHUNK_ITEMS
            && self.lines_bytes + bytes.len() <= work::CHUNK_BYTES;
        let mut complete = None;
        if !fits && !self.lines.is_empty() {
            complete = Some(mem::take(&mut self.lines));
            self.lines_bytes = 0;
        }
        self.lines_bytes += bytes.len();
        self.lines.push(line);
        complete
    }

    /// Parses a line. An oversized line, or one with an earlier `custom_id`, is invalid.
    fn read(&mut self, bytes: &[u8], oversized: bool) -> work::Line {
        if oversized {
            let message = format!("the line is longer than {} bytes", self.line_bytes);
            return line::bad(self.number, None, refusal::Reason::BodyTooLarge, message);
        }
        let line = line::read(self.number, bytes.trim_ascii());
        let Some(custom_id) = &line.custom_id else {
            return line;
        };
        let is_new = self
            .custom_ids
            .insert(fingerprint::Fingerprint::of_bytes(custom_id.as_bytes()));
        if is_new {
            return line;
        }
        let message = format!("custom_id {custom_id:?} stands in an earlier line too");
        let custom_id = Some(custom_id.clone());
        line::bad(
            self.number,
            custom_id,
            refusal::Reason::InvalidField,
            message,
        )
    }
}
