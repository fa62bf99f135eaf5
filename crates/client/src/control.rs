//! Calls to the control replicas.

use std::{collections, fmt, sync, time};

use jsonrpsee::core::client as rpc_client;
use serde::{Serialize, de};

use bw_wire::{command, member, name, query, rpc, sync as wire_sync, verdict};

use crate::link;

/// Default timeout of a single call to one replica.
const DEFAULT_CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Default timeout of a call including the search for the leader.
const DEFAULT_TOTAL_TIMEOUT: time::Duration = time::Duration::from_millis(8_000);
/// Pause before the next replica is tried in the search for the leader.
const SEARCH_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Why a call failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Whether the command may have been applied.
    pub verdict: verdict::Verdict,
    /// The cause of the last failed attempt.
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({})", self.message, self.verdict)
    }
}

impl std::error::Error for Error {}

/// Builds a [`Client`].
#[derive(Clone, Debug)]
pub struct Builder {
    addresses: Vec<name::Name>,
    token: Option<name::Name>,
    call_timeout: time::Duration,
    total_timeout: time::Duration,
}

impl Builder {
    /// Creates a builder with the `IP:port` addresses of the control replicas.
    pub fn new(addresses: Vec<name::Name>) -> Builder {
        Builder {
            addresses,
            token: None,
            call_timeout: DEFAULT_CALL_TIMEOUT,
            total_timeout: DEFAULT_TOTAL_TIMEOUT,
        }
    }

    /// Sets the bearer token; without one, calls carry no credentials.
    pub fn token(mut self, token: Option<name::Name>) -> Builder {
        self.token = token;
        self
    }

    /// Sets the timeout of a single call to one replica.
    pub fn call_timeout(mut self, timeout: time::Duration) -> Builder {
        self.call_timeout = timeout;
        self
    }

    /// Sets the timeout of a call including the search for the leader.
    pub fn total_timeout(mut self, timeout: time::Duration) -> Builder {
        self.total_timeout = timeout;
        self
    }

    /// Builds the client. Connections are opened when first used.
    pub fn build(self) -> Client {
        Client {
            inner: sync::Arc::new(Inner {
                addresses: self.addresses,
                token: self.token,
                call_timeout: self.call_timeout,
                total_timeout: self.total_timeout,
                links: sync::Mutex::new(collections::HashMap::new()),
                leaders: sync::Mutex::new(collections::HashMap::new()),
            }),
        }
    }
}

/// A client of all control replicas. Clones share their connections.
#[derive(Clone)]
pub struct Client {
    inner: sync::Arc<Inner>,
}

struct Inner {
    addresses: Vec<name::Name>,
    token: Option<name::Name>,
    call_timeout: time::Duration,
    total_timeout: time::Duration,
    /// Links by address.
    links: sync::Mutex<collections::HashMap<name::Name, sync::Arc<link::Link>>>,
    /// The address of the last known leader of each group.
    leaders: sync::Mutex<collections::HashMap<u32, name::Name>>,
}

/// How to proceed after a failed attempt.
enum Next {
    /// Another replica leads; try it, if its address is known.
    Redirect(Option<name::Name>),
    /// Nothing was applied; try any replica.
    Retry,
    /// The command may have been applied; retry it, as all calls can be retried.
    Unknown(String),
    /// The call is invalid, so a retry cannot succeed.
    Stop(String),
}

impl Client {
    /// Proposes a command and retries it until it is answered.
    ///
    /// All commands can be retried: the state machines answer a retry like the first
    /// call, or lease other chunks.
    ///
    /// # Errors
    ///
    /// Fails when no leader answered within the total timeout or when the call is
    /// invalid; the verdict says whether the command may have been applied.
    pub async fn propose(
        &self,
        group: u32,
        command: command::Command,
    ) -> Result<command::Reply, Error> {
        self.call(group, rpc::PROPOSE, &rpc::Propose { group, command })
            .await
    }

    /// Proposes a command to group 0.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::propose`].
    pub async fn config(
        &self,
        command: command::config::Command,
    ) -> Result<command::config::Reply, Error> {
        match self.propose(0, command::Command::Config(command)).await? {
            command::Reply::Config(reply) => Ok(reply),
            command::Reply::Work(_) => Err(wrong_reply()),
        }
    }

    /// Proposes a command to a work group.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::propose`].
    pub async fn work(
        &self,
        group: u32,
        command: command::work::Command,
    ) -> Result<command::work::Reply, Error> {
        match self.propose(group, command::Command::Work(command)).await? {
            command::Reply::Work(reply) => Ok(reply),
            command::Reply::Config(_) => Err(wrong_reply()),
        }
    }

    /// Runs a linearizable query.
    ///
    /// # Errors
    ///
    /// Fails when no leader answered within the total timeout.
    pub async fn query(&self, group: u32, query: query::Query) -> Result<query::Answer, Error> {
        self.call(group, rpc::QUERY, &rpc::Query { group, query })
            .await
    }

    /// Reports to the control leader and returns its answer.
    ///
    /// # Errors
    ///
    /// Fails when no leader answered within the total timeout.
    pub async fn sync(&self, request: &wire_sync::Request) -> Result<wire_sync::Response, Error> {
        self.call(0, rpc::SYNC, request).await
    }

