//! Pooled HTTP client for backend servers.
//!
//! [`Client::generate`] sends a request to a model engine and returns a
//! [`Stream`] of typed events; [`Client::forward`] passes a request on to a
//! plain service and returns its response. Dropping a call or a stream closes
//! its connection, which cancels the request at the backend server.
//!
//! ```no_run
//! # async fn example(client: bw_entry::upstream::Client, call: bw_entry::upstream::Call)
//! # -> Result<(), bw_entry::upstream::Error> {
//! use bw_entry::upstream::Event;
//!
//! let mut stream = client.generate(call).await?;
//! loop {
//!     match stream.next().await? {
//!         Event::Delta(delta) => println!("{} ({} tokens)", delta.text, delta.tokens),
//!         Event::End(end) => break println!("finished: {}", end.finish_reason),
//!     }
//! }
//! # Ok(())
//! # }
//! ```

mod body;
mod call;
mod error;
mod event;
mod sse;
mod stream;

pub use body::resume_body;
pub use call::{Builder, Call, Class, Client, Forward, Timeouts};
pub use error::{Cause, Error};
pub use event::{Api, Delta, End, Event, Usage};
pub use stream::Stream;
