//! The announced state of one engine and the order that it is carrying out.

use bw_wire::{backend, intent, name};

/// Initial backoff after a failed order; it doubles with each consecutive failure.
const BACKOFF_MS: u64 = 5_000;
/// Upper bound of the backoff.
const BACKOFF_MAX_MS: u64 = 300_000;

#[derive(Clone, Debug)]
struct Pending {
    action: backend::Action,
    at_ms: u64,
    /// The incarnation that the order was sent to; an engine that restarts drops
    /// the order.
    incarnation: u64,
    /// Megabytes taken from the weight store's budget for the order.
    fetch_mb: u64,
}

#[derive(Debug)]
pub(super) struct Engine {
    /// When the latest announcement was received.
    pub(super) heard_ms: u64,
    announcement: backend::Announcement,
    pending: Option<Pending>,
    models_changed_ms: u64,
    /// Number of consecutive failed orders.
    failures: u32,
    /// End of the backoff, before which no order is sent.
    retry_at_ms: u64,
    /// Until when the effect of a failed order is unknown: it may have been carried
    /// out nevertheless.
    uncertain_until_ms: u64,
}

impl Engine {
    pub(super) fn new(announcement: &backend::Announcement, heard_ms: u64, now_ms: u64) -> Engine {
        Engine {
            heard_ms,
            announcement: announcement.clone(),
            pending: None,
            models_changed_ms: now_ms,
            failures: 0,
            retry_at_ms: 0,
            uncertain_until_ms: 0,
        }
    }

