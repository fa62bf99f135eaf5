//! Asking the leader which configuration is the newest.
//!
//! An answer that blames the caller, such as 404 for a path without a route, is
//! only true if no newer configuration allows the request. An entry VM that is
//! cut off, or that was not told yet, cannot know that by itself, however fresh
//! its connections look.

use std::{cell::Cell, rc::Rc, time};

use bw_relay::message;
use tokio::sync::{Notify, watch};

use crate::{
    clock,
    entry::{self, state::Routing, state::State},
    metrics,
};

/// Longest wait of a request for the leader's word, in milliseconds. It takes one
/// round trip between VMs, and one more if the leader has no lease; a caller that
/// is refused after it has most of its time left.
const WAIT_MS: u64 = 250;
/// Least time between two questions. It bounds the leader's work when callers of
/// all entry VMs ask for paths without a route: 20 calls a second from each.
const GAP: time::Duration = time::Duration::from_millis(50);

/// What the configuration in use here is worth.
pub(crate) enum Standing {
    /// It was the newest when the request was already here.
    Newest,
    /// A newer one is in use now.
    Replaced(Rc<Routing>),
    /// The leader could not be asked, or its news did not come in time.
    Unknown,
}

/// The leader's word on the newest version.
#[derive(Clone, Copy, Default)]
struct Word {
    /// The last question that was asked before the leader answered.
    question: u64,
    /// `None` if no leader answered in time.
    version: Option<u64>,
}

/// The questions to the leader. Requests that wait share one.
#[derive(Default)]
pub(crate) struct Confirmer {
    asked: Cell<u64>,
    waiting: Notify,
    word: watch::Sender<Word>,
}

/// Finds out whether a configuration is the newest.
pub(crate) async fn confirm(state: &State, version: u64) -> Standing {
    let until_ms = clock::monotonic_ms() + WAIT_MS;
    let confirmer = &state.confirmer;
    let question = confirmer.asked.get() + 1;
    confirmer.asked.set(question);
    let mut word = confirmer.word.subscribe();
    confirmer.waiting.notify_one();
    let answered = word.wait_for(|word| word.question >= question);
    let newest = match tokio::time::timeout(entry::left(until_ms), answered).await {
        Ok(Ok(word)) => word.version,
        // The sender lives as long as the process.
        Ok(Err(_)) | Err(_) => None,
    };
    let (standing, outcome) = match newest {
        Some(newest) if newest <= version => (Standing::Newest, "newest"),
        Some(newest) => match state.await_version(newest, until_ms).await {
            Some(routing) => (Standing::Replaced(routing), "replaced"),
            None => (Standing::Unknown, "not_told"),
        },
        None => (Standing::Unknown, "no_leader"),
    };
    metrics::CONFIRMATIONS.with_label_values(&[outcome]).inc();
    standing
}

/// Returns whether the newest configuration denies a request that the one in use
/// denies. It counts as allowed while the newest one is not known.
pub(crate) async fn is_denied(
    state: &State,
    version: u64,
    denies: impl FnOnce(&Routing) -> bool,
) -> bool {
    match confirm(state, version).await {
        Standing::Newest => true,
        Standing::Replaced(newer) => denies(&newer),
        Standing::Unknown => false,
    }
}

/// Asks the leader whenever requests wait for its word.
pub(crate) async fn run(state: Rc<State>) {
    let confirmer = &state.confirmer;
    loop {
        confirmer.waiting.notified().await;
        let question = confirmer.asked.get();
        if question == confirmer.word.borrow().question {
            continue;
        }
        let version = ask(&state).await;
        confirmer.word.send_replace(Word { question, version });
        tokio::time::sleep(GAP).await;
    }
}

async fn ask(state: &State) -> Option<u64> {
    // Without a leader the caller is told at once when to come back.
    state.link.leader()?;
    let limit = time::Duration::from_millis(WAIT_MS);
    match state.link.call(message::Request::Version, limit).await {
        message::Reply::Version(version) => Some(version),
        reply => {
            log::info!(reply = format!("{reply:?}").as_str(); "newest configuration not known");
            None
        }
    }
}
