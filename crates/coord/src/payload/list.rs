//! The encoded list of live payloads in a snapshot.

use crate::payload::Key;

/// Encoded size of an item in bytes: a 64-bit key and four 32-bit numbers.
const ITEM_BYTES: usize = 24;

/// Where a payload is stored, with the checksum of its content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Location {
    pub segment: u32,
    pub offset: u32,
    pub length: u32,
    pub crc: u32,
}

/// A live payload and its location.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Item {
    pub key: Key,
    pub location: Location,
}

/// Encodes a list. Every item has the same size.
pub(crate) fn encode(items: impl ExactSizeIterator<Item = Item>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(items.len() * ITEM_BYTES);
    for Item { key, location } in items {
        bytes.extend(key.0.to_le_bytes());
        for number in [
            location.segment,
            location.offset,
            location.length,
            location.crc,
        ] {
            bytes.extend(number.to_le_bytes());
        }
    }
    bytes
}

/// Decodes a list, or returns `None` if the bytes are malformed or the keys are not
/// in ascending order.
pub(crate) fn decode(bytes: &[u8]) -> Option<Vec<Item>> {
    let (items, []) = bytes.as_chunks::<ITEM_BYTES>() else {
        return None;
    };
    let items: Option<Vec<Item>> = items.iter().map(|item| decode_item(item)).collect();
    items.filter(|items| items.is_sorted_by(|before, after| before.key < after.key))
}

fn decode_item(bytes: &[u8]) -> Option<Item> {
    let (key, rest) = bytes.split_first_chunk()?;
    let (segment, rest) = rest.split_first_chunk()?;
    let (offset, rest) = rest.split_first_chunk()?;
    let (length, rest) = rest.split_first_chunk()?;
    let (crc, _) = rest.split_first_chunk()?;
    Some(Item {
        key: Key(u64::from_le_bytes(*key)),
        location: Location {
            segment: u32::from_le_bytes(*segment),
            offset: u32::from_le_bytes(*offset),
            length: u32::from_le_bytes(*length),
            crc: u32::from_le_bytes(*crc),
        },
    })
}
