//! Admission of online requests: limits per team, bounded fair queues per
//! service, and deadlines.
//!
//! A request runs immediately, waits in the queue of its service, or is refused.
//! Refusals are sent as early as possible: a request whose deadline cannot be
//! met is refused on arrival, and a waiting request as soon as its deadline
//! becomes unreachable.

mod limiter;
mod team;

use std::collections;

use bw_wire::{intent, name, refusal};

use limiter::Limiter;
use team::Teams;

/// Settings of an [`Admission`].
#[derive(Clone, Debug)]
pub struct Builder {
    pub(crate) max_teams: usize,
    pub(crate) concurrency_limit: u32,
    pub(crate) queue_limit: u32,
    pub(crate) estimate_half_life_ms: u64,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            max_teams: 65_536,
            concurrency_limit: 1_024,
            queue_limit: 512,
            estimate_half_life_ms: 2_000,
        }
    }
}

impl Builder {
    /// Starts from the defaults.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets how many teams with recent requests are tracked; at least 1.
    pub fn max_teams(mut self, teams: usize) -> Builder {
        self.max_teams = teams.max(1);
        self
    }

    /// Sets how many requests of one service run concurrently until
    /// [`Admission::set_concurrency_limit`] is called for it.
    pub fn concurrency_limit(mut self, requests: u32) -> Builder {
        self.concurrency_limit = requests;
        self
    }

    /// Sets how many requests of one service may wait in its queue.
    pub fn queue_limit(mut self, requests: u32) -> Builder {
        self.queue_limit = requests;
        self
    }

    /// Sets the half-life of the latency estimates while no samples arrive.
    /// Without the decay, an estimate above all deadlines would refuse every
    /// request and so never be corrected.
    pub fn estimate_half_life_ms(mut self, duration_ms: u64) -> Builder {
        self.estimate_half_life_ms = duration_ms.max(1);
        self
    }

    /// Builds an admission controller without teams and services.
    pub fn build(self) -> Admission {
        Admission {
            teams: Teams::new(self.max_teams),
            settings: self,
            limiters: collections::BTreeMap::new(),
            next_ticket: 1,
        }
    }
}

/// A request to be admitted, queued or refused.
#[derive(Clone, Debug)]
pub struct Request {
    /// The team that sent it, whose limits apply.
    pub team: name::Name,
    /// The model or plain service.
    pub service: name::Name,
    /// When the caller stops waiting; `None` if it waits without limit.
    pub deadline_ms: Option<u64>,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// How a request was admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admitted {
    /// It may be sent to a backend server immediately.
    Run,
    /// It waits; an [`Event`] with its ticket follows.
    Queued(Ticket),
}

/// The end of a request's wait in the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// It may now be sent to a backend server.
    Run(Ticket),
    /// It is refused, with the refusal to send.
    Refused(Ticket, refusal::Refusal),
}

/// Why a request was refused, for counters.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The team is over its rate.
    Rate,
    /// The team has too many requests in flight.
    Concurrency,
    /// More teams are active than the entry VM can track.
    TeamTable,
    /// The queue of the service is full.
    Queue,
    /// A request of a team with fewer waiting requests took its queue slot.
    Displaced,
    /// The deadline has passed or cannot be met.
    Deadline,
}

impl Cause {
    /// Returns the refusal to send. `retry_ms` becomes its `Retry-After` in
    /// seconds, limited to the range from 1 to 60.
    pub fn refusal(self, retry_ms: u64) -> refusal::Refusal {
        let (reason, message) = match self {
            Cause::Rate => (
                refusal::Reason::TeamRateLimited,
                "the team is over its request rate",
            ),
            Cause::Concurrency => (
                refusal::Reason::TeamConcurrency,
                "the team has too many requests in flight",
            ),
            Cause::TeamTable => (
                refusal::Reason::Overloaded,
                "too many teams are active on this entry VM",
            ),
            Cause::Queue => (
                refusal::Reason::QueueFull,
                "the queue of the service is full",
            ),
            Cause::Displaced => (
                refusal::Reason::QueueFull,
                "the queue is full and the team has the most requests in it",
            ),
            Cause::Deadline => (
                refusal::Reason::DeadlineUnreachable,
                "the deadline cannot be met",
            ),
        };
        let seconds = u32::try_from(retry_ms.div_ceil(1_000)).unwrap_or(u32::MAX);
        refusal::Refusal::not_run(reason, message).retry_after_s(seconds.clamp(1, 60))
    }
}

/// Admission controller of one entry VM: team limits and service queues.
#[derive(Debug)]
pub struct Admission {
    settings: Builder,
    teams: Teams,
    limiters: collections::BTreeMap<name::Name, Limiter>,
    next_ticket: u64,
}

