//! What the entry program knows.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use bw_relay::{balance, ledger, load, message, registry, route, suspect};
use rand::{RngCore, SeedableRng};
use tokio::sync::{Notify, watch};

use crate::{
    clock, dialect,
    entry::{self, confirm},
    link, metrics, settings,
};

/// Interval between sweeps of idle connections, in milliseconds.
const SWEEP_MS: u64 = 1_000;
/// Time without a connection to the leader after which this VM asks for no new
/// callers, in milliseconds. Elections take up to a second; a VM that is
/// cut off for longer may act on an old configuration.
const STALE_MS: u64 = 8_000;

/// Time after the start in which requests wait for the first configuration, in
/// milliseconds. After a loss of all power the first election ends 0.3 to 1 s
/// after the programs start. A caller that is refused then comes back a second
/// later, or not at all if its connection broke with the power before.
const STARTUP_MS: u64 = 1_500;
/// Longest such wait of one request in milliseconds; a caller that is refused
/// after it has time left to come back.
const STARTUP_WAIT_MS: u64 = 1_000;

/// The state of the entry program, on one thread.
pub(crate) struct State {
    pub(crate) settings: settings::Settings,
    pub(crate) dialect: Arc<dyn dialect::Dialect>,
    pub(crate) link: link::Link,
    pub(crate) pool: entry::Pool,
    pub(crate) balance: RefCell<balance::Balancer>,
    loads: RefCell<load::Subscriber>,
    pub(crate) routing: RefCell<Option<Rc<Routing>>>,
    pub(crate) confirmer: confirm::Confirmer,
    /// Told when a configuration is in force.
    configured: Notify,
    started_ms: u64,
    /// Online requests by backend server as they were reported last.
    told: RefCell<Vec<(u32, u32)>>,
    /// Told when a request was placed where batch items must give way.
    pub(crate) crowded: Notify,
    pub(crate) connected: Cell<bool>,
    pub(crate) draining: Cell<bool>,
    /// Set once idle connections of callers are to be closed.
    pub(crate) closing: watch::Sender<bool>,
    pub(crate) active: Cell<u64>,
    pub(crate) connections: Cell<u64>,
    pub(crate) suspects: RefCell<suspect::Suspects>,
    /// News of suspects that no leader was told of yet.
    untold: RefCell<suspect::Outbox>,
    registry: RefCell<registry::Registry>,
    random: RefCell<rand_pcg::Pcg64Mcg>,
    swept_ms: Cell<u64>,
    heard_ms: Cell<u64>,
    /// When the loads of other entry VMs were received last.
    loads_ms: Cell<u64>,
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
            configured: Notify::new(),
            started_ms: clock::monotonic_ms(),
            told: RefCell::default(),
            crowded: Notify::new(),
            connected: Cell::new(false),
            draining: Cell::new(false),
            closing: watch::Sender::new(false),
            active: Cell::new(0),
            connections: Cell::new(0),
            suspects: RefCell::default(),
            untold: RefCell::default(),
            registry: RefCell::default(),
            random: RefCell::new(rand_pcg::Pcg64Mcg::seed_from_u64(seed)),
            swept_ms: Cell::new(0),
            heard_ms: Cell::new(0),
            loads_ms: Cell::new(0),
        }
    }

    /// Returns the configuration in force, if one is known.
    pub(crate) fn routing(&self) -> Option<Rc<Routing>> {
        self.routing.borrow().clone()
    }

    /// Returns the configuration in force. Shortly after the start it waits for the
    /// first one; later a VM without a configuration is cut off for longer than
    /// callers should wait.
    pub(crate) async fn await_routing(&self) -> Option<Rc<Routing>> {
        let now_ms = clock::monotonic_ms();
        let until_ms = (now_ms + STARTUP_WAIT_MS).min(self.started_ms + STARTUP_MS);
        self.await_version(0, until_ms).await
    }

    /// Returns the configuration in force once it has a version at least, `None` if
    /// that takes too long.
    pub(crate) async fn await_version(&self, version: u64, until_ms: u64) -> Option<Rc<Routing>> {
        loop {
            let configured = self.configured.notified();
            let routing = self.routing();
            if let Some(routing) = routing.filter(|routing| routing.version >= version) {
                return Some(routing);
            }
            tokio::time::timeout(entry::left(until_ms), configured)
                .await
                .ok()?;
        }
    }

    /// Returns whether the load balancer should send callers.
    pub(crate) fn is_ready(&self) -> bool {
        let fresh = self.silence_ms() < STALE_MS;
        !self.draining.get() && fresh && self.routing.borrow().is_some()
    }

    /// Returns the time since the leader was heard from last.
    pub(crate) fn silence_ms(&self) -> u64 {
        clock::monotonic_ms().saturating_sub(self.heard_ms.get())
    }

    /// Returns the age of what is known of the requests of other entry VMs.
    pub(crate) fn loads_age_ms(&self) -> u64 {
        clock::monotonic_ms().saturating_sub(self.loads_ms.get())
    }

    pub(crate) fn draw(&self) -> u64 {
        self.random.borrow_mut().next_u64()
    }

    /// Takes news of the leader.
    pub(crate) fn update(&self, update: message::Update) {
        let now_ms = clock::monotonic_ms();
        self.heard_ms.set(now_ms);
        metrics::LEADER_HEARD_MS.set(clock::unix_ms() as i64);
        if let Some(published) = update.published {
            self.apply(&published);
        }
        for announcement in update.backends {
            self.announce(announcement, now_ms);
        }
        for strike in update.suspects {
            self.suspects.borrow_mut().merge(strike, now_ms);
        }
        if update.loads.as_ref().is_some_and(|loads| loads.is_snapshot) {
            self.tell_untold(now_ms);
        }
        if let Some(loads) = update.loads {
            self.loads_ms.set(now_ms);
            let changed = self.loads.borrow_mut().apply(&loads);
            let mut balance = self.balance.borrow_mut();
            if loads.is_snapshot {
                balance.clear_loads();
                // A new leader plans with what entry VMs tell it.
                self.crowded.notify_one();
                self.told.borrow_mut().clear();
            }
            balance.set_loads(&changed);
        }
    }

    /// Notes that a leader was found or lost. Its numbers of backend servers are
    /// not those of the leader before.
    pub(crate) fn set_connected(&self, connected: bool) {
        self.connected.set(connected);
        self.loads.borrow_mut().clear();
    }

    /// Returns the report for the leader, `None` if it has nothing new and need not
    /// be repeated.
    pub(crate) fn report(&self, repeat: bool) -> Option<Vec<message::Usage>> {
        let usage = self.balance.borrow_mut().report();
        let report = self.loads.borrow().report(&usage);
        let results = report
            .iter()
            .any(|usage| usage.succeeded + usage.failed > 0);
        let online = report.iter().map(|usage| (usage.number, usage.online));
        let online: Vec<_> = online.filter(|(_, online)| *online > 0).collect();
        let mut told = self.told.borrow_mut();
        if !repeat && !results && online == *told {
            return None;
        }
        *told = online;
        Some(report)
    }

    /// Notes that a backend server broke the connection of a request.
    pub(crate) fn crashed(&self, id: &str, fingerprint: suspect::Fingerprint) {
        let now_ms = clock::monotonic_ms();
        let strike = self.suspects.borrow_mut().crashed(fingerprint, now_ms);
        log::warn!(request = id, fingerprint = fingerprint.0, strikes = strike.count; "suspect");
        self.tell(strike);
    }

    /// Returns whether a request that was admitted must not run again.
    pub(crate) fn is_refused(&self, fingerprint: suspect::Fingerprint) -> bool {
        let suspects = self.suspects.borrow();
        suspects.is_refused(fingerprint, clock::monotonic_ms())
    }

    /// Notes that a request ended whole.
    pub(crate) fn finished(&self, fingerprint: suspect::Fingerprint) {
        let cleared = self.suspects.borrow_mut().finished(fingerprint);
        if let Some(strike) = cleared {
            self.tell(strike);
        }
    }

    fn tell(&self, strike: suspect::Strike) {
        let mut untold = self.untold.borrow_mut();
        untold.add(strike);
        let mut sent = true;
        for strike in untold.take() {
            // News of one suspect stay in their order.
            sent = sent && self.link.notify(&message::Frame::Strike(strike));
            if !sent {
                untold.add(strike);
            }
        }
    }

    /// Tells a new leader what happened while there was none. Its own news of these
    /// suspects are older.
    fn tell_untold(&self, now_ms: u64) {
        let news = self.untold.borrow_mut().take();
        for strike in news {
            self.suspects.borrow_mut().merge(strike, now_ms);
            self.tell(strike);
        }
    }

    /// Does what is due from time to time.
    pub(crate) fn tick(&self) {
        let now_ms = clock::monotonic_ms();
        if now_ms >= self.swept_ms.get() + SWEEP_MS {
            self.swept_ms.set(now_ms);
            self.pool.sweep();
        }
    }

    fn apply(&self, published: &ledger::Published) {
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
        self.configured.notify_waiters();
    }

    fn announce(&self, announcement: registry::Announcement, now_ms: u64) {
        let id = announcement.id.clone();
        let mut registry = self.registry.borrow_mut();
        if registry.announce(announcement, now_ms) != registry::Outcome::Changed {
            return;
        }
        // An announcement can also take the address of another entry over.
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
