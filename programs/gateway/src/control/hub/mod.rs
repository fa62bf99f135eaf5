//! The state of the network thread: the registry of backend servers, the sessions
//! of other processes, and the batch dispatch while this replica is the leader.

mod backends;
mod jobs;
pub(crate) mod suspects;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    sync::{Arc, mpsc},
    time,
};

use bw_coord::{ReplicaId, host, member};
use bw_relay::{
    dispatch, health, ledger, load, message, quota, registry, route, suspect, unix_time,
};
use bw_wire::name::Name;
use tokio::sync::{Notify, mpsc as async_mpsc, oneshot, watch};

use crate::{
    clock,
    control::{
        effect, evacuation, identity, item, members, orphan, peers, replica, runner, sessions,
    },
    dialect, link, metrics, settings, socket, upstream,
};

/// Interval at which loads are broadcast and batch work is planned.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Ticks without a change after which an empty update is sent as a heartbeat.
const QUIET_TICKS_MAX: u32 = 20;
/// Timeout of a call that is passed on to the leader. Operators and backend servers
/// wait one second.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// The dependencies of the hub.
pub(crate) struct Context {
    pub(crate) settings: settings::Settings,
    pub(crate) dialect: Arc<dyn dialect::Dialect>,
    pub(crate) calls: mpsc::Sender<replica::Call>,
}

/// The state of the network thread.
pub(crate) struct Hub {
    context: Context,
    link: link::Link,
    pub(crate) pool: upstream::Pool,
    pub(crate) sessions: RefCell<sessions::Sessions>,
    loads: RefCell<load::Publisher>,
    peers: RefCell<peers::Peers>,
    pub(crate) registry: RefCell<registry::Registry>,
    /// Backend servers of services that are not configured.
    deferred: RefCell<registry::Deferred>,
    leading_term: Cell<Option<u64>>,
    /// Notified whenever the result of [`Hub::welcome`] may have changed.
    leadership_changed: watch::Sender<()>,
    /// Notified whenever a heartbeat to processes without a session is due.
    heartbeat: watch::Sender<()>,
    leader: Cell<Option<ReplicaId>>,
    own_id: Cell<Option<ReplicaId>>,
    members: RefCell<Vec<member::Member>>,
    published: RefCell<Option<Arc<ledger::Published>>>,
    pub(crate) routes: RefCell<Rc<route::Table>>,
    pub(crate) dispatch: RefCell<dispatch::Dispatcher>,
    pub(crate) runs: RefCell<runner::Runs>,
    result_waiters: RefCell<HashMap<Name, Rc<Notify>>>,
    health: RefCell<health::Health>,
    pub(crate) suspects: RefCell<suspect::Suspects>,
    /// Runs of items of which it is not known yet what they show; of this leader only.
    pub(crate) unsettled: RefCell<suspect::unsettled::Runs<item::Held>>,
    /// Backend servers that are being checked, as they fell silent.
    pub(crate) checked: RefCell<BTreeSet<suspect::Incarnation>>,
    /// Until when no trial of a suspect is asked for, in monotonic milliseconds.
    trial_waits: RefCell<BTreeMap<suspect::Fingerprint, u64>>,
    /// Suspects that changed since the last broadcast.
    changed_suspects: RefCell<BTreeSet<suspect::Fingerprint>>,
    /// Suspects that are in the replicated state; valid while this replica is the leader.
    recorded_suspects: RefCell<BTreeSet<suspect::Fingerprint>>,
    /// VMs whose evacuation was ordered; valid while this replica is the leader.
    pub(crate) evacuated: RefCell<BTreeSet<Name>>,
    /// VMs whose replicas stop and hand their votes over, with the monotonic time in
    /// milliseconds until which that is attempted.
    pub(crate) resigning: RefCell<BTreeMap<Name, u64>>,
    /// VMs that can be evacuated, even while they are disconnected; valid while this
    /// replica is the leader.
    known_vms: RefCell<BTreeSet<Name>>,
    /// The rate at which the batch work of each route completes.
    throughput: RefCell<quota::Throughput>,
    swept_ms: Cell<u64>,
    /// When this replica became the leader.
    leading_since_ms: Cell<u64>,
    /// Converts the monotonic clock to Unix time, as of when this replica became the
    /// leader.
    unix_clock: Cell<unix_time::Clock>,
}