impl Admission {
    /// Sets the declared limits of teams and the number of live entry VMs. Each
    /// entry VM enforces an equal share of the fleet-wide rates.
    pub fn configure(&mut self, intent: &intent::Intent, entry_vms: u32) {
        self.teams.configure(intent, entry_vms);
    }

    /// Sets how many requests of a service run concurrently. `events` receives the
    /// waiting requests that start because of a higher limit.
    pub fn set_concurrency_limit(
        &mut self,
        service: &name::Name,
        limit: u32,
        now_ms: u64,
        events: &mut Vec<Event>,
    ) {
        let limiter = limiter(&mut self.limiters, &self.settings, service);
        limiter.concurrency_limit = limit;
        limiter.grant(&mut self.teams, now_ms, events);
    }

    /// Admits, queues or refuses a request. `events` receives the waiting
    /// requests that are displaced by it.
    ///
    /// # Errors
    ///
    /// Fails with the cause and the refusal to send immediately.
    pub fn admit(
        &mut self,
        request: &Request,
        now_ms: u64,
        events: &mut Vec<Event>,
    ) -> Result<Admitted, (Cause, refusal::Refusal)> {
        let limiter = limiter(&mut self.limiters, &self.settings, &request.service);
        let wait_ms = limiter.wait_ms(&request.team, now_ms);
        if let Some(deadline_ms) = request.deadline_ms {
            let expected_ms = now_ms + wait_ms + limiter.first_token_ms(now_ms);
            if deadline_ms <= now_ms || expected_ms > deadline_ms {
                return Err(refuse(Cause::Deadline, wait_ms));
            }
        }
        if limiter.is_full() && !limiter.may_displace(&request.team) {
            return Err(refuse(Cause::Queue, wait_ms));
        }
        self.teams
            .acquire(&request.team, now_ms)
            .map_err(|(cause, retry_ms)| refuse(cause, retry_ms))?;
        if limiter.has_free_slot() {
            limiter.running += 1;
            return Ok(Admitted::Run);
        }
        if limiter.is_full() {
            limiter.displace(&mut self.teams, wait_ms, events);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        limiter.push(&request.team, ticket, request.deadline_ms);
        Ok(Admitted::Queued(ticket))
    }

    /// Ends a running request. `events` receives the waiting requests that start
    /// or are refused in consequence.
    pub fn finish(
        &mut self,
        team: &name::Name,
        service: &name::Name,
        now_ms: u64,
        events: &mut Vec<Event>,
    ) {
        self.teams.release(team);
        let limiter = limiter(&mut self.limiters, &self.settings, service);
        limiter.running = limiter.running.saturating_sub(1);
        limiter.finished(now_ms);
        limiter.grant(&mut self.teams, now_ms, events);
    }

    /// Removes a waiting request from the queue because its caller disconnected.
    /// Returns whether it was still waiting.
    pub fn cancel(&mut self, team: &name::Name, service: &name::Name, ticket: Ticket) -> bool {
        let limiter = limiter(&mut self.limiters, &self.settings, service);
        let was_waiting = limiter.cancel(team, ticket);
        if was_waiting {
            self.teams.release(team);
        }
        was_waiting
    }

    /// Records the measured time from sending a request to its first token or
    /// response byte.
    pub fn observe_first_token(&mut self, service: &name::Name, first_token_ms: u64, now_ms: u64) {
        let limiter = limiter(&mut self.limiters, &self.settings, service);
        limiter.observe_first_token(first_token_ms, now_ms);
    }

    /// Refuses waiting requests that can no longer meet their deadline and
    /// drops the state of idle teams. Called about every 20 ms.
    pub fn tick(&mut self, now_ms: u64, events: &mut Vec<Event>) {
        for limiter in self.limiters.values_mut() {
            limiter.expire(&mut self.teams, now_ms, events);
            limiter.grant(&mut self.teams, now_ms, events);
        }
        self.teams.sweep(now_ms);
    }

    /// Returns the number of waiting requests of a service.
    pub fn queued(&self, service: &str) -> u32 {
        self.limiters
            .get(service)
            .map_or(0, |limiter| limiter.waiting)
    }

    /// Returns the number of running requests of a service.
    pub fn running(&self, service: &str) -> u32 {
        self.limiters
            .get(service)
            .map_or(0, |limiter| limiter.running)
    }

    /// Returns the number of tracked teams.
    pub fn teams(&self) -> usize {
        self.teams.len()
    }
}

fn limiter<'a>(
    limiters: &'a mut collections::BTreeMap<name::Name, Limiter>,
    settings: &Builder,
    service: &name::Name,
) -> &'a mut Limiter {
    limiters
        .entry(service.clone())
        .or_insert_with(|| Limiter::new(settings))
}

fn refuse(cause: Cause, retry_ms: u64) -> (Cause, refusal::Refusal) {
    (cause, cause.refusal(retry_ms))
}
