//! Scheduling, placement and failure-handling policies of the serving system,
//! without I/O.
//!
//! Every module computes decisions from its state, an event and the current time.
//! Times are milliseconds of one monotonic clock, and random numbers come from a
//! generator that is passed in, so that a seed determines the outcome. Calls on the
//! request path examine a bounded number of replicas and allocate little.

pub mod admission;
pub mod health;
pub mod pacer;
pub mod placement;
pub mod retry;
pub mod router;
pub mod suspect;
