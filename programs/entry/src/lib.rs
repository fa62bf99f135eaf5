//! The entry program: callers' HTTP API, announcements, routing and batch
//! dispatch on each entry VM.

pub mod files;
pub mod upstream;
