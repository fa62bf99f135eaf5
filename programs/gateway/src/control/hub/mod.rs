//! The network thread's state: the registry of backend servers, the sessions
//! of entry VMs, and the batch dispatch while this replica leads.

mod backends;
mod jobs;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
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
    control::{effect, evacuation, identity, members, orphan, peers, replica, runner, sessions},
    dialect, link, metrics, settings, socket, upstream,
};

/// How often loads are sent on and batch work is planned.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Ticks without a change after which an empty update is sent, which shows
/// that the leader is alive.
const QUIET_TICKS: u32 = 20;
/// Time limit of a call that is passed on to the leader. Operators and backend
/// servers wait one second.
const CALL: time::Duration = time::Duration::from_millis(900);

/// What the hub works with.
pub(crate) struct Parts {
    pub(crate) settings: settings::Settings,
    pub(crate) dialect: Arc<dyn dialect::Dialect>,
    pub(crate) calls: mpsc::Sender<replica::Call>,
}

/// The state of the network thread.
pub(crate) struct Hub {
    parts: Parts,
    link: link::Link,
    pub(crate) pool: upstream::Pool,
    pub(crate) sessions: RefCell<sessions::Sessions>,
    loads: RefCell<load::Publisher>,
    peers: RefCell<peers::Peers>,
    registry: RefCell<registry::Registry>,
    leads: Cell<Option<u64>>,
    /// Changes whenever the answer to [`Hub::welcome`] may have changed.
    standing: watch::Sender<()>,
    /// Changes whenever processes that watch this replica are to be told that it
    /// is alive.
    pulse: watch::Sender<()>,
    leader: Cell<Option<ReplicaId>>,
    own: Cell<Option<ReplicaId>>,
    members: RefCell<Vec<member::Member>>,
    heard: RefCell<HashMap<ReplicaId, u64>>,
    published: RefCell<Option<Arc<ledger::Published>>>,
    pub(crate) routes: RefCell<Rc<route::Table>>,
    pub(crate) dispatch: RefCell<dispatch::Dispatcher>,
    pub(crate) runs: RefCell<runner::Runs>,
    changed: RefCell<HashMap<Name, Rc<Notify>>>,
    health: RefCell<health::Health>,
    suspects: RefCell<suspect::Suspects>,
    /// VMs that were ordered to be emptied, while this replica leads.
    pub(crate) evacuated: RefCell<BTreeSet<Name>>,
    /// VMs that can be emptied, while this replica leads. They stay known when they are
    /// out of touch.
    met: RefCell<BTreeSet<Name>>,
    /// How fast the work of routes ends while this replica leads.
    pace: RefCell<quota::Throughput>,
    swept_ms: Cell<u64>,
    /// When this replica began to lead.
    led_ms: Cell<u64>,
    /// Unix time, set when this replica began to lead.
    calendar: Cell<unix_time::Clock>,
}

impl Hub {
    pub(crate) fn new(parts: Parts, link: link::Link) -> Hub {
        let address = parts.settings.internal_address().to_string();
        let peers = peers::Peers::new(address.into());
        Hub {
            dispatch: RefCell::new(dispatch::Dispatcher::new(parts.settings.dispatch)),
            health: RefCell::new(health::Health::new(parts.settings.health)),
            parts,
            link,
            pool: upstream::Pool::default(),
            sessions: RefCell::default(),
            loads: RefCell::default(),
            peers: RefCell::new(peers),
            registry: RefCell::default(),
            leads: Cell::new(None),
            standing: watch::Sender::new(()),
            pulse: watch::Sender::new(()),
            leader: Cell::new(None),
            own: Cell::new(None),
            members: RefCell::default(),
            heard: RefCell::default(),
            published: RefCell::new(None),
            routes: RefCell::default(),
            runs: RefCell::default(),
            changed: RefCell::default(),
            suspects: RefCell::default(),
            evacuated: RefCell::default(),
            met: RefCell::default(),
            pace: RefCell::new(quota::Throughput::new(quota::Options::default())),
            swept_ms: Cell::new(0),
            led_ms: Cell::new(0),
            calendar: Cell::new(unix_time::Clock::new(
                clock::unix_ms(),
                clock::monotonic_ms(),
            )),
        }
    }

