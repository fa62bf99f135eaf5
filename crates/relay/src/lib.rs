//! State and decisions of a relay, which forwards opaque requests to backend servers by
//! published routes and runs batch jobs made of such requests.
//!
//! Nothing here does I/O or reads a clock. Callers pass in the time in milliseconds, so
//! that tests replay load patterns exactly.

pub mod balance;
pub mod dispatch;
pub mod evacuation;
pub mod event;
pub mod health;
pub mod ledger;
pub mod load;
pub mod message;
pub mod quota;
pub mod registry;
pub mod route;
pub mod suspect;
pub mod unix_time;
