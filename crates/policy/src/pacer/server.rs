//! One owned backend server.

use std::collections;

use bw_wire::{backend, name};

use super::{Builder, Online, Snapshot, peak, prompt_share};

/// Window in which a `sync` answer may still describe an earlier count.
const SYNC_LAG_MS: u64 = 1_500;
/// Time without a full quiet time after which online arrivals are frequent. It
/// is a quarter of a burst of 4 s, in which batch work is to give way.
const FREQUENT_AFTER_MS: u64 = 1_000;
/// Quiet times without an arrival after which arrivals are no longer frequent.
const RARE_AFTER_QUIETS: u64 = 2;
/// Share of the average time between frequent arrivals that is quiet.
const QUIET_SHARE: f32 = 0.4;
/// Longest time between online arrivals that counts in the average.
const MAX_GAP_MS: u64 = 1_000;
/// Weight of a new time between online arrivals in the average.
const GAP_SMOOTHING: f32 = 0.1;
/// Time between two turns of a server: what it earns meanwhile may start at once.
/// Prompts that are computed together delay fewer online arrivals than the same
/// prompts one by one.
const START_WINDOW_MS: f32 = 130.0;
/// Least that a stream costs of what a server earns, so that what is known of
/// recent prompts cannot start a whole server's streams at once.
const MIN_COST: f32 = 0.1;
/// Weight of a new stream in the average cost of a stream.
const COST_SMOOTHING: f32 = 0.1;
/// Largest capacity that is believed; a larger one is a wrong announcement.
const MAX_CAPACITY: u32 = 4_096;
/// Share of the capacity in use below which reported waiting requests are not
/// believed: the engine has places for them.
const WAITING_MIN_USE: f32 = 0.8;
/// Preemptions after which a stream is cancelled last, so that it ends some day.
const PROTECTED_AFTER: u32 = 3;
/// Pause of a server after it could not be connected to. It doubles with each
/// further failure. It is longer than the 200 ms after which an item is placed
/// again, so that the item is tried on other servers, and short enough that the
/// failures of one item eject the server where there are no others.
const UNREACHABLE_MS: u64 = 300;
/// Longest pause of a server that cannot be connected to. It bounds how long the
/// server stays without streams after a fault of the network.
const UNREACHABLE_MAX_MS: u64 = 10_000;

/// A batch stream.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Its number, unique on this entry VM.
    pub id: u64,
    /// Tokens of the prompt and of what is already generated, which a resume
    /// prefills again.
    pub tokens: u32,
    /// How often it was preempted.
    pub preempted: u32,
    /// Whether its job may miss its due time.
    pub urgent: bool,
}

#[derive(Debug)]
struct Running {
    stream: Stream,
    started_ms: u64,
    is_cancelled: bool,
    is_floor: bool,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    online: u32,
}

/// Time in which no stream starts.
#[derive(Clone, Copy, Debug)]
struct Pause {
    duration_ms: u64,
    until_ms: u64,
}

#[derive(Debug)]
pub(super) struct Server {
    incarnation: u64,
    capacity: u32,
    usable: bool,
    load: backend::Load,
    load_at_ms: u64,
    own: u32,
    peers: collections::BTreeMap<name::Name, Peer>,
    peer_peak: peak::Peak,
    fleet: Option<u32>,
    online: u32,
    online_peak: peak::Peak,
    arrived_ms: Option<u64>,
    has_arrival: bool,
    /// Average time between two online arrivals.
    gap_ms: f32,
    /// When the last full quiet time was seen.
    quiet_at_ms: u64,
    streams: Vec<Running>,
    /// When the last stream started.
    started_ms: Option<u64>,
    /// When room was last granted, if no stream started since.
    unused_ms: Option<u64>,
    /// The last pause after the server could not be connected to.
    pause: Option<Pause>,
    /// Average cost of the streams that started, in long prompts.
    cost: f32,
    floor: bool,
    ramp: f32,
    ramp_at_ms: u64,
}

