//! State that all requests of the process share.

use std::{io, sync};

use bw_client::control;
use bw_policy::{retry, router, suspect};
use bw_wire::peer;
use tokio::sync as async_sync;

use crate::{
    clock, confirmation, controller, drain, files, filter, records, routing, settings, snapshot,
    upstream,
};

/// Capacity of the channel of peer messages. A subscriber that lags further
/// behind misses the oldest ones.
const PEER_CHANNEL_CAPACITY: usize = 1_024;

/// The state that traffic threads and the control thread share.
pub struct Shared {
    /// Settings of this process, fixed at the start.
    pub settings: settings::Settings,
    /// Tokens that are accepted, and the one for the control replicas.
    pub credentials: settings::Credentials,
    /// Clock of all ages and leases.
    pub clock: clock::Clock,
    /// Routing table: backend servers and the requests in flight on them.
    pub table: sync::Arc<routing::Table>,
    /// The published configuration and fleet.
    pub snapshot: snapshot::Cell,
    /// The configuration lease.
    pub lease: snapshot::Lease,
    /// Confirms that the published configuration is the newest one.
    pub confirmation: confirmation::Confirmation,
    /// Admission of online requests.
    pub admission: filter::Admission,
    /// Retry budgets and hedging delays of each model and service.
    pub retry: sync::Mutex<retry::Retry>,
    /// Suspects: requests that were in flight on a backend server that crashed.
    pub suspects: sync::Mutex<suspect::Suspects>,
    /// Parts of prompts that were in requests in flight on a backend server that crashed.
    pub parts: sync::Mutex<bw_suspect::Suspects>,
    /// Graceful shutdown and the tasks that it waits for.
    pub drain: drain::Drain,
    /// Unix time of the process start in milliseconds. It orders the processes of
    /// one entry VM.
    pub incarnation: u64,
    /// Messages of other entry VMs, for the batch dispatcher.
    pub peer_messages: async_sync::broadcast::Sender<peer::Message>,
}

impl Shared {
    /// Builds the shared state.
    ///
    /// # Errors
    ///
    /// Fails when a token file cannot be read.
    pub fn new(settings: settings::Settings) -> io::Result<Shared> {
        let clock = clock::Clock::start();
        let incarnation = clock::unix_ms();
        let builder = router::Builder::new().failure_domain(settings.failure_domain.clone(), 0.0);
        // The name keeps entry VMs that start at the same time from choosing the
        // same backend servers.
        let seed = xxhash_rust::xxh3::xxh3_64(settings.name.as_bytes()) ^ incarnation;
        Ok(Shared {
            credentials: settings::Credentials::load(&settings)?,
            table: sync::Arc::new(routing::Table::new(builder, clock, seed)),
            clock,
            admission: filter::Admission::new(&settings.policy),
            retry: sync::Mutex::new(retry_policy(&settings.policy)),
            suspects: sync::Mutex::new(suspect::Builder::new().build()),
            parts: sync::Mutex::default(),
            snapshot: snapshot::Cell::default(),
            lease: snapshot::Lease::default(),
            confirmation: confirmation::Confirmation::default(),
            drain: drain::Drain::default(),
            incarnation,
            peer_messages: async_sync::broadcast::Sender::new(PEER_CHANNEL_CAPACITY),
            settings,
        })
    }

    /// Runs a short operation on the retry budgets under their lock, with the time
    /// of the process clock.
    pub fn with_retry<R>(&self, operation: impl FnOnce(&mut retry::Retry, u64) -> R) -> R {
        let now_ms = self.clock.now_ms();
        let retry = self.retry.lock();
        operation(
            &mut retry.unwrap_or_else(sync::PoisonError::into_inner),
            now_ms,
        )
    }

    /// Runs a short operation on the suspects under their lock, with the time of
    /// the process clock.
    pub fn with_suspects<R>(&self, operation: impl FnOnce(&mut suspect::Suspects, u64) -> R) -> R {
        let now_ms = self.clock.now_ms();
        let suspects = self.suspects.lock();
        operation(
            &mut suspects.unwrap_or_else(sync::PoisonError::into_inner),
            now_ms,
        )
    }

    /// Runs a short operation on the suspected parts under their lock, with the time of
    /// the process clock.
    pub fn with_parts<R>(&self, operation: impl FnOnce(&mut bw_suspect::Suspects, u64) -> R) -> R {
        let now_ms = self.clock.now_ms();
        let parts = self.parts.lock();
        operation(
            &mut parts.unwrap_or_else(sync::PoisonError::into_inner),
            now_ms,
        )
    }

    /// Returns the name of this process in stored records, `ENTRY/INCARNATION`.
    pub fn holder(&self) -> String {
        format!("{}/{}", self.settings.name, self.incarnation)
    }

    /// Returns a new client of the control replicas on the current runtime.
    pub fn control_client(&self) -> control::Client {
        control::Builder::new(self.settings.control.clone())
            .token(self.credentials.control.clone())
            .build()
    }

    /// Returns a new client of backend servers on the current runtime.
    pub fn upstream_client(&self) -> upstream::Client {
        upstream::Builder::default()
            .connect_timeout(settings::ms(self.settings.timeouts.connect_ms))
            .build()
    }
}

fn retry_policy(settings: &settings::Policy) -> retry::Retry {
    retry::Builder::new()
        .ratio(settings.retry_share)
        .max_tokens(settings.retry_reserve as f32)
        .max_attempts(settings.max_attempts)
        .hedge(settings.hedge_quantile, settings.hedge_min_ms)
        .build()
}

/// State of the traffic threads, which handle callers' requests.
pub struct Context {
    /// State shared with the control thread.
    pub shared: sync::Arc<Shared>,
    /// Queue of events for the control thread.
    pub events: controller::Sender,
    /// Client of backend servers.
    pub upstream: upstream::Client,
    /// Client of the control replicas.
    pub control: control::Client,
    /// Cached reads of the suspects that the work groups have recorded.
    pub records: records::Records,
    /// Files and batch jobs.
    pub files: files::Store,
    /// Counts the online requests that run or wait.
    pub open: filter::Limiter,
}

impl Context {
    /// Builds the context on the runtime of the traffic threads.
    pub fn new(shared: sync::Arc<Shared>, events: controller::Sender) -> Context {
        let control = shared.control_client();
        let limits = &shared.settings.limits;
        let files = files::Builder::new(control.clone(), shared.settings.groups)
            .limits(files::Limits {
                file_bytes: limits.file_bytes,
                line_bytes: limits.line_bytes,
                items: limits.file_items,
            })
            .build();
        Context {
            events,
            upstream: shared.upstream_client(),
            control,
            records: records::Records::new(shared.settings.groups),
            files,
            open: filter::Limiter::new(limits.open_streams),
            shared,
        }
    }
}