    pub(crate) fn settings(&self) -> &settings::Settings {
        &self.parts.settings
    }

    pub(crate) fn dialect(&self) -> &Arc<dyn dialect::Dialect> {
        &self.parts.dialect
    }

    pub(crate) fn link(&self) -> &link::Link {
        &self.link
    }

    pub(crate) fn leads(&self) -> bool {
        self.leads.get().is_some()
    }

    /// Returns the term in which this replica leads.
    pub(crate) fn term(&self) -> Option<u64> {
        self.leads.get()
    }

    /// Returns what tells of changes of this replica's part in the group.
    pub(crate) fn standing(&self) -> watch::Receiver<()> {
        self.standing.subscribe()
    }

    /// Returns what tells when to say that this replica is alive.
    pub(crate) fn pulse(&self) -> watch::Receiver<()> {
        self.pulse.subscribe()
    }

    /// Returns the answer to another process that connects.
    pub(crate) fn welcome(&self) -> message::Frame {
        message::Frame::Welcome {
            term: self.term(),
            replicas: self.addresses(),
        }
    }

    /// Returns when this replica began to lead.
    pub(crate) fn led_ms(&self) -> u64 {
        self.led_ms.get()
    }

    /// Returns the Unix time in milliseconds. It does not jump while this replica
    /// leads.
    pub(crate) fn unix_ms(&self) -> u64 {
        self.calendar.get().unix_ms(clock::monotonic_ms())
    }

    pub(crate) fn follows(&self) -> bool {
        self.leader.get().is_some()
    }

    pub(crate) fn own_replica(&self) -> Option<ReplicaId> {
        self.own.get()
    }

    pub(crate) fn forget_replica(&self) {
        self.own.set(None);
    }

    pub(crate) fn members(&self) -> Vec<member::Member> {
        self.members.borrow().clone()
    }

    pub(crate) fn is_member(&self) -> bool {
        let members = self.members.borrow();
        members
            .iter()
            .any(|member| Some(member.replica) == self.own.get())
    }

    /// Returns when a replica was heard from last. One that was never heard
    /// from counts from the time that this replica began to lead.
    pub(crate) fn heard_ms(&self, replica: ReplicaId) -> u64 {
        self.heard.borrow().get(&replica).copied().unwrap_or(0)
    }

    pub(crate) fn heard(&self, replica: ReplicaId, now_ms: u64) {
        self.heard.borrow_mut().insert(replica, now_ms);
    }

    /// Notes the address of a replica that sends messages of the log.
    pub(crate) fn learn_peer(&self, replica: ReplicaId, address: &str) {
        self.peers.borrow_mut().learn(replica, address);
    }

    /// Hands a call to the control thread.
    pub(crate) fn tell(&self, call: replica::Call) {
        if self.parts.calls.send(call).is_err() {
            log::error!("the control thread has ended");
        }
    }

    /// Returns internal addresses of replicas, the leader's first if known.
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

    /// Returns everything that a new session needs.
    pub(crate) fn full_update(&self) -> message::Update {
        let registry = self.registry.borrow();
        let backends = registry
            .backends()
            .map(|backend| backend.announcement.clone());
        message::Update {
            published: self.published.borrow().clone(),
            backends: backends.collect(),
            loads: Some(self.loads.borrow().snapshot()),
            suspects: self.suspects.borrow().all(),
        }
    }

    /// Notes that a VM has connected. That it can be emptied is made durable.
    pub(crate) fn meet(&self, node: &Name, role: message::Role) {
        if role == message::Role::Entry || self.has_met(node) {
            return;
        }
        // After a refusal it is noted when the VM connects to the next leader.
        let (reply, _) = oneshot::channel();
        let command = ledger::Command::Register { node: node.clone() };
        self.tell(replica::Call::Propose { command, reply });
    }

    /// Returns whether a VM that can be emptied has ever connected to a leader.
    pub(crate) fn has_met(&self, node: &Name) -> bool {
        self.met.borrow().contains(node)
    }

    pub(crate) fn close_session(&self, session: u64) {
        self.sessions.borrow_mut().remove(session);
    }