impl Server {
    pub(super) fn new(facts: &Snapshot, now_ms: u64) -> Server {
        let mut server = Server {
            incarnation: facts.incarnation,
            capacity: 1,
            usable: false,
            load: backend::Load::default(),
            load_at_ms: 0,
            own: 0,
            peers: collections::BTreeMap::new(),
            peer_peak: peak::Peak::default(),
            fleet: None,
            online: 0,
            online_peak: peak::Peak::default(),
            arrived_ms: None,
            has_arrival: false,
            gap_ms: MAX_GAP_MS as f32,
            quiet_at_ms: now_ms,
            streams: Vec::new(),
            started_ms: None,
            unused_ms: None,
            pause: None,
            cost: 1.0,
            floor: false,
            ramp: 0.0,
            ramp_at_ms: now_ms,
        };
        server.update(facts, now_ms);
        server
    }

    pub(super) fn update(&mut self, facts: &Snapshot, now_ms: u64) {
        if self.incarnation != facts.incarnation {
            self.incarnation = facts.incarnation;
            self.pause = None;
        }
        self.capacity = facts.capacity.clamp(1, MAX_CAPACITY);
        self.usable = facts.usable;
        self.load = facts.load;
        let age_ms = facts.load_age_ms + u64::from(facts.load.age_ms);
        self.load_at_ms = now_ms.saturating_sub(age_ms);
    }

    pub(super) fn set_own(&mut self, online: u32, now_ms: u64) {
        self.own = online;
        self.recount(now_ms);
    }

    pub(super) fn set_peer(&mut self, message: &Online, now_ms: u64) {
        let known = self.peers.get(&message.entry).copied();
        let is_old = known.is_some_and(|known| {
            (message.incarnation, message.sequence) <= (known.incarnation, known.sequence)
        });
        if is_old {
            return;
        }
        let peer = Peer {
            incarnation: message.incarnation,
            sequence: message.sequence,
            online: message.online,
        };
        self.peers.insert(message.entry.clone(), peer);
        self.recount(now_ms);
    }

    pub(super) fn set_fleet(&mut self, online: u32, now_ms: u64) {
        // An answer describes a moment of the recent past. Only a count above
        // all that messages said since then shows that messages were lost.
        let explained = self.peer_peak.max(SYNC_LAG_MS, now_ms);
        self.fleet = (online > explained).then_some(online);
        self.recount(now_ms);
    }

    pub(super) fn retain_peers(&mut self, live: &collections::BTreeSet<name::Name>, now_ms: u64) {
        self.peers.retain(|entry, _| live.contains(entry));
        self.recount(now_ms);
    }

    pub(super) fn start(&mut self, stream: Stream, now_ms: u64) {
        let is_floor = self.floor;
        self.floor = false;
        self.started_ms = Some(now_ms);
        self.unused_ms = None;
        let cost = prompt_share(stream.tokens);
        self.cost += COST_SMOOTHING * (cost - self.cost);
        self.streams.push(Running {
            stream,
            started_ms: now_ms,
            is_cancelled: false,
            is_floor,
        });
    }

    pub(super) fn progress(&mut self, stream: u64, tokens: u32) {
        let running = self
            .streams
            .iter_mut()
            .find(|running| running.stream.id == stream);
        if let Some(running) = running {
            running.stream.tokens = tokens;
        }
    }

    pub(super) fn stop(&mut self, stream: u64) {
        self.streams.retain(|running| running.stream.id != stream);
    }

    pub(super) fn streams(&self) -> impl Iterator<Item = u64> {
        self.streams.iter().map(|running| running.stream.id)
    }

    pub(super) fn running(&self) -> u32 {
        self.streams.len() as u32
    }

    /// Returns the share of the capacity in use.
    pub(super) fn use_share(&self) -> f32 {
        (self.online + self.running()) as f32 / self.capacity as f32
    }

    /// Returns how many streams the server is to run when it is filled.
    pub(super) fn target(&mut self, settings: &Builder, now_ms: u64) -> u32 {
        if !self.usable {
            return 0;
        }
        let online = self.online_peak.max(settings.hold_ms, now_ms);
        let headroom = self.headroom(settings);
        let free = self.capacity.saturating_sub(online + headroom);
        free.saturating_sub(self.waiting(settings, now_ms))
    }

