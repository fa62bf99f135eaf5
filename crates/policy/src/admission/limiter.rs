//! The concurrency limit and the bounded queue of one service, fair among teams.

use std::collections;

use bw_wire::name;

use super::{Builder, Cause, Event, Ticket, team::Teams};

/// Weight of a new sample in the exponential moving averages.
const SMOOTHING: f32 = 0.1;

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    deadline_ms: Option<u64>,
}

/// An exponential moving average that decays while no samples arrive.
#[derive(Debug, Default)]
struct Average {
    value: f32,
    at_ms: u64,
}

impl Average {
    fn add(&mut self, sample: f32, now_ms: u64) {
        self.value = if self.at_ms == 0 {
            sample
        } else {
            self.value + SMOOTHING * (sample - self.value)
        };
        self.at_ms = now_ms;
    }

    fn get(&self, now_ms: u64, half_life_ms: u64) -> f32 {
        let age_ms = now_ms.saturating_sub(self.at_ms);
        self.value * (-(age_ms as f32) / half_life_ms as f32).exp2()
    }
}

/// The running and waiting requests of one service.
#[derive(Debug)]
pub(super) struct Limiter {
    pub(super) concurrency_limit: u32,
    pub(super) running: u32,
    pub(super) waiting: u32,
    queue_limit: u32,
    half_life_ms: u64,
    queues: collections::BTreeMap<name::Name, collections::VecDeque<Waiting>>,
    /// Teams with waiting requests, the one that is served next first.
    round_robin: collections::VecDeque<name::Name>,
    first_token: Average,
    /// Time between two completions while requests were waiting.
    completion_interval: Average,
    last_finished_ms: Option<u64>,
}

impl Limiter {
    pub(super) fn new(settings: &Builder) -> Limiter {
        Limiter {
            concurrency_limit: settings.concurrency_limit,
            running: 0,
            waiting: 0,
            queue_limit: settings.queue_limit,
            half_life_ms: settings.estimate_half_life_ms,
            queues: collections::BTreeMap::new(),
            round_robin: collections::VecDeque::new(),
            first_token: Average::default(),
            completion_interval: Average::default(),
            last_finished_ms: None,
        }
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.running < self.concurrency_limit && self.waiting == 0
    }

    pub(super) fn is_full(&self) -> bool {
        !self.has_free_slot() && self.waiting >= self.queue_limit
    }

    /// Returns the expected queueing time of a new request of a team. Teams are
    /// served round robin, so at most as many requests of each other team are
    /// ahead as the team itself has waiting, the new one included.
    pub(super) fn wait_ms(&self, team: &name::Name, now_ms: u64) -> u64 {
        if self.has_free_slot() {
            return 0;
        }
        let own = self.queues.get(team).map_or(0, |queue| queue.len()) + 1;
        let ahead: usize = self.queues.values().map(|queue| queue.len().min(own)).sum();
        let interval_ms = self.completion_interval.get(now_ms, self.half_life_ms);
        (interval_ms * (ahead + 1) as f32) as u64
    }

    pub(super) fn first_token_ms(&self, now_ms: u64) -> u64 {
        self.first_token.get(now_ms, self.half_life_ms) as u64
    }

    pub(super) fn observe_first_token(&mut self, first_token_ms: u64, now_ms: u64) {
        self.first_token.add(first_token_ms as f32, now_ms);
    }

    pub(super) fn finished(&mut self, now_ms: u64) {
        let previous_ms = self.last_finished_ms.replace(now_ms);
        if self.waiting == 0 {
            // Without a queue the time between two completions depends on the
            // arrivals and does not show how fast a queue would drain.
            self.last_finished_ms = None;
            return;
        }
        if let Some(previous_ms) = previous_ms {
            self.completion_interval
                .add(now_ms.saturating_sub(previous_ms) as f32, now_ms);
        }
    }

    /// Returns whether a team may take a queue slot from the team with the most
    /// waiting requests: it has at least two fewer than that team.
    pub(super) fn may_displace(&self, team: &name::Name) -> bool {
        let own = self.queues.get(team).map_or(0, |queue| queue.len());
        let most = self.queues.values().map(|queue| queue.len()).max();
        most.is_some_and(|most| most > own + 1)
    }

