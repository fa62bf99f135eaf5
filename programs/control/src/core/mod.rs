//! The control thread, which owns the replicated logs and all soft state.

mod answer;
mod backup;
mod clock;
mod members;
mod periodic;
pub(crate) use members::to_coord_member;
mod waiting;

use std::{collections, sync, sync::mpsc, thread, time};

use bw_coord::{GroupId, ReplicaId, host, node, storage};
use bw_state::machine;
use bw_wire::{command, name, rpc};

use crate::{
    metrics,
    network::{
        admin,
        call::{Call, Failure},
        links, orders,
    },
    registry, settings,
};
use waiting::{Tickets, Waiting};

/// Most calls handled in one step. Many calls share one disk sync, while timers still
/// run in time.
const CALLS_PER_STEP: usize = 512;
/// Longest time without a step. A heartbeat interval is several times longer.
const TICK: time::Duration = time::Duration::from_millis(10);

/// The types of the disk and of the state machines that the host uses.
pub(crate) struct Edge;

impl host::Types for Edge {
    type Disk = storage::Background;
    type Machine = machine::Machine;
}

/// The parts that the control thread is built from.
pub(crate) struct Parts {
    pub(crate) settings: settings::Settings,
    pub(crate) host: host::Host<Edge>,
    pub(crate) calls: mpsc::Receiver<Call>,
    pub(crate) links: links::Links,
    pub(crate) orders: orders::Sender,
    pub(crate) health: sync::Arc<admin::Health>,
}

/// The state of the control thread.
pub(crate) struct Core {
    parts: Parts,
    clock: clock::Clock,
    tickets: Tickets,
    /// Inputs for the next step that this replica itself produced.
    internal_inputs: Vec<host::Input>,
    registry: registry::Registry,
    placement: bw_policy::placement::Placement,
    timers: periodic::Timers,
    /// The time at the start of the last step, from which leader leases count.
    step_started_ms: u64,
    /// The term in which this replica leads group 0, if it does.
    leader_term: Option<u64>,
    membership: members::Membership,
    /// Member changes that are not committed in all groups yet.
    changes: Vec<members::Pending>,
    /// Backups whose snapshot is not durable yet.
    backups: Vec<backup::Pending>,
    stopping: Option<Stopping>,
}

/// A graceful stop in progress.
#[derive(Clone, Copy, Debug)]
struct Stopping {
    /// When the replica stops even if it still leads groups.
    until_ms: u64,
    /// When transfers are attempted again.
    retry_ms: u64,
}

impl Core {
    pub(crate) fn new(parts: Parts) -> Core {
        let placement = periodic::placement(&parts.settings);
        Core {
            parts,
            clock: clock::Clock::new(),
            tickets: Tickets::default(),
            internal_inputs: Vec::new(),
            registry: registry::Registry::default(),
            placement,
            timers: periodic::Timers::default(),
            step_started_ms: 0,
            leader_term: None,
            membership: members::Membership::default(),
            changes: Vec::new(),
            backups: Vec::new(),
            stopping: None,
        }
    }

    /// Runs until a stop is requested or the disk fails.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails.
    pub(crate) fn run(mut self) -> Result<(), storage::Error> {
        self.update_links();
        loop {
            let inputs = self.collect_inputs();
            if let Err(error) = self.step(inputs) {
                self.parts.health.record_failure();
                return Err(error);
            }
            self.answer_changes();
            self.answer_backups();
            self.run_periodic_tasks();
            if self.continue_stop() {
                // Calls that arrived meanwhile are redirected to the new leaders.
                let inputs = self.collect_inputs();
                self.step(inputs)?;
                return self.finish_sync();
            }
        }
    }

    /// Waits for the disk sync that the last step left running, so that the calls that
    /// it makes durable are answered.
    fn finish_sync(&mut self) -> Result<(), storage::Error> {
        let until_ms = self.stopping.map_or(0, |stopping| stopping.until_ms);
        while self.parts.host.syncing_ms().is_some() && self.clock.now_ms() < until_ms {
            thread::sleep(TICK);
            self.step(vec![host::Input::Tick])?;
        }
        Ok(())
    }

    /// Collects inputs for the next step. Waits up to a tick for calls if there are
    /// no other inputs.
    fn collect_inputs(&mut self) -> Vec<host::Input> {
        let mut inputs = vec![host::Input::Tick];
        inputs.append(&mut self.internal_inputs);
        let wait = if inputs.len() > 1 {
            time::Duration::ZERO
        } else {
            TICK
        };
        let mut next = self.parts.calls.recv_timeout(wait).ok();
        let mut count = 0;
        while let Some(call) = next {
            self.accept(call, &mut inputs);
            count += 1;
            next = match count < CALLS_PER_STEP {
                true => self.parts.calls.try_recv().ok(),
                false => None,
            };
        }
        inputs
    }

