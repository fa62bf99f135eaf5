//! Starts and stops the parts of the entry program.

use std::{net, sync, thread, time};

use anyhow::Context as _;
use bw_base::server;
use bw_policy::pacer;
use tokio::{runtime, sync as async_sync};

use crate::{api, batch, context, controller, settings};

/// Stack size of a traffic thread. Request handlers need little stack; the
/// default of 2 MiB would only use more address space.
const STACK_BYTES: usize = 1024 * 1024;
/// Least time for responses to operators at the end of a shutdown.
const ADMIN_DRAIN_MIN: time::Duration = time::Duration::from_secs(1);

/// A running entry program.
pub struct Handle {
    address: net::SocketAddr,
    admin_address: net::SocketAddr,
    peer_address: net::SocketAddr,
    context: sync::Arc<context::Context>,
    traffic: Option<thread::JoinHandle<()>>,
}

impl Handle {
    /// Returns the address for callers.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the address for health checks and metrics.
    pub fn admin_address(&self) -> net::SocketAddr {
        self.admin_address
    }

    /// Returns the address for other entry VMs.
    pub fn peer_address(&self) -> net::SocketAddr {
        self.peer_address
    }

    /// Returns the state that the threads share.
    pub fn shared(&self) -> &sync::Arc<context::Shared> {
        &self.context.shared
    }

    /// Starts a graceful shutdown without waiting for its end.
    pub fn drain(&self) {
        self.context.shared.drain.start();
    }

    /// Waits until a shutdown has ended, which lets running requests finish.
    pub fn join(mut self) {
        self.join_threads();
    }

    fn join_threads(&mut self) {
        if let Some(traffic) = self.traffic.take()
            && traffic.join().is_err()
        {
            log::error!("the traffic thread panicked");
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.drain();
        self.join_threads();
    }
}

/// Addresses of the servers once they are bound, and their context.
struct Bound {
    address: net::SocketAddr,
    admin_address: net::SocketAddr,
    context: sync::Arc<context::Context>,
}

/// Starts the program on its own threads and waits until its servers are bound.
///
/// # Errors
///
/// Fails when a token file cannot be read or an address cannot be bound.
pub fn start(settings: settings::Settings) -> anyhow::Result<Handle> {
    let shared = context::Shared::new(settings).context("cannot read a token file")?;
    let shared = sync::Arc::new(shared);
    let (sender, events) = controller::queue();
    let parts = controller::Parts {
        shared: sync::Arc::clone(&shared),
        events,
        sender: sender.clone(),
    };
    let control = Control::start(parts)?;
    let peer_address = control.peer_address;
    let (bound_sender, bound) = sync::mpsc::channel();
    let traffic = thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || traffic(shared, sender, control, &bound_sender))?;
    match bound.recv() {
        Ok(Ok(bound)) => Ok(Handle {
            address: bound.address,
            admin_address: bound.admin_address,
            peer_address,
            context: bound.context,
            traffic: Some(traffic),
        }),
        failed => {
            let joined = traffic.join();
            drop(joined);
            match failed {
                Ok(Err(error)) => Err(error),
                _ => Err(anyhow::anyhow!("the traffic thread ended early")),
            }
        }
    }
}

/// Handle of the control thread, which is stopped on drop.
struct Control {
    peer_address: net::SocketAddr,
    stop: Option<async_sync::oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Control {
    /// Starts the control thread and waits until its peer address is bound.
    fn start(parts: controller::Parts) -> anyhow::Result<Control> {
        let (stop, stopped) = async_sync::oneshot::channel();
        let (bound_sender, bound) = sync::mpsc::channel();
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || run_control(parts, stopped, &bound_sender))?;
        let mut control = Control {
            peer_address: net::SocketAddr::from(([0, 0, 0, 0], 0)),
            stop: Some(stop),
            thread: Some(thread),
        };
        control.peer_address = bound.recv().context("the control thread ended early")??;
        Ok(control)
    }
}

