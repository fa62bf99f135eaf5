//! What is suspected of crashing backend servers, and its trials.

pub mod part;
pub mod trial;

pub use bw_suspect::*;
