//! Starts and stops the threads of a control replica.

use std::{fs, io, net, sync, sync::mpsc, thread, time};

use anyhow::Context;
use jsonrpsee::server;
use tokio::{runtime, sync as async_sync};
use tokio_util::sync::CancellationToken;

use bw_base::{access, program};
use bw_coord::{GroupId, ReplicaId, host, storage};
use bw_state::machine;

use crate::{
    core,
    network::{
        admin, auth,
        call::{Call, Caller},
        links, methods, orders,
    },
    settings,
};

/// Most calls queued for the control thread; further ones are refused as busy.
const CALLS_MAX: usize = 16_384;
/// Most connections to the control port. Enough for all entry VMs of the planned
/// fleet, replicas and operators.
const CONNECTIONS_MAX: u32 = 2_000;
/// Largest call and answer, in bytes.
const MESSAGE_BYTES_MAX: u32 = 64 * 1024 * 1024;
/// Time limit for open connections after the control thread has ended.
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(2);

/// A running control replica.
pub struct Handle {
    address: net::SocketAddr,
    admin_address: net::SocketAddr,
    caller: Caller,
    stop_network: CancellationToken,
    health: sync::Arc<admin::Health>,
    control: thread::JoinHandle<Result<(), storage::Error>>,
    network: thread::JoinHandle<()>,
    /// Resolves once the control thread has ended.
    ended: async_sync::oneshot::Receiver<()>,
}

/// Starts a control replica with its own threads.
///
/// # Errors
///
/// Fails if a token file or the data folder cannot be read, the data is damaged
/// or an address cannot be bound.
pub fn start(settings: settings::Settings) -> anyhow::Result<Handle> {
    let directory = storage::Directory::open(&settings.data)
        .with_context(|| format!("data folder {}", settings.data.display()))?;
    start_on(settings, Box::new(directory))
}

/// Starts a control replica like [`start`], in a data folder that is already open.
///
/// # Errors
///
/// Fails like [`start`].
pub fn start_on(
    settings: settings::Settings,
    folder: Box<dyn storage::Flusher>,
) -> anyhow::Result<Handle> {
    let tokens = match &settings.token_file {
        Some(file) => {
            let tokens = access::Tokens::load(file);
            let tokens = tokens.with_context(|| format!("token file {}", file.display()))?;
            Some(sync::Arc::new(tokens))
        }
        None => None,
    };
    let host = open(&settings, folder)
        .with_context(|| format!("data folder {}", settings.data.display()))?;
    let health = sync::Arc::new(admin::Health::new(tokens.clone()));
    let (caller, calls) = Caller::new(CALLS_MAX);
    let stop_network = CancellationToken::new();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let runtime_handle = runtime.handle().clone();
    let own_token = tokens
        .as_ref()
        .and_then(|tokens| tokens.token_of(&settings.token_name))
        .map(str::to_owned);
    let network = Network {
        listen: settings.listen.as_str().to_owned(),
        admin: settings.admin.as_str().to_owned(),
        context: methods::Context {
            caller: caller.clone(),
            work_groups: settings.work_groups,
            replica_name: tokens.as_ref().map(|_| settings.token_name.clone()),
        },
        tokens,
        health: sync::Arc::clone(&health),
        stop: stop_network.clone(),
    };
    let (bound, addresses) = mpsc::sync_channel(1);
    let network = thread::Builder::new()
        .name("network".to_owned())
        .spawn(move || network.run(&runtime, &bound))?;
    let Ok(addresses) = addresses.recv() else {
        let _ = network.join();
        anyhow::bail!("the network thread ended during startup");
    };
    let (address, admin_address) = match addresses {
        Ok(addresses) => addresses,
        Err(error) => {
            let _ = network.join();
            return Err(error);
        }
    };
    let order_timeout = time::Duration::from_millis(settings.timeouts.order_ms);
    let own = ReplicaId(settings.replica);
    let parts = core::Parts {
        links: links::Links::new(own, own_token, runtime_handle.clone(), stop_network.clone()),
        orders: orders::Sender::new(
            runtime_handle,
            order_timeout,
            caller.clone(),
            stop_network.clone(),
        ),
        health: sync::Arc::clone(&health),
        settings,
        host,
        calls,
    };
    let (end, ended) = async_sync::oneshot::channel();
    let control = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let result = core::Core::new(parts).run();
            // The handle may have been dropped.
            let _ = end.send(());
            result
        })?;
    Ok(Handle {
        address,
        admin_address,
        caller,
        stop_network,
        health,
        control,
        network,
        ended,
    })
}

impl Handle {
    /// Returns the bound address of the control port.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the bound address of the admin endpoints.
    pub fn admin_address(&self) -> net::SocketAddr {
        self.admin_address
    }

    /// Returns totals of the write-ahead log, at most a second old.
    pub fn stats(&self) -> host::Stats {
        self.health.stats()
    }

