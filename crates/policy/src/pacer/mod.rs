//! Pacing of batch streams on the backend servers that this entry VM owns.
//!
//! Engines know no priorities, so that batch work gives way by not being there:
//! a [`Pacer`] admits streams into what online work leaves idle, less a small
//! headroom, and names the streams to cancel as soon as online work rises.

mod peak;
mod queue;
mod server;

use std::collections;

use bw_wire::{backend, name};

use server::Server;

pub use queue::{Item, Queue};
pub use server::Stream;

/// Share of the owned servers on which prompts may be computed while streams
/// start, those of online arrivals and of streams together. Online requests find
/// the others without a prompt ahead of theirs.
const MAX_PREFILLING: f32 = 1.0 / 3.0;

/// Tokens to prefill from which on a stream counts fully among those that start.
const LONG_PROMPT_TOKENS: f32 = 200.0;

/// Settings of a [`Pacer`].
#[derive(Clone, Debug)]
pub struct Builder {
    pub(crate) headroom: f32,
    pub(crate) hold_ms: u64,
    pub(crate) ramp_ms: u64,
    pub(crate) arrival_pause_ms: u64,
    pub(crate) new_stream_ms: u64,
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

    /// Sets the share of the capacity that is kept free for online arrivals;
    /// at least one place is. This is the setting that trades batch throughput
    /// for the online tail: `docs/policy.md` has its figures.
    pub fn headroom(mut self, share: f32) -> Builder {
        self.headroom = share.clamp(0.0, 1.0);
        self
    }

    /// Sets how long a fall of online work has to last before its place is filled.
    pub fn hold_ms(mut self, duration_ms: u64) -> Builder {
        self.hold_ms = duration_ms;
        self
    }

    /// Sets the time in which an idle server is filled. Streams start evenly over
    /// it, because the prefills of many at once delay online first tokens. Streams
    /// with short prompts start up to ten times as fast.
    pub fn ramp_ms(mut self, duration_ms: u64) -> Builder {
        self.ramp_ms = duration_ms.max(1);
        self
    }

    /// Sets how long after an online arrival no stream starts, so that the prompt
    /// of the stream is not computed before that of the arrival.
    pub fn arrival_pause_ms(mut self, duration_ms: u64) -> Builder {
        self.arrival_pause_ms = duration_ms;
        self
    }

    /// Sets the age below which a stream is cancelled when an online request
    /// arrives: its prompt is not computed yet, would be computed first, and
    /// costs nothing to send again.
    pub fn new_stream_ms(mut self, age_ms: u64) -> Builder {
        self.new_stream_ms = age_ms;
        self
    }

    /// Sets how long streams start on one owned server before they start on
    /// another. 0 lets streams start on all of them at once.
    pub fn turn_ms(mut self, duration_ms: u64) -> Builder {
        self.turn_ms = duration_ms;
        self
    }

    /// Sets how long a backlog waits without any running stream before one is
    /// admitted beside full online load.
    pub fn starvation_limit_ms(mut self, duration_ms: u64) -> Builder {
        self.starvation_limit_ms = duration_ms;
        self
    }

    /// Sets the shares of KV memory in use at which no more streams are
    /// admitted, and at which streams are preempted.
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

/// What the pacer is told of an owned backend server.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The backend server.
    pub id: name::Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Number of requests that it runs well at once.
    pub capacity: u32,
    /// Whether new work may be sent to it.
    pub usable: bool,
    /// Its latest load report.
    pub load: backend::Load,
    /// Age of the report since it was received.
    pub load_age_ms: u64,
}

/// Online requests of another entry VM, as its message says.
#[derive(Clone, Debug)]
pub struct Online {
    /// The other entry VM.
    pub entry: name::Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// The message's number.
    pub sequence: u64,
    /// The backend server.
    pub backend: name::Name,
    /// Requests in flight.
    pub online: u32,
}

/// How many streams to start on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The backend server.
    pub id: name::Name,
    /// Streams to start now.
    pub streams: u32,
}

