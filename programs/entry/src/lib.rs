//! The entry program: callers' HTTP API, announcements, routing and batch
//! dispatch on each entry VM.

pub mod api;
pub mod batch;
pub mod clock;
pub mod confirmation;
pub mod context;
pub mod controller;
pub mod drain;
pub mod files;
pub mod filter;
mod isolation;
pub mod metrics;
pub mod online;
pub mod program;
mod records;
mod reservation;
pub mod routing;
pub mod settings;
pub mod snapshot;
pub mod upstream;

pub use program::{Handle, start};
