//! Placement and admission of online requests at one entry VM.
//!
//! A model engine admits requests in order of arrival and runs `slots` of them
//! at once, so a request that is sent to a full one waits behind everything
//! there. An entry VM knows its own requests at once and those of the other
//! entry VMs with the delay of the exchange through the leader.

mod spread;

use std::collections::BTreeMap;

use bw_wire::name::Name;
use serde::Deserialize;

use crate::{load, registry};

/// Limits of the placement.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Online requests beyond the slots that may wait in one backend server.
    /// A slot becomes free every tenth of a second at full load, so that a
    /// queue of two keeps the first event within a latency objective of 300 ms.
    pub queue: u32,
    /// How long requests of other entry VMs stay unknown, in milliseconds: half
    /// the interval of their reports and of the leader's loads, and two messages.
    /// 0 places as if all were known.
    pub unseen_ms: u64,
    /// Difference in load within which backend servers count as equal. One
    /// request more is less than the delay of the exchange hides.
    pub near: u32,
    /// First pause after a failure in milliseconds; doubles with each one.
    pub pause_ms: u64,
    /// Longest pause after failures in milliseconds.
    pub pause_max_ms: u64,
    /// Shortest time after which a rejected caller returns, in milliseconds: a slot
    /// takes about this long to become free at a full backend server.
    pub return_ms: u64,
    /// Time over which rejected callers are spread when they return, in
    /// milliseconds: bursts last seconds, and a client keeps to at most a third
    /// of its remaining time.
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

/// How long a request takes before any has ended, in milliseconds.
const TOOK_MS: f64 = 1_000.0;
/// Shortest time that counts for the average, in milliseconds.
const TOOK_LEAST_MS: f64 = 10.0;
/// Weight of the newest request in the average: an entry VM has a few a second.
const TOOK_WEIGHT: f64 = 1.0 / 16.0;
/// How long a backend server that refused a request as full gets nothing, in
/// milliseconds: a slot takes about this long to become free.
const REFUSED_MS: u64 = 200;

/// What one entry VM knows of a backend server.
#[derive(Clone, Debug)]
struct Server {
    announcement: registry::Announcement,
    own: u32,
    reported: u32,
    online: u32,
    batch: u32,
    failures: u32,
    paused_until_ms: u64,
    succeeded_ms: u64,
    ejected: bool,
    /// Results since the last report.
    results: (u32, u32),
}

impl Server {
    /// Online requests in flight from all entry VMs, as far as known.
    fn online(&self) -> u32 {
        self.own + self.online.saturating_sub(self.reported)
    }
}

/// A request to place.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a str,
    /// Hash of the shared parts of the prompt: equal ones prefer the same
    /// backend server, whose cache holds them.
    pub affinity: u64,
    /// Backend servers that were tried.
    pub tried: &'a [Name],
    /// The failure domain of the entry VM.
    pub failure_domain: &'a str,
    /// Whether the request already ran in part. It is then placed even where
    /// the queue is full: rejecting it would waste what was done.
    pub resumed: bool,
    /// A random number, which spreads requests over equally good backend servers and
    /// rejected callers over time.
    pub random: u64,
}

/// Where to send a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// The id of the backend server.
    pub id: Name,
    /// Its address.
    pub address: Name,
    /// Whether a batch item must be preempted there to free a slot for the request.
    pub needs_preemption: bool,
}

/// What a failure says of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It could not be reached or did not answer in time.
    Unreachable,
    /// An answer broke off, was not its own or was a server error. One such
    /// answer may be chance: a backend server that spoils a few in a hundred
    /// still serves the rest.
    Broken,
}

/// Why a request is not placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No backend server of the service is known to work.
    NoBackend,
    /// Every backend server is full.
    Overload,
}

/// A request that is turned away before anything was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// The reason.
    pub reason: Reason,
    /// When the caller should come back, in milliseconds.
    pub retry_after_ms: u64,
    /// Backend servers of the service that could be used, for logs.
    pub usable: u32,
    /// The fewest online requests at one of them, for logs.
    pub least_online: u32,
    /// Requests of other entry VMs that were placed and are not known yet, for logs.
    pub unseen: u64,
}

/// Places the online requests of one entry VM.
#[derive(Clone, Debug)]
pub struct Balancer {
    options: Options,
    /// How long a request takes, in milliseconds; an average over recent ones.
    took_ms: f64,
    servers: BTreeMap<Name, Server>,
}