/// Returns how much a stream with this many tokens to prefill delays online
/// prompts, relative to one with a long prompt.
pub(crate) fn prompt_share(tokens: u32) -> f32 {
    (tokens as f32 / LONG_PROMPT_TOKENS).min(1.0)
}

/// Decides how many batch streams run on each owned backend server.
#[derive(Debug)]
pub struct Pacer {
    settings: Builder,
    servers: collections::BTreeMap<name::Name, Server>,
    backlog: usize,
    idle_since_ms: Option<u64>,
}

impl Pacer {
    /// Adds or updates an owned backend server.
    pub fn update(&mut self, facts: &Snapshot, now_ms: u64) {
        let server = self
            .servers
            .entry(facts.id.clone())
            .or_insert_with(|| Server::new(facts, now_ms));
        server.update(facts, now_ms);
    }

    /// Keeps only the backend servers that are still owned, and returns the
    /// streams on the others, which are to be cancelled: their new owner fills
    /// the same places.
    pub fn retain(&mut self, owned: &collections::BTreeSet<name::Name>) -> Vec<u64> {
        let mut orphans = Vec::new();
        self.servers.retain(|id, server| {
            let is_owned = owned.contains(id);
            if !is_owned {
                orphans.extend(server.streams());
            }
            is_owned
        });
        orphans
    }

    /// Sets the own online requests on a backend server and returns the batch
    /// streams to cancel at once.
    pub fn set_own_online(&mut self, id: &str, online: u32, now_ms: u64) -> Vec<u64> {
        let Some(server) = self.servers.get_mut(id) else {
            return Vec::new();
        };
        server.set_own(online, now_ms);
        server.surplus(&self.settings, now_ms)
    }

    /// Takes another entry VM's online requests on a backend server and returns
    /// the batch streams to cancel at once. Reordered messages are dropped.
    pub fn set_peer_online(&mut self, online: &Online, now_ms: u64) -> Vec<u64> {
        let Some(server) = self.servers.get_mut(&online.backend) else {
            return Vec::new();
        };
        server.set_peer(online, now_ms);
        server.surplus(&self.settings, now_ms)
    }

    /// Takes the other entry VMs' online requests by backend server from a
    /// `sync` answer, which makes up for lost messages, and returns the batch
    /// streams to cancel at once.
    pub fn set_fleet_online(
        &mut self,
        online: &collections::BTreeMap<name::Name, u32>,
        now_ms: u64,
    ) -> Vec<u64> {
        let mut surplus = Vec::new();
        for (id, server) in &mut self.servers {
            server.set_fleet(online.get(id).copied().unwrap_or(0), now_ms);
            surplus.extend(server.surplus(&self.settings, now_ms));
        }
        surplus
    }

    /// Drops the counts of entry VMs that are gone.
    pub fn retain_peers(&mut self, live: &collections::BTreeSet<name::Name>, now_ms: u64) {
        for server in self.servers.values_mut() {
            server.retain_peers(live, now_ms);
        }
    }

    /// Sets how many items wait to be run.
    pub fn set_backlog(&mut self, items: usize, now_ms: u64) {
        self.backlog = items;
        self.note_idle(now_ms);
    }

