//! Load balancing and admission of online requests at one entry VM.
//!
//! A model engine admits requests in order of arrival and runs `slots` of them
//! concurrently, so a request that is sent to a full one waits for everything that is
//! queued there. An entry VM knows its own requests immediately, and those of the other
//! entry VMs with the delay of the exchange through the leader.

mod spread;

use std::collections::BTreeMap;

use bw_wire::name::Name;
use serde::Deserialize;

use crate::{load, registry};

/// Limits of the load balancing.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Most online requests that may be queued at one backend server, beyond its slots.
    /// A slot becomes free every tenth of a second at full load, so that a queue of two
    /// keeps the first event within a latency objective of 300 ms.
    pub queue: u32,
    /// How long requests of other entry VMs stay unknown, in milliseconds: half the
    /// interval of their reports, half that of the leader's loads, and the delay of two
    /// messages. With 0 all requests are taken as known.
    pub unseen_ms: u64,
    /// Largest difference in load for which backend servers count as equally loaded.
    /// The delay of the exchange hides more than one request.
    pub near: u32,
    /// First pause of a backend server after a failure, in milliseconds. It doubles with
    /// each further one.
    pub pause_ms: u64,
    /// Longest pause after failures, in milliseconds.
    pub pause_max_ms: u64,
    /// Shortest retry time of a rejected caller, in milliseconds. A slot of a full
    /// backend server takes about this long to become free.
    pub return_ms: u64,
    /// Time over which the retries of rejected callers are spread, in milliseconds.
    /// Bursts last seconds, and a client waits for at most a third of its remaining
    /// time.
    pub spread_ms: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            queue: 2,
            unseen_ms: 40,
            near: 1,
            pause_ms: 500,
            pause_max_ms: 8_000,
            return_ms: 200,
            spread_ms: 1_000,
        }
    }
}

/// Initial average duration of a request, before any has ended, in milliseconds.
const DURATION_INITIAL_MS: f64 = 1_000.0;
/// Shortest duration that enters the average, in milliseconds. Shorter ones are rounded
/// up to it.
const DURATION_MIN_MS: f64 = 10.0;
/// Weight of the newest request in the moving average of durations. An entry VM has a
/// few requests a second.
const DURATION_WEIGHT: f64 = 1.0 / 16.0;
/// Pause of a backend server that refused a request because it was full, in
/// milliseconds. A slot takes about this long to become free.
const REFUSED_PAUSE_MS: u64 = 200;

/// The state of a backend server as one entry VM knows it.
#[derive(Clone, Debug)]
struct Server {
    announcement: registry::Announcement,
    /// Online requests in flight from this entry VM.
    own: u32,
    /// The value of `own` in the last report to the leader.
    reported: u32,
    /// Online requests in flight from all entry VMs, as the leader published them last.
    online: u32,
    /// Batch items that run there, as the leader published them last.
    batch: u32,
    /// Failures in a row, those during a pause counted once.
    failures: u32,
    paused_until_ms: u64,
    last_success_ms: u64,
    ejected: bool,
    /// Requests that succeeded and that failed since the last report.
    results: (u32, u32),
}

impl Server {
    /// Returns the online requests in flight from all entry VMs, as far as they are
    /// known here.
    fn online(&self) -> u32 {
        self.own + self.online.saturating_sub(self.reported)
    }
}

/// The properties of a request that decide where it is sent.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The service that must run it.
    pub service: &'a str,
    /// Hash of the shared parts of the prompt. Requests with the same hash prefer the
    /// same backend server, whose cache holds these parts.
    pub affinity: u64,
    /// Backend servers that were tried before and are left out.
    pub tried: &'a [Name],
    /// The failure domain of the entry VM.
    pub failure_domain: &'a str,
    /// Whether the request already ran in part. It is then placed even where the queue
    /// is full, as a rejection would waste the work that was done.
    pub resumed: bool,
    /// A random number, which spreads requests over equally good backend servers and
    /// rejected callers over time.
    pub random: u64,
}

/// The backend server to which a request is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// The id of the backend server, to be passed to [`Balancer::finished`].
    pub id: Name,
    /// Its IP address and port.
    pub address: Name,
    /// When it announced to have started, in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
    /// Whether a batch item must be preempted there to free a slot for the request.
    pub needs_preemption: bool,
}

