//! Uploading, describing, listing and deleting files.

use std::{cmp, io};

use futures_util::{StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body;

use bw_wire::{command::work, fingerprint, id, name, openai, query, refusal};

use super::{
    Store, group_of, not_found, seconds, splitter, storage_full, unavailable,
    unavailable_before_running, unexpected_reply, unique_suffix,
};

/// Maximum number of chunks of one upload that are being stored concurrently. More would
/// take more memory without raising the throughput of a single upload.
const MAX_CHUNKS_IN_FLIGHT: usize = 4;

/// Maximum number of files to which one idempotency key may be bound in succession. The
/// next file replaces one that was deleted, or whose chunks were dropped before it was
/// sealed.
const MAX_FILES_PER_KEY: usize = 16;

/// The properties of an upload whose chunks have been stored.
struct Received {
    filename: String,
    purpose: String,
    bytes: u64,
    chunks: u32,
    hash: xxhash_rust::xxh3::Xxh3,
}

impl Store {
    /// Stores a file from a multipart body.
    pub(super) async fn upload<B>(
        &self,
        team: &name::Name,
        key: Option<&str>,
        content_type: &str,
        body: B,
    ) -> Result<openai::File, refusal::Refusal>
    where
        B: body::Body<Data = body::Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let boundary = multer::parse_boundary(content_type)
            .map_err(|_| invalid("the content type must be multipart/form-data with a boundary"))?;
        let frames = body
            .into_data_stream()
            .map(|frame| frame.map_err(io::Error::other));
        let mut parts = multer::Multipart::new(frames, boundary);
        let unique_suffix = unique_suffix();
        let group = id::group_for(unique_suffix.as_bytes(), self.inner.groups);
        let file = id::compose(id::Kind::File, group, &unique_suffix);
        let received = self.receive(&mut parts, group, &file).await?;
        if received.purpose != "batch" {
            let message = format!("purpose must be \"batch\", not {:?}", received.purpose);
            return Err(invalid(&message).param("purpose"));
        }
        if received.chunks == 0 {
            return Err(invalid("the file has no items").param("file"));
        }
        match key {
            Some(key) => self.seal_claimed(team, key, &file, &received).await,
            None => {
                let sealed = self.seal(team, &file, &received).await?;
                sealed.ok_or_else(chunks_dropped)
            }
        }
    }

    /// Completes the file to which an idempotency key is bound: the file of the first
    /// upload while it exists, or else the one of this upload.
    ///
    /// The key is bound before the file is sealed. If an upload fails in between, its
    /// chunks are dropped after some time, and no retry can seal its file. A successor
    /// key is then bound to the next file in the same way, so that all retries agree on
    /// that file.
    async fn seal_claimed(
        &self,
        team: &name::Name,
        key: &str,
        file: &name::Name,
        received: &Received,
    ) -> Result<openai::File, refusal::Refusal> {
        let body = fingerprint_of(received);
        let mut bound_key = name::Name::from(key);
        for _ in 0..MAX_FILES_PER_KEY {
            let claimed = self.claim(team, &bound_key, body, file.clone()).await?;
            if let Some(sealed) = self.seal(team, &claimed, received).await? {
                return Ok(sealed);
            }
            if claimed == *file {
                return Err(chunks_dropped());
            }
            bound_key = successor_key(key, &claimed);
        }
        Err(refusal::Refusal::not_run(
            refusal::Reason::KeyConflict,
            "the idempotency key was used for too many files that no longer exist",
        ))
    }

    /// Reads the parts of the multipart body and stores the chunks of the file.
    async fn receive(
        &self,
        parts: &mut multer::Multipart<'_>,
        group: u32,
        file: &name::Name,
    ) -> Result<Received, refusal::Refusal> {
        let mut received = Received {
            filename: "upload.jsonl".to_owned(),
            purpose: String::new(),
            bytes: 0,
            chunks: 0,
            hash: xxhash_rust::xxh3::Xxh3::new(),
        };
        let mut has_file = false;
        while let Some(field) = parts.next_field().await.map_err(invalid_multipart)? {
            match field.name() {
                Some("purpose") => {
                    received.purpose = field.text().await.map_err(invalid_multipart)?
                }
                Some("file") if !has_file => {
                    has_file = true;
                    if let Some(filename) = field.file_name() {
                        received.filename = filename.to_owned();
                    }
                    self.receive_file(field, group, file, &mut received).await?;
                }
                // Newer client libraries send an expiry, which is ignored.
                Some(other) if other.starts_with("expires_after") => {}
                other => {
                    let message = format!("unknown field {:?}", other.unwrap_or(""));
                    return Err(invalid(&message));
                }
            }
        }
        if has_file {
            Ok(received)
        } else {
            Err(invalid("the field file is missing").param("file"))
        }
    }

    async fn receive_file(
        &self,
        mut field: multer::Field<'_>,
        group: u32,
        file: &name::Name,
        received: &mut Received,
    ) -> Result<(), refusal::Refusal> {
        let limits = self.inner.limits;
        let mut splitter = splitter::Splitter::new(limits.line_bytes);
        let mut writes = stream::FuturesUnordered::new();
        while let Some(bytes) = field.chunk().await.map_err(invalid_multipart)? {
            received.bytes += bytes.len() as u64;
            received.hash.update(&bytes);
            if received.bytes > limits.file_bytes {
                let message = format!("the file is larger than {} bytes", limits.file_bytes);
                return Err(refusal::Refusal::not_run(
                    refusal::Reason::BodyTooLarge,
                    message,
                ));
            }
            for lines in splitter.push(&bytes) {
                writes.push(self.store_chunk(group, file, received.chunks, lines));
                received.chunks += 1;
                if writes.len() >= MAX_CHUNKS_IN_FLIGHT {
                    writes.next().await.unwrap_or(Ok(()))?;
                }
            }
            if splitter.items() > limits.items {
                let message = format!("the file has more than {} items", limits.items);
                return Err(refusal::Refusal::not_run(
                    refusal::Reason::BodyTooLarge,
                    message,
                ));
            }
        }
        for lines in splitter.finish() {
            writes.push(self.store_chunk(group, file, received.chunks, lines));
            received.chunks += 1;
        }
        while let Some(written) = writes.next().await {
            written?;
        }
        Ok(())
    }

    async fn store_chunk(
        &self,
        group: u32,
        file: &name::Name,
        chunk: u32,
        lines: Vec<work::Line>,
    ) -> Result<(), refusal::Refusal> {
        let command = work::Command::FileChunk {
            file: file.clone(),
            chunk,
            lines,
        };
        match self.inner.client.work(group, command).await {
            Ok(work::Reply::Ok) => Ok(()),
            Ok(work::Reply::Full) => Err(storage_full()),
            Ok(other) => Err(unexpected_reply(&other)),
            // An unsealed file does not exist, so the upload did not run.
            Err(error) => Err(unavailable_before_running(&error)),
        }
    }

    /// Binds an idempotency key to `value`, or returns the value to which an earlier call
    /// bound it. `body` must be the fingerprint of that call's body.
    pub(super) async fn claim(
        &self,
        team: &name::Name,
        key: &str,
        body: fingerprint::Fingerprint,
        value: name::Name,
    ) -> Result<name::Name, refusal::Refusal> {
        let command = work::Command::Claim {
            team: team.clone(),
            key: key.into(),
            body,
            value,
        };
        let group = super::group_of_key(self.inner.groups, team, key);
        match self.inner.client.work(group, command).await {
            Ok(work::Reply::Claimed { value, .. }) => Ok(value),
            Ok(work::Reply::Full) => Err(storage_full()),
            Ok(work::Reply::KeyConflict) => Err(refusal::Refusal::not_run(
                refusal::Reason::KeyConflict,
                "the idempotency key was used with another body",
            )),
            Ok(other) => Err(unexpected_reply(&other)),
            Err(error) => Err(unavailable(&error)),
        }
    }

    /// Completes a file. Returns `None` if its content does not exist because the file was
    /// deleted, or because its chunks were dropped before it was sealed.
    async fn seal(
        &self,
        team: &name::Name,
        file: &name::Name,
        received: &Received,
    ) -> Result<Option<openai::File>, refusal::Refusal> {
        let group = group_of(self, "file", file)?;
        let command = work::Command::FileSeal {
            file: file.clone(),
            team: team.clone(),
            filename: received.filename.clone(),
            purpose: received.purpose.clone(),
            bytes: received.bytes,
            chunks: received.chunks,
        };
        match self.inner.client.work(group, command).await {
            Ok(work::Reply::Ok) => self.file(team, file).await.map(Some),
            Ok(work::Reply::NotFound) => Ok(None),
            Ok(work::Reply::Invalid { message }) => Err(invalid(&message)),
            Ok(other) => Err(unexpected_reply(&other)),
            Err(error) => Err(unavailable(&error)),
        }
    }

    /// Returns the description of an input file or of a job's result file.
    pub(super) async fn file(
        &self,
        team: &name::Name,
        file: &name::Name,
    ) -> Result<openai::File, refusal::Refusal> {
        if let Some((job, errors)) = id::job_of_result_file(file) {
            let job = self.job(team, &job).await?;
            return Ok(result_file(&job, errors));
        }
        self.stored_file(team, file)
            .await
            .map(|file| describe(&file))
    }

    /// Returns the description of an input file as it is stored.
    pub(super) async fn stored_file(
        &self,
        team: &name::Name,
        file: &name::Name,
    ) -> Result<query::File, refusal::Refusal> {
        let group = group_of(self, "file", file)?;
        let query = query::Query::File {
            file: file.clone(),
            team: team.clone(),
        };
        match self.inner.client.query(group, query).await {
            Ok(query::Answer::File(file)) => Ok(file),
            Ok(query::Answer::NotFound) => Err(not_found("file", file)),
            Ok(other) => Err(unexpected_reply(&other)),
            Err(error) => Err(unavailable(&error)),
        }
    }

    /// Lists a team's input files, newest first.
    pub(super) async fn files(
        &self,
        team: &name::Name,
    ) -> Result<Vec<openai::File>, refusal::Refusal> {
        let mut files = Vec::new();
        for group in 1..=self.inner.groups {
            let query = query::Query::Files { team: team.clone() };
            match self.inner.client.query(group, query).await {
                Ok(query::Answer::Files(found)) => files.extend(found),
                Ok(other) => return Err(unexpected_reply(&other)),
                Err(error) => return Err(unavailable(&error)),
            }
        }
        files.sort_by_key(|file| (cmp::Reverse(file.created_ms), file.id.clone()));
        Ok(files.iter().map(describe).collect())
    }

    /// Deletes a file that no open job uses.
    pub(super) async fn delete_file(
        &self,
        team: &name::Name,
        file: &name::Name,
    ) -> Result<(), refusal::Refusal> {
        let group = group_of(self, "file", file)?;
        let command = work::Command::FileDelete {
            file: file.clone(),
            team: team.clone(),
        };
        match self.inner.client.work(group, command).await {
            Ok(work::Reply::Ok) => Ok(()),
            Ok(work::Reply::NotFound) => Err(not_found("file", file)),
            Ok(work::Reply::Invalid { message }) => Err(invalid(&message)),
            Ok(other) => Err(unexpected_reply(&other)),
            Err(error) => Err(unavailable(&error)),
        }
    }
}

