//! The control thread: the replicated log, the ledger and their disk.

use std::{
    collections::{BTreeSet, HashMap},
    io, path,
    sync::Arc,
    sync::mpsc,
    thread, time,
};

use bw_coord::{GroupId, ReplicaId, host, member, message, node, storage};
use bw_relay::{ledger, registry};
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

/// The only group.
const GROUP: GroupId = GroupId(0);
/// Longest time without a step; several fit into a heartbeat interval.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Smallest election timeout in milliseconds; the largest is twice that. With
/// heartbeats every 30 ms, disks that sync in 5 ms and links of a few
/// milliseconds, ten heartbeats are lost before a replica campaigns. After a
/// loss of all power, callers wait for the election, and a job sent to a frozen
/// leader is answered in time (0.5 s) only if the election takes less: 500 ms
/// meant 0.7 s without a leader.
const ELECTION_MS: u64 = 300;
/// A step that takes longer is logged: no heartbeat is sent meanwhile, and the
/// interval between heartbeats is a tenth of the election timeout.
const SLOW_STEP: time::Duration = time::Duration::from_millis(ELECTION_MS / 10);
/// Calls handled in one step, so that one sync covers many.
const CALLS_PER_STEP: usize = 256;
/// Pause before a disk that failed is tried again.
const REOPEN_PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// Size of the log since the last snapshot that causes a snapshot. The disk
/// holds 128 MB in all.
const SNAPSHOT_LOG_BYTES: u64 = 6 << 20;
/// Size of a segment of the log and of payloads.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Size of entries on their way to one replica, which bounds memory.
const INFLIGHT_BYTES: u64 = 4 << 20;
/// Size of entries that wait to be committed, which bounds memory.
const PENDING_BYTES: u64 = 24 << 20;
/// Size of entries kept in memory for replicas that lag a little.
const RETAINED_BYTES: u64 = 2 << 20;
/// Size of the results in one page. Callers accept at most 1 MB, encoded.
pub(crate) const PAGE_BYTES: usize = 600 << 10;

/// What the network thread asks for.
pub(crate) enum Call {
    /// A message of another replica.
    Log { from: ReplicaId, message: Vec<u8> },
    /// A command.
    Propose {
        command: ledger::Command,
        reply: oneshot::Sender<Result<ledger::Applied, host::Refusal>>,
    },
    /// A read of the newest state.
    Read {
        read: Read,
        reply: oneshot::Sender<Result<Answer, host::Refusal>>,
    },
    /// A change of the members.
    Change {
        change: member::Change,
        reply: oneshot::Sender<Result<(), host::Refusal>>,
    },
    /// The replica was removed: it starts anew on an empty disk.
    Reset,
    /// Leadership is to be given away.
    Transfer,
    /// The process stops.
    Stop,
}

/// What is read.
pub(crate) enum Read {
    /// The document in force.
    Document,
    /// The version of the configuration in force.
    Version,
    /// A page of results.
    Page { job: Name, after: u32 },
    /// Whether a VM was to be emptied.
    Evacuated(Name),
    /// The body of an item by its id.
    Body { job: Name, item: Name },
}

/// What was read.
pub(crate) enum Answer {
    Document(Option<Vec<u8>>),
    /// 0 before the first configuration.
    Version(u64),
    Page(Option<ledger::Page>),
    Body(Option<Vec<u8>>),
    Evacuated(bool),
}

/// What the control thread tells the network thread.
pub(crate) enum Notice {
    /// A message to another replica.
    Send { to: ReplicaId, message: Vec<u8> },
    /// The members, after a change.
    Members {
        own: ReplicaId,
        members: Vec<member::Member>,
    },
    /// This replica does not lead.
    Following { leader: Option<ReplicaId> },
    /// This replica leads and has applied everything that was committed.
    Leading(Box<Leading>),
    /// A command of this leader was applied.
    Applied(Effect),
}

/// The state that a new leader begins with.
pub(crate) struct Leading {
    pub(crate) term: u64,
    pub(crate) published: Option<Arc<ledger::Published>>,
    pub(crate) jobs: Vec<(Name, ledger::Job)>,
    pub(crate) backends: Vec<registry::Announcement>,
    /// VMs that were ordered to be emptied.
    pub(crate) evacuated: BTreeSet<Name>,
    /// VMs that can be emptied.
    pub(crate) met: BTreeSet<Name>,
}

struct Edge;

