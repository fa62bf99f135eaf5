//! Online load, batch streams and pacing state of one owned backend server.

use std::collections;

use bw_wire::{backend, name};

use super::{Builder, Online, Snapshot, peak, prefill_cost};

/// Largest age of the counts in a `sync` answer.
const SYNC_LAG_MS: u64 = 1_500;
/// Time without a full arrival pause after which online arrivals count as
/// frequent. It is a quarter of a burst of 4 s, in which batch work has to yield.
const FREQUENT_AFTER_MS: u64 = 1_000;
/// Length, in arrival pauses, of a gap between arrivals after which they no
/// longer count as frequent.
const RARE_AFTER_PAUSES: u64 = 2;
/// Share of the average interval between frequent arrivals in which no batch stream
/// starts.
const PAUSE_SHARE: f32 = 0.4;
/// Cap on the intervals between online arrivals that enter the average.
const MAX_INTERVAL_MS: u64 = 1_000;
/// Weight of a new interval between online arrivals in the moving average.
const INTERVAL_SMOOTHING: f32 = 0.1;
/// Longest time for which a server accumulates start budget between two turns;
/// the batch streams for it may start at once. Prefills that run together delay
/// fewer online arrivals than the same prefills one by one.
const START_WINDOW_MS: f32 = 130.0;
/// Minimum cost of a batch stream in start budget, so that a low average cost of
/// recent prefills cannot start all streams of a server at once.
const MIN_COST: f32 = 0.1;
/// Weight of a new batch stream in the moving average of the prefill cost.
const COST_SMOOTHING: f32 = 0.1;
/// Upper bound of an announced capacity; a larger one is taken for an error.
const MAX_CAPACITY: u32 = 4_096;
/// Utilization below which reported waiting requests are ignored: the engine
/// would have slots for them, so that the report must be wrong.
const WAITING_MIN_UTILIZATION: f32 = 0.8;
/// Number of preemptions from which on a batch stream is cancelled only after all
/// others, so that it completes eventually.
const PROTECTED_AFTER: u32 = 3;
/// Initial backoff after a failed connection; it doubles with each further
/// failure. It exceeds the 200 ms after which an item is placed again, so that the
/// item is tried on other servers, and is short enough that, where there are no
/// others, the failures of one item eject the server.
const BACKOFF_MS: u64 = 300;
/// Longest backoff after failed connections. It limits how long the server stays
/// without batch streams after a network failure.
const BACKOFF_MAX_MS: u64 = 10_000;

/// A batch stream that was sent to a backend server.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Its id, unique on this entry VM.
    pub id: u64,
    /// Number of prompt and generated tokens, which a resume prefills again.
    pub tokens: u32,
    /// How often it was preempted.
    pub preempted: u32,
    /// Whether its job may miss its due time; urgent batch streams are cancelled
    /// later than others.
    pub urgent: bool,
}

#[derive(Debug)]
struct Running {
    stream: Stream,
    started_ms: u64,
    is_cancelled: bool,
    /// Whether it started by a starvation grant, and so despite full online load.
    is_starvation_grant: bool,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    online: u32,
}

/// The period without new batch streams after a failed connection.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    duration_ms: u64,
    until_ms: u64,
}

#[derive(Debug)]
pub(super) struct Server {
    incarnation: u64,
    capacity: u32,
    usable: bool,
    load: backend::Load,
    load_measured_ms: u64,
    own_online: u32,
    /// Online counts that the other entry VMs reported in messages, and their sum.
    peers: collections::BTreeMap<name::Name, Peer>,
    peer_peak: peak::Peak,
    /// The other entry VMs' count from a `sync` answer, if messages were lost.
    fleet_online: Option<u32>,
    /// Online requests of all entry VMs.
    online: u32,
    online_peak: peak::Peak,
    last_arrival_ms: Option<u64>,
    /// Whether an online request arrived since batch streams were last cancelled
    /// for one.
    has_new_arrival: bool,
    /// Moving average of the interval between two online arrivals.
    arrival_interval_ms: f32,
    /// When a full arrival pause without another arrival was last observed.
    last_full_pause_ms: u64,
    streams: Vec<Running>,
    /// When the last batch stream started.
    last_start_ms: Option<u64>,
    /// Time of the last grant, if no batch stream started since.
    unused_grant_ms: Option<u64>,
    /// The last backoff after a failed connection.
    backoff: Option<Backoff>,
    /// Moving average of the prefill cost of started batch streams.
    average_cost: f32,
    /// Whether the next batch stream starts by a starvation grant.
    next_is_starvation_grant: bool,
    /// Token bucket that limits the rate of batch stream starts, in prefill cost.
    start_budget: f32,
    refilled_ms: u64,
}