    /// Calls the leader, wherever it is.
    pub(crate) async fn call(self: &Rc<Hub>, request: message::Request) -> message::Reply {
        match self.leads() {
            true => {
                let handling = tokio::time::timeout(CALL, self.handle(request));
                handling.await.unwrap_or(message::Reply::Lost)
            }
            false => self.link.call(request, CALL).await,
        }
    }

    /// Handles a call as the leader.
    pub(crate) async fn handle(self: &Rc<Hub>, request: message::Request) -> message::Reply {
        if !self.leads() {
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
            message::Request::Submit(job) => self.submit(*job).await,
            message::Request::Results {
                job,
                after,
                wait_ms,
            } => self.results(job, after, wait_ms).await,
            message::Request::Body { job, item } => self.body(job, item).await,
            message::Request::End { job } => self.end(job).await,
            message::Request::Evacuate { node } => evacuation::begin(self, node).await,
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
                members::decide(self, applicant).await
            }
        }
    }

    /// Makes a configuration durable. [`Hub::carry_out`] puts it in force.
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

    /// Carries out what an applied command calls for.
    fn carry_out(&self, effect: effect::Effect) {
        // The next leader begins with the state after the command.
        if !self.leads() {
            return;
        }
        match effect {
            effect::Effect::Published(published) => self.put_in_force(&published),
            effect::Effect::Accepted(id, job) => self.dispatch.borrow_mut().add(&id, &job),
            effect::Effect::Ended(id) => self.stop_job(&id),
            effect::Effect::Evacuated(node) => {
                self.evacuated.borrow_mut().insert(node);
            }
            effect::Effect::Met(node) => {
                self.met.borrow_mut().insert(node);
            }
        }
    }

    /// Tells all sessions of a configuration unless they know it.
    fn put_in_force(&self, published: &Arc<ledger::Published>) {
        if !self.set_published(published) {
            return;
        }
        let version = published.config.version;
        let update = message::Update {
            published: Some(Arc::clone(published)),
            ..message::Update::default()
        };
        let mut sessions = self.sessions.borrow_mut();
        log::info!(version = version, sessions = sessions.len(); "telling entry VMs of a configuration");
        sessions.broadcast(&message::Frame::Update(update));
    }

    /// Notes that the end of an item is durable.
    pub(crate) fn item_recorded(&self, key: &dispatch::Key) {
        let recorded = self.dispatch.borrow_mut().recorded(key);
        if let Some((place, tokens)) = recorded {
            let mut pace = self.pace.borrow_mut();
            pace.ended(&place, tokens, clock::monotonic_ms());
        }
        self.job_changed(&key.job);
    }

    /// Takes a configuration. Returns whether it is newer than the known one.
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
        let (reply, answer) = oneshot::channel();
        self.tell(replica::Call::Propose { command, reply });
        // The control thread drops calls only when its host has ended, after
        // which the outcome is unknown.
        answer.await.unwrap_or(Err(host::Refusal::Lost))
    }

    pub(crate) async fn read(&self, read: replica::Read) -> Result<replica::Answer, host::Refusal> {
        let (reply, answer) = oneshot::channel();
        self.tell(replica::Call::Read { read, reply });
        answer.await.unwrap_or(Err(host::Refusal::Stopped))
    }

    fn follow(&self, leader: Option<ReplicaId>) {
        self.leader.set(leader);
        if self.leads.take().is_some() {
            log::warn!("no longer the leader");
            self.sessions.borrow_mut().close();
            *self.loads.borrow_mut() = load::Publisher::default();
            self.runs.borrow_mut().stop_all();
            *self.dispatch.borrow_mut() = dispatch::Dispatcher::new(self.settings().dispatch);
        }
    }

    fn lead(self: &Rc<Hub>, leading: replica::Leading) {
        let now_ms = clock::monotonic_ms();
        let unix_ms = clock::unix_ms();
        log::info!(term = leading.term, open_jobs = leading.jobs.len(), unix_ms = unix_ms; "leading");
        self.calendar.set(unix_time::Clock::new(unix_ms, now_ms));
        {
            let mut registry = self.registry.borrow_mut();
            for announcement in leading.backends {
                registry.announce(announcement, now_ms);
            }
            registry.refresh(now_ms);
        }
        for member in self.members.borrow().iter() {
            self.heard.borrow_mut().insert(member.replica, now_ms);
        }
        if let Some(published) = &leading.published {
            self.set_published(published);
        }
        for (id, job) in &leading.jobs {
            self.dispatch.borrow_mut().inherit(id, job);
        }
        *self.evacuated.borrow_mut() = leading.evacuated;
        *self.met.borrow_mut() = leading.met;
        self.led_ms.set(now_ms);
        self.leads.set(Some(leading.term));
        self.standing.send_replace(());
        orphan::begin(self);
    }

    /// Tells watchers and sessions of a change of the members.
    fn tell_members(&self) {
        self.standing.send_replace(());
        if self.leads() {
            self.sessions.borrow_mut().broadcast(&self.welcome());
        }
    }

    /// Gives leadership away before a stop.
    pub(crate) async fn give_up_lead(&self, limit: time::Duration) {
        if !self.leads() {
            return;
        }
        self.tell(replica::Call::Transfer);
        let waiting = async {
            while self.leads() {
                tokio::time::sleep(TICK).await;
            }
        };
        if tokio::time::timeout(limit, waiting).await.is_err() {
            log::warn!("stopping as the leader: no replica took over in time");
        }
    }
}

