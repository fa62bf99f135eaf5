//! Failures and their stable exit codes.

use std::{fmt, process};

use bw_client::control;

/// The exit code of a failure. The numbers are part of the interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum Code {
    /// Anything without a code of its own.
    Failed = 1,
    /// Wrong arguments or settings.
    Usage = 2,
    /// A conflicting change got in between.
    Conflict = 3,
    /// The system did not answer.
    Unavailable = 4,
    /// The object does not exist.
    NotFound = 5,
}

/// A failure with its exit code.
#[derive(Debug)]
pub(crate) struct Failure {
    code: Code,
    message: String,
}

impl Failure {
    pub(crate) fn new(code: Code, message: impl Into<String>) -> Failure {
        Failure {
            code,
            message: message.into(),
        }
    }

    pub(crate) fn failed(message: impl Into<String>) -> Failure {
        Failure::new(Code::Failed, message)
    }

    pub(crate) fn usage(message: impl Into<String>) -> Failure {
        Failure::new(Code::Usage, message)
    }

    pub(crate) fn code(&self) -> process::ExitCode {
        process::ExitCode::from(self.code as u8)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl From<control::Error> for Failure {
    fn from(error: control::Error) -> Failure {
        let message = format!(
            "the control replicas did not answer: {error}; check their addresses with \
             `bilberry status` and repeat the command, which is safe"
        );
        Failure::new(Code::Unavailable, message)
    }
}
