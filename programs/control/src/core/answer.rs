//! Answers to calls whose command or read came back from the log.

use bw_coord::{GroupId, host};
use bw_state::machine;
use bw_wire::{backend, command, command::config, query, rpc, sync};

use crate::{
    core::{Core, Waiting, chores},
    metrics,
    network::{call::Failure, orders},
    registry::{self, Replaced},
};

impl Core {
    pub(super) fn proposed(&mut self, ticket: u64, result: Result<Vec<u8>, host::Refusal>) {
        match self.tickets.take(ticket) {
            Some(Waiting::Propose(reply)) => {
                let answer = match result {
                    Ok(bytes) => machine::decode_reply(&bytes)
                        .map_err(|error| Failure::Invalid(error.to_string())),
                    Err(refusal) => Err(self.failure(refusal)),
                };
                // The caller may have gone.
                let _ = reply.send(answer);
            }
            Some(Waiting::Members { change, reply }) => match result {
                Ok(_) => self.await_groups(change, reply),
                Err(refusal) => {
                    let _ = reply.send(Err(self.failure(refusal)));
                }
            },
            Some(Waiting::Order(ordered)) => self.ordered(ordered, result),
            _ => {}
        }
    }

    pub(super) fn read_ready(&mut self, ticket: u64, result: Result<(), host::Refusal>) {
        let refused = result.err().map(|refusal| self.failure(refusal));
        match self.tickets.take(ticket) {
            Some(Waiting::Query {
                group,
                query,
                reply,
            }) => {
                let answer = refused.map_or_else(|| self.query(group, &query), Err);
                let _ = reply.send(answer);
            }
            Some(Waiting::Sync { request, reply }) => {
                let answer = match refused {
                    None => self.sync(*request),
                    Some(failure) => Err(failure),
                };
                let _ = reply.send(answer);
            }
            Some(Waiting::InForce { revision, reply }) => {
                let answer = refused.map_or_else(|| self.in_force(revision), Err);
                let _ = reply.send(answer);
            }
            Some(Waiting::Backup { group, reply }) => match refused {
                None => self.begin_backup(group, reply),
                Some(failure) => drop(reply.send(Err(failure))),
            },
            _ => {}
        }
    }

    fn query(&mut self, group: u32, query: &query::Query) -> Result<query::Answer, Failure> {
        let host = &mut self.parts.host;
        let answer = host.read(GroupId(group), |machine, payloads| {
            machine.query(query, payloads)
        });
        // A damaged payload stops this replica in its next step; another one
        // answers the repeated query.
        let answer = answer.map_err(|_| Failure::NotLeader(None))?.flatten();
        answer.ok_or_else(|| Failure::Invalid("the query does not belong to this group".to_owned()))
    }

    fn sync(&mut self, request: sync::Request) -> Result<sync::Response, Failure> {
        let now_ms = self.clock.now_ms();
        if self.leads.is_none() {
            return Err(Failure::NotLeader(None));
        }
        let suspects = self.suspects();
        let Some(machine::Machine::Config(config)) = self.parts.host.machine(GroupId(0)) else {
            return Err(Failure::NotLeader(None));
        };
        let configuration = registry::Configuration {
            revision: config.revision(),
            intent: config.intent(),
        };
        let response = self.registry.sync(now_ms, request, configuration);
        let response = response.map_err(|Replaced| {
            Failure::Invalid("a newer process of this entry VM has reported".to_owned())
        })?;
        Ok(sync::Response {
            suspects,
            ..response
        })
    }

    /// Returns the suspects of all work groups, as far as this replica knows.
    fn suspects(&self) -> Vec<command::work::Suspect> {
        let groups = 1..=self.parts.settings.work_groups;
        let lists = groups.filter_map(|group| {
            let machine = self.parts.host.machine(GroupId(group))?;
            match machine {
                machine::Machine::Work(work) => Some(work.suspects()),
                machine::Machine::Config(_) => None,
            }
        });
        lists.flatten().collect()
    }

    fn in_force(&self, asked: u64) -> Result<rpc::InForce, Failure> {
        let machine = self.parts.host.machine(GroupId(0));
        match (self.leads, machine) {
            (Some(_), Some(machine::Machine::Config(config))) => {
                let now_ms = self.clock.now_ms();
                Ok(self.registry.in_force(now_ms, asked, config.revision()))
            }
            _ => Err(Failure::NotLeader(None)),
        }
    }

    /// Sends an order whose fencing number was assigned.
    fn ordered(&mut self, ordered: chores::Ordered, result: Result<Vec<u8>, host::Refusal>) {
        let now_ms = self.clock.now_ms();
        let reply = result
            .ok()
            .and_then(|bytes| machine::decode_reply(&bytes).ok());
        match reply {
            Some(command::Reply::Config(config::Reply::Ordered { fence })) => {
                self.send_order(now_ms, ordered, fence);
            }
            Some(command::Reply::Config(config::Reply::Wait { retry_ms })) => {
                metrics::RETRIES
                    .with_label_values(&["weight_store_budget"])
                    .inc();
                self.placement
                    .throttled(&ordered.order.backend, retry_ms, now_ms);
            }
            _ => self.placement.unsent(&ordered.order.backend, now_ms),
        }
    }

    /// Sends an order, unless the lease is too short for an engine that would
    /// also obey an old one.
    fn send_order(&mut self, now_ms: u64, ordered: chores::Ordered, fence: u64) {
        let backend = ordered.order.backend;
        let status = self.parts.host.status(GroupId(0));
        let lease_ms = status.map_or(0, |status| status.lease_remaining_ms);
        let order_ms = self.parts.settings.timeouts.order_ms;
        if self.leads.is_none() || lease_ms == 0 {
            return self.placement.unsent(&backend, now_ms);
        }
        if !ordered.checks_fencing && lease_ms <= order_ms {
            metrics::RETRIES.with_label_values(&["order_lease"]).inc();
            return self.placement.unsent(&backend, now_ms);
        }
        // The step may have waited for the disk, so the lease counts from its start.
        let spare_ms = lease_ms.saturating_sub(order_ms);
        let last_ms = self.stepped_ms + spare_ms;
        self.parts.orders.send(orders::Order {
            backend,
            address: ordered.address,
            order: backend::Order {
                fence,
                action: ordered.order.action,
            },
            not_after: (!ordered.checks_fencing).then(|| self.clock.instant(last_ms)),
        });
    }
}
