//! Identifiers that carry the number of the work group that owns them.
//!
//! A work group is a consensus group of the control replicas that stores files and
//! jobs; work groups are numbered from 1.
//!
//! An id has the form `file-g3-01J...` or `batch_g3_01J...`. The separators follow
//! the prefixes of ids in the published OpenAI-compatible API.

use crate::name;

/// The kind of object that an id names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// An uploaded or generated file.
    File,
    /// A batch job.
    Job,
}

/// Suffix of the id of a job's output file.
pub const OUTPUT_SUFFIX: &str = "-output";
/// Suffix of the id of a job's error file.
pub const ERROR_SUFFIX: &str = "-errors";

/// Builds an id from its parts.
pub fn compose(kind: Kind, group: u32, unique: &str) -> name::Name {
    match kind {
        Kind::File => format!("file-g{group}-{unique}").into(),
        Kind::Job => format!("batch_g{group}_{unique}").into(),
    }
}

/// Returns the work group that an id names, if the id is well formed.
pub fn group(id: &str) -> Option<u32> {
    let rest = id
        .strip_prefix("file-g")
        .or_else(|| id.strip_prefix("batch_g"))?;
    let end = rest.find(['-', '_'])?;
    rest[..end].parse().ok()
}

/// Returns the id of the file that holds a job's successful results.
pub fn output_file(job: &str) -> name::Name {
    result_file(job, OUTPUT_SUFFIX)
}

/// Returns the id of the file that holds a job's failed items.
pub fn error_file(job: &str) -> name::Name {
    result_file(job, ERROR_SUFFIX)
}

/// Returns the id of the job that a result file belongs to, and whether the file is
/// the error file; `None` if the id is not that of a result file.
pub fn job_of_result_file(file: &str) -> Option<(name::Name, bool)> {
    let (stem, errors) = match file.strip_suffix(OUTPUT_SUFFIX) {
        Some(stem) => (stem, false),
        None => (file.strip_suffix(ERROR_SUFFIX)?, true),
    };
    let rest = stem.strip_prefix("file-g")?;
    let (group, unique) = rest.split_once('-')?;
    Some((compose(Kind::Job, group.parse().ok()?, unique), errors))
}

/// Returns the work group in `1..=groups` that the hash of a key selects.
///
/// # Panics
///
/// Panics if `groups` is zero.
pub fn group_for(key: &[u8], groups: u32) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(key);
    1 + u32::try_from(hash % u64::from(groups)).unwrap_or(0)
}

fn result_file(job: &str, suffix: &str) -> name::Name {
    let group = group(job).unwrap_or(0);
    let unique = job.rsplit('_').next().unwrap_or(job);
    format!("file-g{group}-{unique}{suffix}").into()
}
