//! The loop of the control thread.

use std::{collections, io, net, sync, time};

use bw_client::control;
use bw_wire::{backend, command, name, peer};
use jsonrpsee::server::ServerHandle;
use tokio::{sync as async_sync, task, time as async_time};

use super::{
    Disconnect, Event, Loss, Sender,
    exchange::{Schedule, Synced},
    health, listing, peers, probe, registry,
};
use crate::{context, filter, metrics, snapshot, upstream};

/// Time limit of one call to one control replica during an exchange. Two calls
/// fit into the configuration lease, so that one hung replica does not end it.
const SYNC_CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Time limit of a whole exchange.
const SYNC_TOTAL_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
/// How long changes of in-flight counts are collected before they are sent to the
/// owners of batch work.
const COALESCE_DELAY: time::Duration = time::Duration::from_millis(5);
/// Interval of the checks of announcement ages, lost connections and health.
const TICK: time::Duration = time::Duration::from_millis(50);
/// Ticks between two updates of admission limits and of what the health rules know.
const HEALTH_TICKS: u64 = 5;
/// Ticks between two removals of old announcements and updates of the gauges.
const GAUGE_TICKS: u64 = 20;
/// How long after a lost connection a restart of the backend server is taken as
/// its cause, in milliseconds.
const CRASH_WINDOW_MS: u64 = 30_000;
/// How long after a dropped connection a restart of a backend server that has not been
/// heard since is taken as its cause, in milliseconds. VMs start again within that time.
const DROPPED_WINDOW_MS: u64 = 120_000;
/// Age of an announcement up to which it may have been sent before its backend server
/// ended, in milliseconds.
const ANNOUNCEMENT_TRANSIT_MS: u64 = 2_000;
/// Most lost and dropped connections that are kept; the oldest are forgotten.
const DISCONNECTS_MAX: usize = 1_000;
/// Interval of the checks of requests that wait for admission.
const ADMISSION_TICK: time::Duration = time::Duration::from_millis(20);
/// Smallest limit on the requests of a model that run on this entry VM at once.
const MIN_CONCURRENT: u32 = 4;

/// The control state: what the leader's responses have said last. All but the
/// online counts is published.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) revision: u64,
    pub(super) intent: sync::Arc<bw_wire::intent::Intent>,
    pub(super) peers: Vec<bw_wire::sync::Peer>,
    pub(super) absent: sync::Arc<collections::BTreeMap<name::Name, snapshot::Absence>>,
    pub(super) owners: sync::Arc<collections::BTreeMap<name::Name, name::Name>>,
    /// Online requests of other entry VMs in flight on each backend server.
    pub(super) online: collections::BTreeMap<name::Name, u32>,
}

/// Outcome of a task that the control thread spawned.
#[derive(Debug)]
pub(super) enum Outcome {
    Synced(Box<Synced>),
    Probed(probe::Probed),
    HealthProbed(health::Probed),
    /// A strike was recorded; the suspect with its counts as recorded.
    SuspectRecorded(command::work::Suspect),
    Nothing,
}

/// What a [`Controller`] is built from.
pub struct Parts {
    /// State shared with the traffic threads.
    pub shared: sync::Arc<context::Shared>,
    /// Receiving end of the queue of events.
    pub events: async_sync::mpsc::Receiver<Event>,
    /// Sending end of the queue, for the server of peer messages.
    pub sender: Sender,
}

/// Runs the control thread and owns its state.
pub struct Controller {
    pub(super) shared: sync::Arc<context::Shared>,
    /// Address under which other entry VMs reach this one.
    pub(super) peer_address: name::Name,
    bound_address: net::SocketAddr,
    pub(super) state: State,
    pub(super) registry: registry::Registry,
    pub(super) listing: listing::Listing,
    pub(super) peers: peers::Peers,
    pub(super) schedule: Schedule,
    pub(super) sync_client: control::Client,
    pub(super) tasks: task::JoinSet<Outcome>,
    client: control::Client,
    pub(super) upstream: upstream::Client,
    /// Lost connections that may turn out to be crashes, with their times.
    disconnects: Vec<(u64, Disconnect)>,
    events: async_sync::mpsc::Receiver<Event>,
    server: ServerHandle,
    probes: probe::Probes,
    /// Online counts that were last sent to the owners of batch work.
    sent_counts: collections::BTreeMap<name::Name, u32>,
    /// Sequence number of the last message with an online count.
    sequence: u64,
    ticks: u64,
}