    pub(super) fn update(
        &mut self,
        announcement: &backend::Announcement,
        heard_ms: u64,
        now_ms: u64,
    ) {
        let known = (self.announcement.incarnation, self.announcement.sequence);
        if (announcement.incarnation, announcement.sequence) < known {
            return;
        }
        self.heard_ms = self.heard_ms.max(heard_ms);
        if self.announcement.loaded != announcement.loaded {
            self.models_changed_ms = now_ms;
        }
        self.announcement.clone_from(announcement);
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| self.is_done(pending))
        {
            self.pending = None;
            self.failures = 0;
        }
    }

    pub(super) fn order(&mut self, action: backend::Action, fetch_mb: u64, now_ms: u64) {
        self.pending = Some(Pending {
            action,
            at_ms: now_ms,
            incarnation: self.announcement.incarnation,
            fetch_mb,
        });
    }

    pub(super) fn is_ordered(&self) -> bool {
        self.pending.is_some()
    }

    /// Drops an order that was not sent and returns the megabytes taken for it.
    pub(super) fn cancel(&mut self) -> u64 {
        let pending = self.pending.take();
        pending.map_or(0, |pending| pending.fetch_mb)
    }

    /// Delays the next order without counting a failure.
    pub(super) fn delay_orders(&mut self, now_ms: u64) {
        self.retry_at_ms = now_ms + BACKOFF_MS;
    }

    pub(super) fn fail(&mut self, now_ms: u64) {
        self.pending = None;
        self.uncertain_until_ms = now_ms + BACKOFF_MS;
        let backoff_ms = BACKOFF_MS << self.failures.min(10);
        self.failures += 1;
        self.retry_at_ms = now_ms + backoff_ms.min(BACKOFF_MAX_MS);
    }

    /// Fails the pending order if it had no effect in time or a restart lost it.
    pub(super) fn expire(&mut self, order_timeout_ms: u64, load_timeout_ms: u64, now_ms: u64) {
        let Some(pending) = &self.pending else {
            return;
        };
        let age_ms = now_ms.saturating_sub(pending.at_ms);
        let is_loading = self.announcement.state == backend::State::Loading;
        // An engine without announcements since the order may be loading.
        let is_silent = self.heard_ms < pending.at_ms + order_timeout_ms;
        let allowed_ms = if is_loading || is_silent {
            load_timeout_ms
        } else {
            order_timeout_ms
        };
        let is_lost = self.announcement.incarnation > pending.incarnation && !is_loading;
        if age_ms > allowed_ms || is_lost {
            self.fail(now_ms);
        }
    }

    pub(super) fn deployment(&self) -> &name::Name {
        &self.announcement.service
    }

    pub(super) fn domain(&self) -> &name::Name {
        &self.announcement.failure_domain
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.announcement.state == backend::State::Leaving
    }

    /// Returns the models that the engine will have after its pending order.
    pub(super) fn models(&self) -> Vec<&name::Name> {
        match self.pending.as_ref().map(|pending| &pending.action) {
            Some(backend::Action::Load { model, .. }) => vec![model],
            Some(backend::Action::Unload { .. } | backend::Action::Leave) => Vec::new(),
            None => self.loaded_models().collect(),
        }
    }

    pub(super) fn has_or_will_have(&self, model: &name::Name) -> bool {
        self.models().contains(&model)
    }

    /// Returns the loaded models; any order may unload them.
    pub(super) fn loaded_models(&self) -> impl Iterator<Item = &name::Name> {
        self.announcement.loaded.iter().map(|loaded| &loaded.model)
    }

    /// Returns whether an order can be sent to the engine now. A silent engine may
    /// be gone or restarting and receives none.
    pub(super) fn is_orderable(&self, now_ms: u64) -> bool {
        self.pending.is_none()
            && self.announcement.state == backend::State::Ready
            && now_ms >= self.retry_at_ms
            && self.is_fresh(now_ms)
    }

    /// Returns whether the last announcement is recent enough for new work.
    pub(super) fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.heard_ms) < backend::PROOF_MAX_AGE_MS
    }

    pub(super) fn is_settled(&self, settle_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.models_changed_ms) >= settle_ms
    }

    /// Returns whether the engine serves a model. After a failed order it does not
    /// count as serving for a while, in which announcements show the order's effect.
    pub(super) fn is_ready_with(&self, model: &name::Name, now_ms: u64) -> bool {
        self.pending.is_none()
            && now_ms >= self.uncertain_until_ms
            && self.announcement.state == backend::State::Ready
            && self.loaded(model).is_some()
    }

    pub(super) fn is_current(&self, name: &name::Name, model: &intent::Model) -> bool {
        self.loaded(name).is_some_and(|loaded| {
            loaded.version == model.version
                && model
                    .adapters
                    .iter()
                    .all(|adapter| loaded.adapters.contains(adapter))
        })
    }

    pub(super) fn will_be_current(&self, name: &name::Name, model: &intent::Model) -> bool {
        match self.pending.as_ref().map(|pending| &pending.action) {
            Some(backend::Action::Load {
                model: ordered,
                version,
                adapters,
            }) => ordered == name && *version == model.version && *adapters == model.adapters,
            Some(_) => false,
            None => !self.is_leaving() && self.is_current(name, model),
        }
    }

    pub(super) fn has_order_for(&self, name: &name::Name) -> bool {
        match self.pending.as_ref().map(|pending| &pending.action) {
            Some(backend::Action::Load { model, .. } | backend::Action::Unload { model }) => {
                model == name
            }
            Some(backend::Action::Leave) | None => false,
        }
    }

    /// Returns the megabytes that loading a model fetches. Adapters do not count,
    /// because they are small compared with the weights.
    pub(super) fn fetch_mb(&self, name: &name::Name, model: &intent::Model) -> u64 {
        let loaded = self.loaded(name);
        match loaded.is_some_and(|loaded| loaded.version == model.version) {
            true => 0,
            false => model.size_mb,
        }
    }

    pub(super) fn has_unordered_load(&self) -> bool {
        self.pending.is_none()
            && self.announcement.state == backend::State::Loading
            && self.announcement.loaded.is_empty()
    }

    fn loaded(&self, model: &name::Name) -> Option<&backend::Loaded> {
        self.announcement
            .loaded
            .iter()
            .find(|loaded| loaded.model == *model)
    }

    fn is_done(&self, pending: &Pending) -> bool {
        match &pending.action {
            backend::Action::Load {
                model,
                version,
                adapters,
            } => {
                self.announcement.state == backend::State::Ready
                    && self.loaded(model).is_some_and(|loaded| {
                        loaded.version == *version
                            && adapters
                                .iter()
                                .all(|adapter| loaded.adapters.contains(adapter))
                    })
            }
            backend::Action::Unload { model } => self.loaded(model).is_none(),
            backend::Action::Leave => self.is_leaving(),
        }
    }
}
