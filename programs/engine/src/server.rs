//! The state that the parts of one backend server share.

use std::{net, sync, time};

use bw_wire::{backend, name, refusal};
use tokio::sync as async_sync;

use crate::{batch, fault, model, record, request, settings, text};

/// The shared state of one backend server.
#[derive(Debug)]
pub struct Server {
    /// Its settings.
    pub settings: settings::Settings,
    /// Its incarnation.
    pub incarnation: u64,
    /// The address it is bound to.
    pub address: net::SocketAddr,
    /// Wakes the task that drives the batching model.
    pub drive: async_sync::Notify,
    /// Wakes the task that announces.
    pub announce: async_sync::Notify,
    /// Ends the server at once, as in a crash.
    pub crash: async_sync::Notify,
    model: sync::Mutex<model::Model>,
    faults: sync::Mutex<fault::Faults>,
    condition: sync::Mutex<Condition>,
    record: sync::Mutex<record::Record>,
    previous: sync::Mutex<Option<Previous>>,
    frozen: async_sync::watch::Sender<bool>,
    active: async_sync::watch::Sender<u32>,
}

/// What a backend server says about itself and what orders change.
#[derive(Clone, Debug)]
pub struct Condition {
    /// Whether it takes new work.
    pub state: backend::State,
    /// The loaded models.
    pub loaded: Vec<backend::Loaded>,
    /// The highest fencing number of an order that it obeyed.
    pub fence: u64,
    /// Counts the orders to load, so that only the last one takes effect.
    pub loads: u64,
    /// The last order that it obeyed.
    pub last_order: Option<backend::Order>,
}

/// An earlier request, whose answer a crossed answer carries.
#[derive(Clone, Debug)]
pub struct Previous {
    /// Its request id.
    pub request_id: String,
    /// Its answer.
    pub answer: text::Answer,
}

/// Counts a running request until it is dropped.
#[derive(Debug)]
pub struct Active(sync::Arc<Server>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.send_modify(|active| *active -= 1);
    }
}

impl Server {
    /// Creates the state of a server that is bound to an address.
    pub fn new(settings: settings::Settings, address: net::SocketAddr) -> Server {
        let loaded = settings
            .models
            .iter()
            .map(|model| backend::Loaded {
                model: model.model.clone(),
                version: model.version.clone(),
                adapters: model.adapters.clone(),
            })
            .collect();
        let publishes = settings.cache_events.interval_ms > 0 && !settings.announce.is_empty();
        let now = time::Instant::now();
        let mut model = model::Model::new(settings.batch.clone(), publishes, now);
        model.set_slow_factor(settings.faults.slow_factor);
        model.set_frozen(settings.faults.freeze, now);
        Server {
            incarnation: settings.incarnation.unwrap_or_else(unix_ms),
            address,
            drive: async_sync::Notify::new(),
            announce: async_sync::Notify::new(),
            crash: async_sync::Notify::new(),
            model: sync::Mutex::new(model),
            frozen: async_sync::watch::Sender::new(settings.faults.freeze),
            faults: sync::Mutex::new(settings.faults.clone()),
            condition: sync::Mutex::new(Condition {
                state: backend::State::Ready,
                loaded,
                fence: 0,
                loads: 0,
                last_order: None,
            }),
            record: sync::Mutex::default(),
            previous: sync::Mutex::default(),
            active: async_sync::watch::Sender::new(0),
            settings,
        }
    }