    /// Returns how many streams may start now.
    pub(super) fn room(&mut self, settings: &Builder, now_ms: u64) -> u32 {
        let target = self.target(settings, now_ms);
        self.refill(settings, now_ms);
        if self.is_quiet(settings, now_ms) || self.kv_used(settings, now_ms) >= settings.kv_stop {
            return 0;
        }
        let missing = target.saturating_sub(self.running());
        let cost = self.cost.max(MIN_COST);
        let allowed = missing.min((self.ramp / cost) as u32);
        self.ramp -= allowed as f32 * cost;
        if allowed > 0 {
            self.unused_ms = Some(now_ms);
        }
        allowed
    }

    /// Names the streams to cancel now and marks them as cancelled.
    pub(super) fn surplus(&mut self, settings: &Builder, now_ms: u64) -> Vec<u64> {
        let mut names = self.young(settings, now_ms);
        let active = self
            .streams
            .iter()
            .filter(|running| !running.is_cancelled)
            .count() as u32;
        let surplus = active.saturating_sub(self.ceiling(settings, now_ms));
        for _ in 0..surplus {
            let Some(running) = self.cheapest(settings, now_ms) else {
                break;
            };
            running.is_cancelled = true;
            names.push(running.stream.id);
        }
        names
    }

    /// Names the streams that started just before an online arrival and marks
    /// them as cancelled. Those that were preempted often stay.
    fn young(&mut self, settings: &Builder, now_ms: u64) -> Vec<u64> {
        if !std::mem::take(&mut self.has_arrival) {
            return Vec::new();
        }
        let mut names = Vec::new();
        for running in &mut self.streams {
            let is_young = now_ms.saturating_sub(running.started_ms) < settings.new_stream_ms;
            let is_protected = running.is_floor || running.stream.preempted >= PROTECTED_AFTER;
            if is_young && !is_protected && !running.is_cancelled {
                running.is_cancelled = true;
                names.push(running.stream.id);
            }
        }
        names
    }

    /// Returns when room was last granted, if no stream started since.
    pub(super) fn unused_ms(&self) -> Option<u64> {
        self.unused_ms
    }

    /// Notes that an incarnation could not be connected to. Streams that started
    /// before the pause lengthen it no further.
    pub(super) fn note_unreachable(&mut self, incarnation: u64, now_ms: u64) {
        if incarnation != self.incarnation || self.is_paused(now_ms) {
            return;
        }
        // A failure long after the last pause is the first of a new fault.
        let last = self
            .pause
            .filter(|pause| now_ms < pause.until_ms + pause.duration_ms);
        let duration_ms = last.map_or(UNREACHABLE_MS, |pause| {
            (pause.duration_ms * 2).min(UNREACHABLE_MAX_MS)
        });
        self.pause = Some(Pause {
            duration_ms,
            until_ms: now_ms + duration_ms,
        });
    }

    /// Returns whether no stream may start, as the server could not be connected to.
    pub(super) fn is_paused(&self, now_ms: u64) -> bool {
        self.pause.is_some_and(|pause| now_ms < pause.until_ms)
    }

    /// Returns when the last stream started.
    pub(super) fn started_ms(&self) -> Option<u64> {
        self.started_ms
    }

    /// Returns whether a stream started within the last `window_ms`.
    pub(super) fn started_within(&self, window_ms: u64, now_ms: u64) -> bool {
        self.started_ms
            .is_some_and(|started_ms| now_ms.saturating_sub(started_ms) < window_ms)
    }

    pub(super) fn takes_floor(&self, settings: &Builder, now_ms: u64) -> bool {
        self.usable
            && !self.is_paused(now_ms)
            && self.running() == 0
            && self.waiting(settings, now_ms) == 0
            && self.kv_used(settings, now_ms) < settings.kv_stop
    }

    pub(super) fn grant_floor(&mut self) {
        self.floor = true;
    }

    /// Returns the number of streams above which they are cancelled.
    ///
    /// The headroom is there to be used: only half of it is won back by
    /// cancelling, the rest by streams that end. Without this, each arrival
    /// would cancel a stream.
    fn ceiling(&mut self, settings: &Builder, now_ms: u64) -> u32 {
        if !self.usable {
            return 0;
        }
        let headroom = self.headroom(settings) / 2;
        let free = self.capacity.saturating_sub(self.online + headroom);
        let ceiling = free.saturating_sub(self.waiting(settings, now_ms));
        if self.kv_used(settings, now_ms) >= settings.kv_preempt {
            return ceiling.min(self.running() * 7 / 8);
        }
        ceiling
    }

