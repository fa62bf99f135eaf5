//! Answers to calls whose command was applied or whose read was confirmed.

use bw_coord::{GroupId, host};
use bw_state::machine;
use bw_wire::{backend, command, command::config, query, rpc, sync};

use crate::{
    core::{Core, Waiting, periodic},
    metrics,
    network::{call::Failure, orders},
    registry::{self, Replaced},
};

impl Core {
    pub(super) fn complete_proposal(
        &mut self,
        ticket: u64,
        result: Result<Vec<u8>, host::Refusal>,
    ) {
        match self.tickets.take(ticket) {
            Some(Waiting::Propose(reply)) => {
                let answer = match result {
                    Ok(bytes) => machine::decode_reply(&bytes)
                        .map_err(|error| Failure::Invalid(error.to_string())),
                    Err(refusal) => Err(self.failure(refusal)),
                };
                // The caller may have disconnected.
                let _ = reply.send(answer);
            }
            Some(Waiting::Members { change, reply }) => match result {
                Ok(_) => self.await_all_groups(change, reply),
                Err(refusal) => {
                    let _ = reply.send(Err(self.failure(refusal)));
                }
            },
            Some(Waiting::Order(pending)) => self.complete_order(pending, result),
            _ => {}
        }
    }

    pub(super) fn complete_read(&mut self, ticket: u64, result: Result<(), host::Refusal>) {
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
        // A damaged payload stops this replica in its next step. The caller repeats
        // the query at another replica.
        let answer = answer.map_err(|_| Failure::NotLeader(None))?.flatten();
        answer.ok_or_else(|| Failure::Invalid("the query does not belong to this group".to_owned()))
    }

    fn sync(&mut self, request: sync::Request) -> Result<sync::Response, Failure> {
        let now_ms = self.clock.now_ms();
        if self.leader_term.is_none() {
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

    /// Returns the suspects of all work groups that this replica has applied.
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
        match (self.leader_term, machine) {
            (Some(_), Some(machine::Machine::Config(config))) => {
                let now_ms = self.clock.now_ms();
                Ok(self.registry.in_force(now_ms, asked, config.revision()))
            }
            _ => Err(Failure::NotLeader(None)),
        }
    }

    /// Sends an order once the log has assigned its fencing token, or tells placement
    /// that it was not sent.
    fn complete_order(
        &mut self,
        pending: periodic::PendingOrder,
        result: Result<Vec<u8>, host::Refusal>,
    ) {
        let now_ms = self.clock.now_ms();
        let reply = result
            .ok()
            .and_then(|bytes| machine::decode_reply(&bytes).ok());
        match reply {
            Some(command::Reply::Config(config::Reply::Ordered { fence })) => {
                self.send_order(now_ms, pending, fence);
            }
            Some(command::Reply::Config(config::Reply::Wait { retry_ms })) => {
                metrics::RETRIES
                    .with_label_values(&["weight_store_budget"])
                    .inc();
                self.placement
                    .throttled(&pending.order.backend, retry_ms, now_ms);
            }
            _ => self.placement.unsent(&pending.order.backend, now_ms),
        }
    }

    /// Sends an order if this replica holds the leader lease. An engine that does not
    /// check fencing tokens would also obey a former leader, so that its order is sent
    /// only if the lease outlasts the order's timeout.
    fn send_order(&mut self, now_ms: u64, pending: periodic::PendingOrder, fence: u64) {
        let backend = pending.order.backend;
        let status = self.parts.host.status(GroupId(0));
        let lease_ms = status.map_or(0, |status| status.lease_remaining_ms);
        let order_ms = self.parts.settings.timeouts.order_ms;
        if self.leader_term.is_none() || lease_ms == 0 {
            return self.placement.unsent(&backend, now_ms);
        }
        if !pending.checks_fencing && lease_ms <= order_ms {
            metrics::RETRIES.with_label_values(&["order_lease"]).inc();
            return self.placement.unsent(&backend, now_ms);
        }
        // The lease counts from the start of the step, which may have waited for the
        // disk since.
        let margin_ms = lease_ms.saturating_sub(order_ms);
        let latest_ms = self.step_started_ms + margin_ms;
        self.parts.orders.send(orders::Order {
            backend,
            address: pending.address,
            order: backend::Order {
                fence,
                action: pending.order.action,
            },
            not_after: (!pending.checks_fencing).then(|| self.clock.instant(latest_ms)),
        });
    }
}
