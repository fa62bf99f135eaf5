//! Parts that all bilberrywind programs share: settings, logs, metrics,
//! credentials, signals and the HTTP server loop.

pub mod access;
pub mod logs;
pub mod metrics;
pub mod outgoing;
pub mod program;
pub mod responses;
pub mod server;
pub mod settings;
