//! Graceful shutdown: refuses new work and waits for running work.

use std::{future, pin, sync};

use tokio::sync as async_sync;
use tokio_util::task;

/// A callback that runs during the shutdown, for example to release batch leases.
type Hook = Box<dyn FnOnce() -> pin::Pin<Box<dyn future::Future<Output = ()> + Send>> + Send>;

/// State of the shutdown, and the tasks and hooks that have to finish first.
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
    /// Returns whether the shutdown has started, so that new work is refused.
    pub fn is_draining(&self) -> bool {
        *self.started.borrow()
    }

    /// Starts the shutdown: new work is refused from now on.
    pub fn start(&self) {
        self.started.send_replace(true);
    }

    /// Waits until the shutdown starts.
    pub async fn started(&self) {
        // Fails only if the sender is dropped, which lives as long as `self`.
        let _ = self.started.subscribe().wait_for(|started| *started).await;
    }

    /// Spawns a task that runs to its end even if the returned handle is dropped,
    /// for example because the caller disconnected. The shutdown waits for it.
    pub fn spawn<F>(&self, future: F) -> tokio::task::JoinHandle<F::Output>
    where
        F: future::Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.tasks.spawn(future)
    }

    /// Adds a hook that runs during the shutdown, while the control thread still
    /// works. The batch dispatcher releases its leases in one.
    pub fn add_hook<F, R>(&self, hook: F)
    where
        F: FnOnce() -> R + Send + 'static,
        R: future::Future<Output = ()> + Send + 'static,
    {
        let hook: Hook = Box::new(move || Box::pin(hook()));
        self.lock_hooks().push(hook);
    }

    /// Runs all hooks, one after another. Each hook runs at most once.
    pub async fn run_hooks(&self) {
        let hooks = std::mem::take(&mut *self.lock_hooks());
        for hook in hooks {
            hook().await;
        }
    }

    /// Waits for the tasks of [`Drain::spawn`].
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
