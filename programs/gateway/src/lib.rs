//! The processes of a relay: the entry program, which forwards requests along
//! the routes of the published configuration, the control program, which keeps
//! the replicated ledger and runs batch items, and the worker program, which
//! only registers its VM.
//!
//! `bw-relay` makes the decisions; this crate connects them to sockets, disks
//! and clocks. Header names and call formats come from a [`dialect::Dialect`],
//! so that the same programs run on different platforms.

mod check;
pub mod clock;
pub mod control;
pub mod dialect;
pub mod entry;
pub mod link;
mod local;
pub mod memory;
mod meter;
pub mod metrics;
pub mod settings;
pub mod socket;
pub mod upstream;
pub mod worker;
