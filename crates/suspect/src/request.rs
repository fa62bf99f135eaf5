//! What a request can be suspected for.

use super::Fingerprint;

/// Most parts of one prompt that are judged, from the first on. It bounds what one request
/// adds to the evidence; further parts are judged with the content only.
const PARTS_MAX: usize = 64;

/// The content of a request and the parts of its prompt, by their fingerprints.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Request {
    content: Option<Fingerprint>,
    parts: Box<[Fingerprint]>,
}

impl Request {
    /// Creates a request from its content and the ids of all parts of its prompt in order.
    /// The last part belongs to the request alone and is not judged.
    pub fn new(content: Fingerprint, ids: &[&str]) -> Request {
        Request {
            content: Some(content),
            parts: judged_parts(ids),
        }
    }

    /// Creates a request that is judged by the parts of its prompt only.
    pub fn of_parts(ids: &[&str]) -> Request {
        Request {
            content: None,
            parts: judged_parts(ids),
        }
    }

    /// Returns the fingerprint of the content, if it is judged by that.
    pub fn content(&self) -> Option<Fingerprint> {
        self.content
    }

    /// Returns the parts that are judged, in order and without repetitions.
    pub fn parts(&self) -> &[Fingerprint] {
        &self.parts
    }

    /// Returns all that the request can be suspected for: its parts in order, and its
    /// content.
    pub fn subjects(&self) -> impl DoubleEndedIterator<Item = Fingerprint> + Clone {
        self.parts.iter().copied().chain(self.content)
    }
}

fn judged_parts(ids: &[&str]) -> Box<[Fingerprint]> {
    let shared = ids.split_last().map_or(ids, |(_, shared)| shared);
    let mut parts = Vec::with_capacity(shared.len().min(PARTS_MAX));
    for id in shared {
        if parts.len() == PARTS_MAX {
            break;
        }
        let part = Fingerprint::of_part(id);
        if !parts.contains(&part) {
            parts.push(part);
        }
    }
    parts.into()
}
