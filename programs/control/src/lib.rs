//! The control program: replicated state, registry and placement orders.
//!
//! One control thread owns the replicated logs and all soft state. A network
//! thread runs the control port, the links to the other replicas, the admin
//! endpoints and the orders to backend servers; it only moves messages. A third
//! thread syncs the log, so that the control thread continues while a disk is slow.

mod core;
mod handle;
mod metrics;
mod network;
pub mod registry;
pub mod settings;

pub use handle::{Handle, start, start_on};
