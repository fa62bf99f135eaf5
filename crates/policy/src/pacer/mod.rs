//! Pacing of batch streams on the backend servers that this entry VM owns.
//!
//! A batch stream is a batch item that runs on a backend server as a streamed
//! request. The names of this module call it a stream.
//!
//! Engines do not support priorities, so batch work yields by not being sent: a
//! [`Pacer`] fills the capacity that online work leaves idle, less a small
//! headroom, and returns the batch streams to cancel as soon as online load rises.

mod peak;
mod queue;
mod server;

use std::collections;

use bw_wire::{backend, name};

use server::Server;

pub use queue::{Item, Queue};
pub use server::Stream;

/// Batch streams start only while at most this share of the owned servers runs
/// prefills, be it of online arrivals or of batch streams. On the other servers,
/// the prefill of an online request waits for no other.
const MAX_PREFILLING: f32 = 1.0 / 3.0;

/// Number of tokens to prefill from which on a batch stream has the full prefill
/// cost.
const LONG_PROMPT_TOKENS: f32 = 200.0;

/// Settings of a [`Pacer`].
#[derive(Clone, Debug)]
pub struct Builder {
    pub(crate) headroom: f32,
    pub(crate) hold_ms: u64,
    pub(crate) ramp_ms: u64,
    pub(crate) arrival_pause_ms: u64,
    pub(crate) new_stream_ms: u64,
    /// Length of a server's turn; see [`Builder::turn_ms`].
    pub(crate) turn_ms: u64,
    pub(crate) starvation_limit_ms: u64,
    pub(crate) kv_stop: f32,
    pub(crate) kv_preempt: f32,
    pub(crate) report_max_age_ms: u64,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            headroom: 0.03,
            hold_ms: 200,
            ramp_ms: 1_500,
            arrival_pause_ms: 100,
            new_stream_ms: 30,
            turn_ms: 40,
            starvation_limit_ms: 30_000,
            kv_stop: 0.92,
            kv_preempt: 0.97,
            report_max_age_ms: 2_000,
        }
    }
}

impl Builder {
    /// Starts from the defaults.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets the share of the capacity that is kept free for online arrivals, at
    /// least one slot. A larger share reduces the online tail latency at the
    /// expense of batch throughput; `docs/policy.md` has measurements.
    pub fn headroom(mut self, share: f32) -> Builder {
        self.headroom = share.clamp(0.0, 1.0);
        self
    }

    /// Sets how long online load has to stay lower before batch streams use the
    /// freed capacity.
    pub fn hold_ms(mut self, duration_ms: u64) -> Builder {
        self.hold_ms = duration_ms;
        self
    }

    /// Sets the time over which an idle server is filled. Batch stream starts are
    /// spread evenly over it, because many prefills at once delay online first
    /// tokens. Batch streams with short prompts start at up to ten times the rate.
    pub fn ramp_ms(mut self, duration_ms: u64) -> Builder {
        self.ramp_ms = duration_ms.max(1);
        self
    }

    /// Sets for how long after an online arrival no batch stream starts, so that the
    /// prefill of a batch stream does not come before that of the arrival.
    pub fn arrival_pause_ms(mut self, duration_ms: u64) -> Builder {
        self.arrival_pause_ms = duration_ms;
        self
    }

    /// Sets the age below which a batch stream is cancelled when an online request
    /// arrives. Its prefill is not done yet and would come before that of the arrival,
    /// so that cancelling it helps the arrival and wastes no work.
    pub fn new_stream_ms(mut self, age_ms: u64) -> Builder {
        self.new_stream_ms = age_ms;
        self
    }

    /// Sets the length of a server's turn: for how long batch streams start on one
    /// owned server before they start on another. 0 disables turns, so that streams
    /// start on all servers at once.
    pub fn turn_ms(mut self, duration_ms: u64) -> Builder {
        self.turn_ms = duration_ms;
        self
    }

    /// Sets how long a backlog may starve, that is wait without any running batch
    /// stream, before one stream is started despite full online load.
    pub fn starvation_limit_ms(mut self, duration_ms: u64) -> Builder {
        self.starvation_limit_ms = duration_ms;
        self
    }

    /// Sets the KV cache utilization from which on no more batch streams start, and
    /// the one from which on streams are preempted.
    pub fn kv_limits(mut self, stop: f32, preempt: f32) -> Builder {
        self.kv_stop = stop;
        self.kv_preempt = preempt.max(stop);
        self
    }

    /// Builds a pacer without servers.
    pub fn build(self) -> Pacer {
        Pacer {
            settings: self,
            servers: collections::BTreeMap::new(),
            backlog: 0,
            idle_since_ms: None,
        }
    }
}