impl Balancer {
    /// Starts without backend servers.
    pub fn new(options: Options) -> Balancer {
        Balancer {
            options,
            took_ms: TOOK_MS,
            servers: BTreeMap::new(),
        }
    }

    /// Takes the state of a backend server. A new start under the same id
    /// forgets earlier failures.
    pub fn announce(&mut self, announcement: &registry::Announcement) {
        let fresh = Server {
            announcement: announcement.clone(),
            own: 0,
            reported: 0,
            online: 0,
            batch: 0,
            failures: 0,
            paused_until_ms: 0,
            succeeded_ms: 0,
            ejected: false,
            results: (0, 0),
        };
        let server = self.servers.entry(announcement.id.clone()).or_insert(fresh);
        if server.announcement.started_ms != announcement.started_ms {
            server.failures = 0;
            server.paused_until_ms = 0;
        }
        server.announcement = announcement.clone();
    }

    /// Forgets the loads of all entry VMs, as those of another leader follow.
    pub fn clear_loads(&mut self) {
        for server in self.servers.values_mut() {
            server.online = 0;
            server.batch = 0;
            server.ejected = false;
        }
    }

    /// Takes loads of all entry VMs that changed.
    pub fn set_loads(&mut self, loads: &[load::Load]) {
        for load in loads {
            if let Some(server) = self.servers.get_mut(&load.id) {
                server.online = load.online;
                server.batch = load.batch;
                server.ejected = load.ejected;
            }
        }
    }

    /// Returns the requests in flight from this entry VM and the results since
    /// the last report, for the leader.
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

    /// Chooses a backend server and counts the request there until
    /// [`Balance::finished`].
    ///
    /// # Errors
    ///
    /// Returns when the caller should come back if the request must wait too
    /// long everywhere.
    pub fn place(&mut self, request: &Request<'_>, now_ms: u64) -> Result<Place, Rejection> {
        let requests = 1 + self.unseen(request.service);
        if requests > 1 {
            return self.place_spread(request, requests, now_ms);
        }
        let usable = |server: &&Server| is_usable(server, request, now_ms);
        let least = self.servers.values().filter(usable).map(load).min();
        let chosen = match least {
            Some(least) => self
                .near_least(request, now_ms, least)
                .or_else(|| self.with_least_online(request, now_ms))
                .ok_or(Reason::Overload),
            None => self
                .first_recovered(request, now_ms)
                .ok_or(Reason::NoBackend),
        };
        match chosen.map(place_of) {
            Ok(place) => {
                self.started(&place.id);
                Ok(place)
            }
            Err(reason) => Err(self.reject(reason, request, now_ms)),
        }
    }

    /// Estimates how many requests of other entry VMs were placed on a service and
    /// are not known yet: they come at the rate at which the known ones leave.
    fn unseen(&self, service: &str) -> u64 {
        let servers = self.servers.values();
        let servers = servers.filter(|server| *server.announcement.service == *service);
        let others: u32 = servers.map(|server| server.online() - server.own).sum();
        (f64::from(others) / self.took_ms * self.options.unseen_ms as f64) as u64
    }

