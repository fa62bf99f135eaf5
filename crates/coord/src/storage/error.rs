//! Errors of the durable storage of a replica.

use std::{fmt, io, sync};

use crate::{GroupId, ReplicaId, host};

/// An error of the durable storage. Every variant stops the replica or keeps it from
/// starting.
#[derive(Clone, Debug)]
pub enum Error {
    /// The disk is full.
    Full {
        /// The file that could not grow.
        file: String,
    },
    /// A file operation failed.
    Io {
        /// The operation, as a verb.
        operation: &'static str,
        /// The file or directory.
        file: String,
        /// The error of the operating system.
        source: sync::Arc<io::Error>,
    },
    /// Stored data is corrupt. The replica may have forgotten a vote or an
    /// acknowledged entry, so it must be replaced under a new replica id.
    Corrupt {
        /// The file, or a description of the data if no single file holds it.
        file: String,
        /// The offset in the file in bytes.
        offset: u64,
        /// What is wrong there.
        reason: &'static str,
    },
    /// The directory belongs to another replica.
    ForeignReplica {
        /// The replica that wrote the files.
        stored: ReplicaId,
        /// The replica that the program runs.
        expected: ReplicaId,
    },
    /// The files hold a group that the program does not run.
    UnknownGroup {
        /// The id of the group in the files.
        group: GroupId,
    },
    /// A backup cannot be restored, because the disk already holds data.
    NotEmpty,
    /// A restore from backups was interrupted and has to be repeated.
    UnfinishedRestore,
    /// Another process uses the directory.
    Locked {
        /// The path of the lock file.
        file: String,
    },
    /// The state machine rejected a snapshot whose checksum is correct.
    Restore {
        /// The group of the state machine.
        group: GroupId,
        /// The error of the state machine.
        source: host::RestoreError,
    },
    /// The replica stopped after an earlier error.
    Stopped,
}

impl Error {
    /// Converts an I/O error; a full disk or quota becomes [`Error::Full`].
    pub(crate) fn io(operation: &'static str, file: &str, source: io::Error) -> Error {
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Error::Full {
                file: file.to_owned(),
            },
            _ => Error::Io {
                operation,
                file: file.to_owned(),
                source: sync::Arc::new(source),
            },
        }
    }

    pub(crate) fn corrupt(file: &str, offset: u64, reason: &'static str) -> Error {
        Error::Corrupt {
            file: file.to_owned(),
            offset,
            reason,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Full { file } => write!(formatter, "disk full while writing {file}"),
            Error::Io {
                operation,
                file,
                source,
            } => write!(formatter, "cannot {operation} {file}: {source}"),
            Error::Corrupt {
                file,
                offset,
                reason,
            } => write!(formatter, "{file} is corrupt at byte {offset}: {reason}"),
            Error::ForeignReplica { stored, expected } => write!(
                formatter,
                "the files belong to replica {stored}, not to replica {expected}"
            ),
            Error::UnknownGroup { group } => {
                write!(formatter, "the files hold unknown group {group}")
            }
            Error::NotEmpty => {
                formatter.write_str("a backup can only be restored on an empty disk")
            }
            Error::UnfinishedRestore => {
                formatter.write_str("a restore was interrupted and has to be repeated")
            }
            Error::Locked { file } => write!(formatter, "another process holds {file}"),
            Error::Restore { group, source } => {
                write!(formatter, "cannot restore group {group}: {source}")
            }
            Error::Stopped => formatter.write_str("the replica stopped after an earlier error"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Error::Io { source, .. } => Some(source),
            Error::Restore { source, .. } => Some(source),
            _ => None,
        }
    }
}
