//! A stand-in for a backend server: a model engine or a plain service.
//!
//! The engine models continuous batching in time and answers with text that
//! depends only on model and prompt. Faults can be switched on by settings and
//! at run time. `docs/engine.md` describes the model and all settings.

pub mod announce;
mod answer;
mod api;
pub mod batch;
pub mod fault;
mod handle;
pub mod model;
mod order;
pub mod record;
mod reply;
pub mod request;
mod server;
pub mod settings;
pub mod text;

pub use handle::{Ended, Handle, start};
pub use settings::Settings;
