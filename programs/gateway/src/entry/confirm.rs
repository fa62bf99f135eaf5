//! Asks the leader for the version of the newest configuration.
//!
//! A client error, such as 404 for a path without a route, is correct only if no
//! newer configuration allows the request. An entry VM that is cut off, or has not
//! received the newest configuration yet, cannot know that by itself, however
//! healthy its connections look.

use std::{cell::Cell, rc::Rc, time};

use bw_relay::message;
use tokio::sync::{Notify, watch};

use crate::{
    clock,
    entry::{self, state::Routing, state::State},
    metrics,
};

/// Longest wait of a request for the leader's confirmation, in milliseconds. A
/// confirmation takes one round trip between VMs, and one more if the leader has no
/// lease. A caller that is refused after this wait has most of its time left.
const TIMEOUT_MS: u64 = 250;
/// Least time between two calls to the leader. It bounds the leader's work when
/// callers of all entry VMs request paths without a route: each entry VM makes at
/// most 20 calls a second.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Whether the configuration in use is the newest.
pub(crate) enum Freshness {
    /// It was still the newest after the request had arrived.
    Current,
    /// A newer one, given here, has come into force.
    Superseded(Rc<Routing>),
    /// The leader did not reply, or the newer configuration did not arrive in time.
    Unknown,
}

/// The newest version according to the leader.
#[derive(Clone, Copy, Default)]
struct Confirmation {
    /// The last round that was requested before the leader was called.
    round: u64,
    /// `None` if no leader replied in time.
    version: Option<u64>,
}

/// Combines the confirmations that concurrent requests wait for into shared calls to
/// the leader. Each request starts a round; a call confirms all rounds before it.
#[derive(Default)]
pub(crate) struct Confirmer {
    requested_round: Cell<u64>,
    requested: Notify,
    confirmation: watch::Sender<Confirmation>,
}

/// Asks the leader whether a configuration version is the newest.
pub(crate) async fn confirm(state: &State, version: u64) -> Freshness {
    let until_ms = clock::monotonic_ms() + TIMEOUT_MS;
    let confirmer = &state.confirmer;
    let round = confirmer.requested_round.get() + 1;
    confirmer.requested_round.set(round);
    let mut confirmation = confirmer.confirmation.subscribe();
    confirmer.requested.notify_one();
    let answered = confirmation.wait_for(|confirmation| confirmation.round >= round);
    let newest = match tokio::time::timeout(entry::remaining(until_ms), answered).await {
        Ok(Ok(confirmation)) => confirmation.version,
        // The sender lives as long as the process.
        Ok(Err(_)) | Err(_) => None,
    };
    let (freshness, outcome) = match newest {
        Some(newest) if newest <= version => (Freshness::Current, "newest"),
        Some(newest) => match state.await_version(newest, until_ms).await {
            Some(routing) => (Freshness::Superseded(routing), "replaced"),
            None => (Freshness::Unknown, "not_told"),
        },
        None => (Freshness::Unknown, "no_leader"),
    };
    metrics::CONFIRMATIONS.with_label_values(&[outcome]).inc();
    freshness
}

/// Returns whether the newest configuration also denies a request that the known
/// one denies. Returns false while the newest one is unknown.
pub(crate) async fn is_denied(
    state: &State,
    version: u64,
    denies: impl FnOnce(&Routing) -> bool,
) -> bool {
    match confirm(state, version).await {
        Freshness::Current => true,
        Freshness::Superseded(newer) => denies(&newer),
        Freshness::Unknown => false,
    }
}

/// Calls the leader whenever requests wait for a confirmation.
pub(crate) async fn run(state: Rc<State>) {
    let confirmer = &state.confirmer;
    loop {
        confirmer.requested.notified().await;
        let round = confirmer.requested_round.get();
        if round == confirmer.confirmation.borrow().round {
            continue;
        }
        let version = ask_leader(&state).await;
        confirmer
            .confirmation
            .send_replace(Confirmation { round, version });
        tokio::time::sleep(ASK_INTERVAL).await;
    }
}

async fn ask_leader(state: &State) -> Option<u64> {
    // Without a leader the request is refused at once with a retry-after time.
    state.link.leader()?;
    let timeout = time::Duration::from_millis(TIMEOUT_MS);
    match state.link.call(message::Request::Version, timeout).await {
        message::Reply::Version(version) => Some(version),
        reply => {
            log::info!(reply = format!("{reply:?}").as_str(); "the leader did not confirm the newest configuration");
            None
        }
    }
}