    /// Places a request beside `requests - 1` that are not known yet. Where not all
    /// of them find room, as large a part of the new callers is rejected.
    fn place_spread(
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
                near: *server.announcement.failure_domain == *request.failure_domain,
            })
            .collect();
        let spread = spread::Spread::new(&candidates);
        let requests = match request.resumed {
            true => requests.min(spread.room()),
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
                self.first_recovered(request, now_ms).filter(|_| none)
            });
        match chosen.map(place_of) {
            Some(place) => {
                self.started(&place.id);
                Ok(place)
            }
            None if usable.is_empty() => Err(self.reject(Reason::NoBackend, request, now_ms)),
            None => Err(self.reject(Reason::Overload, request, now_ms)),
        }
    }

    /// Returns the preferred one of the backend servers with about the least load.
    fn near_least(&self, request: &Request<'_>, now_ms: u64, least: u32) -> Option<&Server> {
        let near = least + self.options.near;
        let servers = self.servers.values();
        servers
            .filter(|server| is_usable(server, request, now_ms) && load(server) <= near)
            .filter(|server| self.has_room(server, request))
            .max_by_key(|server| self.preference(server, request, least))
    }

    /// Returns the backend server with the fewest online requests: the least loaded
    /// ones are full of these, but others may be full of batch items only.
    fn with_least_online(&self, request: &Request<'_>, now_ms: u64) -> Option<&Server> {
        let servers = self.servers.values();
        servers
            .filter(|server| is_usable(server, request, now_ms) && self.has_room(server, request))
            .min_by_key(|server| server.online())
    }

    /// Returns the backend server whose pause ends first, where all are paused: it
    /// may have recovered, and a rejection helps nobody.
    fn first_recovered(&self, request: &Request<'_>, now_ms: u64) -> Option<&Server> {
        let servers = self.servers.values();
        servers
            .filter(|server| {
                is_candidate(server, request, now_ms) && self.has_room(server, request)
            })
            .min_by_key(|server| (server.ejected, server.paused_until_ms, load(server)))
    }

    /// Notes that a request has ended at a backend server after some milliseconds.
    pub fn finished(&mut self, id: &str, took_ms: u64) {
        let took_ms = (took_ms as f64).max(TOOK_LEAST_MS);
        self.took_ms += (took_ms - self.took_ms) * TOOK_WEIGHT;
        if let Some(server) = self.servers.get_mut(id) {
            server.own = server.own.saturating_sub(1);
        }
    }

    /// Notes that a backend server answers.
    pub fn succeeded(&mut self, id: &str, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.failures = 0;
            server.paused_until_ms = 0;
            server.succeeded_ms = now_ms;
            server.results.0 += 1;
        }
    }

    /// Notes a failure. A backend server that cannot be reached, or breaks two
    /// answers in a row, gets no new requests for a while. Failures during a
    /// pause count once: they are requests of the same time.
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
        let doubled = options.pause_ms << (server.failures - 1).min(6);
        server.paused_until_ms = now_ms + doubled.min(options.pause_max_ms);
    }

    /// Notes that a backend server refused a request as full. It gets nothing
    /// for a short while; this is no failure.
    pub fn refused(&mut self, id: &str, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.paused_until_ms = server.paused_until_ms.max(now_ms + REFUSED_MS);
        }
    }

    /// Returns what is known of a backend server, for logs: online requests
    /// here, online requests in all, batch items.
    pub fn view(&self, id: &str) -> (u32, u32, u32) {
        let server = self.servers.get(id);
        server.map_or((0, 0, 0), |server| {
            (server.own, server.online(), server.batch)
        })
    }

    fn started(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own += 1;
        }
    }

    /// Ranks backend servers of nearly the same load: a free slot, the own failure
    /// domain, then a stable choice by the prompt.
    fn preference(&self, server: &Server, request: &Request<'_>, least: u32) -> (bool, bool, u64) {
        let known = &server.announcement;
        let free = load(server) < known.slots || load(server) == least;
        let near = *known.failure_domain == *request.failure_domain;
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(known.id.as_bytes(), request.affinity);
        (free, near, hash)
    }

    fn has_room(&self, server: &Server, request: &Request<'_>) -> bool {
        request.resumed || server.online() < self.limit(server)
    }

    /// Returns the most online requests that a backend server may have.
    fn limit(&self, server: &Server) -> u32 {
        server.announcement.slots + self.options.queue
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
            unseen: self.unseen(request.service),
        }
    }
}

fn is_usable(server: &Server, request: &Request<'_>, now_ms: u64) -> bool {
    now_ms >= server.paused_until_ms && !server.ejected && is_candidate(server, request, now_ms)
}

/// Returns whether a backend server may be used, paused or not.
fn is_candidate(server: &Server, request: &Request<'_>, now_ms: u64) -> bool {
    let known = &server.announcement;
    // A silent backend server may be cut off from control only; it is used as
    // long as its answers to this entry VM are recent.
    let alive = match known.state {
        registry::State::Ready => true,
        registry::State::Leaving => false,
        registry::State::Silent => now_ms < server.succeeded_ms + SILENT_USE_MS,
    };
    alive && *known.service == *request.service && !request.tried.contains(&known.id)
}

/// Broken answers in a row after which a backend server is left alone.
const BROKEN_MIN: u32 = 2;

/// How long after its last answer a backend server that announces nothing is
/// still used, in milliseconds. Longer than a request takes, so that one that
/// serves is not given up between two answers.
const SILENT_USE_MS: u64 = 3_000;

fn load(server: &Server) -> u32 {
    server.online() + server.batch
}

fn place_of(server: &Server) -> Place {
    Place {
        id: server.announcement.id.clone(),
        address: server.announcement.address.clone(),
        needs_preemption: server.batch > 0 && load(server) >= server.announcement.slots,
    }
}