impl Server {
    pub(super) fn new(snapshot: &Snapshot, now_ms: u64) -> Server {
        let mut server = Server {
            incarnation: snapshot.incarnation,
            capacity: 1,
            usable: false,
            load: backend::Load::default(),
            load_measured_ms: 0,
            own_online: 0,
            peers: collections::BTreeMap::new(),
            peer_peak: peak::Peak::default(),
            fleet_online: None,
            online: 0,
            online_peak: peak::Peak::default(),
            last_arrival_ms: None,
            has_new_arrival: false,
            arrival_interval_ms: MAX_INTERVAL_MS as f32,
            last_full_pause_ms: now_ms,
            streams: Vec::new(),
            last_start_ms: None,
            unused_grant_ms: None,
            backoff: None,
            average_cost: 1.0,
            next_is_starvation_grant: false,
            start_budget: 0.0,
            refilled_ms: now_ms,
        };
        server.update(snapshot, now_ms);
        server
    }

    pub(super) fn update(&mut self, snapshot: &Snapshot, now_ms: u64) {
        if self.incarnation != snapshot.incarnation {
            self.incarnation = snapshot.incarnation;
            self.backoff = None;
        }
        self.capacity = snapshot.capacity.clamp(1, MAX_CAPACITY);
        self.usable = snapshot.usable;
        self.load = snapshot.load;
        let age_ms = snapshot.load_age_ms + u64::from(snapshot.load.age_ms);
        self.load_measured_ms = now_ms.saturating_sub(age_ms);
    }

    pub(super) fn set_own_online(&mut self, online: u32, now_ms: u64) {
        self.own_online = online;
        self.update_online(now_ms);
    }

    pub(super) fn set_peer_online(&mut self, message: &Online, now_ms: u64) {
        let previous = self.peers.get(&message.entry).copied();
        let is_outdated = previous.is_some_and(|previous| {
            (message.incarnation, message.sequence) <= (previous.incarnation, previous.sequence)
        });
        if is_outdated {
            return;
        }
        let peer = Peer {
            incarnation: message.incarnation,
            sequence: message.sequence,
            online: message.online,
        };
        self.peers.insert(message.entry.clone(), peer);
        self.update_online(now_ms);
    }

    pub(super) fn set_fleet_online(&mut self, online: u32, now_ms: u64) {
        // The answer is up to `SYNC_LAG_MS` old. Only a count above the maximum
        // that messages reported within that time shows that messages were lost.
        let reported = self.peer_peak.max(SYNC_LAG_MS, now_ms);
        self.fleet_online = (online > reported).then_some(online);
        self.update_online(now_ms);
    }

    pub(super) fn retain_peers(&mut self, live: &collections::BTreeSet<name::Name>, now_ms: u64) {
        self.peers.retain(|entry, _| live.contains(entry));
        self.update_online(now_ms);
    }

