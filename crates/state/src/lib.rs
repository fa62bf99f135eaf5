//! Deterministic replicated state machines of the control replicas.
//!
//! [`config::Machine`] holds the configuration, [`work::Machine`] files, jobs,
//! idempotency claims, attempts and suspects. Both take time from the commands
//! only and perform no I/O. [`machine::Machine`] puts either of them behind the
//! interface of the coordination library.

pub mod config;
pub mod machine;
pub mod snapshot;
pub mod work;
