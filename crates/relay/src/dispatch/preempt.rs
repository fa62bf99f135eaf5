//! Runs that give way to online requests.

use bw_wire::name::Name;

use super::{Action, Dispatcher, Key, Server, State};

impl Dispatcher {
    /// Takes items back where online requests and items exceed the slots.
    pub(super) fn preempt(&mut self, servers: &[Server], now_ms: u64, actions: &mut Vec<Action>) {
        for server in servers {
            // Runs that are being stopped have given their slots back already.
            let batch = self.runs.at(&server.id).staying();
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

    /// Returns the run at a backend server that can wait best: one that will be
    /// late anyhow, then the one with the most time to spare, then the newest,
    /// which has the least to read again.
    fn least_urgent_run(&self, id: &Name, now_ms: u64) -> Option<Key> {
        let mut chosen: Option<((bool, u64, u64), Key)> = None;
        for (job, known) in &self.jobs {
            for (index, item) in &known.items {
                let State::Running {
                    server,
                    started,
                    since_ms,
                    stopping: false,
                } = &item.state
                else {
                    continue;
                };
                if server != id {
                    continue;
                }
                let ran_ms = now_ms.saturating_sub(*since_ms);
                let made = item.waiting.progress.last + self.estimate.events_in(ran_ms);
                let spare_ms = self.estimate.spare_ms(known.due_ms, made, now_ms);
                let rank = (
                    spare_ms.is_none(),
                    spare_ms.unwrap_or(known.due_ms),
                    *started,
                );
                if chosen.as_ref().is_none_or(|(best, _)| rank > *best) {
                    let key = Key {
                        job: job.clone(),
                        item: *index,
                    };
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
