//! Files, which are uploaded in chunks.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_coord::{payload, storage};
use bw_wire::{command::work, fingerprint, name, query};

use super::{invalid, payloads, summary};

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Files {
    files: collections::BTreeMap<name::Name, File>,
    bytes: u64,
    /// Sealed files by team; derived from `files`.
    #[serde(skip)]
    by_team: collections::BTreeSet<(name::Name, name::Name)>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct File {
    created_ms: u64,
    /// The time of the last chunk, seal, use by a job, or deletion.
    touched_ms: u64,
    chunks: collections::BTreeMap<u32, Chunk>,
    seal: Option<Seal>,
    /// The number of jobs that refer to the file; their results need its custom ids.
    jobs: u32,
    /// The number of these jobs that are still in progress.
    open_jobs: u32,
    /// Whether the owner has deleted the file. It is then hidden from the owner, and its
    /// content is dropped once no job refers to it.
    deleted: bool,
}

/// A chunk. Its lines are stored as a payload.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Chunk {
    /// The payload key of the lines.
    key: u64,
    /// The size of the texts, in bytes.
    size: u64,
    /// Distinguishes a repeated upload from one with different content.
    fingerprint: fingerprint::Fingerprint,
    summary: summary::Summary,
}

impl Chunk {
    pub(super) fn summary(&self) -> &summary::Summary {
        &self.summary
    }

    /// Reads the lines from the payload store.
    pub(super) fn lines(
        &self,
        source: &mut dyn payload::Source,
    ) -> Result<Vec<work::Line>, storage::Error> {
        payloads::get(source, self.key)
    }
}

/// The properties that are set when a file is completed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Seal {
    pub(super) team: name::Name,
    pub(super) filename: String,
    pub(super) purpose: String,
    pub(super) bytes: u64,
    pub(super) chunks: u32,
}

impl Files {
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(super) fn put_chunk(
        &mut self,
        now_ms: u64,
        id: name::Name,
        chunk: u32,
        lines: Vec<work::Line>,
        available_bytes: u64,
        payloads: &mut payloads::Payloads,
    ) -> work::Reply {
        let size = match check_lines(&lines) {
            Ok(size) => size,
            Err(message) => return invalid(message),
        };
        let content = payloads::encode(&lines);
        let fingerprint = fingerprint::Fingerprint::of_bytes(&content);
        if let Some(file) = self.files.get(&id) {
            match file.chunks.get(&chunk) {
                Some(stored) if stored.fingerprint == fingerprint => return work::Reply::Ok,
                Some(_) => return invalid("the chunk is stored with another content"),
                None if file.seal.is_some() || file.deleted => {
                    return invalid("the file is complete");
                }
                None => {}
            }
        }
        if size > available_bytes {
            return work::Reply::Full;
        }
        let file = self.files.entry(id).or_insert_with(|| empty(now_ms));
        file.touched_ms = now_ms;
        let stored = Chunk {
            key: payloads.put_encoded(content),
            size,
            fingerprint,
            summary: summary::Summary::of(&lines),
        };
        file.chunks.insert(chunk, stored);
        self.bytes += size;
        work::Reply::Ok
    }

    pub(super) fn seal(&mut self, now_ms: u64, id: &name::Name, seal: Seal) -> work::Reply {
        if seal.chunks == 0 && !self.files.contains_key(id) {
            self.files.insert(id.clone(), empty(now_ms));
        }
        let Some(file) = self.files.get_mut(id) else {
            return work::Reply::NotFound;
        };
        if let Some(known) = &file.seal {
            return match (known.team == seal.team && !file.deleted, *known == seal) {
                (false, _) => work::Reply::NotFound,
                (true, true) => work::Reply::Ok,
                (true, false) => invalid("the file is complete"),
            };
        }
        // Chunks have expired during the upload. The content is lost, as that of
        // a file without any chunk.
        if !file.chunks.keys().copied().eq(0..seal.chunks) {
            return work::Reply::NotFound;
        }
        let bounds = file
            .chunks
            .values()
            .filter_map(|chunk| chunk.summary.bounds());
        if !bounds.is_sorted_by(|(_, before), (after, _)| before < after) {
            return invalid("line numbers do not ascend");
        }
        file.touched_ms = now_ms;
        self.by_team.insert((seal.team.clone(), id.clone()));
        file.seal = Some(seal);
        work::Reply::Ok
    }

    pub(super) fn delete(
        &mut self,
        now_ms: u64,
        id: &name::Name,
        team: &name::Name,
        payloads: &mut payloads::Payloads,
    ) -> work::Reply {
        let is_owned = |file: &&mut File| file.seal.as_ref().is_some_and(|seal| seal.team == *team);
        let Some(file) = self.files.get_mut(id).filter(is_owned) else {
            return work::Reply::NotFound;
        };
        if file.open_jobs > 0 {
            return invalid("a batch that uses the file is in progress");
        }
        if !file.deleted {
            file.deleted = true;
            file.touched_ms = now_ms;
            self.bytes -= file.clear_unused(payloads);
        }
        // The entry is kept for a while, so that a repeat gets the same answer.
        work::Reply::Ok
    }

    pub(super) fn describe(&self, id: &name::Name, team: &name::Name) -> Option<query::File> {
        let (_, file) = self.files.get_key_value(id)?;
        describe(id, file).filter(|file| file.team == *team)
    }

    pub(super) fn list(&self, team: &name::Name) -> Vec<query::File> {
        let first = (team.clone(), name::Name::default());
        let owned = self.by_team.range(first..);
        owned
            .take_while(|(owner, _)| owner == team)
            .filter_map(|(_, id)| describe(id, self.files.get(id)?))
            .collect()
    }