impl Hub {
    pub(crate) fn new(context: Context, link: link::Link) -> Hub {
        let address = context.settings.internal_address().to_string();
        let peers = peers::Peers::new(address.into());
        Hub {
            dispatch: RefCell::new(dispatch::Dispatcher::new(context.settings.dispatch)),
            health: RefCell::new(health::Health::new(context.settings.health)),
            context,
            link,
            pool: upstream::Pool::default(),
            sessions: RefCell::default(),
            loads: RefCell::default(),
            peers: RefCell::new(peers),
            registry: RefCell::default(),
            deferred: RefCell::default(),
            leading_term: Cell::new(None),
            leadership_changed: watch::Sender::new(()),
            heartbeat: watch::Sender::new(()),
            leader: Cell::new(None),
            own_id: Cell::new(None),
            members: RefCell::default(),
            published: RefCell::new(None),
            routes: RefCell::default(),
            runs: RefCell::default(),
            result_waiters: RefCell::default(),
            suspects: RefCell::default(),
            unsettled: RefCell::default(),
            checked: RefCell::default(),
            trial_waits: RefCell::default(),
            changed_suspects: RefCell::default(),
            recorded_suspects: RefCell::default(),
            evacuated: RefCell::default(),
            resigning: RefCell::default(),
            known_vms: RefCell::default(),
            throughput: RefCell::new(quota::Throughput::new(quota::Options::default())),
            swept_ms: Cell::new(0),
            leading_since_ms: Cell::new(0),
            unix_clock: Cell::new(unix_time::Clock::new(
                clock::unix_ms(),
                clock::monotonic_ms(),
            )),
        }
    }

    pub(crate) fn settings(&self) -> &settings::Settings {
        &self.context.settings
    }

    pub(crate) fn dialect(&self) -> &Arc<dyn dialect::Dialect> {
        &self.context.dialect
    }

    pub(crate) fn link(&self) -> &link::Link {
        &self.link
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.leading_term.get().is_some()
    }

    /// Returns the term in which this replica is the leader, `None` if it is not.
    pub(crate) fn term(&self) -> Option<u64> {
        self.leading_term.get()
    }

    /// Returns a receiver that is notified when the leadership or the members change.
    pub(crate) fn subscribe_leadership(&self) -> watch::Receiver<()> {
        self.leadership_changed.subscribe()
    }

    /// Returns a receiver that is notified when a heartbeat is due.
    pub(crate) fn subscribe_heartbeats(&self) -> watch::Receiver<()> {
        self.heartbeat.subscribe()
    }

    /// Returns the first frame to a process that connects.
    pub(crate) fn welcome(&self) -> message::Frame {
        message::Frame::Welcome {
            term: self.term(),
            replicas: self.addresses(),
        }
    }

    /// Returns when this replica became the leader.
    pub(crate) fn leading_since_ms(&self) -> u64 {
        self.leading_since_ms.get()
    }