    /// Counts a stream that was sent to a backend server.
    pub fn started(&mut self, id: &str, stream: Stream, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.start(stream, now_ms);
        }
        self.note_idle(now_ms);
    }

    /// Sets how many tokens a stream would have to prefill again if cancelled.
    pub fn progressed(&mut self, id: &str, stream: u64, tokens: u32) {
        if let Some(server) = self.servers.get_mut(id) {
            server.progress(stream, tokens);
        }
    }

    /// Counts a stream that ended, for whatever reason.
    pub fn stopped(&mut self, id: &str, stream: u64, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.stop(stream);
        }
        self.note_idle(now_ms);
    }

    /// Notes that an incarnation of a backend server could not be connected to.
    /// No stream starts there for a pause, which doubles with each failure.
    pub fn mark_unreachable(&mut self, id: &str, incarnation: u64, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.note_unreachable(incarnation, now_ms);
        }
    }

    /// Returns the streams to cancel because of load reports or because their
    /// backend server is no longer usable. Called with each tick.
    pub fn surplus(&mut self, now_ms: u64) -> Vec<u64> {
        let mut surplus = Vec::new();
        for server in self.servers.values_mut() {
            surplus.extend(server.surplus(&self.settings, now_ms));
        }
        surplus
    }

    /// Returns where streams are to be started now, the idlest server first.
    ///
    /// Owned servers take turns: while the prompts of new streams are computed on
    /// one, online requests find others on which none are. A server whose last
    /// turn was not used, as nothing waits for its model, comes after the others.
    /// Of equally idle servers the one whose last turn is longest ago comes first.
    /// One that cannot be connected to stays idler than the others and would get
    /// all turns, so that it pauses.
    pub fn grants(&mut self, now_ms: u64) -> Vec<Grant> {
        let mut turns = self.turns(now_ms);
        let mut order: Vec<(&name::Name, &mut Server)> = self.servers.iter_mut().collect();
        order.sort_by(|(_, one), (_, other)| {
            let unused = one.unused_ms().cmp(&other.unused_ms());
            let idler = one.use_share().total_cmp(&other.use_share());
            let started = one.started_ms().cmp(&other.started_ms());
            unused.then(idler).then(started)
        });
        let mut rooms = Vec::new();
        for (id, server) in order {
            if turns == 0 {
                break;
            }
            let is_starting = server.started_within(self.settings.turn_ms, now_ms);
            if is_starting || server.is_paused(now_ms) {
                continue;
            }
            let streams = server.room(&self.settings, now_ms);
            if streams > 0 {
                turns -= 1;
                let id = id.clone();
                rooms.push(Grant { id, streams });
            }
        }
        if rooms.is_empty() {
            return self.floor(now_ms).into_iter().collect();
        }
        rooms
    }

    /// Returns on how many more servers streams may start now.
    fn turns(&mut self, now_ms: u64) -> usize {
        let settings = &self.settings;
        if settings.turn_ms == 0 {
            return usize::MAX;
        }
        let mut starting = 0;
        let mut quiet = 0;
        for server in self.servers.values_mut() {
            let is_starting = server.started_within(settings.turn_ms, now_ms);
            let is_quiet = server.is_quiet(settings, now_ms);
            starting += usize::from(is_starting);
            quiet += usize::from(is_quiet && !is_starting);
        }
        let most = (self.servers.len() as f32 * MAX_PREFILLING) as usize;
        if starting + quiet > most {
            return 0;
        }
        most.max(1) - starting
    }

    /// Returns the number of streams that a backend server is to run.
    pub fn target(&mut self, id: &str, now_ms: u64) -> u32 {
        let settings = &self.settings;
        self.servers
            .get_mut(id)
            .map_or(0, |server| server.target(settings, now_ms))
    }

    /// Returns the number of streams that run or are being cancelled.
    pub fn running(&self, id: &str) -> u32 {
        self.servers.get(id).map_or(0, Server::running)
    }

    /// Returns the owned backend servers.
    pub fn owned(&self) -> impl Iterator<Item = &name::Name> {
        self.servers.keys()
    }

    /// Admits one stream beside full online load after a long wait, where no
    /// request waits in the engine.
    fn floor(&mut self, now_ms: u64) -> Option<Grant> {
        let idle_since_ms = self.idle_since_ms?;
        if now_ms.saturating_sub(idle_since_ms) < self.settings.starvation_limit_ms {
            return None;
        }
        let settings = &self.settings;
        let (id, server) = self
            .servers
            .iter_mut()
            .filter(|(_, server)| server.takes_floor(settings, now_ms))
            .min_by(|(_, one), (_, other)| one.use_share().total_cmp(&other.use_share()))?;
        server.grant_floor();
        self.idle_since_ms = Some(now_ms);
        Some(Grant {
            id: id.clone(),
            streams: 1,
        })
    }

    fn note_idle(&mut self, now_ms: u64) {
        let runs = self.servers.values().any(|server| server.running() > 0);
        if runs || self.backlog == 0 {
            self.idle_since_ms = None;
        } else if self.idle_since_ms.is_none() {
            self.idle_since_ms = Some(now_ms);
        }
    }
}
