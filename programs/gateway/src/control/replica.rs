//! The control thread: the replicated log, the ledger and their disk.

use std::{
    collections::{BTreeSet, HashMap},
    io, path,
    sync::Arc,
    sync::mpsc,
    thread, time,
};

use bw_coord::{GroupId, ReplicaId, host, member, message, node, storage};
use bw_relay::{ledger, registry, suspect};
use bw_wire::name::Name;
use tokio::sync::{mpsc as async_mpsc, oneshot};

use crate::{
    clock,
    control::{
        effect::{Effect, Subject},
        identity,
    },
    settings,
};

/// The id of the only consensus group.
const GROUP: GroupId = GroupId(0);
/// Longest time between two steps of the host, shorter than a heartbeat interval.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Smallest election timeout in milliseconds; the largest is twice that. Heartbeats
/// are sent every 30 ms, disks sync in 5 ms and messages take a few milliseconds, so
/// ten heartbeats are lost before a replica starts an election. After a power loss of
/// all VMs, callers wait for the election, and a job sent to a frozen leader is
/// acknowledged in time (0.5 s) only if the election takes less than that: with 500 ms
/// there was no leader for 0.7 s.
const ELECTION_TIMEOUT_MS: u64 = 300;
/// Duration from which a step is logged as slow. No heartbeat is sent during a step,
/// and heartbeats are due every tenth of the election timeout.
const SLOW_STEP: time::Duration = time::Duration::from_millis(ELECTION_TIMEOUT_MS / 10);
/// Most calls that are handled in one step, so that one disk sync covers many.
const CALLS_PER_STEP: usize = 256;
/// Pause before the log is opened again after a disk failure.
const REOPEN_PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// Size of the log since the last snapshot at which the next snapshot is taken, in
/// bytes. The disk has 128 MB.
const SNAPSHOT_LOG_BYTES: u64 = 6 << 20;
/// Size of a segment of the log, and of a segment of payloads, in bytes.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Most bytes of entries in flight to one replica, which bounds memory use.
const INFLIGHT_BYTES: u64 = 4 << 20;
/// Most bytes of uncommitted entries, which bounds memory use.
const PENDING_BYTES: u64 = 24 << 20;
/// Bytes of entries that are kept in memory for replicas that lag slightly.
const RETAINED_BYTES: u64 = 2 << 20;
/// Most bytes of results in one page, before encoding. Callers accept an encoded page
/// of at most 1 MB.
pub(crate) const PAGE_BYTES: usize = 600 << 10;

/// A call of the network thread to the control thread.
pub(crate) enum Call {
    /// Handles a consensus message of another replica.
    Log { from: ReplicaId, message: Vec<u8> },
    /// Commits and applies a command.
    Propose {
        command: ledger::Command,
        reply: oneshot::Sender<Result<ledger::Applied, host::Refusal>>,
    },
    /// Reads the newest committed state (a linearizable read).
    Read {
        read: Read,
        reply: oneshot::Sender<Result<Answer, host::Refusal>>,
    },
    /// Changes the members of the group.
    Change {
        change: member::Change,
        reply: oneshot::Sender<Result<(), host::Refusal>>,
    },
    /// Returns the members as the leader sees them; `None` unless this replica leads.
    Peers {
        reply: oneshot::Sender<Option<Vec<member::plan::Peer>>>,
    },
    /// Clears the disk and restarts under a new id, after the replica was removed.
    Reset,
    /// Transfers the leadership to another replica.
    Transfer,
    /// Ends the control thread.
    Stop,
}

/// A query of the replicated state.
pub(crate) enum Read {
    /// The configuration in force, as the operator sent it.
    Document,
    /// The version of the configuration in force.
    Version,
    /// A page of results of a job, from a position on.
    Page { job: Name, after: u32 },
    /// Whether the evacuation of a VM was ordered.
    Evacuated(Name),
    /// The request body of an item.
    Body { job: Name, item: Name },
}

/// The result of a query.
pub(crate) enum Answer {
    Document(Option<Vec<u8>>),
    /// 0 before the first configuration.
    Version(u64),
    Page(Option<ledger::Page>),
    Body(Option<Vec<u8>>),
    Evacuated(bool),
}

/// A notification from the control thread to the network thread.
pub(crate) enum Notice {
    /// A consensus message has to be sent to another replica.
    Send { to: ReplicaId, message: Vec<u8> },
    /// The members changed.
    Members {
        own: ReplicaId,
        members: Vec<member::Member>,
    },
    /// This replica is not the leader.
    Following { leader: Option<ReplicaId> },
    /// This replica is the leader and has applied every committed entry.
    Leading(Box<Leading>),
    /// A command that this replica proposed was applied and has a side effect.
    Applied(Effect),
}

