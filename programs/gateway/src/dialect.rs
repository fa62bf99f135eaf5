//! The platform-specific part of the protocol: header names and call formats.

use bw_relay::{ledger, message, route};
use bw_wire::name::Name;
use hyper::{StatusCode, header::HeaderName};

/// Names of the HTTP headers that the relay reads or sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id of a request, which a backend server echoes in its response.
    pub request_id: HeaderName,
    /// How long the caller still waits for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The only backend server that may run the request.
    pub expect_backend: HeaderName,
    /// The id of the last event that the receiver of a resumed stream has.
    pub last_event_id: HeaderName,
    /// Present on every response that comes from a backend server, and not from
    /// something in between.
    pub response_stamp: HeaderName,
    /// Present if the backend server has not run the request.
    pub not_run: HeaderName,
    /// The parts of the prompt, separated by commas. All but the last may be shared with
    /// other requests.
    pub prompt_prefix: HeaderName,
    /// How long a call may wait for new results, in milliseconds.
    pub wait_ms: HeaderName,
    /// The current load of the backend server that responds.
    pub load: HeaderName,
    /// The migrated KV cache from which a request continues.
    pub kv_source: HeaderName,
}

/// The outcome of migrating a run to another backend server.
#[derive(Clone, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Migration {
    /// The run has stopped and its KV cache was copied; holds the value of the
    /// [`Headers::kv_source`] header that refers to it.
    Moved(String),
    /// The run has stopped, but the target had no room for its KV cache.
    Stopped,
    /// The run had already ended.
    Gone,
    /// The run continues where it is.
    Refused,
}

/// A management call to a backend server, as opposed to a request of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// The HTTP method.
    pub method: hyper::Method,
    /// The path without a query.
    pub path: String,
    /// The body: JSON, or empty.
    pub body: Vec<u8>,
}

/// The load that a backend server reports in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// The number of requests that occupy a slot.
    pub running: u32,
    /// The number of requests that wait for a slot.
    pub waiting: u32,
}

/// A caller's call on a batch job that was submitted earlier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobCall {
    /// Reads a page of results.
    Results {
        /// The id of the job.
        job: Name,
        /// The position of the first result to return.
        after: u32,
    },
    /// Reads the request body of an item.
    Body {
        /// The id of the job.
        job: Name,
        /// The id of the item.
        item: Name,
    },
    /// Ends the job: stops its runs and discards its bodies.
    End {
        /// The id of the job.
        job: Name,
    },
}

/// Why a malformed or unknown call is refused, before it has any effect.
#[derive(Clone, Debug)]
pub struct Refused {
    /// The HTTP status to respond with.
    pub status: StatusCode,
    /// What is wrong with the call, for people.
    pub reason: String,
}

impl Refused {
    /// Creates a refusal with a status and a reason for people.
    pub fn new(status: StatusCode, reason: impl Into<String>) -> Refused {
        Refused {
            status,
            reason: reason.into(),
        }
    }
}

/// Translates between the protocol of a platform and the types of the relay.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the header names of the platform.
    fn headers(&self) -> &Headers;

    /// Decodes the value of the [`Headers::load`] header; `None` if it is malformed.
    fn decode_load(&self, value: &str) -> Option<Load>;

    /// Returns the ids of the parts of a prompt in order, as the value of the
    /// [`Headers::prompt_prefix`] header lists them. Entries without an id are left out.
    fn decode_parts<'a>(&self, value: &'a str) -> Vec<&'a str>;

    /// Returns the call that lists the runs of a backend server.
    fn list_runs(&self) -> Call;

    /// Decodes the response to [`Dialect::list_runs`] into the ids of the running
    /// requests; `None` if it is malformed.
    fn decode_runs(&self, body: &[u8]) -> Option<Vec<Name>>;

    /// Returns the call that stops the run of request `id` and copies its KV cache
    /// to the backend server at the address `to`.
    fn migrate(&self, id: &str, to: &str) -> Call;

    /// Decodes the response of the backend server at `address` to
    /// [`Dialect::migrate`].
    fn decode_migration(&self, status: StatusCode, body: &[u8], address: &str) -> Migration;

    /// Returns the call that frees a KV cache which [`Dialect::migrate`] copied,
    /// given the value of [`Migration::Moved`]. It goes to the backend server that
    /// ran the request.
    fn release_kv(&self, source: &str) -> Call;

    /// Decodes a call on a batch job; `None` if the request is not one.
    fn decode_job_call(&self, method: &hyper::Method, path: &str, query: &str) -> Option<JobCall>;

    /// Decodes a job that was submitted on a route at a Unix time.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed or the job is not valid.
    fn decode_job(
        &self,
        id: &str,
        route: &route::Route,
        body: &[u8],
        now_ms: u64,
    ) -> Result<ledger::NewJob, Refused>;

    /// Encodes a page of results that begins at the position `after`.
    fn encode_page(&self, page: &ledger::Page, after: u32) -> Vec<u8>;

    /// Decodes a call of an operator or a backend server to the control program.
    ///
    /// # Errors
    ///
    /// Fails if the call is unknown or malformed.
    fn decode_control_call(
        &self,
        method: &hyper::Method,
        path: &str,
        body: &[u8],
    ) -> Result<message::Request, Refused>;

    /// Encodes the response to a call to the control program; `leader` is the
    /// address at which the leader serves such calls, if it is known.
    fn encode_control_reply(
        &self,
        reply: message::Reply,
        leader: Option<Name>,
    ) -> (StatusCode, Vec<u8>);
}
