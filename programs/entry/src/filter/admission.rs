//! Admits requests if the configuration lease, the limits of teams and the load
//! allow it.

use std::{collections, sync};

use bw_policy::admission;
use bw_wire::{intent, name, refusal};
use tokio::sync as async_sync;

use crate::{context, metrics, settings};

pub use admission::Request;

/// The decision on a queued request.
type Grant = Result<(), refusal::Refusal>;

/// Checks that this entry VM accepts new work at all.
///
/// # Errors
///
/// Refuses while the process drains and without a valid configuration lease.
pub fn check_accepting(shared: &context::Shared) -> Result<(), refusal::Refusal> {
    if shared.drain.is_draining() {
        let message = "the entry VM is shutting down";
        return Err(refusal::Refusal::not_run(
            refusal::Reason::ShuttingDown,
            message,
        ));
    }
    check_lease(shared)
}

/// Checks that the configuration lease is valid.
///
/// # Errors
///
/// Refuses without a valid configuration lease.
pub fn check_lease(shared: &context::Shared) -> Result<(), refusal::Refusal> {
    if shared.lease.is_valid(shared.clock.now_ms()) {
        return Ok(());
    }
    Err(stale())
}

/// Returns the refusal of a request when the known configuration may be outdated.
pub fn stale() -> refusal::Refusal {
    let message = "the entry VM has no contact with control and may hold an old configuration";
    refusal::Refusal::not_run(refusal::Reason::ConfigurationStale, message)
}

/// The admission policy and its queues, shared by all threads.
pub struct Admission {
    state: sync::Mutex<State>,
}

struct State {
    policy: admission::Admission,
    waiting: collections::HashMap<admission::Ticket, async_sync::oneshot::Sender<Grant>>,
    events: Vec<admission::Event>,
}

impl Admission {
    /// Creates the policy from the settings. Teams have default limits until the
    /// first call of [`Admission::configure`].
    pub fn new(settings: &settings::Policy) -> Admission {
        let builder = admission::Builder::new().queue_limit(settings.queue);
        Admission {
            state: sync::Mutex::new(State {
                policy: builder.build(),
                waiting: collections::HashMap::new(),
                events: Vec::new(),
            }),
        }
    }

    /// Sets the declared limits and the number of live entry VMs that share them.
    pub fn configure(&self, intent: &intent::Intent, entries: u32) {
        self.lock().policy.configure(intent, entries);
    }

    /// Sets how many requests of a service may run on this entry VM at once.
    pub fn set_concurrency_limit(&self, service: &name::Name, limit: u32, now_ms: u64) {
        let mut state = self.lock();
        let State { policy, events, .. } = &mut *state;
        policy.set_concurrency_limit(service, limit, now_ms, events);
        state.deliver();
    }

    /// Refuses waiting requests whose deadline can no longer be met.
    pub fn tick(&self, now_ms: u64) {
        let mut state = self.lock();
        let State { policy, events, .. } = &mut *state;
        policy.tick(now_ms, events);
        state.deliver();
    }

    /// Records a measured time to the first token.
    pub fn observe_first_token(&self, service: &name::Name, first_ms: u64, now_ms: u64) {
        self.lock()
            .policy
            .observe_first_token(service, first_ms, now_ms);
    }

    /// Returns the number of waiting requests of a service.
    pub fn queued(&self, service: &str) -> u32 {
        self.lock().policy.queued(service)
    }

    /// Admits a request, after waiting in the queue if no permit is free.
    ///
    /// # Errors
    ///
    /// Refuses a request over a limit, and one whose deadline cannot be met.
    pub async fn admit(
        shared: &sync::Arc<context::Shared>,
        request: Request,
    ) -> Result<Permit, refusal::Refusal> {
        let queued = shared
            .admission
            .admit_or_queue(&request, shared.clock.now_ms())?;
        if let Some((ticket, grant)) = queued {
            let waiting = Waiting {
                shared,
                request: &request,
                ticket,
                grant: Some(grant),
            };
            waiting.wait().await?;
        }
        let permit = Permit {
            shared: sync::Arc::clone(shared),
            request,
        };
        // The lease may have ended during the wait.
        check_lease(shared)?;
        Ok(permit)
    }

    /// Admits a request at once, or returns its ticket in the queue and the
    /// receiver of the decision.
    fn admit_or_queue(
        &self,
        request: &Request,
        now_ms: u64,
    ) -> Result<Option<(admission::Ticket, async_sync::oneshot::Receiver<Grant>)>, refusal::Refusal>
    {
        let mut state = self.lock();
        let State { policy, events, .. } = &mut *state;
        let admitted = policy.admit(request, now_ms, events);
        state.deliver();
        match admitted {
            Ok(admission::Admitted::Run) => Ok(None),
            Ok(admission::Admitted::Queued(ticket)) => {
                let (sender, receiver) = async_sync::oneshot::channel();
                state.waiting.insert(ticket, sender);
                Ok(Some((ticket, receiver)))
            }
            Err((_, refusal)) => Err(refusal),
        }
    }

    fn finish(&self, request: &Request, now_ms: u64) {
        let mut state = self.lock();
        let State { policy, events, .. } = &mut *state;
        policy.finish(&request.team, &request.service, now_ms, events);
        state.deliver();
    }

    /// Removes a request whose caller disconnected from the queue. Returns whether
    /// it was still queued.
    fn cancel(&self, request: &Request, ticket: admission::Ticket) -> bool {
        let mut state = self.lock();
        state.waiting.remove(&ticket);
        state.policy.cancel(&request.team, &request.service, ticket)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    /// Sends the policy's decisions to the requests that wait for them.
    fn deliver(&mut self) {
        for event in self.events.drain(..) {
            let (ticket, grant) = match event {
                admission::Event::Run(ticket) => (ticket, Ok(())),
                admission::Event::Refused(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // If the caller has disconnected, dropping `Waiting` returns the permit.
                let _ = waiting.send(grant);
            }
        }
    }
}

/// A queued request. Dropping it removes it from the queue.
struct Waiting<'a> {
    shared: &'a context::Shared,
    request: &'a Request,
    ticket: admission::Ticket,
    grant: Option<async_sync::oneshot::Receiver<Grant>>,
}

impl Waiting<'_> {
    async fn wait(mut self) -> Grant {
        let queued = metrics::QUEUED.with_label_values(&[self.request.service.as_str()]);
        let _guard = GaugeGuard::new(queued);
        let Some(grant) = &mut self.grant else {
            return Ok(());
        };
        let grant = grant.await;
        self.grant = None;
        grant.unwrap_or_else(|_| {
            let message = "the admission queue was closed";
            Err(refusal::Refusal::not_run(
                refusal::Reason::ShuttingDown,
                message,
            ))
        })
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(mut grant) = self.grant.take() else {
            return;
        };
        let admission = &self.shared.admission;
        if admission.cancel(self.request, self.ticket) {
            return;
        }
        // The permit was granted after the caller disconnected, so it is given back.
        if matches!(grant.try_recv(), Ok(Ok(()))) {
            admission.finish(self.request, self.shared.clock.now_ms());
        }
    }
}

/// Raises a gauge by one until it is dropped.
struct GaugeGuard {
    gauge: prometheus::IntGauge,
}

impl GaugeGuard {
    fn new(gauge: prometheus::IntGauge) -> GaugeGuard {
        gauge.inc();
        GaugeGuard { gauge }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

/// A permit to run a request, given back when it is dropped.
pub struct Permit {
    shared: sync::Arc<context::Shared>,
    request: Request,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        self.shared.admission.finish(&self.request, now_ms);
    }
}
