//! Messages and names shared by all bilberrywind programs.
//!
//! The crate holds data only: it performs no I/O and makes no decisions. Types
//! that are stored in the replicated log keep to plain structs and externally
//! tagged enums, so that both JSON and the compact log codec can carry them.

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