/// The state of an owned backend server, passed to [`Pacer::update`].
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The id under which the backend server announces itself.
    pub id: name::Name,
    /// Its incarnation, which grows with each restart.
    pub incarnation: u64,
    /// Number of requests that it can run concurrently without slowing down.
    pub capacity: u32,
    /// Whether new work may be sent to it.
    pub usable: bool,
    /// Its latest load report.
    pub load: backend::Load,
    /// Time since the report was received.
    pub load_age_ms: u64,
}

/// Number of online requests in flight from another entry VM, as it reported.
#[derive(Clone, Debug)]
pub struct Online {
    /// The other entry VM.
    pub entry: name::Name,
    /// The incarnation of that entry VM.
    pub incarnation: u64,
    /// The message's number, which grows within an incarnation.
    pub sequence: u64,
    /// The id of the backend server that runs the requests.
    pub backend: name::Name,
    /// Online requests in flight there.
    pub online: u32,
}

/// Permission to start batch streams on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The id of the backend server, one that this entry VM owns.
    pub id: name::Name,
    /// Number of batch streams to start now.
    pub streams: u32,
}

/// Returns the prefill cost of a batch stream with `tokens` to prefill: how much its
/// prefill delays those of online requests, from 0 to 1, relative to a long prompt.
pub(crate) fn prefill_cost(tokens: u32) -> f32 {
    (tokens as f32 / LONG_PROMPT_TOKENS).min(1.0)
}

/// Decides how many batch streams run on each owned backend server.
#[derive(Debug)]
pub struct Pacer {
    settings: Builder,
    servers: collections::BTreeMap<name::Name, Server>,
    backlog: usize,
    /// Since when there is a backlog, but no running batch stream.
    idle_since_ms: Option<u64>,
}

impl Pacer {
    /// Adds or updates an owned backend server.
    pub fn update(&mut self, snapshot: &Snapshot, now_ms: u64) {
        let server = self
            .servers
            .entry(snapshot.id.clone())
            .or_insert_with(|| Server::new(snapshot, now_ms));
        server.update(snapshot, now_ms);
    }

    /// Removes the backend servers that are no longer owned. Returns their batch
    /// streams, which are to be cancelled because the new owner fills the same
    /// capacity.
    pub fn retain(&mut self, owned: &collections::BTreeSet<name::Name>) -> Vec<u64> {
        let mut orphaned = Vec::new();
        self.servers.retain(|id, server| {
            let is_owned = owned.contains(id);
            if !is_owned {
                orphaned.extend(server.streams());
            }
            is_owned
        });
        orphaned
    }

    /// Sets this entry VM's number of online requests in flight on a backend
    /// server. Returns the batch streams to cancel immediately.
    pub fn set_own_online(&mut self, id: &str, online: u32, now_ms: u64) -> Vec<u64> {
        let Some(server) = self.servers.get_mut(id) else {
            return Vec::new();
        };
        server.set_own_online(online, now_ms);
        server.surplus(&self.settings, now_ms)
    }

    /// Sets another entry VM's number of online requests in flight on a backend
    /// server. Returns the batch streams to cancel immediately. Reordered messages are
    /// dropped.
    pub fn set_peer_online(&mut self, online: &Online, now_ms: u64) -> Vec<u64> {
        let Some(server) = self.servers.get_mut(&online.backend) else {
            return Vec::new();
        };
        server.set_peer_online(online, now_ms);
        server.surplus(&self.settings, now_ms)
    }

    /// Sets the other entry VMs' numbers of online requests by backend server from
    /// a `sync` answer, which compensates for lost messages. Returns the batch
    /// streams to cancel immediately.
    pub fn set_fleet_online(
        &mut self,
        online: &collections::BTreeMap<name::Name, u32>,
        now_ms: u64,
    ) -> Vec<u64> {
        let mut surplus = Vec::new();
        for (id, server) in &mut self.servers {
            server.set_fleet_online(online.get(id).copied().unwrap_or(0), now_ms);
            surplus.extend(server.surplus(&self.settings, now_ms));
        }
        surplus
    }

    /// Removes the counts of entry VMs that are not in `live`.
    pub fn retain_peers(&mut self, live: &collections::BTreeSet<name::Name>, now_ms: u64) {
        for server in self.servers.values_mut() {
            server.retain_peers(live, now_ms);
        }
    }

    /// Sets the number of batch items that wait to be run.
    pub fn set_backlog(&mut self, items: usize, now_ms: u64) {
        self.backlog = items;
        self.update_idle_since(now_ms);
    }

