//! Decisions of the serving system, without I/O.
//!
//! Every module maps state, an event and the time to a decision. Time is passed
//! in as milliseconds of one monotonic clock, random numbers as a generator, so
//! that one seed gives one outcome. Calls on the request path look at a bounded
//! number of replicas and allocate little.

pub mod admission;
pub mod health;
pub mod pacer;
pub mod placement;
pub mod retry;
pub mod router;
pub mod suspect;
