//! Faults of real control replicas on loopback.

mod cluster;
mod engines;
mod faults;
mod operators;
mod strangers;
