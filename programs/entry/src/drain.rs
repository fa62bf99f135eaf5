//! Graceful shutdown: stops new work and waits for what runs.

use std::{future, pin, sync};

use tokio::sync as async_sync;
use tokio_util::task;

/// Releases something when the process drains, for example batch leases.
type Hook = Box<dyn FnOnce() -> pin::Pin<Box<dyn future::Future<Output = ()> + Send>> + Send>;

/// Whether the process drains, and the work that has to finish first.
pub struct Drain {
    started: async_sync::watch::Sender<bool>,
    tasks: task::TaskTracker,
    hooks: sync::Mutex<Vec<Hook>>,
}

impl Default for Drain {
    fn default() -> Self {
        Drain {
            started: async_sync::watch::Sender::new(false),
            tasks: task::TaskTracker::new(),
            hooks: sync::Mutex::new(Vec::new()),
        }
    }
}

impl Drain {
    /// Returns whether new work is refused.
    pub fn is_draining(&self) -> bool {
        *self.started.borrow()
    }

    /// Stops new work.
    pub fn start(&self) {
        self.started.send_replace(true);
    }

    /// Waits until new work is stopped.
    pub async fn started(&self) {
        // The sender lives as long as `self`.
        let _ = self.started.subscribe().wait_for(|started| *started).await;
    }

    /// Runs a future to its end even if the caller that waits for it leaves,
    /// and holds the shutdown until then.
    pub fn spawn<F>(&self, future: F) -> tokio::task::JoinHandle<F::Output>
    where
        F: future::Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.tasks.spawn(future)
    }

    /// Adds a hook that runs when the process drains, while control is still
    /// reachable. The batch dispatcher gives its leases back here.
    pub fn add_hook<F, R>(&self, hook: F)
    where
        F: FnOnce() -> R + Send + 'static,
        R: future::Future<Output = ()> + Send + 'static,
    {
        let hook: Hook = Box::new(move || Box::pin(hook()));
        self.lock_hooks().push(hook);
    }

    /// Runs the hooks.
    pub async fn run_hooks(&self) {
        let hooks = std::mem::take(&mut *self.lock_hooks());
        for hook in hooks {
            hook().await;
        }
    }

    /// Waits for the futures that must finish.
    pub async fn tasks_finished(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn lock_hooks(&self) -> sync::MutexGuard<'_, Vec<Hook>> {
        self.hooks
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