/// The kind of a failure, which decides when the backend server is paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The backend server could not be reached or did not answer in time. It is paused
    /// immediately.
    Unreachable,
    /// An answer broke off, came from another backend server or was a server error. A
    /// single one does not pause the backend server: one that fails a few requests in a
    /// hundred still serves the rest.
    Broken,
}

/// Why a request is not placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No backend server of the service can be used.
    NoBackend,
    /// Every usable backend server is full.
    Overload,
}

/// The rejection of a request before anything was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Why the request is not placed.
    pub reason: Reason,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
    /// The number of usable backend servers of the service, for logs.
    pub usable: u32,
    /// The fewest online requests at one of them, for logs; 0 if there is none.
    pub least_online: u32,
    /// Estimated requests of other entry VMs that are not known here yet, for logs.
    pub unseen_requests: u64,
}

/// Distributes the online requests of one entry VM over the backend servers.
#[derive(Clone, Debug)]
pub struct Balancer {
    options: Options,
    /// Moving average of the duration of requests, in milliseconds.
    duration_ms: f64,
    servers: BTreeMap<Name, Server>,
}

impl Balancer {
    /// Creates a balancer without backend servers.
    pub fn new(options: Options) -> Balancer {
        Balancer {
            options,
            duration_ms: DURATION_INITIAL_MS,
            servers: BTreeMap::new(),
        }
    }

    /// Adds or updates a backend server. A restart under the same id clears its earlier
    /// failures.
    pub fn announce(&mut self, announcement: &registry::Announcement) {
        let new = Server {
            announcement: announcement.clone(),
            own: 0,
            reported: 0,
            online: 0,
            batch: 0,
            failures: 0,
            paused_until_ms: 0,
            last_success_ms: 0,
            ejected: false,
            results: (0, 0),
        };
        let server = self.servers.entry(announcement.id.clone()).or_insert(new);
        if server.announcement.started_ms != announcement.started_ms {
            server.failures = 0;
            server.paused_until_ms = 0;
        }
        server.announcement = announcement.clone();
    }

    /// Resets the loads that a leader published, as a snapshot of another one follows.
    pub fn clear_loads(&mut self) {
        for server in self.servers.values_mut() {
            server.online = 0;
            server.batch = 0;
            server.ejected = false;
        }
    }

    /// Applies loads that the leader published because they changed.
    pub fn set_loads(&mut self, loads: &[load::Load]) {
        for load in loads {
            if let Some(server) = self.servers.get_mut(&load.id) {
                server.online = load.online;
                server.batch = load.batch;
                server.ejected = load.ejected;
            }
        }
    }

    /// Returns the report for the leader: the requests in flight from this entry VM and
    /// the results since the last report. Backend servers with neither are left out.
    pub fn report(&mut self) -> Vec<load::Usage> {
        let mut report = Vec::new();
        for (id, server) in &mut self.servers {
            server.reported = server.own;
            let (succeeded, failed) = std::mem::take(&mut server.results);
            if server.own + succeeded + failed > 0 {
                report.push(load::Usage {
                    id: id.clone(),
                    online: server.own,
                    succeeded,
                    failed,
                });
            }
        }
        report
    }

    /// Selects a backend server and counts the request there until
    /// [`Balancer::finished`].
    ///
    /// # Errors
    ///
    /// Returns a rejection with a retry time if no backend server can be used or all are
    /// full.
    pub fn place(&mut self, request: &Request<'_>, now_ms: u64) -> Result<Place, Rejection> {
        let requests = 1 + self.unseen_requests(request.service);
        if requests > 1 {
            return self.place_among_unseen(request, requests, now_ms);
        }
        let usable = |server: &&Server| is_usable(server, request, now_ms);
        let least = self.servers.values().filter(usable).map(load).min();
        let chosen = match least {
            Some(least) => self
                .preferred(request, now_ms, least)
                .or_else(|| self.with_least_online(request, now_ms))
                .ok_or(Reason::Overload),
            None => self
                .first_to_recover(request, now_ms)
                .ok_or(Reason::NoBackend),
        };
        match chosen.map(place_of) {
            Ok(place) => {
                self.count_started(&place.id);
                Ok(place)
            }
            Err(reason) => Err(self.reject(reason, request, now_ms)),
        }
    }

