//! Requests to backend servers: which responses are valid, and which are whole.
//!
//! A response without length and chunks ends with its connection, and a backend server
//! that stops in the middle of it ends the connection as well. [`Stream`] notes all that
//! tells the two apart, and [`Body`] ends without an error only if the response is whole.

mod body;
mod head;
mod stream;

pub use body::{Body, Failure};
pub use head::{Invalid, normalize_head};
pub use stream::{Probe, Stream};
