//! The leader's view of the backend servers: announcements, loads and results.

use std::rc::Rc;

use bw_relay::{dispatch, ledger, load, message, registry, suspect};
use bw_wire::name::Name;
use tokio::sync::oneshot;

use super::{Hub, refusal};
use crate::{
    clock,
    control::{item, replica, runner},
};

/// Announcements that a backend server may miss before it expires. One may arrive
/// seconds late.
const SILENT_ANNOUNCEMENTS: u64 = 5;

impl Hub {
    /// Sets the online requests of one entry VM. Items that have to be preempted are
    /// preempted at once and not only on the next tick.
    pub(crate) fn set_loads(self: &Rc<Hub>, session: u64, loads: Vec<message::Usage>) {
        if let Some(node) = self.sessions.borrow().node(session) {
            for usage in &loads {
                let id = self.loads.borrow().name(usage.number).cloned();
                if let Some(id) = id {
                    self.note_results(&id, &node, usage.succeeded, usage.failed);
                    if usage.failed > 0 {
                        let mut dispatch = self.dispatch.borrow_mut();
                        dispatch.requests_failed(&id, usage.failed, self.unix_ms());
                    }
                }
            }
        }
        let more = self.sessions.borrow_mut().set_loads(session, loads);
        if more
            .into_iter()
            .any(|number| self.is_oversubscribed(number))
        {
            runner::plan(self);
        }
    }

    /// Returns whether online requests and items exceed the slots of a backend
    /// server.
    fn is_oversubscribed(&self, number: u32) -> bool {
        let loads = self.loads.borrow();
        let Some(id) = loads.name(number) else {
            return false;
        };
        let batch = self.dispatch.borrow().running(id);
        let registry = self.registry.borrow();
        let slots = registry
            .get(id)
            .map_or(0, |backend| backend.announcement.slots);
        batch > 0 && self.sessions.borrow().online(number) + batch > slots
    }

    /// Updates the health of a backend server by results of requests that one VM
    /// sent to it.
    pub(crate) fn note_results(&self, id: &Name, entry: &Name, succeeded: u32, failed: u32) {
        if succeeded + failed == 0 {
            return;
        }
        let now_ms = clock::monotonic_ms();
        let mut health = self.health.borrow_mut();
        if health.record(id, entry, succeeded, failed, now_ms) {
            log::warn!(backend = &**id; "backend server fails requests and is ejected");
        }
    }

    pub(super) async fn announce(&self, announcement: registry::Announcement) -> message::Reply {
        let id = announcement.id.clone();
        let admission = self.registry.borrow().admit(
            &announcement,
            |service| self.is_configured(service),
            self.unix_ms(),
        );
        match admission {
            registry::Admission::Admitted => {}
            registry::Admission::Deferred => {
                self.defer(announcement);
                return message::Reply::Done;
            }
            registry::Admission::Refused(invalid) => {
                log::warn!(backend = &*id, reason = invalid.to_string().as_str(); "announcement ignored");
                return message::Reply::Invalid;
            }
        }
        let leaving = announcement.state == registry::State::Leaving;
        match (leaving, self.apply_announcement(announcement)) {
            (_, registry::Outcome::Stale) => message::Reply::Stale,
            (true, _) => self.record(&id).await,
            (false, _) => message::Reply::Done,
        }
    }

    /// Applies an announcement that is admitted, and tells the other processes of a change.
    fn apply_announcement(&self, announcement: registry::Announcement) -> registry::Outcome {
        let leaving = announcement.state == registry::State::Leaving;
        let (id, started_ms) = (announcement.id.clone(), announcement.started_ms);
        item::note_announcement(self, &announcement);
        let outcome = self
            .registry
            .borrow_mut()
            .announce(announcement, clock::monotonic_ms());
        if outcome == registry::Outcome::Stale {
            return outcome;
        }
        item::note_call(self, &id, started_ms);
        if outcome == registry::Outcome::Changed {
            self.broadcast_backend(&id);
        }
        if outcome == registry::Outcome::Changed && !leaving {
            // The announcement is repeated, so there is no need to wait until it is durable.
            let (reply, _) = oneshot::channel();
            if let Some(command) = self.record_command(&id) {
                self.send_call(replica::Call::Propose { command, reply });
            }
        }
        outcome
    }

    /// Starts with the backend servers that the ledger knows. A former version stored those
    /// of other writers as well.
    pub(super) fn restore_backends(
        &self,
        backends: Vec<registry::Announcement>,
        now_ms: u64,
        unix_ms: u64,
    ) {
        for announcement in backends {
            let mut registry = self.registry.borrow_mut();
            let is_leaving = announcement.state == registry::State::Leaving;
            let is_configured = |service: &Name| self.is_configured(service);
            match registry.admit(&announcement, is_configured, unix_ms) {
                registry::Admission::Admitted => {
                    registry.announce(announcement, now_ms);
                }
                // It may be known to entry VMs.
                _ if is_leaving => {
                    registry.announce(announcement, now_ms);
                }
                registry::Admission::Deferred => self.defer(announcement),
                registry::Admission::Refused(invalid) => {
                    log::warn!(
                        backend = &*announcement.id, reason = invalid.to_string().as_str();
                        "stored announcement ignored"
                    );
                }
            }
        }
        self.registry.borrow_mut().refresh(now_ms);
    }

