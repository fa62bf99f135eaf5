//! The bounded queue of one service, fair among teams.

use std::collections;

use bw_wire::name;

use super::{Builder, Cause, Event, Ticket, team::Teams};

/// Weight of a new sample in the moving averages.
const SMOOTHING: f32 = 0.1;

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    deadline_ms: Option<u64>,
}

/// A moving average whose value fades while no samples come.
#[derive(Debug, Default)]
struct Estimate {
    value: f32,
    at_ms: u64,
}

impl Estimate {
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
pub(super) struct Gate {
    pub(super) concurrent: u32,
    pub(super) running: u32,
    pub(super) waiting: u32,
    queue: u32,
    half_life_ms: u64,
    queues: collections::BTreeMap<name::Name, collections::VecDeque<Waiting>>,
    /// Teams with waiting requests, in the order of their turns.
    turns: collections::VecDeque<name::Name>,
    first: Estimate,
    /// Time between two ends of requests while all places were taken.
    interval: Estimate,
    finished_ms: Option<u64>,
}

impl Gate {
    pub(super) fn new(settings: &Builder) -> Gate {
        Gate {
            concurrent: settings.concurrent,
            running: 0,
            waiting: 0,
            queue: settings.queue,
            half_life_ms: settings.estimate_half_life_ms,
            queues: collections::BTreeMap::new(),
            turns: collections::VecDeque::new(),
            first: Estimate::default(),
            interval: Estimate::default(),
            finished_ms: None,
        }
    }

    pub(super) fn has_room(&self) -> bool {
        self.running < self.concurrent && self.waiting == 0
    }

    pub(super) fn is_full(&self) -> bool {
        !self.has_room() && self.waiting >= self.queue
    }

    /// Returns the expected wait of a new request of a team. Teams take turns,
    /// so that others' requests count only up to the team's own number.
    pub(super) fn wait_ms(&self, team: &name::Name, now_ms: u64) -> u64 {
        if self.has_room() {
            return 0;
        }
        let own = self.queues.get(team).map_or(0, |queue| queue.len()) + 1;
        let ahead: usize = self.queues.values().map(|queue| queue.len().min(own)).sum();
        let interval_ms = self.interval.get(now_ms, self.half_life_ms);
        (interval_ms * (ahead + 1) as f32) as u64
    }

    pub(super) fn first_ms(&self, now_ms: u64) -> u64 {
        self.first.get(now_ms, self.half_life_ms) as u64
    }

    pub(super) fn observe_first(&mut self, first_ms: u64, now_ms: u64) {
        self.first.add(first_ms as f32, now_ms);
    }

    pub(super) fn finished(&mut self, now_ms: u64) {
        let before_ms = self.finished_ms.replace(now_ms);
        if self.waiting == 0 {
            // Without a queue the time between two ends says nothing about how
            // fast a queue would move.
            self.finished_ms = None;
            return;
        }
        if let Some(before_ms) = before_ms {
            self.interval
                .add(now_ms.saturating_sub(before_ms) as f32, now_ms);
        }
    }

    /// Returns whether a team has clearly fewer waiting requests than the team
    /// with the most.
    pub(super) fn may_displace(&self, team: &name::Name) -> bool {
        let own = self.queues.get(team).map_or(0, |queue| queue.len());
        let most = self.queues.values().map(|queue| queue.len()).max();
        most.is_some_and(|most| most > own + 1)
    }

    /// Refuses the latest request of the team that has the most waiting.
    pub(super) fn displace(&mut self, teams: &mut Teams, wait_ms: u64, events: &mut Vec<Event>) {
        let most = self
            .queues
            .iter()
            .max_by_key(|(team, queue)| (queue.len(), (*team).clone()))
            .map(|(team, _)| team.clone());
        let Some(team) = most else {
            return;
        };
        let latest = self
            .queues
            .get_mut(&team)
            .and_then(|queue| queue.pop_back());
        if let Some(waiting) = latest {
            self.waiting -= 1;
            teams.give_back(&team);
            let refusal = Cause::Displaced.refusal(wait_ms);
            events.push(Event::Refused(waiting.ticket, refusal));
        }
        self.forget_if_empty(&team);
    }

    pub(super) fn push(&mut self, team: &name::Name, ticket: Ticket, deadline_ms: Option<u64>) {
        let queue = self.queues.entry(team.clone()).or_default();
        if queue.is_empty() {
            self.turns.push_back(team.clone());
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
        let Some(place) = queue.iter().position(|waiting| waiting.ticket == ticket) else {
            return false;
        };
        queue.remove(place);
        self.waiting -= 1;
        self.forget_if_empty(team);
        true
    }

    /// Lets waiting requests run while there are places. Those that can no
    /// longer meet their deadline are refused instead.
    pub(super) fn grant(&mut self, teams: &mut Teams, now_ms: u64, events: &mut Vec<Event>) {
        while self.running < self.concurrent {
            let Some(team) = self.turns.pop_front() else {
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
                self.turns.push_back(team.clone());
            }
            self.waiting -= 1;
            if self.is_late(&waiting, now_ms) {
                teams.give_back(&team);
                events.push(late(&waiting, self.first_ms(now_ms)));
                continue;
            }
            self.running += 1;
            events.push(Event::Run(waiting.ticket));
        }
    }

    /// Refuses waiting requests whose deadline can no longer be met.
    pub(super) fn expire(&mut self, teams: &mut Teams, now_ms: u64, events: &mut Vec<Event>) {
        if self.waiting == 0 {
            return;
        }
        let first_ms = self.first_ms(now_ms);
        let waiting = &mut self.waiting;
        for (team, queue) in &mut self.queues {
            queue.retain(|request| {
                if !is_late(request, now_ms, first_ms) {
                    return true;
                }
                *waiting -= 1;
                teams.give_back(team);
                events.push(late(request, first_ms));
                false
            });
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        let queues = &self.queues;
        self.turns.retain(|team| queues.contains_key(team));
    }

    fn is_late(&self, waiting: &Waiting, now_ms: u64) -> bool {
        is_late(waiting, now_ms, self.first_ms(now_ms))
    }

    fn forget_if_empty(&mut self, team: &name::Name) {
        if self.queues.get(team).is_some_and(|queue| queue.is_empty()) {
            self.queues.remove(team);
            self.turns.retain(|other| other != team);
        }
    }
}

fn is_late(waiting: &Waiting, now_ms: u64, first_ms: u64) -> bool {
    waiting
        .deadline_ms
        .is_some_and(|deadline_ms| now_ms + first_ms >= deadline_ms)
}

fn late(waiting: &Waiting, retry_ms: u64) -> Event {
    Event::Refused(waiting.ticket, Cause::Deadline.refusal(retry_ms))
}
