//! Admission of online requests: limits per team, bounded fair queues per
//! service, and deadlines.
//!
//! A request runs at once, waits in the queue of its service, or is refused.
//! A refusal is never held back: a request is refused when it arrives if its
//! deadline cannot be met, and while it waits as soon as that becomes so.

mod gate;
mod team;

use std::collections;

use bw_wire::{intent, name, refusal};

use gate::Gate;
use team::Teams;

/// Settings of an [`Admission`].
#[derive(Clone, Debug)]
pub struct Builder {
    pub(crate) max_teams: usize,
    pub(crate) concurrent: u32,
    pub(crate) queue: u32,
    pub(crate) estimate_half_life_ms: u64,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            max_teams: 65_536,
            concurrent: 1_024,
            queue: 512,
            estimate_half_life_ms: 2_000,
        }
    }
}

impl Builder {
    /// Starts from the defaults.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets how many teams with recent requests are remembered.
    pub fn max_teams(mut self, teams: usize) -> Builder {
        self.max_teams = teams.max(1);
        self
    }

    /// Sets how many requests of one service run at once until
    /// [`Admission::set_concurrency_limit`] says otherwise.
    pub fn concurrency_limit(mut self, requests: u32) -> Builder {
        self.concurrent = requests;
        self
    }

    /// Sets how many requests of one service wait.
    pub fn queue_limit(mut self, requests: u32) -> Builder {
        self.queue = requests;
        self
    }

    /// Sets after how long without samples an estimate counts half. Without
    /// this, an estimate above all deadlines would refuse everything for ever.
    pub fn estimate_half_life_ms(mut self, duration_ms: u64) -> Builder {
        self.estimate_half_life_ms = duration_ms.max(1);
        self
    }

    /// Builds an admission without teams and services.
    pub fn build(self) -> Admission {
        Admission {
            teams: Teams::new(self.max_teams),
            settings: self,
            gates: collections::BTreeMap::new(),
            next_ticket: 1,
        }
    }
}

/// A request that asks to be admitted.
#[derive(Clone, Debug)]
pub struct Request {
    /// The team.
    pub team: name::Name,
    /// The model or plain service.
    pub service: name::Name,
    /// When the caller stops waiting.
    pub deadline_ms: Option<u64>,
}

/// Names a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request that was not refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admitted {
    /// It runs now.
    Run,
    /// It waits; an [`Event`] with its ticket follows.
    Queued(Ticket),
}

/// What became of a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// It runs now.
    Run(Ticket),
    /// It is refused.
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
    /// More teams are active than the entry VM remembers.
    TeamTable,
    /// The queue of the service is full.
    Queue,
    /// A team with fewer waiting requests took the place.
    Displaced,
    /// The deadline has passed or cannot be met.
    Deadline,
}

impl Cause {
    /// Returns the refusal, with the time after which a retry makes sense.
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

/// Limits and queues of one entry VM.
#[derive(Debug)]
pub struct Admission {
    settings: Builder,
    teams: Teams,
    gates: collections::BTreeMap<name::Name, Gate>,
    next_ticket: u64,
}

impl Admission {
    /// Takes the declared limits of teams and the number of live entry VMs,
    /// which share the fleet-wide rates evenly.
    pub fn configure(&mut self, intent: &intent::Intent, entries: u32) {
        self.teams.configure(intent, entries);
    }

    /// Sets how many requests of a service run at once. Waiting requests that
    /// now may run are reported in `events`.
    pub fn set_concurrency_limit(
        &mut self,
        service: &name::Name,
        concurrent: u32,
        now_ms: u64,
        events: &mut Vec<Event>,
    ) {
        let gate = gate(&mut self.gates, &self.settings, service);
        gate.concurrent = concurrent;
        gate.grant(&mut self.teams, now_ms, events);
    }

    /// Admits, queues or refuses a request. `events` receives what this means
    /// for other waiting requests.
    ///
    /// # Errors
    ///
    /// Fails with the cause and the refusal to send at once.
    pub fn admit(
        &mut self,
        request: &Request,
        now_ms: u64,
        events: &mut Vec<Event>,
    ) -> Result<Admitted, (Cause, refusal::Refusal)> {
        let gate = gate(&mut self.gates, &self.settings, &request.service);
        let wait_ms = gate.wait_ms(&request.team, now_ms);
        if let Some(deadline_ms) = request.deadline_ms {
            let ready_ms = now_ms + wait_ms + gate.first_ms(now_ms);
            if deadline_ms <= now_ms || ready_ms > deadline_ms {
                return Err(refuse(Cause::Deadline, wait_ms));
            }
        }
        if gate.is_full() && !gate.may_displace(&request.team) {
            return Err(refuse(Cause::Queue, wait_ms));
        }
        self.teams
            .take(&request.team, now_ms)
            .map_err(|(cause, retry_ms)| refuse(cause, retry_ms))?;
        if gate.has_room() {
            gate.running += 1;
            return Ok(Admitted::Run);
        }
        if gate.is_full() {
            gate.displace(&mut self.teams, wait_ms, events);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        gate.push(&request.team, ticket, request.deadline_ms);
        Ok(Admitted::Queued(ticket))
    }

    /// Ends a request that ran. A waiting one takes its place.
    pub fn finish(
        &mut self,
        team: &name::Name,
        service: &name::Name,
        now_ms: u64,
        events: &mut Vec<Event>,
    ) {
        self.teams.give_back(team);
        let gate = gate(&mut self.gates, &self.settings, service);
        gate.running = gate.running.saturating_sub(1);
        gate.finished(now_ms);
        gate.grant(&mut self.teams, now_ms, events);
    }

    /// Takes a waiting request out of the queue, because its caller left.
    /// Returns whether it was waiting.
    pub fn cancel(&mut self, team: &name::Name, service: &name::Name, ticket: Ticket) -> bool {
        let gate = gate(&mut self.gates, &self.settings, service);
        let was_waiting = gate.cancel(team, ticket);
        if was_waiting {
            self.teams.give_back(team);
        }
        was_waiting
    }

    /// Takes the measured time from sending a request to its first token or
    /// response byte.
    pub fn observe_first_token(&mut self, service: &name::Name, first_ms: u64, now_ms: u64) {
        let gate = gate(&mut self.gates, &self.settings, service);
        gate.observe_first(first_ms, now_ms);
    }

    /// Refuses waiting requests whose deadline cannot be met any more, and
    /// forgets idle teams. Called about every 20 ms.
    pub fn tick(&mut self, now_ms: u64, events: &mut Vec<Event>) {
        for gate in self.gates.values_mut() {
            gate.expire(&mut self.teams, now_ms, events);
            gate.grant(&mut self.teams, now_ms, events);
        }
        self.teams.sweep(now_ms);
    }

    /// Returns the number of waiting requests of a service.
    pub fn queued(&self, service: &str) -> u32 {
        self.gates.get(service).map_or(0, |gate| gate.waiting)
    }

    /// Returns the number of running requests of a service.
    pub fn running(&self, service: &str) -> u32 {
        self.gates.get(service).map_or(0, |gate| gate.running)
    }

    /// Returns the number of remembered teams.
    pub fn teams(&self) -> usize {
        self.teams.len()
    }
}

fn gate<'a>(
    gates: &'a mut collections::BTreeMap<name::Name, Gate>,
    settings: &Builder,
    service: &name::Name,
) -> &'a mut Gate {
    gates
        .entry(service.clone())
        .or_insert_with(|| Gate::new(settings))
}

fn refuse(cause: Cause, retry_ms: u64) -> (Cause, refusal::Refusal) {
    (cause, cause.refusal(retry_ms))
}
