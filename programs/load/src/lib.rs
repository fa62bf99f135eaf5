//! Load and experiment tool.
//!
//! Load is open loop: requests are sent at their intended times whether or not
//! earlier ones were answered, and latencies count from the intended time. All
//! addresses must be on loopback.

pub mod call;
pub mod cpu;
pub mod fleet;
mod job;
pub mod overhead;
pub mod pace;
pub mod plot;
pub mod policy;
pub mod result;
pub mod run;
pub mod scenario;
pub mod streams;
pub mod system;
pub mod trace;
pub mod workload;