    /// Returns the Unix time in milliseconds. It does not jump while this replica is
    /// the leader.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.unix_clock.get().unix_ms(clock::monotonic_ms())
    }

    pub(crate) fn has_leader(&self) -> bool {
        self.leader.get().is_some()
    }

    pub(crate) fn own_replica(&self) -> Option<ReplicaId> {
        self.own_id.get()
    }

    /// Forgets the id of this replica, which is reset, so that it does not ask to join
    /// before the new id is known.
    pub(crate) fn forget_replica(&self) {
        self.own_id.set(None);
    }

    pub(crate) fn members(&self) -> Vec<member::Member> {
        self.members.borrow().clone()
    }

    pub(crate) fn is_member(&self) -> bool {
        let members = self.members.borrow();
        members
            .iter()
            .any(|member| Some(member.replica) == self.own_id.get())
    }

    /// Adds a replica that sends messages of the log, by its address.
    pub(crate) fn add_peer(&self, replica: ReplicaId, address: &str) {
        self.peers.borrow_mut().add(replica, address);
    }

    /// Sends a call to the control thread.
    pub(crate) fn send_call(&self, call: replica::Call) {
        if self.context.calls.send(call).is_err() {
            log::error!("the control thread has ended");
        }
    }

    /// Returns the internal addresses of the members, the leader's first if it is known.
    pub(crate) fn addresses(&self) -> Vec<Name> {
        let members = self.members.borrow();
        let leader = self.leader.get();
        let first = members
            .iter()
            .filter(|member| Some(member.replica) == leader);
        let others = members
            .iter()
            .filter(|member| Some(member.replica) != leader);
        let mut addresses: Vec<Name> = first.chain(others).map(identity::address).collect();
        if leader.is_none()
            && let Some(address) = self.link.leader()
        {
            addresses.insert(0, address.to_string().into());
        }
        addresses
    }

    /// Returns the whole state as the first update of a new session.
    pub(crate) fn full_update(&self) -> message::Update {
        let registry = self.registry.borrow();
        let backends = registry
            .backends()
            .map(|backend| backend.announcement.clone());
        message::Update {
            published: self.published.borrow().clone(),
            backends: backends.collect(),
            loads: Some(self.loads.borrow().snapshot()),
            suspects: self.all_suspects(),
        }
    }

    /// Records durably that a connected VM can be evacuated, which entry VMs cannot.
    pub(crate) fn register_vm(&self, node: &Name, role: message::Role) {
        if role == message::Role::Entry || self.is_known_vm(node) {
            return;
        }
        // If the command is refused, the VM is recorded when it connects again.
        let (reply, _) = oneshot::channel();
        let command = ledger::Command::Register { node: node.clone() };
        self.send_call(replica::Call::Propose { command, reply });
    }

    /// Returns whether a VM that can be evacuated has ever connected to a leader.
    pub(crate) fn is_known_vm(&self, node: &Name) -> bool {
        self.known_vms.borrow().contains(node)
    }

    pub(crate) fn close_session(&self, session: u64) {
        self.sessions.borrow_mut().remove(session);
    }

    /// Calls the leader, whether that is this replica or another one.
    pub(crate) async fn call(self: &Rc<Hub>, request: message::Request) -> message::Reply {
        match self.is_leader() {
            true => {
                let handling = tokio::time::timeout(CALL_TIMEOUT, self.handle(request));
                handling.await.unwrap_or(message::Reply::Lost)
            }
            false => self.link.call(request, CALL_TIMEOUT).await,
        }
    }

    /// Handles a call if this replica is the leader.
    pub(crate) async fn handle(self: &Rc<Hub>, request: message::Request) -> message::Reply {
        if !self.is_leader() {
            return message::Reply::NotLeader;
        }
        match request {
            message::Request::Announce(announcement) => self.announce(announcement).await,
            message::Request::Leave { id, started_ms } => self.leave(&id, started_ms).await,
            message::Request::Publish(published) => self.publish(*published).await,
            message::Request::ReadConfig => match self.read(replica::Read::Document).await {
                Ok(replica::Answer::Document(document)) => message::Reply::Document(document),
                other => refusal(other.err()),
            },
            message::Request::Version => match self.read(replica::Read::Version).await {
                Ok(replica::Answer::Version(version)) => message::Reply::Version(version),
                other => refusal(other.err()),
            },
            message::Request::Trial {
                fingerprint,
                is_part,
                ticket,
            } => {
                let subject = match is_part {
                    true => suspects::Subject::Part {
                        backend: None,
                        is_suspected: false,
                    },
                    false => suspects::Subject::Content,
                };
                self.begin_trial(fingerprint, ticket, subject).await
            }
            message::Request::Submit(job) => self.submit(*job).await,
            message::Request::Results {
                job,
                after,
                wait_ms,
            } => self.results(job, after, wait_ms).await,
            message::Request::Body { job, item } => self.body(job, item).await,
            message::Request::End { job } => self.end(job).await,
            message::Request::Evacuate { node } => evacuation::order(self, node).await,
            message::Request::Evacuated { node } => evacuation::state(self, node).await,
            message::Request::Join {
                node,
                replica,
                address,
                failure_domain,
            } => {
                let applicant = members::Applicant {
                    node,
                    id: ReplicaId(replica),
                    address,
                    failure_domain,
                };
                members::handle_join(self, applicant).await
            }
            message::Request::Resign { node } => members::handle_resign(self, node).await,
        }
    }

    /// Makes a configuration durable. [`Hub::apply_effect`] puts it into force.
    async fn publish(&self, published: ledger::Published) -> message::Reply {
        let version = published.config.version;
        let command = ledger::Command::Publish(Box::new(published));
        let result = self.propose(command).await;
        log::info!(version = version, outcome = format!("{result:?}").as_str(); "configuration published");
        match result {
            Ok(_) => message::Reply::Done,
            Err(error) => refusal(Some(error)),
        }
    }

    /// Carries out the side effect of an applied command.
    fn apply_effect(&self, effect: effect::Effect) {
        // The next leader starts from the state after the command.
        if !self.is_leader() {
            return;
        }
        match effect {
            effect::Effect::Published(published) => self.activate_config(&published),
            effect::Effect::Accepted(id, job) => {
                let judge = |headers: &[(Name, Name)]| item::judge(self, headers);
                self.dispatch.borrow_mut().add(&id, &job, judge);
            }
            effect::Effect::Ended(id) => self.stop_job(&id),
            effect::Effect::Evacuated(node) => {
                self.evacuated.borrow_mut().insert(node);
            }
            effect::Effect::Registered(node) => {
                self.known_vms.borrow_mut().insert(node);
            }
        }
    }

    /// Broadcasts a configuration to all sessions unless it is outdated.
    fn activate_config(&self, published: &Arc<ledger::Published>) {
        if !self.set_published(published) {
            return;
        }
        // Entry VMs learn of the backend servers before the routes that need them.
        self.apply_deferred();
        let version = published.config.version;
        let update = message::Update {
            published: Some(Arc::clone(published)),
            ..message::Update::default()
        };
        let mut sessions = self.sessions.borrow_mut();
        log::info!(version = version, sessions = sessions.len(); "sending a configuration to all sessions");
        sessions.broadcast(&message::Frame::Update(update));
    }

    /// Notes that the result of an item is durable.
    pub(crate) fn note_item_recorded(&self, key: &dispatch::Key) {
        let recorded = self.dispatch.borrow_mut().recorded(key);
        if let Some((route, tokens)) = recorded {
            let mut throughput = self.throughput.borrow_mut();
            throughput.ended(&route, tokens, clock::monotonic_ms());
        }
        self.job_changed(&key.job);
    }

    /// Sets the configuration if it is newer than the known one. Returns whether it is.
    fn set_published(&self, published: &Arc<ledger::Published>) -> bool {
        let mut current = self.published.borrow_mut();
        let version = current.as_ref().map(|current| current.config.version);
        if version.is_some_and(|version| version >= published.config.version) {
            return false;
        }
        *self.routes.borrow_mut() = Rc::new(route::Table::new(&published.config));
        *current = Some(Arc::clone(published));
        metrics::CONFIGURATION_VERSION.set(published.config.version as i64);
        true
    }

    pub(crate) async fn propose(
        &self,
        command: ledger::Command,
    ) -> Result<ledger::Applied, host::Refusal> {
        let (reply, receiver) = oneshot::channel();
        self.send_call(replica::Call::Propose { command, reply });
        // The control thread drops a call only when its host ends, which leaves the
        // outcome unknown.
        receiver.await.unwrap_or(Err(host::Refusal::Lost))
    }

    pub(crate) async fn read(&self, read: replica::Read) -> Result<replica::Answer, host::Refusal> {
        let (reply, receiver) = oneshot::channel();
        self.send_call(replica::Call::Read { read, reply });
        receiver.await.unwrap_or(Err(host::Refusal::Stopped))
    }

    fn become_follower(&self, leader: Option<ReplicaId>) {
        self.leader.set(leader);
        if self.leading_term.take().is_some() {
            log::warn!("no longer the leader");
            self.sessions.borrow_mut().close();
            *self.loads.borrow_mut() = load::Publisher::default();
            self.runs.borrow_mut().stop_all();
            *self.unsettled.borrow_mut() = suspect::unsettled::Runs::default();
            *self.dispatch.borrow_mut() = dispatch::Dispatcher::new(self.settings().dispatch);
        }
    }

    fn become_leader(self: &Rc<Hub>, leading: replica::Leading) {
        let now_ms = clock::monotonic_ms();
        let unix_ms = clock::unix_ms();
        log::info!(term = leading.term, open_jobs = leading.jobs.len(), unix_ms = unix_ms; "leading");
        self.unix_clock.set(unix_time::Clock::new(unix_ms, now_ms));
        if let Some(published) = &leading.published {
            self.set_published(published);
        }
        self.restore_backends(leading.backends, now_ms, unix_ms);
        for (id, job) in &leading.jobs {
            let judge = |headers: &[(Name, Name)]| item::judge(self, headers);
            self.dispatch.borrow_mut().inherit(id, job, judge);
        }
        *self.recorded_suspects.borrow_mut() = leading
            .suspects
            .iter()
            .map(|evidence| evidence.fingerprint)
            .collect();
        for evidence in &leading.suspects {
            self.suspects.borrow_mut().merge(evidence, now_ms);
        }
        self.trial_waits.borrow_mut().clear();
        *self.evacuated.borrow_mut() = leading.evacuated;
        *self.known_vms.borrow_mut() = leading.known_vms;
        self.leading_since_ms.set(now_ms);
        self.leading_term.set(Some(leading.term));
        self.leadership_changed.send_replace(());
        orphan::start(self);
    }

    /// Reports a change of the members to all connected processes.
    fn broadcast_members(&self) {
        self.leadership_changed.send_replace(());
        if self.is_leader() {
            self.sessions.borrow_mut().broadcast(&self.welcome());
        }
    }

    /// Transfers the leadership before a stop and waits until another replica has it.
    pub(crate) async fn transfer_leadership(&self, timeout: time::Duration) {
        if !self.is_leader() {
            return;
        }
        self.send_call(replica::Call::Transfer);
        let waiting = async {
            while self.is_leader() {
                tokio::time::sleep(TICK_INTERVAL).await;
            }
        };
        if tokio::time::timeout(timeout, waiting).await.is_err() {
            log::warn!("stopping while still the leader: no other replica took over in time");
        }
    }
}