/// Returns the key to bind once the file of a key no longer exists. It contains a line
/// feed, which a header cannot, so no caller can send it as a key.
fn successor_key(key: &str, file: &name::Name) -> name::Name {
    format!("{key}\n{file}").into()
}

/// Returns the refusal of an upload whose chunks were dropped before it was complete. An
/// unsealed file does not exist, so the upload did not run.
fn chunks_dropped() -> refusal::Refusal {
    let message = "the content was dropped, as the upload took too long; send it again";
    refusal::Refusal::not_run(refusal::Reason::ControlUnavailable, message)
}

fn fingerprint_of(received: &Received) -> fingerprint::Fingerprint {
    let hash = received.hash.digest128();
    fingerprint::Fingerprint((hash >> 64) as u64, hash as u64)
}

fn describe(file: &query::File) -> openai::File {
    openai::File {
        id: file.id.clone(),
        object: "file".to_owned(),
        bytes: file.bytes,
        created_at: seconds(file.created_ms),
        filename: file.filename.clone(),
        purpose: file.purpose.clone(),
        status: "processed".to_owned(),
    }
}

/// Returns the description of a job's result file. Its size is unknown until it is read,
/// so it is given as 0.
fn result_file(job: &query::Job, errors: bool) -> openai::File {
    let (id, suffix) = match errors {
        true => (id::error_file(&job.id), id::ERROR_SUFFIX),
        false => (id::output_file(&job.id), id::OUTPUT_SUFFIX),
    };
    openai::File {
        id,
        object: "file".to_owned(),
        bytes: 0,
        created_at: seconds(job.ended_ms.unwrap_or(job.created_ms)),
        filename: format!("{}{suffix}.jsonl", job.id),
        purpose: "batch_output".to_owned(),
        status: "processed".to_owned(),
    }
}

fn invalid(message: &str) -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Reason::InvalidField, message)
}

fn invalid_multipart(error: multer::Error) -> refusal::Refusal {
    refusal::Refusal::not_run(
        refusal::Reason::InvalidField,
        format!("multipart body: {error}"),
    )
}