/// The replicated state that a new leader starts with.
pub(crate) struct Leading {
    pub(crate) term: u64,
    pub(crate) published: Option<Arc<ledger::Published>>,
    pub(crate) jobs: Vec<(Name, ledger::Job)>,
    pub(crate) backends: Vec<registry::Announcement>,
    /// VMs whose evacuation was ordered.
    pub(crate) evacuated: BTreeSet<Name>,
    /// VMs that can be evacuated.
    pub(crate) known_vms: BTreeSet<Name>,
    /// Evidence against the recorded suspects.
    pub(crate) suspects: Vec<suspect::Evidence>,
}

struct Edge;

impl host::Types for Edge {
    type Disk = storage::Background;
    type Machine = ledger::Ledger;
}

type Host = host::Host<Edge>;

enum Pending {
    Propose {
        subject: Subject,
        reply: oneshot::Sender<Result<ledger::Applied, host::Refusal>>,
    },
    Read {
        read: Read,
        reply: oneshot::Sender<Result<Answer, host::Refusal>>,
    },
    Change(oneshot::Sender<Result<(), host::Refusal>>),
    /// The read after which a new leader has applied every committed entry.
    Lead {
        term: u64,
    },
}

/// Why a host stopped running.
enum Ended {
    Stop,
    Reset,
    Failed(storage::Error),
}

/// The state of the control thread that outlives a single host.
pub(crate) struct Replica {
    settings: settings::Settings,
    data: path::PathBuf,
    notices: async_mpsc::UnboundedSender<Notice>,
}

impl Replica {
    /// # Errors
    ///
    /// Fails if the settings name no data folder.
    pub(crate) fn new(
        settings: &settings::Settings,
        notices: async_mpsc::UnboundedSender<Notice>,
    ) -> anyhow::Result<Replica> {
        let data = settings.data.clone();
        Ok(Replica {
            settings: settings.clone(),
            data: data.ok_or_else(|| anyhow::anyhow!("data is not set"))?,
            notices,
        })
    }

    /// Runs until [`Call::Stop`]. After a disk failure the log is opened again; a
    /// corrupt log is cleared, and the replica joins under a new id.
    pub(crate) fn run(self, calls: &mpsc::Receiver<Call>) {
        loop {
            let ended = match self.open() {
                Ok(host) => Running::new(&self, host).run(calls),
                Err(error) => Ended::Failed(error),
            };
            self.notify(Notice::Following { leader: None });
            match ended {
                Ended::Stop => return,
                Ended::Reset => self.clear_disk("the replica was removed from the members"),
                Ended::Failed(error @ storage::Error::Corrupt { .. })
                | Ended::Failed(error @ storage::Error::ForeignReplica { .. }) => {
                    self.clear_disk(&error.to_string());
                }
                Ended::Failed(error) => {
                    log::error!("the replica stopped: {error}");
                    thread::sleep(REOPEN_PAUSE);
                }
            }
            // Drops the calls that were queued for the old host: the new one would answer
            // them from a different state.
            while let Ok(call) = calls.try_recv() {
                if matches!(call, Call::Stop) {
                    return;
                }
            }
        }
    }

    fn open(&self) -> Result<Host, storage::Error> {
        let io_error = |error: io::Error| storage::Error::Io {
            operation: "read identity in",
            file: self.data.display().to_string(),
            source: Arc::new(error),
        };
        let identity = identity::load(&self.settings, &self.data).map_err(io_error)?;
        let directory = storage::Directory::open(identity::log_folder(&self.data))?;
        let disk = storage::Background::new(Box::new(directory))?;
        log::info!(replica = identity.replica.0, founders = identity.members.len(); "opening the log");
        host::Builder::<Edge>::new(identity.replica, identity.members)
            .group(GROUP, ledger::Ledger::default())
            .automatic_promotion(false)
            .election_timeout_ms(ELECTION_TIMEOUT_MS)
            .snapshot_log_bytes(SNAPSHOT_LOG_BYTES)
            .segment_bytes(SEGMENT_BYTES)
            .payload_segment_bytes(SEGMENT_BYTES as u32)
            .inflight_bytes(INFLIGHT_BYTES)
            .pending_bytes(PENDING_BYTES)
            .retained_bytes(RETAINED_BYTES)
            .seed(rand::random())
            .open(disk)
    }

