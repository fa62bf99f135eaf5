//! Splitting a stream of bytes into lines and lines into chunks.

use std::{collections, mem};

use bw_wire::{command::work, fingerprint, refusal};

use super::line;

/// Splits the bytes of a batch file into chunks of items.
pub(super) struct Splitter {
    line_bytes: usize,
    /// The start of a line whose end has not arrived yet.
    partial: Vec<u8>,
    /// Whether the partial line exceeded the limit; its rest is dropped.
    oversized: bool,
    number: u32,
    items: u32,
    lines: Vec<work::Line>,
    lines_bytes: usize,
    seen: collections::HashSet<fingerprint::Fingerprint>,
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
            seen: collections::HashSet::new(),
        }
    }

    /// Returns the number of items so far.
    pub(super) fn items(&self) -> u32 {
        self.items
    }

    /// Takes bytes and returns the chunks that they completed.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Vec<Vec<work::Line>> {
        let mut full = Vec::new();
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.extend(&rest[..end]);
            full.extend(self.end_line());
            rest = &rest[end + 1..];
        }
        self.extend(rest);
        full
    }

    /// Ends the file and returns the last chunks.
    pub(super) fn finish(mut self) -> Vec<Vec<work::Line>> {
        let mut full: Vec<_> = self.end_line().into_iter().collect();
        if !self.lines.is_empty() {
            full.push(mem::take(&mut self.lines));
        }
        full
    }

    fn extend(&mut self, bytes: &[u8]) {
        if self.oversized || self.partial.len() + bytes.len() > self.line_bytes {
            self.oversized = true;
            self.partial.clear();
            return;
        }
        self.partial.extend_from_slice(bytes);
    }

    /// Ends the current line; returns a chunk if the line did not fit in it.
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
        let mut full = None;
        if !fits && !self.lines.is_empty() {
            full = Some(mem::take(&mut self.lines));
            self.lines_bytes = 0;
        }
        self.lines_bytes += bytes.len();
        self.lines.push(line);
        full
    }

    fn read(&mut self, bytes: &[u8], oversized: bool) -> work::Line {
        if oversized {
            let message = format!("the line is longer than {} bytes", self.line_bytes);
            return line::bad(self.number, None, refusal::Reason::BodyTooLarge, message);
        }
        let line = line::read(self.number, bytes.trim_ascii());
        let Some(custom_id) = &line.custom_id else {
            return line;
        };
        let fresh = self
            .seen
            .insert(fingerprint::Fingerprint::of_bytes(custom_id.as_bytes()));
        if fresh {
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