    /// Estimates how many requests of other entry VMs were placed on a service and are
    /// not known here yet. They are taken to arrive at the rate at which the known ones
    /// end.
    fn unseen_requests(&self, service: &str) -> u64 {
        let servers = self.servers.values();
        let servers = servers.filter(|server| *server.announcement.service == *service);
        let others: u32 = servers.map(|server| server.online() - server.own).sum();
        (f64::from(others) / self.duration_ms * self.options.unseen_ms as f64) as u64
    }

    /// Places one of `requests` requests, of which the others are not known here yet. If
    /// there is room for some of them only, the request is rejected with the same
    /// probability as each of them.
    fn place_among_unseen(
        &mut self,
        request: &Request<'_>,
        requests: u64,
        now_ms: u64,
    ) -> Result<Place, Rejection> {
        let servers = self.servers.values();
        let usable: Vec<&Server> = servers
            .filter(|server| is_usable(server, request, now_ms))
            .collect();
        let candidates: Vec<spread::Candidate> = usable
            .iter()
            .map(|server| spread::Candidate {
                slots: server.announcement.slots,
                online: server.online(),
                batch: server.batch,
                limit: self.limit(server),
                is_local: *server.announcement.failure_domain == *request.failure_domain,
            })
            .collect();
        let spread = spread::Spread::new(&candidates);
        let requests = match request.resumed {
            true => requests.min(spread.total()),
            false => requests,
        };
        let chosen = spread.draw(requests, [request.random, request.random >> 24]);
        let chosen = chosen.map(|index| usable[index]);
        let chosen = chosen
            .or_else(|| {
                self.with_least_online(request, now_ms)
                    .filter(|_| request.resumed)
            })
            .or_else(|| {
                let none = usable.is_empty();
                self.first_to_recover(request, now_ms).filter(|_| none)
            });
        match chosen.map(place_of) {
            Some(place) => {
                self.count_started(&place.id);
                Ok(place)
            }
            None if usable.is_empty() => Err(self.reject(Reason::NoBackend, request, now_ms)),
            None => Err(self.reject(Reason::Overload, request, now_ms)),
        }
    }

    /// Returns the preferred one of the backend servers whose load is about the least.
    fn preferred(&self, request: &Request<'_>, now_ms: u64, least: u32) -> Option<&Server> {
        let max_load = least + self.options.near;
        let servers = self.servers.values();
        servers
            .filter(|server| is_usable(server, request, now_ms) && load(server) <= max_load)
            .filter(|server| self.has_room(server, request))
            .max_by_key(|server| self.preference(server, request, least))
    }

    /// Returns the backend server with the fewest online requests. It is needed when the
    /// least loaded ones have no room for online requests: others with a higher load may
    /// be full of batch items, which give way.
    fn with_least_online(&self, request: &Request<'_>, now_ms: u64) -> Option<&Server> {
        let servers = self.servers.values();
        servers
            .filter(|server| is_usable(server, request, now_ms) && self.has_room(server, request))
            .min_by_key(|server| server.online())
    }

    /// Returns the backend server whose pause ends first. It is used when all are paused
    /// or ejected, as it may have recovered and a rejection is no better for the caller.
    fn first_to_recover(&self, request: &Request<'_>, now_ms: u64) -> Option<&Server> {
        let servers = self.servers.values();
        servers
            .filter(|server| {
                is_candidate(server, request, now_ms) && self.has_room(server, request)
            })
            .min_by_key(|server| (server.ejected, server.paused_until_ms, load(server)))
    }

    /// Records that a request ended at a backend server, however it ended.
    pub fn finished(&mut self, id: &str, duration_ms: u64) {
        let duration_ms = (duration_ms as f64).max(DURATION_MIN_MS);
        self.duration_ms += (duration_ms - self.duration_ms) * DURATION_WEIGHT;
        if let Some(server) = self.servers.get_mut(id) {
            server.own = server.own.saturating_sub(1);
        }
    }

