//! Checks of backend servers that fell silent.

use std::net;

use crate::upstream;

/// What a check showed of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Outcome {
    /// It accepts connections, or its VM does for it while it is stopped.
    Connected,
    /// It has ended: no program listens at its address.
    Refused,
    /// Its VM does not respond. It has probably ended, unless this VM is cut off.
    Unreachable,
    /// Nothing is known, for a reason of this VM.
    Unknown,
}

impl Outcome {
    /// Returns the name of the outcome in logs.
    pub(crate) fn name(self) -> &'static str {
        self.into()
    }
}

/// Connects to a backend server that fell silent.
pub(crate) async fn connect(
    pool: &upstream::Pool,
    backend: &str,
    address: net::SocketAddr,
) -> Outcome {
    let outcome = match pool.reach(address).await {
        Ok(()) => Outcome::Connected,
        Err(upstream::Failure::Refused) => Outcome::Refused,
        Err(upstream::Failure::Unreachable) => Outcome::Unreachable,
        Err(_) => Outcome::Unknown,
    };
    log::info!(backend = backend, outcome = outcome.name(); "silent backend server checked");
    outcome
}
