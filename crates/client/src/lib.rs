//! JSON-RPC client of the control replicas, and the connection type that it shares with
//! the other links between processes of the system.
//!
//! A [`control::Client`] knows the addresses of all control replicas, finds the leader
//! of each group and retries calls that failed because no leader was found. A
//! [`link::Link`] is one connection that reconnects when needed.

pub mod control;
pub mod link;
