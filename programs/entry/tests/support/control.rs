//! A fake control leader that keeps attempts, files and claims in memory.

use std::{
    collections,
    sync::{self, Arc},
};

use bw_coord::payload;
use bw_state::work;
use bw_wire::{
    backend,
    command::{
        self,
        work::{AttemptOutcome, Command, Reply, Suspect},
    },
    intent, name, query, renewal, rpc, sync as wire_sync,
};
use jsonrpsee::{RpcModule, server::ServerBuilder, types::ErrorObjectOwned};
use tokio::runtime;

/// State of the fake, and the faults that tests inject.
pub struct State {
    /// No call is handled while set.
    pub unresponsive: bool,
    /// Delay of each response to `sync`, in milliseconds.
    pub answer_ms: u64,
    /// Commands are applied, but get no reply, while set.
    pub withholds_replies: bool,
    /// Number of next `sync` calls that get no response.
    pub unanswered_syncs: u32,
    pub interval_ms: u64,
    pub clock_ms: u64,
    pub revision: u64,
    pub intent: intent::Intent,
    pub lease_ms: u64,
    pub peers: Vec<wire_sync::Peer>,
    pub owners: collections::BTreeMap<name::Name, name::Name>,
    pub backends: Vec<wire_sync::Dated>,
    pub suspects: Vec<Suspect>,
    pub syncs: Vec<wire_sync::Request>,
    pub strikes: Vec<(name::Name, bool)>,
    /// Whether another entry VM runs a suspect isolated.
    pub isolated_elsewhere: bool,
    pub cleared: usize,
    pub attempts: collections::HashMap<name::Name, Attempt>,
    /// Number of reads of the recorded suspects.
    pub suspect_reads: usize,
    pub store: Store,
    /// Number of commands to seal a file that arrived.
    pub seals: usize,
    /// Commands to seal a file are neither applied nor answered while set.
    pub drops_seals: bool,
}

/// The state machine of files and claims, one for all work groups.
#[derive(Default)]
pub struct Store {
    pub machine: work::Machine,
    payloads: payload::Memory,
    index: u64,
    now_ms: u64,
}

impl Store {
    /// Advances the clock and removes what has expired.
    pub fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        self.apply(Command::Expire);
    }

    fn apply(&mut self, command: Command) -> Reply {
        self.index += 1;
        let stamped = command::Stamped {
            now_ms: self.now_ms,
            command,
        };
        let reply = self.machine.apply(self.index, stamped);
        self.payloads.apply(self.machine.effects());
        reply
    }

    fn query(&self, query: &query::Query) -> Option<query::Answer> {
        let answer = self.machine.query(query, &mut &self.payloads);
        answer.expect("the payloads are stored")
    }
}

/// A recorded attempt of a request that is not repeatable.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub number: u64,
    pub holder: name::Name,
    pub outcome: Option<AttemptOutcome>,
}

/// A running fake.
pub struct Control {
    pub state: Arc<sync::Mutex<State>>,
    address: String,
    _runtime: runtime::Runtime,
}

impl Control {
    pub fn start() -> Control {
        let state = Arc::new(sync::Mutex::new(State {
            unresponsive: false,
            withholds_replies: false,
            answer_ms: 0,
            unanswered_syncs: 0,
            interval_ms: wire_sync::SHORT_INTERVAL_MS,
            clock_ms: 0,
            revision: 1,
            intent: intent(),
            lease_ms: wire_sync::CONFIG_LEASE_MS,
            peers: Vec::new(),
            owners: collections::BTreeMap::new(),
            backends: Vec::new(),
            suspects: Vec::new(),
            syncs: Vec::new(),
            strikes: Vec::new(),
            isolated_elsewhere: false,
            cleared: 0,
            attempts: collections::HashMap::new(),
            suspect_reads: 0,
            store: Store::default(),
            seals: 0,
            drops_seals: false,
        }));
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let module = module(&state);
        let address = runtime.block_on(async move {
            let server = ServerBuilder::default().build("127.0.0.1:0").await;
            let server = server.expect("control listens");
            let address = server.local_addr().expect("an address");
            let handle = server.start(module);
            tokio::spawn(handle.stopped());
            address.to_string()
        });
        Control {
            state,
            address,
            _runtime: runtime,
        }
    }