    /// Records an answer of a backend server, which ends its pause.
    pub fn succeeded(&mut self, id: &str, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.failures = 0;
            server.paused_until_ms = 0;
            server.last_success_ms = now_ms;
            server.results.0 += 1;
        }
    }

    /// Records a failure. A backend server that cannot be reached, or breaks two answers
    /// in a row, is paused: it gets no new requests for a while. Failures during a pause
    /// do not extend it, as their requests were sent before.
    pub fn failed(&mut self, id: &str, failure: Failure, now_ms: u64) {
        let options = self.options;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.results.1 += 1;
        if now_ms < server.paused_until_ms {
            return;
        }
        server.failures += 1;
        if failure == Failure::Broken && server.failures < BROKEN_MIN {
            return;
        }
        let pause_ms = options.pause_ms << (server.failures - 1).min(6);
        server.paused_until_ms = now_ms + pause_ms.min(options.pause_max_ms);
    }

    /// Records that a backend server refused a request because it was full. It is paused
    /// briefly, but this does not count as a failure.
    pub fn refused(&mut self, id: &str, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.paused_until_ms = server.paused_until_ms.max(now_ms + REFUSED_PAUSE_MS);
        }
    }

    /// Returns the known load of a backend server, for logs: online requests of this
    /// entry VM, online requests of all entry VMs, and batch items.
    pub fn view(&self, id: &str) -> (u32, u32, u32) {
        let server = self.servers.get(id);
        server.map_or((0, 0, 0), |server| {
            (server.own, server.online(), server.batch)
        })
    }

    fn count_started(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own += 1;
        }
    }

    /// Returns the rank of a backend server among others of nearly the same load; the
    /// highest is preferred. A free slot comes first, then the failure domain of the
    /// entry VM, then a hash of the prompt and the id, so that equal prompts meet at the
    /// same backend server.
    fn preference(&self, server: &Server, request: &Request<'_>, least: u32) -> (bool, bool, u64) {
        let known = &server.announcement;
        let free = load(server) < known.slots || load(server) == least;
        let is_local = *known.failure_domain == *request.failure_domain;
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(known.id.as_bytes(), request.affinity);
        (free, is_local, hash)
    }

    fn has_room(&self, server: &Server, request: &Request<'_>) -> bool {
        request.resumed || server.online() < self.limit(server)
    }

    /// Returns the most online requests that a backend server may have, running or
    /// queued.
    fn limit(&self, server: &Server) -> u32 {
        server.announcement.slots.saturating_add(self.options.queue)
    }

    fn reject(&self, reason: Reason, request: &Request<'_>, now_ms: u64) -> Rejection {
        let spread = request.random % self.options.spread_ms.max(1);
        let servers = self.servers.values();
        let usable = servers.filter(|server| is_usable(server, request, now_ms));
        let online: Vec<u32> = usable.map(Server::online).collect();
        Rejection {
            reason,
            retry_after_ms: self.options.return_ms + spread,
            usable: online.len() as u32,
            least_online: online.into_iter().min().unwrap_or(0),
            unseen_requests: self.unseen_requests(request.service),
        }
    }
}

/// Returns whether a backend server may be used and is neither paused nor ejected.
fn is_usable(server: &Server, request: &Request<'_>, now_ms: u64) -> bool {
    now_ms >= server.paused_until_ms && !server.ejected && is_candidate(server, request, now_ms)
}

/// Returns whether a backend server may be used, leaving pauses and ejections aside.
fn is_candidate(server: &Server, request: &Request<'_>, now_ms: u64) -> bool {
    let known = &server.announcement;
    // A silent backend server may be cut off from the control replicas only. It is used
    // as long as its last answer to this entry VM is recent.
    let alive = match known.state {
        registry::State::Ready => true,
        registry::State::Leaving => false,
        registry::State::Silent => now_ms < server.last_success_ms + SILENT_USE_MS,
    };
    alive && *known.service == *request.service && !request.tried.contains(&known.id)
}

/// Broken answers in a row after which a backend server is paused.
const BROKEN_MIN: u32 = 2;

/// How long after its last answer a silent backend server is still used, in
/// milliseconds. This is longer than a request takes, so that one that serves requests
/// stays in use between two answers.
const SILENT_USE_MS: u64 = 3_000;

fn load(server: &Server) -> u32 {
    server.online() + server.batch
}

fn place_of(server: &Server) -> Place {
    Place {
        id: server.announcement.id.clone(),
        address: server.announcement.address.clone(),
        started_ms: server.announcement.started_ms,
        needs_preemption: server.batch > 0 && load(server) >= server.announcement.slots,
    }
}
