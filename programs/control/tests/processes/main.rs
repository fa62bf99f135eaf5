//! Tests real control processes on loopback under faults.

mod cluster;
mod engines;
mod faults;
mod operators;
mod untrusted;
