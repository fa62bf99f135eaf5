//! Messages and names shared by all bilberrywind programs.
//!
//! The crate holds data only: it performs no I/O and makes no decisions. Types
//! that are stored in the replicated log are plain structs and externally tagged
//! enums, because both JSON and postcard, the codec of the log, must support them.

pub mod backend;
pub mod command;
pub mod fingerprint;
pub mod header;
pub mod id;
pub mod intent;
pub mod member;
pub mod name;
pub mod openai;
pub mod peer;
pub mod prefix;
pub mod query;
pub mod refusal;
pub mod renewal;
pub mod rpc;
pub mod sync;
pub mod verdict;