    fn step(&mut self, inputs: Vec<host::Input>) -> Result<(), storage::Error> {
        let now_ms = self.clock.now_ms();
        self.step_started_ms = now_ms;
        let mut outputs = Vec::new();
        let Parts { host, links, .. } = &mut self.parts;
        let result = host.step(inputs, now_ms, &mut |output| match output {
            host::Output::Send { to, message } => links.send(to, message),
            other => outputs.push(other),
        });
        for output in outputs {
            self.handle(output);
        }
        result
    }

    /// Turns a call into an input, or answers it at once.
    fn accept(&mut self, call: Call, inputs: &mut Vec<host::Input>) {
        match call {
            Call::Raft { from, messages } => {
                let messages = messages.into_iter();
                inputs.extend(messages.map(|message| host::Input::Message { from, message }));
            }
            Call::Propose {
                group,
                command,
                reply,
            } if self.would_lease_nothing(group, &command) => {
                let leases = Vec::new();
                let taken = command::work::Reply::Taken { leases };
                // The caller may have disconnected.
                let _ = reply.send(Ok(command::Reply::Work(taken)));
            }
            Call::Propose {
                group,
                command,
                reply,
            } => inputs.push(self.propose(group, *command, Waiting::Propose(reply))),
            Call::Query {
                group,
                query,
                reply,
            } => {
                let waiting = Waiting::Query {
                    group,
                    query,
                    reply,
                };
                inputs.push(self.read(group, waiting));
            }
            Call::Sync { request, reply } => {
                inputs.push(self.read(0, Waiting::Sync { request, reply }));
            }
            Call::InForce { revision, reply } => {
                inputs.push(self.read(0, Waiting::InForce { revision, reply }));
            }
            Call::Backup { request, reply } => match request.index {
                None => {
                    let group = request.group;
                    inputs.push(self.read(group, Waiting::Backup { group, reply }));
                }
                Some(index) => {
                    // The caller may have disconnected.
                    let _ = reply.send(self.continue_backup(&request, index));
                }
            },
            Call::Members { change, reply } => {
                let coord_change = members::to_coord_change(&change);
                let ticket = self.tickets.add(Waiting::Members { change, reply });
                inputs.push(host::Input::ChangeMembers {
                    group: GroupId(0),
                    ticket,
                    change: coord_change,
                });
            }
            Call::Status { reply } => {
                // The caller may have disconnected.
                let _ = reply.send(Ok(self.status()));
            }
            Call::OrderResult { backend, obeyed } => {
                if !obeyed {
                    metrics::RETRIES.with_label_values(&["order"]).inc();
                    let now_ms = self.clock.now_ms();
                    self.placement.failed(&backend, now_ms);
                }
            }
            Call::Stop => self.begin_stop(),
        }
    }

    /// Returns whether a command is a `Take` that would lease nothing.
    ///
    /// Idle entry VMs send `Take` all the time, and each command in the log costs a
    /// disk sync on every replica. An empty answer grants nothing, so it needs no log
    /// entry and may be slightly stale.
    fn would_lease_nothing(&self, group: u32, command: &command::Command) -> bool {
        let command::Command::Work(command::work::Command::Take { models, .. }) = command else {
            return false;
        };
        let machine = self.parts.host.machine(GroupId(group));
        let Some(machine::Machine::Work(work)) = machine else {
            return false;
        };
        let now_ms = self.clock.time(group, work.now_ms());
        self.leads_group(group) && !work.can_lease(now_ms, models)
    }

    /// Stamps a command and stores what to do with its result.
    fn propose(&mut self, group: u32, command: command::Command, waiting: Waiting) -> host::Input {
        let machine = self.parts.host.machine(GroupId(group));
        let machine_ms = machine.map_or(0, machine::Machine::now_ms);
        let stamped = command::Stamped {
            now_ms: self.clock.stamp(group, machine_ms),
            command,
        };
        host::Input::Propose {
            group: GroupId(group),
            ticket: self.tickets.add(waiting),
            command: machine::encode(&stamped),
        }
    }

    fn read(&mut self, group: u32, waiting: Waiting) -> host::Input {
        host::Input::Read {
            group: GroupId(group),
            ticket: self.tickets.add(waiting),
        }
    }

    fn handle(&mut self, output: host::Output) {
        match output {
            host::Output::Send { to, message } => self.parts.links.send(to, message),
            host::Output::Proposed { ticket, result } => self.complete_proposal(ticket, result),
            host::Output::ReadReady { ticket, result } => self.complete_read(ticket, result),
            host::Output::Role {
                group,
                role,
                term,
                leader,
            } => self.role_changed(group, role, term, leader),
        }
    }

