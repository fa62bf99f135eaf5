//! The encoding of frames.
//!
//! A frame is a header of little-endian numbers (magic, payload length,
//! sequence number, payload checksum, header checksum) and a payload: the
//! replica id and the records, each with its group.

use crate::{GroupId, ReplicaId, wal::Record};

const MAGIC: u32 = 0x4c57_4342;
const LENGTH_AT: usize = 4;
const SEQUENCE_AT: usize = 8;
const PAYLOAD_CRC_AT: usize = 16;
const HEADER_CRC_AT: usize = 20;
const HEADER_BYTES: usize = 24;

/// Smallest unit in which disks write.
const SECTOR_BYTES: usize = 512;

/// Smallest number of zero bytes that counts as an unwritten sector if only a part of
/// the sector belongs to the payload of a frame.
const MIN_ZERO_BYTES: usize = 16;

/// A frame under construction.
#[derive(Debug, Default)]
pub(super) struct Builder {
    bytes: Vec<u8>,
    records: usize,
}

impl Builder {
    pub fn new(replica: ReplicaId) -> Builder {
        Builder::reuse(replica, Builder::default())
    }

    /// Starts a frame that reuses the buffer of an earlier one.
    pub fn reuse(replica: ReplicaId, mut earlier: Builder) -> Builder {
        earlier.bytes.clear();
        earlier.bytes.resize(HEADER_BYTES, 0);
        earlier.records = 0;
        earlier.encode(&replica);
        earlier
    }

    pub fn push(&mut self, group: GroupId, record: &Record) {
        self.encode(&(group, record));
        self.records += 1;
    }

    pub fn is_empty(&self) -> bool {
        self.records == 0
    }

    /// Fills in the header and returns the encoded frame.
    pub fn finish(&mut self, sequence: u64) -> &[u8] {
        let (header, payload) = self.bytes.split_at_mut(HEADER_BYTES);
        let length = payload.len() as u32;
        header[..LENGTH_AT].copy_from_slice(&MAGIC.to_le_bytes());
        header[LENGTH_AT..SEQUENCE_AT].copy_from_slice(&length.to_le_bytes());
        header[SEQUENCE_AT..PAYLOAD_CRC_AT].copy_from_slice(&sequence.to_le_bytes());
        let payload_crc = crc32fast::hash(payload);
        header[PAYLOAD_CRC_AT..HEADER_CRC_AT].copy_from_slice(&payload_crc.to_le_bytes());
        let header_crc = crc32fast::hash(&header[..HEADER_CRC_AT]);
        header[HEADER_CRC_AT..].copy_from_slice(&header_crc.to_le_bytes());
        &self.bytes
    }

    fn encode<T: serde::Serialize>(&mut self, value: &T) {
        let bytes = std::mem::take(&mut self.bytes);
        self.bytes = postcard::to_extend(value, bytes).expect("records are encodable");
    }
}

/// A valid frame in a segment.
#[derive(Debug)]
pub(super) struct Frame<'a> {
    pub sequence: u64,
    pub payload: &'a [u8],
    /// The offset of the first byte after the frame.
    pub end: usize,
}

/// Why there is no valid frame at an offset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Damage {
    /// The frame was not written completely.
    Torn,
    /// The frame was written completely and its bytes changed afterwards.
    Corrupt,
}

/// Reads the frame at an offset.
pub(super) fn at(segment: &[u8], offset: usize) -> Result<Frame<'_>, Damage> {
    let rest = &segment[offset..];
    if rest.len() < HEADER_BYTES {
        return Err(Damage::Torn);
    }
    let header_valid = read_u32(rest, 0) == MAGIC
        && read_u32(rest, HEADER_CRC_AT) == crc32fast::hash(&rest[..HEADER_CRC_AT]);
    if !header_valid {
        // A payload never begins with zeros, so even a few bytes of the header show that
        // a sector which is zero to its end was not written.
        let end = (offset + HEADER_BYTES).next_multiple_of(SECTOR_BYTES);
        return Err(classify(segment, offset, end.min(segment.len()), 1));
    }
    let length = read_u32(rest, LENGTH_AT) as usize;
    let Some(payload) = rest[HEADER_BYTES..].get(..length) else {
        return Err(Damage::Torn);
    };
    let end = offset + HEADER_BYTES + length;
    if crc32fast::hash(payload) != read_u32(rest, PAYLOAD_CRC_AT) {
        return Err(classify(segment, offset, end, MIN_ZERO_BYTES));
    }
    let mut sequence = [0; 8];
    sequence.copy_from_slice(&rest[SEQUENCE_AT..PAYLOAD_CRC_AT]);
    Ok(Frame {
        sequence: u64::from_le_bytes(sequence),
        payload,
        end,
    })
}

/// Returns whether a valid frame starts anywhere after an offset.
pub(super) fn valid_frame_follows(segment: &[u8], offset: usize) -> bool {
    let magic = MAGIC.to_le_bytes();
    (offset + 1..segment.len())
        .filter(|start| segment[*start..].starts_with(&magic))
        .any(|start| at(segment, start).is_ok())
}

/// Classifies damage in a region that lies within the file.
///
/// Where the data of a grown file did not reach the disk, the file holds whole
/// sectors of zeros. Damage without a zero sector is therefore not a torn write:
/// the frame had been written and perhaps synced and acknowledged.
fn classify(segment: &[u8], start: usize, end: usize, least_zeros: usize) -> Damage {
    let first_sector = start / SECTOR_BYTES;
    let last_sector = end.saturating_sub(1) / SECTOR_BYTES;
    let torn = (first_sector..=last_sector).any(|sector| {
        let from = (sector * SECTOR_BYTES).max(start);
        let to = ((sector + 1) * SECTOR_BYTES).min(end);
        // Only a part of the first and last sector belongs to the frame. A few
        // zeros of a payload there may be data and do not indicate an unwritten sector.
        to - from >= least_zeros && segment[from..to].iter().all(|byte| *byte == 0)
    });
    if torn { Damage::Torn } else { Damage::Corrupt }
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut number = [0; 4];
    number.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(number)
}
