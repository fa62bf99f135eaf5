//! What differs between surroundings: names of headers and the form of calls.

use bw_relay::{ledger, message, route};
use bw_wire::name::Name;
use hyper::{StatusCode, header::HeaderName};

/// Names of the headers that the relay reads or sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id of a request; a backend server repeats it in its answer.
    pub request_id: HeaderName,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The only backend server that may run the request.
    pub expect_backend: HeaderName,
    /// The last event that a resumed stream already has.
    pub last_event_id: HeaderName,
    /// Proves that an answer comes from a backend server.
    pub response_stamp: HeaderName,
    /// Says that the backend server has not run the request.
    pub not_run: HeaderName,
    /// The shared parts of the prompt.
    pub prompt_prefix: HeaderName,
    /// How long a call may wait for news, in milliseconds.
    pub wait_ms: HeaderName,
    /// The load of the backend server that answers.
    pub load: HeaderName,
    /// The memory of a detached run with which a request goes on.
    pub kv_source: HeaderName,
}

/// What became of a run that was to be moved to another backend server.
#[derive(Clone, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Migration {
    /// It has stopped; the value of the memory header names what was moved.
    Moved(String),
    /// It has stopped, and there was no room for its memory.
    Stopped,
    /// There is no such run any more.
    Gone,
    /// It goes on.
    Refused,
}

/// A call to a backend server that is no request of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// The method.
    pub method: hyper::Method,
    /// The path.
    pub path: String,
    /// The body, in JSON unless it is empty.
    pub body: Vec<u8>,
}

/// The load of a backend server as it states it in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

/// A caller's call on a batch job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobCall {
    /// Reads results.
    Results {
        /// The job.
        job: Name,
        /// The first position.
        after: u32,
    },
    /// Reads the body of an item.
    Body {
        /// The job.
        job: Name,
        /// The item.
        item: Name,
    },
    /// Ends the job.
    End {
        /// The job.
        job: Name,
    },
}

/// Why a call is refused before anything is done.
#[derive(Clone, Debug)]
pub struct Refused {
    /// The status.
    pub status: StatusCode,
    /// What is wrong.
    pub reason: String,
}

impl Refused {
    /// Builds a refusal.
    pub fn new(status: StatusCode, reason: impl Into<String>) -> Refused {
        Refused {
            status,
            reason: reason.into(),
        }
    }
}

/// Translates between the surroundings and the relay.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the names of the headers.
    fn headers(&self) -> &Headers;

    /// Decodes the value of the load header; `None` if it cannot be read.
    fn decode_load(&self, value: &str) -> Option<Load>;

    /// Returns the call that asks a backend server for its runs.
    fn list_runs(&self) -> Call;

    /// Decodes the answer to [`Dialect::inspection`]: the ids of the requests that
    /// run; `None` if it cannot be read.
    fn decode_runs(&self, body: &[u8]) -> Option<Vec<Name>>;

    /// Returns the call that stops a run whose sender is gone and moves its memory
    /// to the backend server at an address.
    fn migrate(&self, id: &str, to: &str) -> Call;

    /// Decodes the answer of the backend server at `address` to
    /// [`Dialect::detachment`].
    fn decode_migration(&self, status: StatusCode, body: &[u8], address: &str) -> Migration;

    /// Returns the call that frees memory which [`Dialect::detachment`] moved, made
    /// at the backend server that ran the request.
    fn release_kv(&self, memory: &str) -> Call;

    /// Recognizes a call on a batch job by its method, path and query.
    fn decode_job_call(&self, method: &hyper::Method, path: &str, query: &str) -> Option<JobCall>;

    /// Decodes a submitted job.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the body.
    fn decode_job(
        &self,
        id: &str,
        route: &route::Route,
        body: &[u8],
        now_ms: u64,
    ) -> Result<ledger::NewJob, Refused>;

    /// Encodes a page of results that begins at a position.
    fn encode_page(&self, page: &ledger::Page, after: u32) -> Vec<u8>;

    /// Decodes a call of an operator or a backend server.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the call.
    fn decode_control_call(
        &self,
        method: &hyper::Method,
        path: &str,
        body: &[u8],
    ) -> Result<message::Request, Refused>;

    /// Encodes the answer to a call to the control program; `leader` is the
    /// address at which the leader serves such calls, if known.
    fn encode_control_reply(
        &self,
        reply: message::Reply,
        leader: Option<Name>,
    ) -> (StatusCode, Vec<u8>);
}
