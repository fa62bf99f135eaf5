//! Why a request was refused, sent again or broken off.

use bw_relay::balance;

use crate::upstream;

/// A reason, as it stands in logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Reason {
    /// No configuration is known.
    NoConfiguration,
    /// No route allows the request.
    NoRoute,
    /// No route allows the request, and a newer configuration may have one.
    Unconfirmed,
    /// No control replica leads.
    NoLeader,
    /// No backend server of the service is known to work, or all were tried.
    NoBackend,
    /// Every backend server is full.
    Overload,
    /// As much work waits on the route as may.
    RouteFull,
    /// The request crashes backend servers.
    PoisonousRequest,
    /// The request cannot be sent to the backend server as it is.
    BadRequest,
    /// The time of the request or of an attempt is over.
    Timeout,
    /// No connection to the backend server was made.
    Connect,
    /// The connection broke.
    Broken,
    /// The backend server refused the request as full.
    Full,
    /// Another backend server answered at the address.
    OtherBackend,
    /// The answer belongs to another request.
    CrossedAnswer,
    /// The answer does not come from a backend server.
    ForeignAnswer,
    /// The backend server says that it failed.
    ServerError,
    /// The stream fell silent.
    Silent,
    /// An event is missing.
    Gap,
    /// The head, an event or the body of an answer does not end.
    Endless,
}

impl Reason {
    /// Returns the reason as it stands in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        self.into()
    }
}

impl From<upstream::Failure> for Reason {
    fn from(failure: upstream::Failure) -> Reason {
        match failure {
            upstream::Failure::Connect => Reason::Connect,
            upstream::Failure::Broken => Reason::Broken,
            upstream::Failure::Timeout => Reason::Timeout,
            upstream::Failure::Full => Reason::Full,
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