    /// Refuses the newest waiting request of the team with the most of them.
    pub(super) fn displace(&mut self, teams: &mut Teams, wait_ms: u64, events: &mut Vec<Event>) {
        let longest = self
            .queues
            .iter()
            .max_by_key(|(team, queue)| (queue.len(), (*team).clone()))
            .map(|(team, _)| team.clone());
        let Some(team) = longest else {
            return;
        };
        let latest = self
            .queues
            .get_mut(&team)
            .and_then(|queue| queue.pop_back());
        if let Some(waiting) = latest {
            self.waiting -= 1;
            teams.release(&team);
            let refusal = Cause::Displaced.refusal(wait_ms);
            events.push(Event::Refused(waiting.ticket, refusal));
        }
        self.remove_if_empty(&team);
    }

    pub(super) fn push(&mut self, team: &name::Name, ticket: Ticket, deadline_ms: Option<u64>) {
        let queue = self.queues.entry(team.clone()).or_default();
        if queue.is_empty() {
            self.round_robin.push_back(team.clone());
        }
        queue.push_back(Waiting {
            ticket,
            deadline_ms,
        });
        self.waiting += 1;
    }

    pub(super) fn cancel(&mut self, team: &name::Name, ticket: Ticket) -> bool {
        let Some(queue) = self.queues.get_mut(team) else {
            return false;
        };
        let Some(index) = queue.iter().position(|waiting| waiting.ticket == ticket) else {
            return false;
        };
        queue.remove(index);
        self.waiting -= 1;
        self.remove_if_empty(team);
        true
    }

    /// Starts waiting requests while the concurrency limit allows. Requests that
    /// can no longer meet their deadline are refused instead.
    pub(super) fn grant(&mut self, teams: &mut Teams, now_ms: u64, events: &mut Vec<Event>) {
        while self.running < self.concurrency_limit {
            let Some(team) = self.round_robin.pop_front() else {
                return;
            };
            let Some(queue) = self.queues.get_mut(&team) else {
                continue;
            };
            let Some(waiting) = queue.pop_front() else {
                continue;
            };
            if queue.is_empty() {
                self.queues.remove(&team);
            } else {
                self.round_robin.push_back(team.clone());
            }
            self.waiting -= 1;
            if self.misses_deadline(&waiting, now_ms) {
                teams.release(&team);
                events.push(deadline_refusal(&waiting, self.first_token_ms(now_ms)));
                continue;
            }
            self.running += 1;
            events.push(Event::Run(waiting.ticket));
        }
    }

    /// Refuses waiting requests that can no longer meet their deadline.
    pub(super) fn expire(&mut self, teams: &mut Teams, now_ms: u64, events: &mut Vec<Event>) {
        if self.waiting == 0 {
            return;
        }
        let first_token_ms = self.first_token_ms(now_ms);
        let waiting = &mut self.waiting;
        for (team, queue) in &mut self.queues {
            queue.retain(|request| {
                if !misses_deadline(request, now_ms, first_token_ms) {
                    return true;
                }
                *waiting -= 1;
                teams.release(team);
                events.push(deadline_refusal(request, first_token_ms));
                false
            });
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        let queues = &self.queues;
        self.round_robin.retain(|team| queues.contains_key(team));
    }

    fn misses_deadline(&self, waiting: &Waiting, now_ms: u64) -> bool {
        misses_deadline(waiting, now_ms, self.first_token_ms(now_ms))
    }

    fn remove_if_empty(&mut self, team: &name::Name) {
        if self.queues.get(team).is_some_and(|queue| queue.is_empty()) {
            self.queues.remove(team);
            self.round_robin.retain(|other| other != team);
        }
    }
}

fn misses_deadline(waiting: &Waiting, now_ms: u64, first_token_ms: u64) -> bool {
    waiting
        .deadline_ms
        .is_some_and(|deadline_ms| now_ms + first_token_ms >= deadline_ms)
}

fn deadline_refusal(waiting: &Waiting, retry_ms: u64) -> Event {
    Event::Refused(waiting.ticket, Cause::Deadline.refusal(retry_ms))
}