/// Returns the reply to a call whose command or read the replicated log refused.
pub(crate) fn refusal(refusal: Option<host::Refusal>) -> message::Reply {
    match refusal {
        Some(host::Refusal::Lost) | None => message::Reply::Lost,
        Some(host::Refusal::Busy) => message::Reply::Busy,
        Some(_) => message::Reply::NotLeader,
    }
}

/// Handles the notices of the control thread until it ends.
pub(crate) async fn handle_notices(
    hub: Rc<Hub>,
    mut notices: async_mpsc::UnboundedReceiver<replica::Notice>,
) {
    while let Some(notice) = notices.recv().await {
        match notice {
            replica::Notice::Send { to, message } => hub.peers.borrow().send(to, message),
            replica::Notice::Members { own, members } => {
                hub.own_id.set(Some(own));
                hub.peers.borrow_mut().set_members(own, &members);
                let voters = members.iter().filter(|member| member.voter).count();
                log::info!(own = own.0, members = members.len(), voters = voters; "members changed");
                let addresses = members
                    .iter()
                    .filter_map(|member| member.address.parse().ok());
                hub.link.add_replicas(addresses.collect());
                *hub.members.borrow_mut() = members;
                hub.broadcast_members();
            }
            replica::Notice::Following { leader } => hub.become_follower(leader),
            replica::Notice::Leading(leading) => hub.become_leader(*leading),
            replica::Notice::Applied(effect) => hub.apply_effect(effect),
        }
    }
}

