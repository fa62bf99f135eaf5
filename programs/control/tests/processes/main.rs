//! Faults of real control replicas on loopback.

mod cluster;
mod faults;
mod operators;
mod strangers;