    fn clear_disk(&self, reason: &str) {
        log::warn!("clearing the disk to join under a new id: {reason}");
        if let Err(error) = identity::replace(&self.settings, &self.data) {
            log::error!("cannot clear the disk: {error}");
            thread::sleep(REOPEN_PAUSE);
        }
    }

    fn notify(&self, notice: Notice) {
        // The receiver is dropped only when the process ends.
        let _ = self.notices.send(notice);
    }
}

/// A running host and its pending calls.
struct Running<'a> {
    replica: &'a Replica,
    host: Host,
    pending: HashMap<u64, Pending>,
    next_ticket: u64,
    /// The members in the last notice. `None` before the first one, because the list
    /// of a replica that has yet to join is empty.
    notified_members: Option<Vec<member::Member>>,
    /// The version of the configuration that was last logged as applied, 0 before the
    /// first.
    logged_version: u64,
    /// Inputs that this thread adds to the next step by itself.
    own_inputs: Vec<host::Input>,
}

impl<'a> Running<'a> {
    fn new(replica: &'a Replica, host: Host) -> Running<'a> {
        Running {
            replica,
            host,
            pending: HashMap::new(),
            next_ticket: 0,
            notified_members: None,
            logged_version: 0,
            own_inputs: Vec::new(),
        }
    }

    fn run(mut self, calls: &mpsc::Receiver<Call>) -> Ended {
        loop {
            self.notify_members();
            self.log_version_change();
            let mut inputs = vec![host::Input::Tick];
            inputs.append(&mut self.own_inputs);
            let wait = match inputs.len() {
                1 => TICK_INTERVAL,
                _ => time::Duration::ZERO,
            };
            let mut next = calls.recv_timeout(wait).ok();
            let mut count = 0;
            while let Some(call) = next {
                match call {
                    Call::Stop => return Ended::Stop,
                    Call::Reset => return Ended::Reset,
                    call => self.enqueue(call, &mut inputs),
                }
                count += 1;
                next = match count < CALLS_PER_STEP {
                    true => calls.try_recv().ok(),
                    false => None,
                };
            }
            if let Err(error) = self.step(inputs) {
                return Ended::Failed(error);
            }
        }
    }

    fn enqueue(&mut self, call: Call, inputs: &mut Vec<host::Input>) {
        match call {
            Call::Log { from, message } => match message::decode(&message) {
                Ok(message) => inputs.push(host::Input::Message { from, message }),
                Err(error) => {
                    log::warn!(from = from.0; "cannot decode a consensus message: {error}")
                }
            },
            Call::Propose { command, reply } => {
                let subject = Subject::new(&command);
                let command = ledger::encode(&command);
                let ticket = self.add_pending(Pending::Propose { subject, reply });
                let group = GROUP;
                inputs.push(host::Input::Propose {
                    group,
                    ticket,
                    command,
                });
            }
            Call::Read { read, reply } => {
                let ticket = self.add_pending(Pending::Read { read, reply });
                inputs.push(host::Input::Read {
                    group: GROUP,
                    ticket,
                });
            }
            Call::Change { change, reply } => {
                let ticket = self.add_pending(Pending::Change(reply));
                let group = GROUP;
                inputs.push(host::Input::ChangeMembers {
                    group,
                    ticket,
                    change,
                });
            }
            Call::Peers { reply } => {
                // The caller may have given up.
                let _ = reply.send(self.host.peers(GROUP));
            }
            Call::Transfer => inputs.push(host::Input::Transfer { group: GROUP }),
            Call::Reset | Call::Stop => {}
        }
    }

    fn add_pending(&mut self, pending: Pending) -> u64 {
        self.next_ticket += 1;
        self.pending.insert(self.next_ticket, pending);
        self.next_ticket
    }

    fn step(&mut self, inputs: Vec<host::Input>) -> Result<(), storage::Error> {
        let mut outputs = Vec::new();
        let replica = self.replica;
        let began = time::Instant::now();
        let (count, before) = (inputs.len(), self.host.stats());
        let result = self
            .host
            .step(inputs, clock::monotonic_ms(), &mut |output| match output {
                host::Output::Send { to, message } => replica.notify(Notice::Send {
                    to,
                    message: message::encode(&message),
                }),
                other => outputs.push(other),
            });
        let took = began.elapsed();
        if took > SLOW_STEP {
            let after = self.host.stats();
            log::warn!(
                step_ms = took.as_millis() as u64, inputs = count,
                entries = after.entries - before.entries, syncs = after.syncs - before.syncs;
                "a step of the replicated log was slow"
            );
        }
        for output in outputs {
            self.handle_output(output);
        }
        result
    }

    fn handle_output(&mut self, output: host::Output) {
        match output {
            host::Output::Send { .. } => {}
            host::Output::Proposed { ticket, result } => self.proposed(ticket, result),
            host::Output::ReadReady { ticket, result } => self.read_ready(ticket, result),
            host::Output::Role {
                role, term, leader, ..
            } => {
                log::info!(
                    role = role.to_string().as_str(), term = term,
                    leader = leader.map_or(0, |leader| leader.0);
                    "role changed"
                );
                self.replica.notify(Notice::Following { leader });
                if role == node::Role::Leader {
                    let ticket = self.add_pending(Pending::Lead { term });
                    self.own_inputs.push(host::Input::Read {
                        group: GROUP,
                        ticket,
                    });
                }
            }
        }
    }

    fn proposed(&mut self, ticket: u64, result: Result<Vec<u8>, host::Refusal>) {
        match self.pending.remove(&ticket) {
            Some(Pending::Propose { subject, reply }) => {
                let applied = result.map(|bytes| {
                    let applied = ledger::decode_applied(&bytes);
                    applied.unwrap_or(ledger::Applied::Superseded)
                });
                if applied.is_ok() {
                    self.notify_effect(subject);
                }
                // The caller may have given up.
                let _ = reply.send(applied);
            }
            Some(Pending::Change(reply)) => {
                let _ = reply.send(result.map(|_| ()));
            }
            _ => {}
        }
    }

    /// Notifies the network thread of the side effect of a command, before the caller
    /// gets its reply.
    fn notify_effect(&mut self, subject: Subject) {
        let machine = self.host.machine(GROUP);
        if let Some(effect) = machine.and_then(|machine| subject.effect(machine)) {
            self.replica.notify(Notice::Applied(effect));
        }
    }

    fn read_ready(&mut self, ticket: u64, result: Result<(), host::Refusal>) {
        match self.pending.remove(&ticket) {
            Some(Pending::Read { read, reply }) => {
                let answer = result.and_then(|()| self.read(&read));
                // The caller may have given up.
                let _ = reply.send(answer);
            }
            Some(Pending::Lead { term }) if result.is_ok() => self.notify_leading(term),
            _ => {}
        }
    }

    fn notify_leading(&mut self, term: u64) {
        let Some(machine) = self.host.machine(GROUP) else {
            return;
        };
        let open = machine.jobs().iter().filter(|(_, job)| job.is_open());
        let jobs = open.map(|(id, job)| (id.clone(), job.clone()));
        let leading = Leading {
            term,
            published: machine.published().cloned().map(Arc::new),
            jobs: jobs.collect(),
            backends: machine.backends().cloned().collect(),
            evacuated: machine.evacuated().clone(),
            known_vms: machine.registered().clone(),
            suspects: machine.trials().evidence().cloned().collect(),
        };
        self.replica.notify(Notice::Leading(Box::new(leading)));
    }

    fn read(&mut self, read: &Read) -> Result<Answer, host::Refusal> {
        let result = self.host.read(GROUP, |machine, payloads| {
            Ok(match read {
                Read::Document => {
                    let published = machine.published();
                    Answer::Document(published.map(|published| published.document.clone()))
                }
                Read::Version => Answer::Version(machine.version()),
                Read::Page { job, after } => {
                    Answer::Page(machine.page(job, *after as usize, PAGE_BYTES, payloads)?)
                }
                Read::Evacuated(node) => Answer::Evacuated(machine.is_evacuated(node)),
                Read::Body { job, item } => {
                    let key = machine.body(job, item);
                    Answer::Body(key.map(|key| payloads.get(key)).transpose()?)
                }
            })
        });
        match result {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) | Err(_) => Err(host::Refusal::Stopped),
        }
    }

    /// Logs when a configuration was applied to this replica's state. Independent of
    /// whether the operator's call still waits for it.
    fn log_version_change(&mut self) {
        let machine = self.host.machine(GROUP);
        let version = machine.map_or(0, ledger::Ledger::version);
        if version != self.logged_version {
            self.logged_version = version;
            log::info!(version = version; "configuration applied");
        }
    }

    fn notify_members(&mut self) {
        let Some(status) = self.host.status(GROUP) else {
            return;
        };
        if self.notified_members.as_ref() != Some(&status.members) {
            self.notified_members = Some(status.members.clone());
            let own = self.host.replica();
            let members = status.members;
            self.replica.notify(Notice::Members { own, members });
        }
    }
}