    /// Runs until `SIGTERM` or a failure, then stops.
    ///
    /// # Errors
    ///
    /// Fails if the disk failed or the signal handlers cannot be installed.
    pub fn run(mut self) -> anyhow::Result<()> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let signalled: io::Result<()> = runtime.block_on(async {
            tokio::select! {
                signal = program::stop_signal() => signal,
                _ = &mut self.ended => Ok(()),
            }
        });
        self.stop()?;
        Ok(signalled?)
    }

    /// Transfers leadership to other replicas, ends all threads and waits for them.
    ///
    /// # Errors
    ///
    /// Fails if the disk has failed or a thread has panicked.
    pub fn stop(self) -> anyhow::Result<()> {
        while !self.control.is_finished() && !self.caller.send(Call::Stop) {
            // The queue is full; the control thread empties it.
            thread::sleep(time::Duration::from_millis(1));
        }
        let control = self.control.join();
        self.stop_network.cancel();
        let network = self.network.join();
        let result = control.map_err(|_| anyhow::anyhow!("the control thread panicked"))?;
        network.map_err(|_| anyhow::anyhow!("the network thread panicked"))?;
        result.context("the replica stopped")
    }
}

/// Opens the replicated groups in a data folder. Restores them from a backup first if
/// the folder is empty, or an earlier restore was interrupted, and the settings name one.
fn open(
    settings: &settings::Settings,
    mut folder: Box<dyn storage::Flusher>,
) -> anyhow::Result<host::Host<core::Edge>> {
    let members = settings.initial_members();
    let members = members.iter().map(core::to_coord_member).collect();
    let mut builder = host::Builder::<core::Edge>::new(ReplicaId(settings.replica), members)
        .span_failure_domains(settings.spans_failure_domains())
        .election_timeout_ms(settings.timeouts.election_ms);
    for group in 0..=settings.work_groups {
        builder = builder.group(GroupId(group), machine::Machine::for_group(group));
    }
    let awaits_restore = host::awaits_restore(folder.as_mut())?;
    if let Some(backups) = settings.restore_from.as_ref().filter(|_| awaits_restore) {
        log::warn!(
            "the data folder is empty or incomplete and is filled from {}",
            backups.display()
        );
        for group in 0..=settings.work_groups {
            let file = backups.join(format!("group-{group}.backup"));
            let backup = fs::File::open(&file);
            let backup = backup.with_context(|| format!("backup {}", file.display()))?;
            builder = builder.restore(GroupId(group), io::BufReader::new(backup));
        }
    }
    Ok(builder.open(storage::Background::new(folder)?)?)
}

/// The servers of the network thread.
struct Network {
    listen: String,
    admin: String,
    context: methods::Context,
    tokens: Option<sync::Arc<access::Tokens>>,
    health: sync::Arc<admin::Health>,
    stop: CancellationToken,
}

/// The bound addresses of the control port and of the admin endpoints.
type Bound = anyhow::Result<(net::SocketAddr, net::SocketAddr)>;

impl Network {
    /// Binds the addresses, reports them, and serves until the replica stops.
    fn run(self, runtime: &runtime::Runtime, bound: &mpsc::SyncSender<Bound>) {
        runtime.block_on(async {
            let stop = self.stop.clone();
            match self.serve().await {
                Ok((control, admin, address)) => {
                    // The thread that starts the replica waits for the addresses.
                    let _ = bound.send(Ok((address, admin.address())));
                    stop.cancelled().await;
                    // Fails only if the server has already stopped.
                    let _ = control.stop();
                    let _ = tokio::time::timeout(DRAIN_LIMIT, control.stopped()).await;
                    admin.drain(DRAIN_LIMIT).await;
                }
                Err(error) => {
                    let _ = bound.send(Err(error));
                }
            }
        });
    }

    async fn serve(
        self,
    ) -> anyhow::Result<(
        server::ServerHandle,
        bw_base::server::Server,
        net::SocketAddr,
    )> {
        let config = server::ServerConfig::builder()
            .max_connections(CONNECTIONS_MAX)
            .max_request_body_size(MESSAGE_BYTES_MAX)
            .max_response_body_size(MESSAGE_BYTES_MAX)
            .set_tcp_no_delay(true)
            .build();
        let middleware = tower::ServiceBuilder::new().layer(auth::Layer::new(self.tokens));
        let control = server::Server::builder()
            .set_config(config)
            .set_http_middleware(middleware)
            .build(&self.listen)
            .await
            .with_context(|| format!("control port {}", self.listen))?;
        let address = control.local_addr()?;
        let admin = bw_base::server::Builder::default()
            .serve(&self.admin, admin::router(self.health))
            .await
            .with_context(|| format!("admin address {}", self.admin))?;
        let control = control.start(methods::module(self.context)?);
        Ok((control, admin, address))
    }
}
