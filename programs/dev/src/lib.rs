//! All roles of bilberrywind in one process: the embedded default.

mod declare;
mod roles;
pub mod settings;

pub use roles::{Roles, start};