impl Controller {
    /// Binds the peer address and builds the controller on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when the peer address cannot be bound.
    pub async fn bind(parts: Parts) -> io::Result<Controller> {
        let shared = parts.shared;
        let settings = &shared.settings;
        let tokens = shared.credentials.peers.clone();
        let token = tokens
            .as_ref()
            .and_then(|tokens| tokens.token_of(&settings.name))
            .map(name::Name::from);
        let listen = settings.peer_listen();
        let (address, server) = peers::serve(listen, tokens, parts.sender).await?;
        // Without `peer_listen`, `peer_address` may have port 0: the bound address is
        // reported instead.
        let peer_address = match settings.peer_listen {
            Some(_) => settings.peer_address.as_str().into(),
            None => address.to_string().into(),
        };
        let sync_client = control::Builder::new(settings.control.clone())
            .token(shared.credentials.control.clone())
            .call_timeout(SYNC_CALL_TIMEOUT)
            .total_timeout(SYNC_TOTAL_TIMEOUT)
            .build();
        Ok(Controller {
            peer_address,
            bound_address: address,
            state: State::default(),
            registry: registry::Registry::default(),
            listing: listing::Listing::default(),
            peers: peers::Peers::new(token),
            schedule: Schedule::default(),
            sync_client,
            tasks: task::JoinSet::new(),
            client: shared.control_client(),
            upstream: shared.upstream_client(),
            disconnects: Vec::new(),
            events: parts.events,
            server,
            probes: probe::Probes::default(),
            sent_counts: collections::BTreeMap::new(),
            sequence: 0,
            ticks: 0,
            shared,
        })
    }

    /// Returns the address on which the server of peer messages listens.
    pub fn peer_address(&self) -> net::SocketAddr {
        self.bound_address
    }

    /// Runs until `stop` resolves.
    pub async fn run(mut self, stop: async_sync::oneshot::Receiver<()>) {
        let shared = sync::Arc::clone(&self.shared);
        let mut ticks = async_time::interval(TICK);
        ticks.set_missed_tick_behavior(async_time::MissedTickBehavior::Delay);
        let mut admission_ticks = async_time::interval(ADMISSION_TICK);
        admission_ticks.set_missed_tick_behavior(async_time::MissedTickBehavior::Delay);
        let mut flush_at: Option<async_time::Instant> = None;
        let mut draining = false;
        tokio::pin!(stop);
        loop {
            let sync_delay = self.sync_delay();
            tokio::select! {
                _ = &mut stop => break,
                Some(event) = self.events.recv() => self.handle_event(event),
                Some(outcome) = self.tasks.join_next() => self.finish_task(outcome),
                _ = async_time::sleep(sync_delay.unwrap_or_default()), if sync_delay.is_some() => {
                    self.start_sync();
                }
                // Computes `sync_delay` anew: the next exchange may be due sooner now.
                _ = shared.confirmation.requested() => {}
                _ = shared.table.counts_changed(), if flush_at.is_none() => {
                    flush_at = Some(async_time::Instant::now() + COALESCE_DELAY);
                }
                _ = sleep_until(flush_at), if flush_at.is_some() => {
                    flush_at = None;
                    self.send_online_counts();
                }
                _ = shared.drain.started(), if !draining => {
                    draining = true;
                    self.schedule.expedite();
                }
                _ = ticks.tick() => self.tick(),
                _ = admission_ticks.tick() => {
                    shared.admission.tick(shared.clock.now_ms());
                }
            }
        }
        // Fails only if the server has already stopped.
        let _ = self.server.stop();
        self.server.stopped().await;
        self.tasks.shutdown().await;
    }

