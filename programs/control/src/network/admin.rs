//! The admin endpoints `/healthz`, `/readyz` and `/metrics`.

use std::{
    sync,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time,
};

use gotham::{
    hyper::{HeaderMap, StatusCode, header},
    middleware::state::StateMiddleware,
    mime,
    pipeline::{single_middleware, single_pipeline},
    prelude::*,
    router::{Router, build_router},
    state::State,
};

use bw_base::{access, metrics};
use bw_coord::host;

/// Age of the control thread's last loop, or of a running sync of its log, from which
/// the replica counts as stuck.
const STUCK: time::Duration = time::Duration::from_secs(5);

/// The health of the replica, which the control thread updates and the admin endpoints
/// show.
pub(crate) struct Health {
    start: time::Instant,
    looped_ms: AtomicU64,
    syncing_ms: AtomicU64,
    failed: AtomicBool,
    ready: AtomicBool,
    stats: sync::Mutex<host::Stats>,
    tokens: Option<sync::Arc<access::Tokens>>,
}

impl Health {
    pub(crate) fn new(tokens: Option<sync::Arc<access::Tokens>>) -> Health {
        Health {
            start: time::Instant::now(),
            looped_ms: AtomicU64::new(0),
            syncing_ms: AtomicU64::new(0),
            failed: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            stats: sync::Mutex::default(),
            tokens,
        }
    }

    /// Records that the control thread is alive, and whether every group has a leader.
    pub(crate) fn record_loop(&self, ready: bool) {
        let elapsed_ms = self.start.elapsed().as_millis() as u64;
        self.looped_ms.store(elapsed_ms, Ordering::Relaxed);
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Records for how long a sync of the log has been running, or 0 if none is. The
    /// control thread continues meanwhile, but the replica stores nothing.
    pub(crate) fn record_sync(&self, syncing_ms: u64) {
        self.syncing_ms.store(syncing_ms, Ordering::Relaxed);
    }

    /// Records that the replica has failed and will not recover.
    pub(crate) fn record_failure(&self) {
        self.failed.store(true, Ordering::Relaxed);
    }

    /// Stores the totals of the write-ahead log.
    pub(crate) fn set_stats(&self, stats: host::Stats) {
        *self
            .stats
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner) = stats;
    }

    /// Returns the totals of the write-ahead log.
    pub(crate) fn stats(&self) -> host::Stats {
        *self
            .stats
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn alive(&self) -> bool {
        let looped = time::Duration::from_millis(self.looped_ms.load(Ordering::Relaxed));
        let syncing = time::Duration::from_millis(self.syncing_ms.load(Ordering::Relaxed));
        let stuck = self.start.elapsed() >= looped + STUCK || syncing >= STUCK;
        !stuck && !self.failed.load(Ordering::Relaxed)
    }

    fn ready(&self) -> bool {
        self.alive() && self.ready.load(Ordering::Relaxed)
    }

    fn may_read_metrics(&self, headers: &HeaderMap) -> bool {
        let Some(tokens) = &self.tokens else {
            return true;
        };
        let header = headers.get(header::AUTHORIZATION);
        let token = header
            .and_then(|value| value.to_str().ok())
            .and_then(access::bearer);
        token.is_some_and(|token| tokens.name_of(token).is_some())
    }
}

/// The health in the state of a request.
#[derive(Clone, StateData)]
struct Shared(sync::Arc<Health>);

type Answer = (StatusCode, mime::Mime, String);

/// Builds the routes for the health probes and the metrics.
pub(crate) fn router(health: sync::Arc<Health>) -> Router {
    let middleware = StateMiddleware::new(Shared(health));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/healthz").to(healthz);
        route.get("/readyz").to(readyz);
        route.get("/metrics").to(show_metrics);
    })
}

fn healthz(state: State) -> (State, Answer) {
    let alive = Shared::borrow_from(&state).0.alive();
    (state, probe_answer(alive))
}

fn readyz(state: State) -> (State, Answer) {
    let ready = Shared::borrow_from(&state).0.ready();
    (state, probe_answer(ready))
}

fn show_metrics(state: State) -> (State, Answer) {
    let headers = HeaderMap::borrow_from(&state);
    let answer = match Shared::borrow_from(&state).0.may_read_metrics(headers) {
        true => (StatusCode::OK, mime::TEXT_PLAIN, metrics::render()),
        false => (
            StatusCode::UNAUTHORIZED,
            mime::TEXT_PLAIN,
            "the token is missing or wrong\n".to_owned(),
        ),
    };
    (state, answer)
}

fn probe_answer(holds: bool) -> Answer {
    match holds {
        true => (StatusCode::OK, mime::TEXT_PLAIN, "ok\n".to_owned()),
        false => (
            StatusCode::SERVICE_UNAVAILABLE,
            mime::TEXT_PLAIN,
            "not ready\n".to_owned(),
        ),
    }
}
