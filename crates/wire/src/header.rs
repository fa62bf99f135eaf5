//! Names of HTTP headers, in lower case.

/// Identifies a request, so that a retry gets the response of the first attempt.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// `no` marks a request that must run at most once.
pub const REPEATABLE: &str = "bw-repeatable";
/// The time the caller is willing to wait, in milliseconds.
pub const DEADLINE_MS: &str = "bw-deadline-ms";
/// The request id, echoed by backend servers and given to callers.
pub const REQUEST_ID: &str = "bw-request-id";
/// The verdict of a refusal, `not_run` or `may_have_run`.
pub const VERDICT: &str = "bw-verdict";
/// The number of output tokens that the caller already has, on a resumed
/// request to an engine. The text itself is in the body field
/// `bw_resume_text`.
pub const RESUME_TOKENS: &str = "bw-resume-tokens";
/// The fencing token of an attempt.
pub const FENCE: &str = "bw-fence";
/// The work class, `online` or `batch`. Engines ignore it; it is for logs.
pub const CLASS: &str = "bw-class";