/// Keeps a copy of the leader's registry and suspects, with which this replica starts
/// when it becomes the leader.
pub(crate) async fn handle_link_events(
    hub: Rc<Hub>,
    mut events: async_mpsc::UnboundedReceiver<link::Event>,
) {
    while let Some(event) = events.recv().await {
        let link::Event::Update(update) = event else {
            continue;
        };
        if hub.is_leader() {
            continue;
        }
        let now_ms = clock::monotonic_ms();
        for report in update.suspects {
            hub.suspects.borrow_mut().merge(&report.into(), now_ms);
        }
        let mut registry = hub.registry.borrow_mut();
        for announcement in update.backends {
            registry.announce(announcement, now_ms);
        }
    }
}

/// Notifies connections without a session when a heartbeat is due. All send it at the
/// same time, because each wake-up of the process costs CPU time.
pub(crate) async fn send_heartbeats(hub: Rc<Hub>) {
    loop {
        tokio::time::sleep(socket::HEARTBEAT_INTERVAL).await;
        hub.heartbeat.send_replace(());
    }
}

/// Does the periodic work of the leader.
pub(crate) async fn run_periodic_work(hub: Rc<Hub>) {
    let mut quiet = 0;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        if !hub.is_leader() {
            continue;
        }
        hub.expire_silent();
        item::expire(&hub);
        hub.sweep();
        runner::plan(&hub);
        let loads = hub.loads();
        let changes = hub.loads.borrow_mut().changes(&loads);
        let suspects = hub.take_changed_suspects();
        let changed = changes.is_some() || !suspects.is_empty();
        quiet = if changed { 0 } else { quiet + 1 };
        if !changed && quiet < QUIET_TICKS_MAX {
            continue;
        }
        quiet = 0;
        let update = message::Update {
            loads: changes,
            suspects: suspects.into_iter().map(Into::into).collect(),
            ..message::Update::default()
        };
        hub.sessions
            .borrow_mut()
            .broadcast(&message::Frame::Update(update));
        let open = hub.dispatch.borrow().open_items() as i64;
        metrics::OPEN_ITEMS.set(open);
        let suspects = hub.dispatch.borrow().suspects() as i64;
        metrics::SUSPECT_ITEMS.set(suspects);
    }
}