    pub fn address(&self) -> String {
        self.address.clone()
    }

    pub fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }
}

/// Returns an intent with model `m` and its adapter, the repeatable service `quote`
/// and the service `invoice`, which is not repeatable.
pub fn intent() -> intent::Intent {
    let model = intent::Model {
        adapters: vec!["m-fine".into()],
        ..intent::Model::default()
    };
    let once = intent::Service {
        repeatable: false,
        ..intent::Service::default()
    };
    intent::Intent {
        models: [("m".into(), model)].into(),
        services: [
            ("quote".into(), intent::Service::default()),
            ("invoice".into(), once),
        ]
        .into(),
        ..intent::Intent::default()
    }
}

fn module(state: &Arc<sync::Mutex<State>>) -> RpcModule<Arc<sync::Mutex<State>>> {
    let mut module = RpcModule::new(Arc::clone(state));
    module
        .register_async_method(rpc::SYNC, |params, state, _| async move {
            wait_until_responsive(&state).await;
            let request: wire_sync::Request = params.one()?;
            drop_sync(&state).await;
            let delay_ms = state.lock().expect("lock").answer_ms;
            tokio::time::sleep(std::time::Duration::from_millis(delay_ms)).await;
            Ok::<_, ErrorObjectOwned>(sync_reply(&mut state.lock().expect("lock"), request))
        })
        .expect("registered");
    module
        .register_async_method(rpc::PROPOSE, |params, state, _| async move {
            wait_until_responsive(&state).await;
            let propose: rpc::Propose = params.one()?;
            let command::Command::Work(command) = propose.command else {
                panic!("entry VMs propose work only");
            };
            drop_seal(&state, &command).await;
            let reply = work_reply(&mut state.lock().expect("lock"), command);
            if state.lock().expect("lock").withholds_replies {
                std::future::pending::<()>().await;
            }
            Ok::<_, ErrorObjectOwned>(command::Reply::Work(reply))
        })
        .expect("registered");
    module
        .register_async_method(rpc::QUERY, |params, state, _| async move {
            wait_until_responsive(&state).await;
            let ask: rpc::Query = params.one()?;
            let mut state = state.lock().expect("lock");
            let answer = match ask.query {
                query::Query::Suspects => {
                    state.suspect_reads += 1;
                    Some(query::Answer::Suspects(state.suspects.clone()))
                }
                query => state.store.query(&query),
            };
            Ok::<_, ErrorObjectOwned>(answer.expect("a query about work"))
        })
        .expect("registered");
    module
}