    fn role_changed(
        &mut self,
        group: GroupId,
        role: node::Role,
        term: u64,
        leader: Option<ReplicaId>,
    ) {
        log::info!(
            group = group.0,
            role = role.to_string().as_str(),
            term = term,
            leader = leader.map_or(0, |leader| leader.0);
            "role changed"
        );
        if group != GroupId(0) {
            return;
        }
        if role != node::Role::Leader {
            self.leader_term = None;
        } else if self.leader_term != Some(term) {
            self.leader_term = Some(term);
            let now_ms = self.clock.now_ms();
            self.registry.reset(now_ms, term);
            self.placement.reset(now_ms);
        }
    }

    /// Begins to transfer the leadership of all groups to other replicas.
    fn begin_stop(&mut self) {
        let now_ms = self.clock.now_ms();
        self.stopping.get_or_insert(Stopping {
            until_ms: now_ms + self.parts.settings.timeouts.stop_ms,
            retry_ms: now_ms,
        });
    }

    /// Continues a stop and returns whether it is complete.
    fn continue_stop(&mut self) -> bool {
        let Some(stopping) = &mut self.stopping else {
            return false;
        };
        let now_ms = self.clock.now_ms();
        let host = &self.parts.host;
        let groups = (0..=self.parts.settings.work_groups).map(GroupId);
        let led: Vec<GroupId> = groups.filter(|group| can_transfer(host, *group)).collect();
        if led.is_empty() || now_ms >= stopping.until_ms {
            return true;
        }
        if now_ms >= stopping.retry_ms {
            // A transfer that does not succeed ends after one election timeout.
            stopping.retry_ms = now_ms + self.parts.settings.timeouts.election_ms;
            let transfers = led.into_iter();
            self.internal_inputs
                .extend(transfers.map(|group| host::Input::Transfer { group }));
        }
        false
    }

    fn status(&self) -> rpc::Status {
        let now_ms = self.clock.now_ms();
        let groups = 0..=self.parts.settings.work_groups;
        let leads = self.leader_term.is_some();
        let backends = self.registry.backends();
        rpc::Status {
            replica: self.parts.settings.name.clone(),
            groups: groups
                .filter_map(|group| self.group_status(group))
                .collect(),
            entries: match leads {
                true => self.registry.entries(now_ms),
                false => Vec::new(),
            },
            backends: match leads {
                true => backends.map(|known| known.announcement.clone()).collect(),
                false => Vec::new(),
            },
        }
    }

    fn group_status(&self, group: u32) -> Option<rpc::GroupStatus> {
        let status = self.parts.host.status(GroupId(group))?;
        let peers = self.parts.host.peers(GroupId(group)).unwrap_or_default();
        let silent = peers.iter().filter(|peer| peer.is_silent());
        Some(rpc::GroupStatus {
            group,
            role: status.role.to_string(),
            term: status.term,
            commit: status.commit,
            applied: status.applied,
            leader: status.leader.map(|leader| leader.0),
            members: status.members.iter().map(members::to_wire).collect(),
            silent: silent.map(|peer| peer.replica.0).collect(),
        })
    }

    /// Returns the address of a replica, from the members of the groups or else from
    /// the settings.
    fn address_of(&self, replica: ReplicaId) -> Option<name::Name> {
        self.addresses().remove(&replica)
    }

    fn addresses(&self) -> collections::BTreeMap<ReplicaId, name::Name> {
        let first = self.parts.settings.initial_members().into_iter();
        let mut addresses: collections::BTreeMap<ReplicaId, name::Name> = first
            .map(|member| (ReplicaId(member.replica), member.address))
            .collect();
        for group in 0..=self.parts.settings.work_groups {
            let status = self.parts.host.status(GroupId(group));
            for member in status.iter().flat_map(|status| &status.members) {
                addresses.insert(member.replica, member.address.as_str().into());
            }
        }
        addresses
    }

    fn failure(&self, refusal: host::Refusal) -> Failure {
        match refusal {
            host::Refusal::NotLeader { leader } => {
                Failure::NotLeader(leader.and_then(|leader| self.address_of(leader)))
            }
            host::Refusal::Lost => Failure::Unknown,
            host::Refusal::Busy => Failure::Busy,
            host::Refusal::Stopped => Failure::NotLeader(None),
            host::Refusal::InvalidChange { reason } => Failure::Invalid(reason.to_string()),
        }
    }
}

/// Returns whether this replica leads a group that another voter could lead.
fn can_transfer(host: &host::Host<Edge>, group: GroupId) -> bool {
    host.status(group).is_some_and(|status| {
        let voters = status.members.iter().filter(|member| member.voter);
        status.role == node::Role::Leader && voters.count() > 1
    })
}