    /// Records a batch stream that was sent to a backend server.
    pub fn started(&mut self, id: &str, stream: Stream, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.start(stream, now_ms);
        }
        self.update_idle_since(now_ms);
    }

    /// Sets how many tokens a resume of a batch stream would prefill again if the
    /// stream were cancelled now.
    pub fn progressed(&mut self, id: &str, stream: u64, tokens: u32) {
        if let Some(server) = self.servers.get_mut(id) {
            server.progress(stream, tokens);
        }
    }

    /// Removes a batch stream that ended for any reason.
    pub fn stopped(&mut self, id: &str, stream: u64, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.stop(stream);
        }
        self.update_idle_since(now_ms);
    }

    /// Records a failed connection to an incarnation of a backend server. No batch
    /// stream starts there during a backoff, which doubles with each failure.
    pub fn mark_unreachable(&mut self, id: &str, incarnation: u64, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.mark_unreachable(incarnation, now_ms);
        }
    }

    /// Returns the batch streams to cancel because of load reports or because their
    /// backend server is no longer usable. Each stream is returned once. Called on
    /// each tick.
    pub fn surplus(&mut self, now_ms: u64) -> Vec<u64> {
        let mut surplus = Vec::new();
        for server in self.servers.values_mut() {
            surplus.extend(server.surplus(&self.settings, now_ms));
        }
        surplus
    }

    /// Returns on which servers to start batch streams now, the least utilized
    /// first.
    ///
    /// Owned servers take turns, so that while the prefills of new batch streams run
    /// on one, online requests find others without such prefills. A server
    /// whose last grant was not used, because no item waits for its model, comes
    /// after the others. Of equally utilized servers, the one with the least
    /// recent start comes first. A server that cannot be connected to is skipped
    /// during its backoff; its low utilization would otherwise give it all turns.
    pub fn grants(&mut self, now_ms: u64) -> Vec<Grant> {
        let mut turns = self.remaining_turns(now_ms);
        let mut order: Vec<(&name::Name, &mut Server)> = self.servers.iter_mut().collect();
        order.sort_by(|(_, a), (_, b)| {
            let unused = a.unused_grant_ms().cmp(&b.unused_grant_ms());
            let utilization = a.utilization().total_cmp(&b.utilization());
            let started = a.last_start_ms().cmp(&b.last_start_ms());
            unused.then(utilization).then(started)
        });
        let mut grants = Vec::new();
        for (id, server) in order {
            if turns == 0 {
                break;
            }
            let is_starting = server.started_within(self.settings.turn_ms, now_ms);
            if is_starting || server.is_backing_off(now_ms) {
                continue;
            }
            let streams = server.grant(&self.settings, now_ms);
            if streams > 0 {
                turns -= 1;
                let id = id.clone();
                grants.push(Grant { id, streams });
            }
        }
        if grants.is_empty() {
            return self.starvation_grant(now_ms).into_iter().collect();
        }
        grants
    }

    /// Returns the number of further servers on which batch streams may start now.
    fn remaining_turns(&mut self, now_ms: u64) -> usize {
        let settings = &self.settings;
        if settings.turn_ms == 0 {
            return usize::MAX;
        }
        let mut starting = 0;
        let mut pausing = 0;
        for server in self.servers.values_mut() {
            let is_starting = server.started_within(settings.turn_ms, now_ms);
            let is_pausing = server.is_in_arrival_pause(settings, now_ms);
            starting += usize::from(is_starting);
            pausing += usize::from(is_pausing && !is_starting);
        }
        let max = (self.servers.len() as f32 * MAX_PREFILLING) as usize;
        if starting + pausing > max {
            return 0;
        }
        max.max(1) - starting
    }

    /// Returns the number of batch streams that a backend server should run.
    pub fn target(&mut self, id: &str, now_ms: u64) -> u32 {
        let settings = &self.settings;
        self.servers
            .get_mut(id)
            .map_or(0, |server| server.target(settings, now_ms))
    }

    /// Returns the number of batch streams that run or are being cancelled on a
    /// backend server.
    pub fn running(&self, id: &str) -> u32 {
        self.servers.get(id).map_or(0, Server::running)
    }

    /// Returns the ids of the owned backend servers.
    pub fn owned(&self) -> impl Iterator<Item = &name::Name> {
        self.servers.keys()
    }

    /// Grants one batch stream despite full online load once the backlog has
    /// starved for long enough, on a server whose engine queues no requests.
    fn starvation_grant(&mut self, now_ms: u64) -> Option<Grant> {
        let idle_since_ms = self.idle_since_ms?;
        if now_ms.saturating_sub(idle_since_ms) < self.settings.starvation_limit_ms {
            return None;
        }
        let settings = &self.settings;
        let (id, server) = self
            .servers
            .iter_mut()
            .filter(|(_, server)| server.accepts_starvation_grant(settings, now_ms))
            .min_by(|(_, a), (_, b)| a.utilization().total_cmp(&b.utilization()))?;
        server.mark_starvation_grant();
        self.idle_since_ms = Some(now_ms);
        Some(Grant {
            id: id.clone(),
            streams: 1,
        })
    }

    fn update_idle_since(&mut self, now_ms: u64) {
        let has_streams = self.servers.values().any(|server| server.running() > 0);
        if has_streams || self.backlog == 0 {
            self.idle_since_ms = None;
        } else if self.idle_since_ms.is_none() {
            self.idle_since_ms = Some(now_ms);
        }
    }
}
