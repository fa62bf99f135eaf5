//! Client of the control port.
//!
//! A [`control::Client`] knows the addresses of all control replicas, finds the
//! leader of each group and repeats calls that failed for want of a leader.

pub mod control;
mod link;
