//! Client of the control port, and the connection that it and other links
//! between our processes use.
//!
//! A [`control::Client`] knows the addresses of all control replicas, finds the
//! leader of each group and repeats calls that failed for want of a leader. A
//! [`link::Link`] is one connection that reopens itself.

pub mod control;
pub mod link;