    /// Keeps the announcement of a backend server until its service is configured.
    fn defer(&self, announcement: registry::Announcement) {
        let (id, service) = (announcement.id.clone(), announcement.service.clone());
        let now_ms = clock::monotonic_ms();
        if self.deferred.borrow_mut().add(announcement, now_ms) {
            log::info!(backend = &*id, service = &*service; "announcement deferred: its service is not configured");
        }
    }

    /// Applies the announcements of backend servers whose services have been configured.
    pub(super) fn apply_deferred(&self) {
        let is_configured = |service: &Name| self.is_configured(service);
        let deferred = self.deferred.borrow_mut().take(is_configured);
        for announcement in deferred {
            self.apply_announcement(announcement);
        }
    }

    fn is_configured(&self, service: &Name) -> bool {
        let published = self.published.borrow();
        let services = published
            .as_ref()
            .map(|published| &published.config.services);
        services.is_some_and(|services| services.iter().any(|known| known.name == *service))
    }

    pub(super) async fn leave(&self, id: &str, started_ms: u64) -> message::Reply {
        let now_ms = clock::monotonic_ms();
        item::note_call(self, id, started_ms);
        self.deferred.borrow_mut().remove(id);
        let left = self.registry.borrow_mut().leave(id, started_ms, now_ms);
        if let Some(announcement) = left {
            self.broadcast_backend(&announcement.id);
        }
        self.record(id).await
    }

    /// Makes the state of a backend server durable. Once its leave is acknowledged, it
    /// must get no new work, not even from the next leader.
    pub(super) async fn record(&self, id: &str) -> message::Reply {
        let Some(command) = self.record_command(id) else {
            // It left so long ago that the registry has dropped it.
            return message::Reply::Done;
        };
        match self.propose(command).await {
            Ok(_) => message::Reply::Done,
            Err(error) => refusal(Some(error)),
        }
    }

    pub(super) fn record_command(&self, id: &str) -> Option<ledger::Command> {
        let registry = self.registry.borrow();
        let announcement = registry.get(id)?.announcement.clone();
        let now_ms = self.unix_ms();
        Some(ledger::Command::Announce {
            announcement,
            now_ms,
        })
    }

    pub(super) fn broadcast_backend(&self, id: &str) {
        let registry = self.registry.borrow();
        // An announcement can also take over the address of another backend server.
        let address = registry
            .get(id)
            .map(|backend| backend.announcement.address.clone());
        let at_address =
            |backend: &&registry::Backend| Some(&backend.announcement.address) == address.as_ref();
        let changed = registry.backends().filter(at_address);
        let backends: Vec<_> = changed
            .map(|backend| backend.announcement.clone())
            .collect();
        for known in &backends {
            log::info!(
                backend = &*known.id, address = &*known.address, state = known.state.to_string().as_str(),
                sequence = known.sequence;
                "backend server changed"
            );
        }
        let update = message::Update {
            backends,
            ..message::Update::default()
        };
        self.sessions
            .borrow_mut()
            .broadcast(&message::Frame::Update(update));
    }

    /// Returns the loads of all backend servers.
    pub(super) fn loads(&self) -> Vec<load::Load> {
        let sessions = self.sessions.borrow();
        let dispatch = self.dispatch.borrow();
        let registry = self.registry.borrow();
        let health = self.health.borrow();
        let publisher = self.loads.borrow();
        let now_ms = clock::monotonic_ms();
        let loads = registry.backends().map(|backend| {
            let id = &backend.announcement.id;
            let number = publisher.number(id);
            load::Load {
                id: id.clone(),
                online: number.map_or(0, |number| sessions.online(number)),
                batch: dispatch.running(id),
                ejected: health.is_ejected(id, now_ms),
            }
        });
        loads.collect()
    }

    /// Returns the backend servers that may run items.
    pub(crate) fn ready_servers(&self) -> Vec<dispatch::Server> {
        let sessions = self.sessions.borrow();
        let loads = self.loads.borrow();
        let registry = self.registry.borrow();
        let health = self.health.borrow();
        let now_ms = clock::monotonic_ms();
        let ready = registry.backends().filter(|backend| {
            let known = &backend.announcement;
            known.state == registry::State::Ready && !health.is_ejected(&known.id, now_ms)
        });
        ready
            .map(|backend| {
                let known = &backend.announcement;
                dispatch::Server {
                    id: known.id.clone(),
                    address: known.address.clone(),
                    service: known.service.clone(),
                    slots: known.slots,
                    online: loads
                        .number(&known.id)
                        .map_or(0, |number| sessions.online(number)),
                }
            })
            .collect()
    }

    pub(super) fn expire_silent(&self) {
        let silent_ms = self.settings().announce_ms * SILENT_ANNOUNCEMENTS;
        let now_ms = clock::monotonic_ms();
        self.deferred.borrow_mut().expire(now_ms, silent_ms);
        let silent = self.registry.borrow_mut().expire(now_ms, silent_ms);
        for announcement in silent {
            let incarnation = suspect::Incarnation::new(&announcement.id, announcement.started_ms);
            item::note_lost(self, incarnation, "silent");
            self.broadcast_backend(&announcement.id);
        }
    }
}