    /// Returns which entry VMs do not serve a revision yet.
    ///
    /// # Errors
    ///
    /// Fails when no leader answered within the total timeout.
    pub async fn in_force(&self, revision: u64) -> Result<rpc::InForce, Error> {
        self.call(0, rpc::IN_FORCE, &revision).await
    }

    /// Changes the members of all groups.
    ///
    /// # Errors
    ///
    /// Fails when no leader answered within the total timeout.
    pub async fn members(&self, change: &member::Change) -> Result<Vec<member::Member>, Error> {
        self.call(0, rpc::MEMBERS, change).await
    }

    /// Reads a piece of the backup of a group; without an index, begins a new backup.
    ///
    /// # Errors
    ///
    /// Fails when no leader answered within the total timeout, or when a later snapshot
    /// has replaced the one with this index.
    pub async fn backup(
        &self,
        group: u32,
        index: Option<u64>,
        offset: u64,
    ) -> Result<rpc::Piece, Error> {
        let request = rpc::Backup {
            group,
            index,
            offset,
        };
        self.call(group, rpc::BACKUP, &request).await
    }

    /// Returns the state of one replica.
    ///
    /// # Errors
    ///
    /// Fails when the replica does not answer.
    pub async fn status(&self, address: &name::Name) -> Result<rpc::Status, Error> {
        let params = link::single_param(&()).map_err(|error| not_run(error.to_string()))?;
        self.link(address)
            .call(rpc::STATUS, params)
            .await
            .map_err(|error| not_run(error.to_string()))
    }

    /// Returns the addresses of the control replicas.
    pub fn addresses(&self) -> &[name::Name] {
        &self.inner.addresses
    }

    async fn call<P, R>(&self, group: u32, method: &str, param: &P) -> Result<R, Error>
    where
        P: Serialize,
        R: de::DeserializeOwned,
    {
        let start = time::Instant::now();
        let mut verdict = verdict::Verdict::NotRun;
        let mut target = self.leader(group);
        let mut position = 0;
        loop {
            let address = target.take().or_else(|| self.nth_address(position));
            let Some(address) = address else {
                return Err(not_run("no control addresses".to_owned()));
            };
            let params = link::single_param(param).map_err(|error| not_run(error.to_string()))?;
            let message = match self.link(&address).call(method, params).await {
                Ok(answer) => {
                    self.set_leader(group, Some(address));
                    return Ok(answer);
                }
                Err(error) => match classify(&error) {
                    Next::Redirect(Some(leader)) => {
                        target = (leader != address).then_some(leader);
                        error.to_string()
                    }
                    Next::Redirect(None) | Next::Retry => error.to_string(),
                    Next::Unknown(message) => {
                        verdict = verdict.join(verdict::Verdict::MayHaveRun);
                        message
                    }
                    Next::Stop(message) => return Err(Error { verdict, message }),
                },
            };
            self.set_leader(group, None);
            if start.elapsed() >= self.inner.total_timeout {
                return Err(Error { verdict, message });
            }
            if target.is_none() {
                position += 1;
                tokio::time::sleep(SEARCH_PAUSE).await;
            }
        }
    }

    /// Returns the address at a position, wrapping around at the end of the list.
    fn nth_address(&self, position: usize) -> Option<name::Name> {
        let addresses = &self.inner.addresses;
        addresses.get(position % addresses.len().max(1)).cloned()
    }

    fn leader(&self, group: u32) -> Option<name::Name> {
        lock(&self.inner.leaders).get(&group).cloned()
    }

    fn set_leader(&self, group: u32, leader: Option<name::Name>) {
        let mut leaders = lock(&self.inner.leaders);
        match leader {
            Some(leader) => leaders.insert(group, leader),
            None => leaders.remove(&group),
        };
    }

    fn link(&self, address: &name::Name) -> sync::Arc<link::Link> {
        let mut links = lock(&self.inner.links);
        let link = links.entry(address.clone()).or_insert_with(|| {
            sync::Arc::new(link::Link::new(
                address.clone(),
                self.inner.token.clone(),
                self.inner.call_timeout,
            ))
        });
        sync::Arc::clone(link)
    }
}

fn classify(error: &link::Error) -> Next {
    let error = match error {
        link::Error::Connect(_) => return Next::Retry,
        link::Error::Call(error) => error,
    };
    match error {
        rpc_client::Error::Call(object) => match object.code() {
            rpc::NOT_LEADER => Next::Redirect(
                object
                    .data()
                    .and_then(|data| serde_json::from_str::<rpc::Redirect>(data.get()).ok())
                    .and_then(|redirect| redirect.leader),
            ),
            rpc::BUSY => Next::Retry,
            rpc::OUTCOME_UNKNOWN => Next::Unknown(object.message().to_owned()),
            _ => Next::Stop(object.message().to_owned()),
        },
        rpc_client::Error::ParseError(error) => Next::Stop(error.to_string()),
        rpc_client::Error::RequestTimeout => {
            Next::Unknown("the control replica did not answer".to_owned())
        }
        // The connection may have failed after the request was sent.
        other => Next::Unknown(other.to_string()),
    }
}

fn not_run(message: String) -> Error {
    Error {
        verdict: verdict::Verdict::NotRun,
        message,
    }
}

fn wrong_reply() -> Error {
    Error {
        verdict: verdict::Verdict::MayHaveRun,
        message: "the reply belongs to another machine".to_owned(),
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
