//! The state of the entry program.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use bw_base::responses;
use bw_relay::{balance, ledger, load, message, registry, route};
use rand::{RngCore, SeedableRng};
use tokio::sync::Notify;

use crate::{
    clock, dialect,
    entry::{self, attempt::Run, confirm, suspects::Suspects},
    link, metrics, settings,
};

/// Interval between sweeps of idle connections, in milliseconds.
const SWEEP_MS: u64 = 1_000;
/// Time without an update from the leader after which this VM fails its readiness
/// checks, in milliseconds. Elections take up to a second; a VM that is cut off for
/// longer may use an outdated configuration.
const STALE_MS: u64 = 8_000;

/// Time after the start in which requests wait for the first configuration, in
/// milliseconds. After a power loss of all VMs the first election ends 0.3 to 1 s
/// after the programs start. A caller that is refused in that time retries a
/// second later, or never if its connection broke in the power loss.
const STARTUP_MS: u64 = 1_500;
/// Longest such wait of one request in milliseconds. It leaves a refused caller
/// enough time to retry.
const STARTUP_WAIT_MAX_MS: u64 = 1_000;

/// The state that all tasks of the entry program share on their one thread.
pub(crate) struct State {
    pub(crate) settings: settings::Settings,
    pub(crate) dialect: Arc<dyn dialect::Dialect>,
    pub(crate) link: link::Link,
    pub(crate) pool: entry::Pool,
    pub(crate) balance: RefCell<balance::Balancer>,
    loads: RefCell<load::Subscriber>,
    pub(crate) routing: RefCell<Option<Rc<Routing>>>,
    pub(crate) confirmer: confirm::Confirmer,
    /// Notified when a configuration comes into force.
    config_changed: Notify,
    started_ms: u64,
    /// Requests in flight by backend server number, as last reported to the leader.
    reported_online: RefCell<Vec<(u32, u32)>>,
    /// Notified when a request was placed where batch items must be preempted.
    pub(crate) preemption_wanted: Notify,
    pub(crate) connected: Cell<bool>,
    pub(crate) draining: Cell<bool>,
    /// Until when requests must be answered, as the process exits, in monotonic
    /// milliseconds.
    pub(crate) answer_until_ms: Cell<u64>,
    /// The responses of all ports.
    pub(crate) responses: responses::Responses,
    pub(crate) active_requests: Cell<u64>,
    pub(crate) connections: Cell<u64>,
    pub(crate) suspects: Suspects,
    registry: RefCell<registry::Registry>,
    random: RefCell<rand_pcg::Pcg64Mcg>,
    swept_ms: Cell<u64>,
    leader_heard_ms: Cell<u64>,
    /// When the loads that other entry VMs cause were last received.
    loads_received_ms: Cell<u64>,
}

/// The configuration in force at this VM.
pub(crate) struct Routing {
    pub(crate) version: u64,
    pub(crate) table: route::Table,
    pub(crate) limits: route::Limits,
}

impl State {
    pub(crate) fn new(
        settings: settings::Settings,
        dialect: Arc<dyn dialect::Dialect>,
        link: link::Link,
    ) -> State {
        let seed = clock::unix_ms() ^ xxhash_rust::xxh3::xxh3_64(settings.node.as_bytes());
        State {
            balance: RefCell::new(balance::Balancer::new(settings.placement)),
            settings,
            dialect,
            link,
            pool: entry::Pool::default(),
            loads: RefCell::default(),
            routing: RefCell::new(None),
            confirmer: confirm::Confirmer::default(),
            config_changed: Notify::new(),
            started_ms: clock::monotonic_ms(),
            reported_online: RefCell::default(),
            preemption_wanted: Notify::new(),
            connected: Cell::new(false),
            draining: Cell::new(false),
            answer_until_ms: Cell::new(u64::MAX),
            responses: responses::Responses::default(),
            active_requests: Cell::new(0),
            connections: Cell::new(0),
            suspects: Suspects::default(),
            registry: RefCell::default(),
            random: RefCell::new(rand_pcg::Pcg64Mcg::seed_from_u64(seed)),
            swept_ms: Cell::new(0),
            leader_heard_ms: Cell::new(0),
            loads_received_ms: Cell::new(0),
        }
    }

    /// Returns the configuration in force, if one is known.
    pub(crate) fn routing(&self) -> Option<Rc<Routing>> {
        self.routing.borrow().clone()
    }

    /// Returns the configuration in force. Shortly after the start it waits for the
    /// first one. Later on, a VM without a configuration has been cut off for longer
    /// than callers should wait.
    pub(crate) async fn await_routing(&self) -> Option<Rc<Routing>> {
        let now_ms = clock::monotonic_ms();
        let until_ms = (now_ms + STARTUP_WAIT_MAX_MS).min(self.started_ms + STARTUP_MS);
        self.await_version(0, until_ms).await
    }

    /// Returns the configuration in force once it has at least this version; `None`
    /// if that takes too long.
    pub(crate) async fn await_version(&self, version: u64, until_ms: u64) -> Option<Rc<Routing>> {
        loop {
            let config_changed = self.config_changed.notified();
            let routing = self.routing();
            if let Some(routing) = routing.filter(|routing| routing.version >= version) {
                return Some(routing);
            }
            tokio::time::timeout(entry::remaining(until_ms), config_changed)
                .await
                .ok()?;
        }
    }

    /// Returns whether the load balancer should send callers to this VM.
    pub(crate) fn is_ready(&self) -> bool {
        let fresh = self.silence_ms() < STALE_MS;
        !self.draining.get() && fresh && self.routing.borrow().is_some()
    }

