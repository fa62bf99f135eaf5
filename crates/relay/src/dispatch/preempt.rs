//! Preemption of runs by online requests.

use bw_wire::name::Name;

use super::{Action, Dispatcher, Key, Server, State};

impl Dispatcher {
    /// Preempts runs at backend servers where online requests and items together exceed
    /// the slots.
    pub(super) fn preempt(&mut self, servers: &[Server], now_ms: u64, actions: &mut Vec<Action>) {
        for server in servers {
            // Runs that are being stopped count as having freed their slots.
            let batch = self.runs.at(&server.id).continuing();
            let mut excess = (server.online + batch)
                .saturating_sub(server.slots)
                .min(batch);
            while excess > 0 {
                let Some(key) = self.least_urgent_run(&server.id, now_ms) else {
                    break;
                };
                self.mark_stopping(&key);
                let until_ms = now_ms + self.options.evicted_ms;
                self.paused.insert(server.id.clone(), until_ms);
                actions.push(Action::Preempt(key));
                excess -= 1;
            }
        }
    }

    /// Returns the run at a backend server whose preemption costs the least: one that
    /// will be late anyway, then the one with the most slack, then the newest one, whose
    /// output is the shortest for the next run to read. Trials give way last, as other
    /// items wait for their results.
    fn least_urgent_run(&self, id: &Name, now_ms: u64) -> Option<Key> {
        let mut chosen: Option<((bool, bool, u64, u64), Key)> = None;
        for (job, known) in &self.jobs {
            for (index, item) in &known.items {
                let State::Running {
                    server,
                    number,
                    since_ms,
                    stopping: false,
                } = &item.state
                else {
                    continue;
                };
                if server != id {
                    continue;
                }
                let running_ms = now_ms.saturating_sub(*since_ms);
                let produced = item.waiting.progress.last + self.estimate.events_in(running_ms);
                let slack_ms = self.estimate.slack_ms(known.due_ms, produced, now_ms);
                let key = Key {
                    job: job.clone(),
                    item: *index,
                };
                let is_trial = self.holds.is_trial(&key) || self.trials.is_tried(&key);
                let rank = (
                    !is_trial,
                    slack_ms.is_none(),
                    slack_ms.unwrap_or(known.due_ms),
                    *number,
                );
                if chosen.as_ref().is_none_or(|(best, _)| rank > *best) {
                    chosen = Some((rank, key));
                }
            }
        }
        chosen.map(|(_, key)| key)
    }

    fn mark_stopping(&mut self, key: &Key) {
        let job = self.jobs.get_mut(&key.job);
        let item = job.and_then(|job| job.items.get_mut(&key.item));
        if let Some(State::Running {
            server, stopping, ..
        }) = item.map(|item| &mut item.state)
        {
            *stopping = true;
            self.runs.stop(server);
        }
    }
}