    /// Returns whether an online request arrived so recently that no stream may
    /// start.
    ///
    /// Where online requests are frequent for longer than the start of a burst,
    /// the quiet time is a share of their interval; otherwise hardly any stream
    /// would start.
    pub(super) fn is_quiet(&mut self, settings: &Builder, now_ms: u64) -> bool {
        let Some(arrived_ms) = self.arrived_ms else {
            self.quiet_at_ms = now_ms;
            return false;
        };
        let since_ms = now_ms.saturating_sub(arrived_ms);
        let is_frequent = now_ms.saturating_sub(self.quiet_at_ms) >= FREQUENT_AFTER_MS;
        let quiets = if is_frequent { RARE_AFTER_QUIETS } else { 1 };
        if since_ms >= settings.arrival_pause_ms * quiets {
            self.quiet_at_ms = now_ms;
            return false;
        }
        let frequent_ms = (self.gap_ms * QUIET_SHARE) as u64;
        let quiet_ms = match is_frequent {
            true => settings.arrival_pause_ms.min(frequent_ms),
            false => settings.arrival_pause_ms,
        };
        since_ms < quiet_ms
    }

    /// Returns the places kept free for arrivals; at least one.
    fn headroom(&self, settings: &Builder) -> u32 {
        (self.capacity as f32 * settings.headroom).ceil().max(1.0) as u32
    }

    /// Returns the reported waiting requests, if the report is fresh and fits
    /// what else is known.
    fn waiting(&self, settings: &Builder, now_ms: u64) -> u32 {
        let is_fresh = now_ms.saturating_sub(self.load_at_ms) <= settings.report_max_age_ms;
        let fits = self.use_share() >= WAITING_MIN_USE
            || self.kv_used(settings, now_ms) >= WAITING_MIN_USE;
        if is_fresh && fits {
            self.load.waiting.min(self.capacity)
        } else {
            0
        }
    }

    fn kv_used(&self, settings: &Builder, now_ms: u64) -> f32 {
        let is_fresh = now_ms.saturating_sub(self.load_at_ms) <= settings.report_max_age_ms;
        let is_valid = (0.0..=1.0).contains(&self.load.kv_used);
        if is_fresh && is_valid {
            self.load.kv_used
        } else {
            0.0
        }
    }

    /// Returns the running stream that is cancelled first: not urgent, not
    /// preempted often, and with the least to prefill again.
    fn cheapest(&mut self, settings: &Builder, now_ms: u64) -> Option<&mut Running> {
        let engine_waits = self.waiting(settings, now_ms) > 0 || !self.usable;
        self.streams
            .iter_mut()
            .filter(|running| !running.is_cancelled)
            .filter(|running| engine_waits || !running.is_floor)
            .min_by_key(|running| {
                (
                    running.stream.preempted >= PROTECTED_AFTER,
                    running.stream.urgent,
                    running.stream.preempted,
                    running.stream.tokens,
                    running.stream.id,
                )
            })
    }

    fn recount(&mut self, now_ms: u64) {
        let peers: u32 = self.peers.values().map(|peer| peer.online).sum();
        self.peer_peak.set(peers, now_ms);
        let others = peers.max(self.fleet.unwrap_or(0));
        let before = self.online;
        self.online = self.own + others;
        self.online_peak.set(self.online, now_ms);
        if self.online > before {
            if let Some(arrived_ms) = self.arrived_ms.replace(now_ms) {
                let gap_ms = now_ms.saturating_sub(arrived_ms).min(MAX_GAP_MS) as f32;
                self.gap_ms += GAP_SMOOTHING * (gap_ms - self.gap_ms);
            }
            self.has_arrival = true;
        }
    }

    fn refill(&mut self, settings: &Builder, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.ramp_at_ms) as f32;
        self.ramp_at_ms = now_ms;
        let capacity = self.capacity as f32;
        let earned = elapsed_ms * capacity / settings.ramp_ms as f32;
        let at_once = capacity * START_WINDOW_MS / settings.ramp_ms as f32;
        self.ramp = (self.ramp + earned).min(at_once.max(1.0));
    }
}