    /// Returns the time until the next exchange, `None` while one is running.
    fn sync_delay(&self) -> Option<time::Duration> {
        let now_ms = self.shared.clock.now_ms();
        let has_waiters = self.shared.confirmation.has_waiters();
        let due_ms = self.schedule.due_ms(has_waiters)?;
        Some(time::Duration::from_millis(due_ms.saturating_sub(now_ms)))
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Announced {
                announcement,
                heard_ms,
            } => self.apply_announcement(announcement, heard_ms),
            Event::Cached(events) => self
                .shared
                .table
                .with(|state, now_ms| state.router.apply_cache_events(&events, now_ms)),
            Event::Peer(message) => self.apply_peer_message(message),
            Event::Suspect(command) => self.record_suspect(command),
            Event::Evidence(evidence) => self.peers.broadcast(peer::Message::Evidence(evidence)),
            Event::Disconnected(disconnect) => {
                let now_ms = self.shared.clock.now_ms();
                self.disconnects.push((now_ms, disconnect));
                let excess = self.disconnects.len().saturating_sub(DISCONNECTS_MAX);
                self.disconnects.drain(..excess);
            }
            Event::Reserved {
                backend,
                duration_ms,
            } => self.broadcast_reservation(backend, duration_ms),
        }
    }

    fn apply_announcement(&mut self, announcement: backend::Announcement, heard_ms: u64) {
        self.probes.clear_failure(&announcement.id);
        if !self.registry.apply(&announcement, heard_ms, true) {
            return;
        }
        self.schedule.expedite();
        if announcement.state == backend::State::Leaving {
            log::info!(backend = announcement.id.as_str(); "backend server is leaving");
            self.peers.broadcast(peer::Message::Leaving(announcement));
        }
    }

    fn apply_peer_message(&mut self, message: peer::Message) {
        let now_ms = self.shared.clock.now_ms();
        match &message {
            peer::Message::Leaving(announcement) => {
                if announcement.state == backend::State::Leaving {
                    self.registry.apply(announcement, now_ms, false);
                    self.shared.table.apply_announcement(announcement, 0);
                }
            }
            peer::Message::Suspect(suspect) => self
                .shared
                .with_suspects(|suspects, now_ms| suspects.merge(suspect, now_ms)),
            peer::Message::Evidence(evidence) => self.apply_evidence(evidence),
            peer::Message::Reserve {
                backend,
                duration_ms,
            } => self.apply_reservation(backend, *duration_ms),
            peer::Message::Online { .. } => {}
        }
        // Fails without receivers, while the batch dispatcher is not running.
        let _ = self.shared.peer_messages.send(message);
    }

    /// Merges what another entry VM knows about parts, and tells all if requests with one
    /// of them were answered here.
    fn apply_evidence(&mut self, evidence: &[bw_suspect::Evidence]) {
        let answered = self.shared.with_parts(|known, now_ms| {
            let mut answered = Vec::new();
            for told in evidence {
                known.merge(told, now_ms);
                if known.note_answered(told, now_ms) {
                    answered.push(known.evidence(told.fingerprint));
                }
            }
            answered
        });
        if !answered.is_empty() {
            self.peers.broadcast(peer::Message::Evidence(answered));
        }
    }

    /// Records a strike or the clearing of a suspect in its work group, and sends it
    /// to the other entry VMs.
    fn record_suspect(&mut self, command: command::work::Command) {
        let fingerprint = match &command {
            command::work::Command::Strike { fingerprint, .. }
            | command::work::Command::Clear { fingerprint } => *fingerprint,
            other => {
                log::error!("unexpected command instead of a strike or clearing: {other:?}");
                return;
            }
        };
        let known = self
            .shared
            .with_suspects(|suspects, _| suspects.get(fingerprint));
        if let Some(suspect) = known {
            self.peers.broadcast(peer::Message::Suspect(suspect));
        }
        let client = self.client.clone();
        let group = filter::suspect::group_of(&self.shared, &fingerprint);
        self.tasks.spawn(async move {
            match client.work(group, command).await {
                Ok(command::work::Reply::Suspect(suspect)) => Outcome::SuspectRecorded(suspect),
                Ok(_) => Outcome::Nothing,
                Err(error) => {
                    log::warn!("cannot record suspect {fingerprint}: {error}");
                    Outcome::Nothing
                }
            }
        });
    }

    /// Counts a strike for each lost connection whose backend server has announced a
    /// later incarnation since. Forgets connections that were lost long ago, and those that
    /// were dropped and whose backend servers go on or leave.
    fn resolve_disconnects(&mut self, now_ms: u64) {
        let (mut commands, mut evidence) = (Vec::new(), Vec::new());
        let (shared, registry) = (&self.shared, &self.registry);
        self.disconnects.retain(|(at_ms, disconnect)| {
            if shared
                .table
                .has_restarted(&disconnect.backend, disconnect.incarnation)
            {
                let runs = [disconnect.run];
                let incarnation =
                    bw_suspect::Incarnation::new(&disconnect.backend, disconnect.incarnation);
                evidence.extend(shared.with_parts(|known, now_ms| {
                    let run = bw_suspect::Run::sent(disconnect.sent_ms);
                    known.request_crashed(&disconnect.parts, incarnation, run, now_ms)
                }));
                commands.extend(shared.with_suspects(|suspects, now_ms| {
                    suspects.crashed(&disconnect.backend, disconnect.incarnation, &runs, now_ms)
                }));
                return false;
            }
            let age_ms = now_ms.saturating_sub(*at_ms);
            match disconnect.loss {
                Loss::Broken => age_ms < CRASH_WINDOW_MS,
                Loss::Dropped => {
                    let backend = &disconnect.backend;
                    let heard_ms = registry.heard_ms(backend, disconnect.incarnation);
                    let goes_on =
                        heard_ms.is_some_and(|heard| heard > at_ms + ANNOUNCEMENT_TRANSIT_MS);
                    age_ms < DROPPED_WINDOW_MS && !goes_on && !shared.table.is_leaving(backend)
                }
            }
        });
        for command in commands {
            self.record_suspect(command);
        }
        if !evidence.is_empty() {
            self.peers.broadcast(peer::Message::Evidence(evidence));
        }
    }

    fn broadcast_reservation(&mut self, backend: name::Name, duration_ms: u64) {
        self.apply_reservation(&backend, duration_ms);
        let message = peer::Message::Reserve {
            backend,
            duration_ms,
        };
        self.peers.broadcast(message.clone());
        // Fails without receivers, while the batch dispatcher is not running.
        let _ = self.shared.peer_messages.send(message);
    }

    fn apply_reservation(&self, backend: &name::Name, duration_ms: u64) {
        self.shared.table.with(|state, now_ms| {
            let until_ms = match duration_ms {
                0 => 0,
                _ => now_ms + duration_ms,
            };
            state.router.reserve(backend, until_ms);
        });
    }

    fn finish_task(&mut self, outcome: Result<Outcome, task::JoinError>) {
        match outcome {
            Ok(Outcome::Synced(synced)) => self.finish_sync(*synced),
            Ok(Outcome::Probed(probed)) => self.finish_probe(&probed),
            Ok(Outcome::HealthProbed(probed)) => self.finish_health_probe(&probed),
            Ok(Outcome::SuspectRecorded(suspect)) => {
                self.shared
                    .with_suspects(|suspects, now_ms| suspects.merge(&suspect, now_ms));
                self.peers.broadcast(peer::Message::Suspect(suspect));
            }
            Ok(Outcome::Nothing) => {}
            Err(error) => log::error!("task of the control thread failed: {error}"),
        }
    }

    fn finish_probe(&mut self, probed: &probe::Probed) {
        self.probes.finish(probed);
        // An unhealthy answer needs no action: without a new proof, the backend
        // server gets no new work once its last announcement is too old.
        if probed.healthy == Some(true) {
            self.shared.table.with(|state, _| {
                state
                    .router
                    .probe_succeeded(&probed.id, probed.incarnation, probed.sent_ms)
            });
        }
    }

    /// Sends changed online counts to the owners of batch work.
    fn send_online_counts(&mut self) {
        let online = self.shared.table.online();
        let own = &self.shared.settings.name;
        for (backend, owner) in self.state.owners.iter() {
            let count = online.get(backend).copied().unwrap_or(0);
            let sent = self.sent_counts.get(backend).copied().unwrap_or(0);
            if owner == own || count == sent {
                continue;
            }
            self.sequence += 1;
            let message = peer::Message::Online {
                entry: own.clone(),
                incarnation: self.shared.incarnation,
                sequence: self.sequence,
                backend: backend.clone(),
                online: count,
            };
            self.peers.send(owner, message);
        }
        self.sent_counts = online;
    }

    fn tick(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        self.ticks += 1;
        let stale = self
            .shared
            .table
            .with(|state, now_ms| state.router.due_for_probe(probe::PROBE_AGE_MS, now_ms));
        for id in stale {
            self.start_probe(&id, now_ms);
        }
        self.resolve_disconnects(now_ms);
        self.check_health();
        if self.ticks.is_multiple_of(HEALTH_TICKS) {
            self.resize_admission(now_ms);
            self.update_health();
        }
        if self.ticks.is_multiple_of(GAUGE_TICKS) {
            self.registry.sweep(now_ms);
            self.shared
                .table
                .with(|state, now_ms| state.router.sweep(now_ms));
            self.update_gauges(now_ms);
        }
    }

    /// Sets how many requests of each model run on this entry VM at once.
    ///
    /// Entry VMs share the capacity evenly, but each may also use what the others
    /// leave free, because the load balancer does not spread load evenly.
    fn resize_admission(&mut self, now_ms: u64) {
        let factor = self.shared.settings.policy.oversubscription;
        let entries = self.state.peers.len() as u64 + 1;
        for model in self.state.intent.models.keys() {
            let (capacity, others_online) = self.capacity_of(model);
            let limit = (capacity as f32 * factor) as u64;
            let share = (limit / entries).max(limit.saturating_sub(others_online));
            let concurrent = u32::try_from(share).unwrap_or(u32::MAX);
            let concurrent = concurrent.max(MIN_CONCURRENT);
            self.shared
                .admission
                .set_concurrency_limit(model, concurrent, now_ms);
        }
    }

    /// Returns the total capacity of the ready backend servers that have a model
    /// loaded, and the online requests of other entry VMs on them.
    fn capacity_of(&self, model: &name::Name) -> (u64, u64) {
        let serving = self.registry.announcements().filter(|announcement| {
            announcement.state == backend::State::Ready
                && announcement
                    .loaded
                    .iter()
                    .any(|loaded| loaded.model == *model)
        });
        serving.fold((0, 0), |(capacity, others_online), announcement| {
            let online = self.state.online.get(&announcement.id);
            (
                capacity + u64::from(announcement.capacity),
                others_online + u64::from(online.copied().unwrap_or(0)),
            )
        })
    }

    /// Probes a backend server whose last proof is old.
    fn start_probe(&mut self, id: &name::Name, now_ms: u64) {
        let Some(announcement) = self.registry.get(id) else {
            return;
        };
        if !self.probes.try_start(announcement, now_ms) {
            return;
        }
        let upstream = self.upstream.clone();
        let address = announcement.address.clone();
        let id = id.clone();
        let incarnation = announcement.incarnation;
        self.tasks.spawn(async move {
            let healthy = upstream.check_health(&address, probe::TIMEOUT).await.ok();
            Outcome::Probed(probe::Probed {
                id,
                incarnation,
                sent_ms: now_ms,
                healthy,
            })
        });
    }

    fn update_gauges(&self, now_ms: u64) {
        let entry = self.shared.settings.name.as_str();
        let lease: &snapshot::Lease = &self.shared.lease;
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics::LEASE_MS
            .with_label_values(&[entry])
            .set(gauge(lease.remaining_ms(now_ms)));
        metrics::REVISION
            .with_label_values(&[entry])
            .set(gauge(self.state.revision));
        let states = [
            backend::State::Ready,
            backend::State::Loading,
            backend::State::Leaving,
        ];
        for state in states {
            let count = self.registry.announcements();
            let count = count.filter(|known| known.state == state).count();
            metrics::REPLICAS
                .with_label_values(&[entry, state.into()])
                .set(gauge(count as u64));
        }
    }
}

async fn sleep_until(at: Option<async_time::Instant>) {
    if let Some(at) = at {
        async_time::sleep_until(at).await;
    }
}
