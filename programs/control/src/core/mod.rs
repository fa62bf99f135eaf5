//! The control thread: owns the replicated logs and all soft state.

mod answer;
mod backup;
mod chores;
mod clock;
mod members;
pub(crate) use members::coord as member;
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

/// Most calls handled in one step, so that one disk sync covers many and timers
/// still run.
const CALLS_PER_STEP: usize = 512;
/// Longest time without a step; several fit into a heartbeat interval.
const TICK: time::Duration = time::Duration::from_millis(10);

/// The disk and the machines of the host.
pub(crate) struct Edge;

impl host::Types for Edge {
    type Disk = storage::Background;
    type Machine = machine::Machine;
}

/// What the control thread works with.
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
    /// Inputs of the leader itself for the next step.
    own: Vec<host::Input>,
    registry: registry::Registry,
    placement: bw_policy::placement::Placement,
    timers: chores::Timers,
    /// The time given to the last step; leases count from it.
    stepped_ms: u64,
    /// The term in which this replica leads group 0, if it does.
    leads: Option<u64>,
    membership: members::Membership,
    /// Changes of the members that some group has not followed yet.
    changes: Vec<members::Pending>,
    /// Backups whose snapshot is not durable yet.
    backups: Vec<backup::Pending>,
    stopping: Option<Stopping>,
}

/// A graceful stop under way.
#[derive(Clone, Copy, Debug)]
struct Stopping {
    until_ms: u64,
    retry_ms: u64,
}

impl Core {
    pub(crate) fn new(parts: Parts) -> Core {
        let placement = chores::placement(&parts.settings);
        Core {
            parts,
            clock: clock::Clock::new(),
            tickets: Tickets::default(),
            own: Vec::new(),
            registry: registry::Registry::default(),
            placement,
            timers: chores::Timers::default(),
            stepped_ms: 0,
            leads: None,
            membership: members::Membership::default(),
            changes: Vec::new(),
            backups: Vec::new(),
            stopping: None,
        }
    }

    /// Runs until a stop is asked for or the disk fails.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails.
    pub(crate) fn run(mut self) -> Result<(), storage::Error> {
        self.connect();
        loop {
            let inputs = self.collect();
            if let Err(error) = self.step(inputs) {
                self.parts.health.fail();
                return Err(error);
            }
            self.answer_changes();
            self.answer_backups();
            self.run_chores();
            if self.stopped() {
                // Calls that arrived meanwhile are sent on to the new leaders.
                let inputs = self.collect();
                self.step(inputs)?;
                return self.finish_sync();
            }
        }
    }

    /// Waits for the sync that the last step left running, so that the calls which
    /// it makes durable are answered.
    fn finish_sync(&mut self) -> Result<(), storage::Error> {
        let until_ms = self.stopping.map_or(0, |stopping| stopping.until_ms);
        while self.parts.host.syncing_ms().is_some() && self.clock.now_ms() < until_ms {
            thread::sleep(TICK);
            self.step(vec![host::Input::Tick])?;
        }
        Ok(())
    }

    /// Waits for calls and turns them into inputs.
    fn collect(&mut self) -> Vec<host::Input> {
        let mut inputs = vec![host::Input::Tick];
        inputs.append(&mut self.own);
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
        self.stepped_ms = now_ms;
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

    /// Turns a call into an input, or answers it.
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
            } if self.has_nothing_for(group, &command) => {
                let leases = Vec::new();
                let taken = command::work::Reply::Taken { leases };
                // The caller may have gone.
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
                    // The caller may have gone.
                    let _ = reply.send(self.continue_backup(&request, index));
                }
            },
            Call::Members { change, reply } => {
                let to_coord = members::to_coord(&change);
                let ticket = self.tickets.add(Waiting::Members { change, reply });
                inputs.push(host::Input::ChangeMembers {
                    group: GroupId(0),
                    ticket,
                    change: to_coord,
                });
            }
            Call::Status { reply } => {
                // The caller may have gone.
                let _ = reply.send(Ok(self.status()));
            }
            Call::Ordered { backend, obeyed } => {
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
    /// Idle entry VMs ask all the time, and each command in the log costs a disk
    /// sync on every replica. An empty answer promises nothing, so it needs no
    /// log, and it may even be a little old.
    fn has_nothing_for(&self, group: u32, command: &command::Command) -> bool {
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

    /// Stamps a command and files who waits for it.
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
            host::Output::Proposed { ticket, result } => self.proposed(ticket, result),
            host::Output::ReadReady { ticket, result } => self.read_ready(ticket, result),
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
            self.leads = None;
        } else if self.leads != Some(term) {
            self.leads = Some(term);
            let now_ms = self.clock.now_ms();
            self.registry.reset(now_ms, term);
            self.placement.reset(now_ms);
        }
    }

    /// Begins to give leadership of all groups away.
    fn begin_stop(&mut self) {
        let now_ms = self.clock.now_ms();
        self.stopping.get_or_insert(Stopping {
            until_ms: now_ms + self.parts.settings.timeouts.stop_ms,
            retry_ms: now_ms,
        });
    }

    /// Goes on with a stop and returns whether it is complete.
    fn stopped(&mut self) -> bool {
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
            // A transfer ends unsuccessfully after one election timeout.
            stopping.retry_ms = now_ms + self.parts.settings.timeouts.election_ms;
            let transfers = led.into_iter();
            self.own
                .extend(transfers.map(|group| host::Input::Transfer { group }));
        }
        false
    }

    fn status(&self) -> rpc::Status {
        let now_ms = self.clock.now_ms();
        let groups = 0..=self.parts.settings.work_groups;
        let leads = self.leads.is_some();
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
        Some(rpc::GroupStatus {
            group,
            role: status.role.to_string(),
            term: status.term,
            commit: status.commit,
            applied: status.applied,
            leader: status.leader.map(|leader| leader.0),
            members: status.members.iter().map(members::to_wire).collect(),
        })
    }

    /// Returns the address of a replica, from the members or the settings.
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