impl host::Types for Edge {
    type Disk = storage::Background;
    type Machine = ledger::Ledger;
}

type Host = host::Host<Edge>;

enum Waiting {
    Propose {
        subject: Subject,
        reply: oneshot::Sender<Result<ledger::Applied, host::Refusal>>,
    },
    Read {
        read: Read,
        reply: oneshot::Sender<Result<Answer, host::Refusal>>,
    },
    Change(oneshot::Sender<Result<(), host::Refusal>>),
    /// The first read of a new leader.
    Lead {
        term: u64,
    },
}

/// Why the loop over one host ended.
enum Ended {
    Stop,
    Reset,
    Failed(storage::Error),
}

/// The control thread's state over all its hosts.
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

    /// Runs until a stop. A disk that fails is tried again, a damaged one is
    /// cleared, as the replica then joins under a new id.
    pub(crate) fn run(self, calls: &mpsc::Receiver<Call>) {
        loop {
            let ended = match self.open() {
                Ok(host) => Running::new(&self, host).run(calls),
                Err(error) => Ended::Failed(error),
            };
            self.notice(Notice::Following { leader: None });
            match ended {
                Ended::Stop => return,
                Ended::Reset => self.clear("the replica was removed from the members"),
                Ended::Failed(error @ storage::Error::Corrupt { .. })
                | Ended::Failed(error @ storage::Error::ForeignReplica { .. }) => {
                    self.clear(&error.to_string());
                }
                Ended::Failed(error) => {
                    log::error!("the replica stopped: {error}");
                    thread::sleep(REOPEN_PAUSE);
                }
            }
            // Calls of the time before would be answered from a state that is gone.
            while let Ok(call) = calls.try_recv() {
                if matches!(call, Call::Stop) {
                    return;
                }
            }
        }
    }

    fn open(&self) -> Result<Host, storage::Error> {
        let failed = |error: io::Error| storage::Error::Io {
            operation: "read identity in",
            file: self.data.display().to_string(),
            source: Arc::new(error),
        };
        let identity = identity::load(&self.settings, &self.data).map_err(failed)?;
        let directory = storage::Directory::open(identity::log_folder(&self.data))?;
        let disk = storage::Background::new(Box::new(directory))?;
        log::info!(replica = identity.replica.0, founders = identity.members.len(); "opening the log");
        host::Builder::<Edge>::new(identity.replica, identity.members)
            .group(GROUP, ledger::Ledger::default())
            .election_timeout_ms(ELECTION_MS)
            .snapshot_log_bytes(SNAPSHOT_LOG_BYTES)
            .segment_bytes(SEGMENT_BYTES)
            .payload_segment_bytes(SEGMENT_BYTES as u32)
            .inflight_bytes(INFLIGHT_BYTES)
            .pending_bytes(PENDING_BYTES)
            .retained_bytes(RETAINED_BYTES)
            .seed(rand::random())
            .open(disk)
    }

    fn clear(&self, reason: &str) {
        log::warn!("clearing the disk to join under a new id: {reason}");
        if let Err(error) = identity::renew(&self.settings, &self.data) {
            log::error!("cannot clear the disk: {error}");
            thread::sleep(REOPEN_PAUSE);
        }
    }

    fn notice(&self, notice: Notice) {
        // The network thread ends first only when the process stops.
        let _ = self.notices.send(notice);
    }
}

/// One host from its opening to its end.
struct Running<'a> {
    replica: &'a Replica,
    host: Host,
    waiting: HashMap<u64, Waiting>,
    next_ticket: u64,
    /// The members as they were told last; `None` before the first time, as a
    /// replica that has yet to join has an empty list.
    members: Option<Vec<member::Member>>,
    /// The version of the configuration that was applied last, 0 before the first.
    version: u64,
    own: Vec<host::Input>,
}

