//! The processes of a relay: the entry program, which forwards requests by
//! published routes, and the control program, which keeps the replicated
//! ledger and runs batch items.
//!
//! Decisions are in `bw-relay`; this crate connects them to sockets, disks and
//! clocks. Names of headers and the form of calls come from a
//! [`dialect::Dialect`], so that one program serves different surroundings.

pub mod clock;
pub mod control;
pub mod dialect;
pub mod entry;
pub mod link;
mod local;
pub mod memory;
pub mod metrics;
pub mod settings;
pub mod socket;
pub mod upstream;
pub mod worker;