    pub(super) fn start(&mut self, stream: Stream, now_ms: u64) {
        let is_starvation_grant = self.next_is_starvation_grant;
        self.next_is_starvation_grant = false;
        self.last_start_ms = Some(now_ms);
        self.unused_grant_ms = None;
        let cost = prefill_cost(stream.tokens);
        self.average_cost += COST_SMOOTHING * (cost - self.average_cost);
        self.streams.push(Running {
            stream,
            started_ms: now_ms,
            is_cancelled: false,
            is_starvation_grant,
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

    /// Returns the share of the capacity that is in use.
    pub(super) fn utilization(&self) -> f32 {
        (self.online + self.running()) as f32 / self.capacity as f32
    }

    /// Returns how many batch streams the server should run once it is filled.
    pub(super) fn target(&mut self, settings: &Builder, now_ms: u64) -> u32 {
        if !self.usable {
            return 0;
        }
        let online = self.online_peak.max(settings.hold_ms, now_ms);
        let headroom = self.headroom(settings);
        let free = self.capacity.saturating_sub(online + headroom);
        free.saturating_sub(self.waiting(settings, now_ms))
    }

    /// Returns how many batch streams may start now and spends the start budget for
    /// them.
    pub(super) fn grant(&mut self, settings: &Builder, now_ms: u64) -> u32 {
        let target = self.target(settings, now_ms);
        self.refill_start_budget(settings, now_ms);
        if self.is_in_arrival_pause(settings, now_ms)
            || self.kv_used(settings, now_ms) >= settings.kv_stop
        {
            return 0;
        }
        let missing = target.saturating_sub(self.running());
        let cost = self.average_cost.max(MIN_COST);
        let allowed = missing.min((self.start_budget / cost) as u32);
        self.start_budget -= allowed as f32 * cost;
        if allowed > 0 {
            self.unused_grant_ms = Some(now_ms);
        }
        allowed
    }

    /// Marks the batch streams to cancel now as cancelled and returns their ids.
    pub(super) fn surplus(&mut self, settings: &Builder, now_ms: u64) -> Vec<u64> {
        let mut cancelled = self.cancel_new(settings, now_ms);
        let active = self
            .streams
            .iter()
            .filter(|running| !running.is_cancelled)
            .count() as u32;
        let surplus = active.saturating_sub(self.max_streams(settings, now_ms));
        for _ in 0..surplus {
            let Some(running) = self.cheapest_to_cancel(settings, now_ms) else {
                break;
            };
            running.is_cancelled = true;
            cancelled.push(running.stream.id);
        }
        cancelled
    }

    /// Marks the batch streams that started just before an online arrival as
    /// cancelled and returns their ids. Streams that were preempted often continue.
    fn cancel_new(&mut self, settings: &Builder, now_ms: u64) -> Vec<u64> {
        if !std::mem::take(&mut self.has_new_arrival) {
            return Vec::new();
        }
        let mut cancelled = Vec::new();
        for running in &mut self.streams {
            let is_new = now_ms.saturating_sub(running.started_ms) < settings.new_stream_ms;
            let is_protected =
                running.is_starvation_grant || running.stream.preempted >= PROTECTED_AFTER;
            if is_new && !is_protected && !running.is_cancelled {
                running.is_cancelled = true;
                cancelled.push(running.stream.id);
            }
        }
        cancelled
    }

    /// Returns the time of the last grant, if no batch stream started since.
    pub(super) fn unused_grant_ms(&self) -> Option<u64> {
        self.unused_grant_ms
    }

    /// Starts a backoff after a failed connection to an incarnation. Failures
    /// during the backoff, of batch streams that started before it, do not extend
    /// it.
    pub(super) fn mark_unreachable(&mut self, incarnation: u64, now_ms: u64) {
        if incarnation != self.incarnation || self.is_backing_off(now_ms) {
            return;
        }
        // The duration starts again from the initial one if the server stayed
        // without a failure for as long as the last backoff.
        let last = self
            .backoff
            .filter(|backoff| now_ms < backoff.until_ms + backoff.duration_ms);
        let duration_ms = last.map_or(BACKOFF_MS, |backoff| {
            (backoff.duration_ms * 2).min(BACKOFF_MAX_MS)
        });
        self.backoff = Some(Backoff {
            duration_ms,
            until_ms: now_ms + duration_ms,
        });
    }

    /// Returns whether no batch stream may start because of a failed connection.
    pub(super) fn is_backing_off(&self, now_ms: u64) -> bool {
        self.backoff
            .is_some_and(|backoff| now_ms < backoff.until_ms)
    }

    /// Returns when the last batch stream started.
    pub(super) fn last_start_ms(&self) -> Option<u64> {
        self.last_start_ms
    }

    /// Returns whether a batch stream started within the last `window_ms`.
    pub(super) fn started_within(&self, window_ms: u64, now_ms: u64) -> bool {
        self.last_start_ms
            .is_some_and(|started_ms| now_ms.saturating_sub(started_ms) < window_ms)
    }

    pub(super) fn accepts_starvation_grant(&self, settings: &Builder, now_ms: u64) -> bool {
        self.usable
            && !self.is_backing_off(now_ms)
            && self.running() == 0
            && self.waiting(settings, now_ms) == 0
            && self.kv_used(settings, now_ms) < settings.kv_stop
    }

    pub(super) fn mark_starvation_grant(&mut self) {
        self.next_is_starvation_grant = true;
    }

    /// Returns the number of batch streams above which some are cancelled.
    ///
    /// Cancelling restores only half of the headroom, and batch streams that end
    /// restore the rest. Otherwise each online arrival would cancel a stream.
    fn max_streams(&mut self, settings: &Builder, now_ms: u64) -> u32 {
        if !self.usable {
            return 0;
        }
        let headroom = self.headroom(settings) / 2;
        let free = self.capacity.saturating_sub(self.online + headroom);
        let max_streams = free.saturating_sub(self.waiting(settings, now_ms));
        if self.kv_used(settings, now_ms) >= settings.kv_preempt {
            return max_streams.min(self.running() * 7 / 8);
        }
        max_streams
    }

    /// Returns whether an online request arrived so recently that no batch stream
    /// may start.
    ///
    /// Once online requests have been frequent for longer than the start of a
    /// burst, the pause shrinks to a share of their interval; otherwise hardly any
    /// batch stream would start.
    pub(super) fn is_in_arrival_pause(&mut self, settings: &Builder, now_ms: u64) -> bool {
        let Some(last_arrival_ms) = self.last_arrival_ms else {
            self.last_full_pause_ms = now_ms;
            return false;
        };
        let since_arrival_ms = now_ms.saturating_sub(last_arrival_ms);
        let is_frequent = now_ms.saturating_sub(self.last_full_pause_ms) >= FREQUENT_AFTER_MS;
        let pauses = if is_frequent { RARE_AFTER_PAUSES } else { 1 };
        if since_arrival_ms >= settings.arrival_pause_ms * pauses {
            self.last_full_pause_ms = now_ms;
            return false;
        }
        let shortened_ms = (self.arrival_interval_ms * PAUSE_SHARE) as u64;
        let pause_ms = match is_frequent {
            true => settings.arrival_pause_ms.min(shortened_ms),
            false => settings.arrival_pause_ms,
        };
        since_arrival_ms < pause_ms
    }

    /// Returns the number of slots kept free for online arrivals, at least one.
    fn headroom(&self, settings: &Builder) -> u32 {
        (self.capacity as f32 * settings.headroom).ceil().max(1.0) as u32
    }

    /// Returns the reported number of waiting requests, or 0 if the report is
    /// stale or the utilization contradicts it.
    fn waiting(&self, settings: &Builder, now_ms: u64) -> u32 {
        let is_fresh = now_ms.saturating_sub(self.load_measured_ms) <= settings.report_max_age_ms;
        let is_plausible = self.utilization() >= WAITING_MIN_UTILIZATION
            || self.kv_used(settings, now_ms) >= WAITING_MIN_UTILIZATION;
        if is_fresh && is_plausible {
            self.load.waiting.min(self.capacity)
        } else {
            0
        }
    }

    fn kv_used(&self, settings: &Builder, now_ms: u64) -> f32 {
        let is_fresh = now_ms.saturating_sub(self.load_measured_ms) <= settings.report_max_age_ms;
        let is_valid = (0.0..=1.0).contains(&self.load.kv_used);
        if is_fresh && is_valid {
            self.load.kv_used
        } else {
            0.0
        }
    }

    /// Returns the running batch stream to cancel first: preferably not preempted
    /// often, not urgent, and with the fewest tokens to prefill again.
    fn cheapest_to_cancel(&mut self, settings: &Builder, now_ms: u64) -> Option<&mut Running> {
        let may_cancel_all = self.waiting(settings, now_ms) > 0 || !self.usable;
        self.streams
            .iter_mut()
            .filter(|running| !running.is_cancelled)
            .filter(|running| may_cancel_all || !running.is_starvation_grant)
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

    fn update_online(&mut self, now_ms: u64) {
        let peers: u32 = self.peers.values().map(|peer| peer.online).sum();
        self.peer_peak.set(peers, now_ms);
        let peers_online = peers.max(self.fleet_online.unwrap_or(0));
        let previous = self.online;
        self.online = self.own_online + peers_online;
        self.online_peak.set(self.online, now_ms);
        if self.online > previous {
            if let Some(last_arrival_ms) = self.last_arrival_ms.replace(now_ms) {
                let arrival_interval_ms =
                    now_ms.saturating_sub(last_arrival_ms).min(MAX_INTERVAL_MS) as f32;
                self.arrival_interval_ms +=
                    INTERVAL_SMOOTHING * (arrival_interval_ms - self.arrival_interval_ms);
            }
            self.has_new_arrival = true;
        }
    }

    fn refill_start_budget(&mut self, settings: &Builder, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f32;
        self.refilled_ms = now_ms;
        let capacity = self.capacity as f32;
        let accrued = elapsed_ms * capacity / settings.ramp_ms as f32;
        let max_budget = capacity * START_WINDOW_MS / settings.ramp_ms as f32;
        self.start_budget = (self.start_budget + accrued).min(max_budget.max(1.0));
    }
}
