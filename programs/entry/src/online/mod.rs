//! Runs online requests on backend servers: routing, retries, hedges, resumes,
//! isolated runs of suspects, and requests that run at most once.

pub(crate) mod once;
mod render;
mod run;
mod stream;

pub(crate) use once::time_left;
pub use once::{Key, Outcome, at_most_once};
pub use render::Renderer;
pub use run::Run;
pub(crate) use run::{backoff, retry_failure};
pub use stream::{collect_answer, respond};