/// Translates a refusal of the log.
pub(crate) fn refusal(refusal: Option<host::Refusal>) -> message::Reply {
    match refusal {
        Some(host::Refusal::Lost) | None => message::Reply::Lost,
        Some(host::Refusal::Busy) => message::Reply::Busy,
        Some(_) => message::Reply::NotLeader,
    }
}

/// Takes notices of the control thread until it ends.
pub(crate) async fn take_notices(
    hub: Rc<Hub>,
    mut notices: async_mpsc::UnboundedReceiver<replica::Notice>,
) {
    while let Some(notice) = notices.recv().await {
        match notice {
            replica::Notice::Send { to, message } => hub.peers.borrow().send(to, message),
            replica::Notice::Members { own, members } => {
                hub.own.set(Some(own));
                hub.peers.borrow_mut().set(own, &members);
                log::info!(own = own.0, members = members.len(); "members changed");
                let now_ms = clock::monotonic_ms();
                for member in &members {
                    hub.heard
                        .borrow_mut()
                        .entry(member.replica)
                        .or_insert(now_ms);
                }
                *hub.members.borrow_mut() = members;
                hub.tell_members();
            }
            replica::Notice::Following { leader } => hub.follow(leader),
            replica::Notice::Leading(leading) => hub.lead(*leading),
            replica::Notice::Applied(effect) => hub.carry_out(effect),
        }
    }
}

/// Keeps the copy of the leader's registry that a new leader begins with.
pub(crate) async fn take_news(hub: Rc<Hub>, mut news: async_mpsc::UnboundedReceiver<link::Event>) {
    while let Some(news) = news.recv().await {
        let link::Event::Update(update) = news else {
            continue;
        };
        if hub.leads() {
            continue;
        }
        let now_ms = clock::monotonic_ms();
        for strike in update.suspects {
            hub.suspects.borrow_mut().merge(strike, now_ms);
        }
        let mut registry = hub.registry.borrow_mut();
        for announcement in update.backends {
            registry.announce(announcement, now_ms);
        }
    }
}

/// Tells processes that watch this replica from time to time that it is alive.
/// All are told at once, as each wake-up of the process costs.
pub(crate) async fn beat(hub: Rc<Hub>) {
    loop {
        tokio::time::sleep(socket::HEARTBEAT_INTERVAL).await;
        hub.pulse.send_replace(());
    }
}

/// Does the leader's work that is due from time to time.
pub(crate) async fn tick(hub: Rc<Hub>) {
    let mut quiet = 0;
    loop {
        tokio::time::sleep(TICK).await;
        if !hub.leads() {
            continue;
        }
        hub.expire();
        hub.sweep();
        runner::plan(&hub);
        let loads = hub.loads();
        let changes = hub.loads.borrow_mut().changes(&loads);
        quiet = if changes.is_some() { 0 } else { quiet + 1 };
        if changes.is_none() && quiet < QUIET_TICKS {
            continue;
        }
        quiet = 0;
        let update = message::Update {
            loads: changes,
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
