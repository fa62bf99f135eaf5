//! Errors of calls to backend servers.

use std::fmt;

use bytes::Bytes;
use strum::{EnumIter, IntoStaticStr};

use bw_wire::{refusal, verdict};

/// Why a call failed. The snake-case name is a label of metrics.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No connection could be opened.
    Unreachable,
    /// The backend server refused the request before running it.
    Refused,
    /// The backend server rejected the request as invalid.
    Rejected,
    /// The backend server answered with an error.
    Failed,
    /// The connection broke before the end of the answer.
    Broken,
    /// The first token did not arrive in time.
    FirstTokenTimeout,
    /// A later token did not arrive in time.
    TokenTimeout,
    /// The answer belongs to another request.
    Mismatched,
    /// The answer does not have the expected format.
    Malformed,
    /// Tokens are missing or duplicated: their number differs from the number
    /// that the engine reports, or the index of a token is too high.
    Corrupt,
}

/// A failed call.
#[derive(Clone, Debug)]
pub struct Error {
    /// Why the call failed.
    pub cause: Cause,
    /// Whether the backend server may have run the request.
    pub verdict: verdict::Verdict,
    /// The description, which a refusal passes on to the caller.
    pub message: String,
    /// The answer of a backend server that rejected the request.
    pub rejection: Option<Rejection>,
}

/// The answer of a backend server that rejected a request as invalid.
#[derive(Clone, Debug)]
pub struct Rejection {
    /// The HTTP status of the answer.
    pub status: u16,
    /// Its body, empty if it could not be read in full.
    pub body: Bytes,
}

impl Error {
    pub(crate) fn not_run(cause: Cause, message: impl Into<String>) -> Error {
        Error {
            cause,
            verdict: verdict::Verdict::NotRun,
            message: message.into(),
            rejection: None,
        }
    }

    pub(crate) fn may_have_run(cause: Cause, message: impl Into<String>) -> Error {
        Error {
            verdict: verdict::Verdict::MayHaveRun,
            ..Error::not_run(cause, message)
        }
    }

    pub(crate) fn rejection(mut self, status: u16, body: Bytes) -> Error {
        self.rejection = Some(Rejection { status, body });
        self
    }

    /// Returns whether another backend server may succeed.
    pub fn retryable(&self) -> bool {
        self.cause != Cause::Rejected
    }

    /// Returns the refusal for the caller if the request is not retried.
    pub fn refusal(&self) -> refusal::Refusal {
        let reason = match self.cause {
            Cause::Unreachable | Cause::Refused => refusal::Reason::NoBackend,
            Cause::Rejected => refusal::Reason::InvalidField,
            Cause::FirstTokenTimeout | Cause::TokenTimeout => refusal::Reason::BackendTimeout,
            Cause::Failed
            | Cause::Broken
            | Cause::Mismatched
            | Cause::Malformed
            | Cause::Corrupt => refusal::Reason::BackendFailed,
        };
        refusal::Refusal::not_run(reason, self.message.clone()).join(self.verdict)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cause: &str = self.cause.into();
        write!(formatter, "{cause}: {} ({})", self.message, self.verdict)
    }
}

impl std::error::Error for Error {}