/// Waits until the fake is no longer unresponsive.
async fn wait_until_responsive(state: &Arc<sync::Mutex<State>>) {
    while state.lock().expect("lock").unresponsive {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Never returns for a `sync` call that is to get no response.
async fn drop_sync(state: &Arc<sync::Mutex<State>>) {
    let is_dropped = {
        let mut state = state.lock().expect("lock");
        let is_dropped = state.unanswered_syncs > 0;
        state.unanswered_syncs = state.unanswered_syncs.saturating_sub(1);
        is_dropped
    };
    if is_dropped {
        std::future::pending::<()>().await;
    }
}

/// Counts a command to seal a file. Never returns if it is to get no reply.
async fn drop_seal(state: &Arc<sync::Mutex<State>>, command: &Command) {
    if !matches!(command, Command::FileSeal { .. }) {
        return;
    }
    let is_dropped = {
        let mut state = state.lock().expect("lock");
        state.seals += 1;
        state.drops_seals
    };
    if is_dropped {
        std::future::pending::<()>().await;
    }
}

fn sync_reply(state: &mut State, request: wire_sync::Request) -> wire_sync::Response {
    for dated in &request.heard {
        let id = &dated.announcement.id;
        state.backends.retain(|known| known.announcement.id != *id);
        state.backends.push(dated.clone());
    }
    let newer = state.revision > request.revision;
    let peers = state
        .peers
        .iter()
        .filter(|peer| peer.entry != request.entry);
    let response = wire_sync::Response {
        leader_term: 1,
        clock_ms: state.clock_ms,
        interval_ms: state.interval_ms,
        report_all: false,
        lease_ms: state.lease_ms,
        revision: state.revision,
        intent: newer.then(|| Box::new(state.intent.clone())),
        table: 1,
        whole: true,
        backends: Vec::new(),
        removed: Vec::new(),
        renewals: renewal::Renewals::default(),
        peers: Some(peers.cloned().collect()),
        online: renewal::Counts::default(),
        owners: Some(state.owners.clone()),
        suspects: state.suspects.clone(),
    };
    state.syncs.push(request);
    response
}

fn work_reply(state: &mut State, command: Command) -> Reply {
    match command {
        Command::AttemptBegin { team, .. } if team.is_empty() && state.isolated_elsewhere => {
            Reply::InProgress {
                holder: "another-entry/1/run".into(),
            }
        }
        Command::AttemptBegin {
            key,
            holder,
            holder_gone,
            ..
        } => {
            let attempt = Attempt {
                number: 1,
                holder: holder.clone(),
                outcome: None,
            };
            let Some(attempt) = state.attempts.get_mut(&key) else {
                state.attempts.insert(key, attempt);
                return Reply::Begin { attempt: 1 };
            };
            match &attempt.outcome {
                Some(AttemptOutcome::NotRun) => {
                    attempt.number += 1;
                    attempt.holder = holder;
                    attempt.outcome = None;
                    Reply::Begin {
                        attempt: attempt.number,
                    }
                }
                Some(outcome) => Reply::Known {
                    outcome: outcome.clone(),
                },
                None if attempt.holder == holder => Reply::Begin {
                    attempt: attempt.number,
                },
                None if holder_gone => {
                    attempt.outcome = Some(AttemptOutcome::Unknown);
                    Reply::Known {
                        outcome: AttemptOutcome::Unknown,
                    }
                }
                None => Reply::InProgress {
                    holder: attempt.holder.clone(),
                },
            }
        }
        Command::AttemptEnd { key, outcome, .. } => {
            let attempt = state.attempts.get_mut(&key).expect("a begun attempt");
            let recorded = attempt
                .outcome
                .get_or_insert_with(|| outcome.clone())
                .clone();
            match recorded == outcome {
                true => Reply::Ok,
                false => Reply::Known { outcome: recorded },
            }
        }
        Command::Strike {
            fingerprint,
            backend,
            isolated,
        } => {
            state.strikes.push((backend, isolated));
            let known = state.suspects.iter_mut();
            let mut known = known.filter(|suspect| suspect.fingerprint == fingerprint);
            let suspect = match known.next() {
                Some(suspect) => {
                    suspect.strikes += 1;
                    suspect.isolated += u32::from(isolated);
                    *suspect
                }
                None => {
                    let suspect = Suspect {
                        fingerprint,
                        strikes: 1,
                        isolated: u32::from(isolated),
                        until_ms: u64::MAX,
                    };
                    state.suspects.push(suspect);
                    suspect
                }
            };
            Reply::Suspect(suspect)
        }
        Command::Clear { fingerprint } => {
            state.cleared += 1;
            state
                .suspects
                .retain(|suspect| suspect.fingerprint != fingerprint);
            Reply::Ok
        }
        Command::FileChunk { .. }
        | Command::FileSeal { .. }
        | Command::FileDelete { .. }
        | Command::Claim { .. } => state.store.apply(command),
        _ => Reply::Ok,
    }
}

/// Returns an announcement of an engine with model `m`.
pub fn announcement(id: &str, address: &str, sequence: u64) -> backend::Announcement {
    backend::Announcement {
        id: id.into(),
        incarnation: 1,
        sequence,
        address: address.into(),
        kind: backend::Kind::Engine,
        service: "default".into(),
        failure_domain: "a".into(),
        state: backend::State::Ready,
        loaded: vec![backend::Loaded {
            model: "m".into(),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        capacity: 32,
        fence: 0,
        load: backend::Load::default(),
    }
}