    /// Returns the time since the last update from the leader.
    pub(crate) fn silence_ms(&self) -> u64 {
        clock::monotonic_ms().saturating_sub(self.leader_heard_ms.get())
    }

    /// Returns the age of the known loads that other entry VMs cause.
    pub(crate) fn loads_age_ms(&self) -> u64 {
        clock::monotonic_ms().saturating_sub(self.loads_received_ms.get())
    }

    pub(crate) fn random_u64(&self) -> u64 {
        self.random.borrow_mut().next_u64()
    }

    /// Applies an update from the leader.
    pub(crate) fn apply_update(&self, update: message::Update) {
        let now_ms = clock::monotonic_ms();
        self.leader_heard_ms.set(now_ms);
        metrics::LEADER_HEARD_MS.set(clock::unix_ms() as i64);
        if let Some(published) = update.published {
            self.apply_config(&published);
        }
        self.note_lifetimes(&update.backends, now_ms);
        for announcement in update.backends {
            self.apply_announcement(announcement, now_ms);
        }
        let is_first = update.loads.as_ref().is_some_and(|loads| loads.is_snapshot);
        self.suspects
            .apply_update(&self.link, update.suspects, is_first);
        if let Some(loads) = update.loads {
            self.loads_received_ms.set(now_ms);
            let changed = self.loads.borrow_mut().apply(&loads);
            let mut balance = self.balance.borrow_mut();
            if loads.is_snapshot {
                balance.clear_loads();
                // A new leader knows only the requests that are reported to it.
                self.preemption_wanted.notify_one();
                self.reported_online.borrow_mut().clear();
            }
            balance.set_loads(&changed);
        }
    }

    /// Notes that the leader was found or lost. Each leader numbers the backend
    /// servers anew, so loads by the numbers of the one before are dropped.
    pub(crate) fn set_connected(&self, connected: bool) {
        self.connected.set(connected);
        self.loads.borrow_mut().clear();
    }

    /// Returns the report for the leader; `None` if nothing changed and `repeat` is
    /// false.
    pub(crate) fn report(&self, repeat: bool) -> Option<Vec<message::Usage>> {
        let usage = self.balance.borrow_mut().report();
        let report = self.loads.borrow().report(&usage);
        let results = report
            .iter()
            .any(|usage| usage.succeeded + usage.failed > 0);
        let online = report.iter().map(|usage| (usage.number, usage.online));
        let online: Vec<_> = online.filter(|(_, online)| *online > 0).collect();
        let mut reported_online = self.reported_online.borrow_mut();
        if !repeat && !results && online == *reported_online {
            return None;
        }
        *reported_online = online;
        Some(report)
    }

    /// Closes expired idle connections if the sweep interval has passed.
    pub(crate) fn sweep_if_due(&self) {
        let now_ms = clock::monotonic_ms();
        if now_ms >= self.swept_ms.get() + SWEEP_MS {
            self.swept_ms.set(now_ms);
            self.pool.sweep();
            let announce_ms = self.settings.announce_ms;
            let connected = self.connected.get();
            self.suspects
                .confirm_alive(&self.link, announce_ms, connected);
            self.suspects.expire(announce_ms);
        }
    }

    fn apply_config(&self, published: &ledger::Published) {
        let config = &published.config;
        let current = self.routing().map_or(0, |routing| routing.version);
        if current > 0 && config.version <= current {
            return;
        }
        log::info!(version = config.version, routes = config.routes.len(); "configuration in force");
        let routing = Routing {
            version: config.version,
            table: route::Table::new(config),
            limits: config.limits,
        };
        *self.routing.borrow_mut() = Some(Rc::new(routing));
        metrics::CONFIGURATION_VERSION.set(config.version as i64);
        self.config_changed.notify_waiters();
    }

    /// Notes what announcements show of the starts of backend servers under which runs have
    /// ended without a complete answer.
    fn note_lifetimes(&self, announcements: &[registry::Announcement], now_ms: u64) {
        if self.suspects.has_settled_all() {
            return;
        }
        let registry = self.registry.borrow();
        let signs = announcements
            .iter()
            .flat_map(|announcement| registry.signs(announcement));
        // The end of a start is in another announcement than what is known of that start.
        let signs: Vec<registry::Sign> = signs.collect();
        for ended in signs
            .iter()
            .filter(|sign| sign.kind == registry::Kind::Ended)
        {
            let run = Run::at(&ended.id, ended.started_ms);
            self.suspects.note_ended(&self.link, run, "replaced");
        }
        for sign in &signs {
            let run = Run::at(&sign.id, sign.started_ms);
            match sign.kind {
                registry::Kind::Ended => {}
                registry::Kind::Silent => self.suspects.note_lost(&self.link, run, "silent"),
                registry::Kind::Alive => self.suspects.note_alive(&self.link, run, now_ms),
            }
        }
    }

    fn apply_announcement(&self, announcement: registry::Announcement, now_ms: u64) {
        let id = announcement.id.clone();
        let mut registry = self.registry.borrow_mut();
        if registry.announce(announcement, now_ms) != registry::Outcome::Changed {
            return;
        }
        // An announcement can also take over the address of another backend server.
        let mut balance = self.balance.borrow_mut();
        for backend in registry.backends() {
            balance.announce(&backend.announcement);
        }
        if let Some(backend) = registry.get(&id) {
            let known = &backend.announcement;
            log::info!(
                backend = known.id.as_str(),
                address = known.address.as_str(),
                state = known.state.to_string().as_str(),
                sequence = known.sequence;
                "backend server changed"
            );
        }
    }
}
