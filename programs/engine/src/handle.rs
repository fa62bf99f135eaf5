//! Starting and ending a backend server on its own thread.

use std::{net, sync, thread, time};

use anyhow::Context;
use bw_base::server as http;
use tokio::sync::mpsc;

use crate::{announce, api, fault, record, server, settings};

/// How long the last parts of finished answers may take to be written.
const FLUSH_LIMIT: time::Duration = time::Duration::from_secs(5);

/// How a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// It was stopped; `complete` says whether all running requests finished.
    Stopped {
        /// Whether no running request was cut off.
        complete: bool,
    },
    /// It was killed.
    Killed,
    /// A request with the crash marker ended it.
    Crashed,
}

#[derive(Clone, Copy, Debug)]
enum Command {
    Stop,
    Kill,
}

/// A running backend server. Dropping it kills the server.
#[derive(Debug)]
pub struct Handle {
    server: sync::Arc<server::Server>,
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<thread::JoinHandle<Ended>>,
}

/// Starts a backend server on a thread of its own.
///
/// # Errors
///
/// Fails when the address cannot be bound or the thread cannot be started.
pub fn start(settings: settings::Settings) -> anyhow::Result<Handle> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    let (commands, receiver) = mpsc::unbounded_channel();
    // A channel of the standard library may be waited on inside a runtime too.
    let (ready, started) = sync::mpsc::sync_channel(1);
    let thread = thread::Builder::new()
        .name(settings.id.to_string())
        .spawn(move || {
            // Dropping the runtime ends all tasks and closes all connections.
            runtime.block_on(run(settings, receiver, ready))
        })
        .context("cannot start the thread")?;
    match started.recv() {
        Ok(Ok(server)) => Ok(Handle {
            server,
            commands,
            thread: Some(thread),
        }),
        Ok(Err(error)) => {
            // The thread has ended with the error that is returned.
            let _ = thread.join();
            Err(error)
        }
        Err(_) => anyhow::bail!("the server ended while it started"),
    }
}

impl Handle {
    /// Returns the bound address.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Returns whether the server has ended.
    pub fn is_finished(&self) -> bool {
        self.thread
            .as_ref()
            .is_none_or(thread::JoinHandle::is_finished)
    }

    /// Returns what ran so far; it can be read after the server has ended.
    pub fn executions(&self) -> record::Executions {
        self.server.record().executions().clone()
    }

    /// Replaces the switched-on faults.
    pub fn set_faults(&self, faults: fault::Faults) {
        self.server.set_faults(faults);
    }

    /// Stops taking new work and announces that; the server keeps running.
    pub fn leave(&self) {
        self.server.leave();
    }

    /// Begins to stop: announces leaving and finishes the running requests.
    pub fn stop(&self) {
        // A server that has ended needs no command.
        let _ = self.commands.send(Command::Stop);
    }

    /// Ends the server at once and cuts its connections.
    pub fn kill(self) -> Ended {
        // A server that has ended needs no command.
        let _ = self.commands.send(Command::Kill);
        self.wait()
    }

    /// Waits for the end of the server.
    pub fn wait(mut self) -> Ended {
        self.join().unwrap_or(Ended::Killed)
    }

    fn join(&mut self) -> Option<Ended> {
        self.thread.take()?.join().ok()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        if self.thread.is_some() {
            // A server that has ended needs no command.
            let _ = self.commands.send(Command::Kill);
            self.join();
        }
    }
}

async fn run(
    settings: settings::Settings,
    mut commands: mpsc::UnboundedReceiver<Command>,
    ready: sync::mpsc::SyncSender<anyhow::Result<sync::Arc<server::Server>>>,
) -> Ended {
    let (server, http) = match bind(settings).await {
        Ok(bound) => bound,
        Err(error) => {
            // The parent waits for the message until it arrives.
            let _ = ready.send(Err(error));
            return Ended::Killed;
        }
    };
    let driver = sync::Arc::clone(&server);
    let driver = tokio::spawn(async move { driver.drive().await });
    let announcer = tokio::spawn(announce::run(sync::Arc::clone(&server)));
    let publisher = tokio::spawn(announce::publish_cache_events(sync::Arc::clone(&server)));
    log::info!("{} serves at {}", server.settings.id, server.address);
    // The parent waits for the message until it arrives.
    let _ = ready.send(Ok(sync::Arc::clone(&server)));
    let ended = tokio::select! {
        ended = obey(&server, &mut commands) => ended,
        () = server.crash.notified() => Ended::Crashed,
    };
    let ended = match ended {
        Ended::Stopped { complete } => {
            let flushed = http.drain(FLUSH_LIMIT).await;
            log::info!("stopped; requests finished: {complete}, answers written: {flushed}");
            Ended::Stopped {
                complete: complete && flushed,
            }
        }
        other => {
            http.drain(time::Duration::ZERO).await;
            other
        }
    };
    for task in [driver, announcer, publisher] {
        task.abort();
        // The task was ended on purpose.
        let _ = task.await;
    }
    ended
}

/// Binds the address, then creates the state that announces it.
async fn bind(
    settings: settings::Settings,
) -> anyhow::Result<(sync::Arc<server::Server>, http::Server)> {
    let address = settings.address.clone();
    // The state holds the bound address, which is known only after binding. No
    // request is read before it is set, as nothing is awaited in between.
    let cell = sync::Arc::new(sync::OnceLock::new());
    let http = http::Builder::default()
        .serve(&address, api::Api::new(sync::Arc::clone(&cell)))
        .await
        .with_context(|| format!("cannot listen on {address}"))?;
    let server = sync::Arc::new(server::Server::new(settings, http.address()));
    let server = sync::Arc::clone(cell.get_or_init(|| server));
    Ok((server, http))
}

async fn obey(
    server: &sync::Arc<server::Server>,
    commands: &mut mpsc::UnboundedReceiver<Command>,
) -> Ended {
    match commands.recv().await {
        Some(Command::Stop) => {}
        Some(Command::Kill) | None => return Ended::Killed,
    }
    tokio::select! {
        complete = leave(server) => Ended::Stopped { complete },
        _ = commands.recv() => Ended::Killed,
    }
}

/// Leaves, and returns whether all running requests finished in time.
async fn leave(server: &server::Server) -> bool {
    server.leave();
    let linger = time::Duration::from_millis(server.settings.leave_linger_ms);
    tokio::time::sleep(linger).await;
    let limit = time::Duration::from_millis(server.settings.drain_limit_ms);
    tokio::time::timeout(limit, server.idle()).await.is_ok()
}