    /// Rebuilds the index by team after `files` was decoded.
    pub(super) fn rebuild(&mut self) {
        let sealed = self.files.iter();
        let sealed = sealed.filter_map(|(id, file)| {
            let seal = file.seal.as_ref()?;
            Some((seal.team.clone(), id.clone()))
        });
        self.by_team = sealed.collect();
    }

    /// Returns a chunk of a completed file that a team owns and has not deleted.
    pub(super) fn visible_chunk(
        &self,
        id: &name::Name,
        team: &name::Name,
        chunk: u32,
    ) -> Option<&Chunk> {
        let file = self.files.get(id).filter(|file| !file.deleted)?;
        file.seal.as_ref().filter(|seal| seal.team == *team)?;
        file.chunks.get(&chunk)
    }

    /// Returns a chunk of a file, even of a deleted one that a job still refers to.
    pub(super) fn chunk(&self, id: &name::Name, chunk: u32) -> Option<&Chunk> {
        self.files.get(id)?.chunks.get(&chunk)
    }

    /// Returns the number of chunks of a file that a team can use for a job.
    pub(super) fn usable_chunks(&self, id: &name::Name, team: &name::Name) -> Option<u32> {
        let file = self.files.get(id).filter(|file| !file.deleted)?;
        let seal = file.seal.as_ref().filter(|seal| seal.team == *team)?;
        Some(seal.chunks)
    }

    /// Counts a job that starts to use a file.
    pub(super) fn job_created(&mut self, id: &name::Name) {
        if let Some(file) = self.files.get_mut(id) {
            file.jobs += 1;
            file.open_jobs += 1;
        }
    }

    /// Counts a job that ended.
    pub(super) fn job_ended(&mut self, now_ms: u64, id: &name::Name) {
        if let Some(file) = self.files.get_mut(id) {
            file.open_jobs -= 1;
            file.touched_ms = now_ms;
        }
    }

    /// Counts a job that was dropped after its end.
    pub(super) fn job_dropped(&mut self, id: &name::Name, payloads: &mut payloads::Payloads) {
        if let Some(file) = self.files.get_mut(id) {
            file.jobs -= 1;
            self.bytes -= file.clear_unused(payloads);
        }
    }

    pub(super) fn expire(
        &mut self,
        now_ms: u64,
        retention: &work::Retention,
        payloads: &mut payloads::Payloads,
    ) {
        let mut freed = 0;
        let by_team = &mut self.by_team;
        self.files.retain(|id, file| {
            let keep_ms = match &file.seal {
                Some(_) if !file.deleted => retention.file_ms,
                _ => retention.unsealed_ms,
            };
            let keep = file.jobs > 0 || now_ms < file.touched_ms.saturating_add(keep_ms);
            if !keep {
                freed += file.clear(payloads);
                if let Some(seal) = &file.seal {
                    by_team.remove(&(seal.team.clone(), id.clone()));
                }
            }
            keep
        });
        self.bytes -= freed;
    }
}

impl File {
    /// Drops the content of a deleted file without jobs and returns its size.
    fn clear_unused(&mut self, payloads: &mut payloads::Payloads) -> u64 {
        if !self.deleted || self.jobs > 0 {
            return 0;
        }
        self.clear(payloads)
    }

    /// Drops the content and returns its size.
    fn clear(&mut self, payloads: &mut payloads::Payloads) -> u64 {
        let mut size = 0;
        for chunk in std::mem::take(&mut self.chunks).into_values() {
            payloads.remove(chunk.key);
            size += chunk.size;
        }
        size
    }
}

fn empty(now_ms: u64) -> File {
    File {
        created_ms: now_ms,
        touched_ms: now_ms,
        chunks: collections::BTreeMap::new(),
        seal: None,
        jobs: 0,
        open_jobs: 0,
        deleted: false,
    }
}

fn describe(id: &name::Name, file: &File) -> Option<query::File> {
    let seal = file.seal.as_ref().filter(|_| !file.deleted)?;
    Some(query::File {
        id: id.clone(),
        team: seal.team.clone(),
        filename: seal.filename.clone(),
        purpose: seal.purpose.clone(),
        bytes: seal.bytes,
        created_ms: file.created_ms,
        chunks: seal.chunks,
        items: items(file),
    })
}

fn items(file: &File) -> u64 {
    let chunks = file.chunks.values();
    chunks.map(|chunk| u64::from(chunk.summary.len())).sum()
}

/// Checks the lines of a chunk and returns their size in bytes.
fn check_lines(lines: &[work::Line]) -> Result<u64, &'static str> {
    if lines.is_empty() || lines.len() > work::CHUNK_ITEMS {
        return Err("a chunk holds 1 to 256 lines");
    }
    if !lines.is_sorted_by(|before, after| before.number < after.number) {
        return Err("line numbers do not ascend");
    }
    let bytes: u64 = lines.iter().map(size).sum();
    let last = lines.last().map_or(0, size);
    // A chunk is full once it reaches the limit, so the last line may cross it.
    if bytes - last > work::CHUNK_BYTES as u64 {
        return Err("a chunk holds at most 256 KiB");
    }
    Ok(bytes)
}

fn size(line: &work::Line) -> u64 {
    let content = match &line.content {
        work::Content::Request { url, model, body } => url.len() + model.len() + body.len(),
        work::Content::Bad { code, message } => code.len() + message.len(),
    };
    (content + line.custom_id.as_ref().map_or(0, String::len)) as u64
}