    /// Returns the batching model.
    pub fn model(&self) -> sync::MutexGuard<'_, model::Model> {
        lock(&self.model)
    }

    /// Returns the record of executions and orders.
    pub fn record(&self) -> sync::MutexGuard<'_, record::Record> {
        lock(&self.record)
    }

    /// Returns the condition.
    pub fn condition(&self) -> sync::MutexGuard<'_, Condition> {
        lock(&self.condition)
    }

    /// Returns the faults.
    pub fn faults(&self) -> sync::MutexGuard<'_, fault::Faults> {
        lock(&self.faults)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: fault::Faults) {
        let mut model = self.model();
        model.set_slow_factor(faults.slow_factor);
        model.set_frozen(faults.freeze, time::Instant::now());
        drop(model);
        self.frozen.send_replace(faults.freeze);
        *self.faults() = faults;
        self.drive.notify_one();
    }

    /// Waits while the server is frozen.
    pub async fn thawed(&self) {
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
    }

    /// Returns whether new work is taken, or the refusal.
    pub fn admit(&self) -> Result<(), refusal::Refusal> {
        let state = self.condition().state;
        match state {
            backend::State::Leaving => Err(refusal::Refusal::not_run(
                refusal::Reason::ShuttingDown,
                "the backend server is leaving",
            )),
            backend::State::Loading => Err(refusal::Refusal::not_run(
                refusal::Reason::NoBackend,
                "the backend server loads weights",
            )),
            backend::State::Ready if self.faults().refuse => Err(refusal::Refusal::not_run(
                refusal::Reason::Overloaded,
                "the backend server refuses work (fault switch)",
            )),
            backend::State::Ready => Ok(()),
        }
    }

    /// Returns whether a model or adapter is loaded.
    pub fn has_model(&self, name: &str) -> bool {
        self.condition().loaded.iter().any(|loaded| {
            loaded.model.as_str() == name
                || loaded
                    .adapters
                    .iter()
                    .any(|adapter| adapter.as_str() == name)
        })
    }

    /// Hands a request to the batching model.
    ///
    /// # Errors
    ///
    /// Refuses a request that is too long or finds the queue full.
    pub fn submit(
        &self,
        request: &request::Request,
    ) -> Result<(u64, async_sync::mpsc::UnboundedReceiver<model::Progress>), refusal::Refusal> {
        let sequence = batch::Sequence {
            id: 0,
            blocks: bw_wire::prefix::blocks(&request.model, &request.prompt),
            prompt_tokens: text::prompt_tokens(&request.prompt),
            resume_tokens: request.resume_tokens,
            output_tokens: request.answer.tokens(),
        };
        let added = self.model().add(sequence, time::Instant::now());
        self.drive.notify_one();
        added.map_err(|refused| match refused {
            batch::Refusal::TooLong => refusal::Refusal::not_run(
                refusal::Reason::InvalidField,
                "prompt and output exceed the KV memory of the engine",
            ),
            batch::Refusal::Full => refusal::Refusal::not_run(
                refusal::Reason::QueueFull,
                "too many sequences wait at the engine",
            ),
        })
    }

    /// Remembers a request for a later crossed answer and returns the one before.
    pub fn swap_previous(&self, previous: Previous) -> Option<Previous> {
        lock(&self.previous).replace(previous)
    }

    /// Counts a running request until the result is dropped.
    pub fn activate(self: &sync::Arc<Server>) -> Active {
        self.active.send_modify(|active| *active += 1);
        Active(sync::Arc::clone(self))
    }

    /// Returns the number of running requests.
    pub fn active(&self) -> u32 {
        *self.active.borrow()
    }

    /// Waits until no request runs.
    pub async fn idle(&self) {
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = self
            .active
            .subscribe()
            .wait_for(|active| *active == 0)
            .await;
    }

    /// Stops taking new work and announces that at once.
    pub fn leave(&self) {
        self.condition().state = backend::State::Leaving;
        self.announce.notify_one();
    }

    /// Returns the figures of a load report as of now.
    pub fn load(&self) -> backend::Load {
        if self.settings.kind == backend::Kind::Service {
            return backend::Load {
                running: self.active(),
                ..backend::Load::default()
            };
        }
        let status = self.model().status();
        backend::Load {
            running: status.running,
            waiting: status.waiting,
            kv_used: status.blocks_held as f32 / self.settings.batch.kv_blocks.max(1) as f32,
            step_ms: status.step_us as f32 / 1_000.0,
            age_ms: 0,
        }
    }

    /// Returns an announcement with a given load report.
    pub fn announcement(&self, sequence: u64, load: backend::Load) -> backend::Announcement {
        let condition = self.condition().clone();
        backend::Announcement {
            id: self.settings.id.clone(),
            incarnation: self.incarnation,
            sequence,
            address: name::Name::from(self.address.to_string()),
            kind: self.settings.kind,
            service: self.settings.service.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            state: condition.state,
            loaded: condition.loaded,
            capacity: self.settings.capacity,
            fence: condition.fence,
            load,
        }
    }

    /// Runs the batching model; never returns.
    pub async fn drive(&self) {
        loop {
            let next = self.model().advance(time::Instant::now());
            match next {
                Some(at) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(at.into()) => {}
                        () = self.drive.notified() => {}
                    }
                }
                None => self.drive.notified().await,
            }
        }
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

/// Locks a mutex. The guarded data stays usable after a panic elsewhere.
fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
