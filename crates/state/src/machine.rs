//! The state machine of any group, with commands and replies as bytes.

use std::fmt;

use serde::{Deserialize, Serialize};

use bw_coord::{host, payload, storage};
use bw_wire::{command, query};

use crate::{config, snapshot, work};

/// The state machine of one group.
#[derive(Clone, Debug)]
pub enum Machine {
    /// Group 0, which holds the configuration.
    Config(config::Machine),
    /// A work group, which holds files and jobs.
    Work(Box<work::Machine>),
}

/// The reason why a command was not applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Error {
    /// The bytes are not a command of this version.
    Undecodable,
    /// The command belongs to another kind of group.
    WrongGroup,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Error::Undecodable => "the command cannot be decoded",
            Error::WrongGroup => "the command belongs to another kind of group",
        })
    }
}

impl std::error::Error for Error {}

impl Machine {
    /// Creates the empty machine of a group; group 0 holds the configuration.
    pub fn for_group(group: u32) -> Machine {
        match group {
            0 => Machine::Config(config::Machine::new()),
            _ => Machine::Work(Box::default()),
        }
    }

    /// Returns the machine's time, Unix time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        match self {
            Machine::Config(machine) => machine.now_ms(),
            Machine::Work(machine) => machine.now_ms(),
        }
    }

    /// Applies a command.
    ///
    /// # Errors
    ///
    /// Fails without effect when the command belongs to another kind of group.
    pub fn apply(
        &mut self,
        index: u64,
        stamped: command::Stamped<command::Command>,
    ) -> Result<command::Reply, Error> {
        let now_ms = stamped.now_ms;
        match (self, stamped.command) {
            (Machine::Config(machine), command::Command::Config(command)) => {
                let stamped = command::Stamped { now_ms, command };
                Ok(command::Reply::Config(machine.apply(index, stamped)))
            }
            (Machine::Work(machine), command::Command::Work(command)) => {
                let stamped = command::Stamped { now_ms, command };
                Ok(command::Reply::Work(machine.apply(index, stamped)))
            }
            _ => Err(Error::WrongGroup),
        }
    }

    /// Applies an encoded command and returns the encoded result.
    pub fn apply_bytes(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let result = match postcard::from_bytes(command) {
            Ok(stamped) => self.apply(index, stamped),
            Err(_) => Err(Error::Undecodable),
        };
        postcard::to_allocvec(&result).unwrap_or_default()
    }

    /// Adds the lines of leased chunks, read from payloads, to the encoded result
    /// of the last command.
    ///
    /// # Errors
    ///
    /// Fails if a payload cannot be read.
    fn complete_bytes(
        &self,
        result: Vec<u8>,
        source: &mut dyn payload::Source,
    ) -> Result<Vec<u8>, storage::Error> {
        let Machine::Work(machine) = self else {
            return Ok(result);
        };
        match decode_reply(&result) {
            Ok(command::Reply::Work(reply @ command::work::Reply::Taken { .. })) => {
                let reply = command::Reply::Work(machine.complete(reply, source)?);
                let completed: Result<command::Reply, Error> = Ok(reply);
                Ok(postcard::to_allocvec(&completed).unwrap_or_default())
            }
            _ => Ok(result),
        }
    }

    /// Answers a query, or returns `None` if it belongs to another kind of group.
    ///
    /// # Errors
    ///
    /// Fails if a payload cannot be read.
    pub fn query(
        &self,
        query: &query::Query,
        source: &mut dyn payload::Source,
    ) -> Result<Option<query::Answer>, storage::Error> {
        match self {
            Machine::Config(machine) => Ok(machine.query(query)),
            Machine::Work(machine) => machine.query(query, source),
        }
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        match self {
            Machine::Config(machine) => machine.snapshot(),
            Machine::Work(machine) => machine.snapshot(),
        }
    }

    /// Replaces the state by a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot has another version or is damaged.
    pub fn restore(&mut self, data: &[u8]) -> Result<(), snapshot::Error> {
        match self {
            Machine::Config(machine) => machine.restore(data),
            Machine::Work(machine) => machine.restore(data),
        }
    }
}

impl host::Machine for Machine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        self.apply_bytes(index, command)
    }

    fn effects(&mut self) -> Vec<payload::Effect> {
        match self {
            Machine::Config(_) => Vec::new(),
            Machine::Work(machine) => machine.effects(),
        }
    }

    fn complete(
        &self,
        result: Vec<u8>,
        payloads: &mut dyn payload::Source,
    ) -> Result<Vec<u8>, storage::Error> {
        self.complete_bytes(result, payloads)
    }

    fn snapshot(&self) -> Vec<u8> {
        Machine::snapshot(self)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), host::RestoreError> {
        Machine::restore(self, data).map_err(|error| host::RestoreError::new(error.to_string()))
    }
}

/// Encodes a command for the log.
///
/// # Panics
///
/// Panics if the command cannot be encoded, which its type rules out.
pub fn encode(stamped: &command::Stamped<command::Command>) -> Vec<u8> {
    postcard::to_allocvec(stamped).expect("commands have no unencodable fields")
}

/// Decodes what [`Machine::apply_bytes`] returned.
///
/// # Errors
///
/// Fails when the machine did not apply the command or the bytes are not a result.
pub fn decode_reply(bytes: &[u8]) -> Result<command::Reply, Error> {
    postcard::from_bytes(bytes).unwrap_or(Err(Error::Undecodable))
}
