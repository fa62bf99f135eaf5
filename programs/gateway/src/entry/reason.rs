//! Why a request was refused, retried or aborted.

use bw_relay::balance;

use crate::upstream;

/// A reason, printed in snake case in logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// This VM is about to stop.
    Stopping,
    /// No route matches the request.
    NoRoute,
    /// The known configuration denies the request, but a newer one may allow it.
    Unconfirmed,
    /// No leader is known.
    NoLeader,
    /// No backend server of the service is healthy, or all were tried.
    NoBackend,
    /// Every backend server is at capacity.
    Overload,
    /// The route has reached its limit of waiting batch work.
    RouteFull,
    /// The request is suspected of crashing backend servers.
    PoisonousRequest,
    /// A part of its prompt is suspected of crashing backend servers.
    PoisonousPart,
    /// The address of the backend server or the request to it is not valid.
    BadRequest,
    /// The deadline of the request or the timeout of an attempt has passed.
    Timeout,
    /// No connection to the backend server could be established.
    Connect,
    /// The connection broke.
    Broken,
    /// The backend server refused the request because it is at capacity.
    Full,
    /// The backend server ran the request and answered with a status that promises callers
    /// that it has not run.
    UnstatedRefusal,
    /// A different backend server than expected listens at the address.
    OtherBackend,
    /// The response carries the id of another request.
    CrossedAnswer,
    /// The response does not come from a backend server.
    ForeignAnswer,
    /// The backend server responded with status 500.
    ServerError,
    /// The stream was silent for too long.
    Silent,
    /// The stream skipped an event.
    Gap,
    /// The head, an event or the body of the response exceeds its size limit.
    Endless,
}

impl Reason {
    /// Returns the name of the reason in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        self.into()
    }
}

impl From<upstream::Failure> for Reason {
    fn from(failure: upstream::Failure) -> Reason {
        match failure {
            upstream::Failure::Connect
            | upstream::Failure::Unreachable
            | upstream::Failure::Refused => Reason::Connect,
            upstream::Failure::Broken => Reason::Broken,
            upstream::Failure::Timeout => Reason::Timeout,
            upstream::Failure::Full => Reason::Full,
            upstream::Failure::UnstatedRefusal(_) => Reason::UnstatedRefusal,
            upstream::Failure::OtherBackend => Reason::OtherBackend,
            upstream::Failure::CrossedAnswer => Reason::CrossedAnswer,
            upstream::Failure::ForeignAnswer => Reason::ForeignAnswer,
            upstream::Failure::Endless => Reason::Endless,
        }
    }
}

impl From<balance::Reason> for Reason {
    fn from(reason: balance::Reason) -> Reason {
        match reason {
            balance::Reason::NoBackend => Reason::NoBackend,
            balance::Reason::Overload => Reason::Overload,
        }
    }
}