impl<'a> Running<'a> {
    fn new(replica: &'a Replica, host: Host) -> Running<'a> {
        Running {
            replica,
            host,
            waiting: HashMap::new(),
            next_ticket: 0,
            members: None,
            version: 0,
            own: Vec::new(),
        }
    }

    fn run(mut self, calls: &mpsc::Receiver<Call>) -> Ended {
        loop {
            self.tell_members();
            self.note_version();
            let mut inputs = vec![host::Input::Tick];
            inputs.append(&mut self.own);
            let wait = match inputs.len() {
                1 => TICK,
                _ => time::Duration::ZERO,
            };
            let mut next = calls.recv_timeout(wait).ok();
            let mut count = 0;
            while let Some(call) = next {
                match call {
                    Call::Stop => return Ended::Stop,
                    Call::Reset => return Ended::Reset,
                    call => self.accept(call, &mut inputs),
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

    fn accept(&mut self, call: Call, inputs: &mut Vec<host::Input>) {
        match call {
            Call::Log { from, message } => match message::decode(&message) {
                Ok(message) => inputs.push(host::Input::Message { from, message }),
                Err(error) => {
                    log::warn!(from = from.0; "message of the log not understood: {error}")
                }
            },
            Call::Propose { command, reply } => {
                let subject = Subject::new(&command);
                let command = ledger::encode(&command);
                let ticket = self.wait(Waiting::Propose { subject, reply });
                let group = GROUP;
                inputs.push(host::Input::Propose {
                    group,
                    ticket,
                    command,
                });
            }
            Call::Read { read, reply } => {
                let ticket = self.wait(Waiting::Read { read, reply });
                inputs.push(host::Input::Read {
                    group: GROUP,
                    ticket,
                });
            }
            Call::Change { change, reply } => {
                let ticket = self.wait(Waiting::Change(reply));
                let group = GROUP;
                inputs.push(host::Input::ChangeMembers {
                    group,
                    ticket,
                    change,
                });
            }
            Call::Transfer => inputs.push(host::Input::Transfer { group: GROUP }),
            Call::Reset | Call::Stop => {}
        }
    }

    fn wait(&mut self, waiting: Waiting) -> u64 {
        self.next_ticket += 1;
        self.waiting.insert(self.next_ticket, waiting);
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
                host::Output::Send { to, message } => replica.notice(Notice::Send {
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
            self.handle(output);
        }
        result
    }

    fn handle(&mut self, output: host::Output) {
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
                self.replica.notice(Notice::Following { leader });
                if role == node::Role::Leader {
                    let ticket = self.wait(Waiting::Lead { term });
                    self.own.push(host::Input::Read {
                        group: GROUP,
                        ticket,
                    });
                }
            }
        }
    }

    fn proposed(&mut self, ticket: u64, result: Result<Vec<u8>, host::Refusal>) {
        match self.waiting.remove(&ticket) {
            Some(Waiting::Propose { subject, reply }) => {
                let applied = result.map(|bytes| {
                    let applied = ledger::decode_applied(&bytes);
                    applied.unwrap_or(ledger::Applied::Superseded)
                });
                if applied.is_ok() {
                    self.tell_effect(subject);
                }
                // The caller may have gone.
                let _ = reply.send(applied);
            }
            Some(Waiting::Change(reply)) => {
                let _ = reply.send(result.map(|_| ()));
            }
            _ => {}
        }
    }

    /// Tells what a command of this leader calls for, before its caller is answered.
    fn tell_effect(&mut self, subject: Subject) {
        let machine = self.host.machine(GROUP);
        if let Some(effect) = machine.and_then(|machine| subject.effect(machine)) {
            self.replica.notice(Notice::Applied(effect));
        }
    }

    fn read_ready(&mut self, ticket: u64, result: Result<(), host::Refusal>) {
        match self.waiting.remove(&ticket) {
            Some(Waiting::Read { read, reply }) => {
                let answer = result.and_then(|()| self.read(&read));
                // The caller may have gone.
                let _ = reply.send(answer);
            }
            Some(Waiting::Lead { term }) if result.is_ok() => self.lead(term),
            _ => {}
        }
    }

    fn lead(&mut self, term: u64) {
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
            met: machine.registered().clone(),
        };
        self.replica.notice(Notice::Leading(Box::new(leading)));
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

    /// Logs a change of the configuration in this replica's state, which does not
    /// depend on whether its operator still waits.
    fn note_version(&mut self) {
        let machine = self.host.machine(GROUP);
        let version = machine.map_or(0, ledger::Ledger::version);
        if version != self.version {
            self.version = version;
            log::info!(version = version; "configuration applied");
        }
    }

    fn tell_members(&mut self) {
        let Some(status) = self.host.status(GROUP) else {
            return;
        };
        if self.members.as_ref() != Some(&status.members) {
            self.members = Some(status.members.clone());
            let own = self.host.replica();
            let members = status.members;
            self.replica.notice(Notice::Members { own, members });
        }
    }
}