fn run_control(
    parts: controller::Parts,
    stopped: async_sync::oneshot::Receiver<()>,
    bound: &sync::mpsc::Sender<anyhow::Result<net::SocketAddr>>,
) {
    let address = parts.shared.settings.peer_listen().to_owned();
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            // `start` waits for this message, so the send does not fail.
            let _ = bound.send(Err(error.into()));
            return;
        }
    };
    runtime.block_on(async {
        let controller = match controller::Controller::bind(parts).await {
            Ok(controller) => controller,
            Err(error) => {
                let error = anyhow::Error::from(error);
                let error = error.context(format!("cannot listen on {address}"));
                // `start` waits for this message, so the send does not fail.
                let _ = bound.send(Err(error));
                return;
            }
        };
        // `start` waits for this message, so the send does not fail.
        let _ = bound.send(Ok(controller.peer_address()));
        controller.run(stopped).await;
    });
}

impl Drop for Control {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // The thread may have ended already.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the control thread panicked");
        }
    }
}

/// Runs the servers for callers and operators until the shutdown has ended.
fn traffic(
    shared: sync::Arc<context::Shared>,
    sender: controller::Sender,
    control: Control,
    bound: &sync::mpsc::Sender<anyhow::Result<Bound>>,
) {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(shared.settings.threads)
        .thread_name("traffic-worker")
        .thread_stack_size(STACK_BYTES)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            // `start` waits for this message, so the send does not fail.
            let _ = bound.send(Err(error.into()));
            return;
        }
    };
    runtime.block_on(serve(shared, sender, bound));
    // The control thread stops last, so that outcomes of the last requests can still
    // be recorded.
    drop(control);
}

async fn serve(
    shared: sync::Arc<context::Shared>,
    sender: controller::Sender,
    bound: &sync::mpsc::Sender<anyhow::Result<Bound>>,
) {
    let context = sync::Arc::new(context::Context::new(shared, sender));
    let servers = match bind(&context).await {
        Ok(servers) => servers,
        Err(error) => {
            // `start` waits for this message, so the send does not fail.
            let _ = bound.send(Err(error));
            return;
        }
    };
    let (callers, admin) = servers;
    let headroom = context.shared.settings.policy.batch_headroom;
    batch::Builder::new()
        .pacer(pacer::Builder::new().headroom(headroom))
        .spawn(&context);
    let addresses = Bound {
        address: callers.address(),
        admin_address: admin.address(),
        context: sync::Arc::clone(&context),
    };
    log::info!(address = addresses.address.to_string().as_str(); "entry VM started");
    // `start` waits for this message, so the send does not fail.
    let _ = bound.send(Ok(addresses));
    let shared = &context.shared;
    shared.drain.started().await;
    log::info!("entry VM is shutting down");
    let timeouts = &shared.settings.timeouts;
    let started = time::Instant::now();
    let grace = settings::ms(timeouts.linger_ms) + settings::ms(timeouts.drain_ms);
    callers.begin_stop();
    admin.begin_stop();
    let online = async {
        // Requests that arrive before the load balancer stops sending are refused.
        tokio::time::sleep(settings::ms(timeouts.linger_ms)).await;
        callers.drain(settings::ms(timeouts.drain_ms)).await
    };
    // Batch leases are released at once, so that other entry VMs take over the
    // work while online requests still run here.
    let (finished, ()) = tokio::join!(online, shared.drain.run_hooks());
    if !finished {
        log::error!("requests were cut off after the time limit of the shutdown");
    }
    shared.drain.tasks_finished().await;
    let left = grace.saturating_sub(started.elapsed());
    if !admin.drain(left.max(ADMIN_DRAIN_MIN)).await {
        log::error!("responses to operators were cut off after the time limit of the shutdown");
    }
    log::info!("entry VM stopped");
}

async fn bind(
    context: &sync::Arc<context::Context>,
) -> anyhow::Result<(server::Server, server::Server)> {
    let settings = &context.shared.settings;
    let limits = &settings.limits;
    let builder = server::Builder::default()
        .max_connections(limits.connections)
        .header_timeout(settings::ms(limits.header_timeout_ms));
    let traffic = api::Factory::new(sync::Arc::clone(context), api::Interface::Traffic);
    let callers = builder
        .clone()
        .serve(&settings.address, traffic)
        .await
        .with_context(|| format!("cannot listen on {}", settings.address))?;
    let admin = api::Factory::new(sync::Arc::clone(context), api::Interface::Admin);
    let admin = builder
        .serve(&settings.admin_address, admin)
        .await
        .with_context(|| format!("cannot listen on {}", settings.admin_address))?;
    Ok((callers, admin))
}
