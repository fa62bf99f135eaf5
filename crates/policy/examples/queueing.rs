//! A deterministic simulation that measures the settings discussed in
//! `docs/policy.md`.
//!
//! The simulation processes arrivals and replicas in half-millisecond ticks of
//! virtual time. A replica works in steps whose duration grows with its number of
//! sequences and with the prompt tokens that it computes, and admits requests as
//! they arrive. Run `cargo run --release -p bw-policy --example queueing [TABLE
//! [SEEDS]]`; without a table, all are printed. The seeds are 1 to 5, or 1 to
//! `SEEDS`.

use std::{cmp, collections, env, mem, thread, time};

use bw_policy::{health, pacer, retry, router};
use bw_wire::{backend, fingerprint::Fingerprint, name};
use rand::{Rng, SeedableRng};

const TICK_US: u64 = 500;
const ENTRIES: usize = 4;
const MAX_ENTRIES: usize = 6;
const DOMAINS: usize = 3;
const REPLICAS: usize = 12;
const CAPACITY: usize = 32;
const STEP_US: u64 = 20_000;
const STEP_PER_SEQUENCE_US: u64 = 250;
const STEP_PER_PROMPT_TOKEN_US: u64 = 50;
const PROMPT_TOKENS_PER_STEP: u32 = 512;
/// Delay of peer messages: their coalescing and the latency between failure domains.
const PEER_DELAY_US: u64 = 6_500;
const NETWORK_US: u64 = 1_000;
const WARM_UP_US: u64 = 10_000_000;
const SEEDS: u64 = 5;

/// Prompt tokens of a prefix block.
const BLOCK_TOKENS: u32 = 32;
/// Capacity of a replica's prefix cache in blocks.
const CACHED_BLOCKS: usize = 1_500;
/// Number of concurrent chats, and of blocks that each turn adds to a chat.
const CHATS: usize = 300;
const TURN_BLOCKS: u64 = 6;
/// Number of blocks of a system prompt, and of system prompts.
const SYSTEM_BLOCKS: u64 = 8;
const SYSTEMS: u64 = 8;
/// Number of turns after which a chat is replaced by a new one.
const TURNS: u64 = 8;

/// Delay and loss of the cache events that replicas send to the entry VMs.
#[derive(Clone, Copy)]
struct Events {
    lag_us: u64,
    loss: f64,
}

/// The prefix cache of a replica, with LRU eviction.
#[derive(Default)]
struct Cache {
    used: collections::HashMap<Fingerprint, u64>,
    order: collections::BTreeMap<u64, Fingerprint>,
    clock: u64,
    stored: Vec<Fingerprint>,
    removed: Vec<Fingerprint>,
    sequence: u64,
}

impl Cache {
    /// Inserts a prompt's blocks and returns how many leading ones were cached.
    fn insert(&mut self, blocks: &[Fingerprint]) -> usize {
        let cached = blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count();
        // The blocks are marked as used from the last to the first one, so that the
        // ends of prefixes are evicted first.
        for block in blocks.iter().rev() {
            self.clock += 1;
            match self.used.insert(*block, self.clock) {
                Some(previous) => {
                    self.order.remove(&previous);
                }
                None => self.stored.push(*block),
            }
            self.order.insert(self.clock, *block);
        }
        while self.order.len() > CACHED_BLOCKS
            && let Some((_, block)) = self.order.pop_first()
        {
            self.used.remove(&block);
            self.removed.push(block);
        }
        cached
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Pick {
    RoundRobin,
    SharedRoundRobin,
    Random,
    Policy,
}

#[derive(Clone)]
enum Batch {
    None,
    Greedy,
    Paced(pacer::Builder),
}

#[derive(Clone)]
struct Scenario {
    label: String,
    online_per_s: f64,
    entries: usize,
    /// One-way latency added between failure domains, and the penalty of replicas in
    /// another one.
    distance_us: u64,
    domain_weight: f32,
    burst: f64,
    /// Average number of tokens of an online response.
    online_output: f64,
    seconds: u64,
    /// Time that each sequence and each prompt token adds to a step.
    costs_us: (u64, u64),
    pick: Pick,
    router: router::Builder,
    batch: Batch,
    /// Prompt and output tokens of a batch item.
    item: (u32, u32),
    frozen: bool,
    misreporting: bool,
    skew: bool,
    /// If set, online requests are turns of chats, and replicas cache their prefixes.
    chats: Option<Events>,
    health: bool,
    hedge: bool,
}

impl Scenario {
    fn new(label: &str, online_per_s: f64) -> Scenario {
        Scenario {
            label: label.to_owned(),
            online_per_s,
            entries: ENTRIES,
            distance_us: 0,
            domain_weight: 0.0,
            burst: 1.0,
            online_output: 60.0,
            seconds: 60,
            costs_us: (STEP_PER_SEQUENCE_US, STEP_PER_PROMPT_TOKEN_US),
            pick: Pick::Policy,
            router: router::Builder::new().slow_start_ms(0),
            batch: Batch::None,
            item: (200, 100),
            frozen: false,
            misreporting: false,
            skew: false,
            chats: None,
            health: false,
            hedge: false,
        }
    }

    fn router_of(&self, entry: usize) -> router::Builder {
        let domain = domain(entry % DOMAINS);
        self.router
            .clone()
            .failure_domain(domain, self.domain_weight)
    }

    /// Returns the one-way latency added between an entry VM and a replica.
    fn distance_us(&self, entry: usize, replica: usize) -> u64 {
        let is_remote = entry % DOMAINS != domain_of(replica);
        if is_remote { self.distance_us } else { 0 }
    }
}

/// A request that waits or runs at a replica.
struct Sequence {
    id: u64,
    batch: bool,
    prompt_left: u32,
    output_left: u32,
    produced: u32,
    in_step: u32,
    has_first_token: bool,
}

#[derive(Default)]
struct Replica {
    waiting: collections::VecDeque<Sequence>,
    running: Vec<Sequence>,
    step_end_us: Option<u64>,
    frozen: bool,
    cache: Cache,
    online: [u32; MAX_ENTRIES],
}

struct Online {
    entry: usize,
    arrived_us: u64,
    prompt: u32,
    prefix: Vec<Fingerprint>,
    output: u32,
    attempts: Vec<Attempt>,
    call: retry::Call,
    hedge_us: Option<u64>,
}

struct Attempt {
    replica: usize,
    id: u64,
    choice: Option<router::Choice>,
    tracked: Option<health::Attempt>,
}

enum Message {
    Start(usize, Sequence, Vec<Fingerprint>),
    Cancel(usize, u64),
    PeerOnline(usize, pacer::Online),
    Events(backend::CacheEvents),
}

#[derive(Default)]
struct Result {
    first_token_ms: Vec<f64>,
    batch_tokens: u64,
    /// Slot-seconds that online requests left idle, and those that batch streams used.
    idle_slot_s: f64,
    batch_slot_s: f64,
    preempted: u64,
    hedges: u64,
    unanswered: u64,
    /// Number of prefix blocks of the requests, and of those that were cached.
    blocks: u64,
    cached_blocks: u64,
}

struct Simulation {
    scenario: Scenario,
    random: rand_pcg::Pcg64Mcg,
    now_us: u64,
    replicas: Vec<Replica>,
    routers: Vec<router::Router>,
    pacers: Vec<pacer::Pacer>,
    health: Vec<health::Health>,
    retry: Vec<retry::Retry>,
    online: collections::BTreeMap<u64, Online>,
    attempts: collections::BTreeMap<u64, u64>,
    resumes: Vec<collections::VecDeque<(u32, u32)>>,
    streams: collections::BTreeMap<u64, (u32, u32)>,
    messages: collections::BTreeMap<(u64, u64), Message>,
    next: u64,
    round_robin: [usize; MAX_ENTRIES],
    /// System prompt, id and number of turns so far of each chat.
    chats: Vec<(u64, u64, u64)>,
    result: Result,
}

fn id(replica: usize) -> name::Name {
    format!("e{replica:02}").into()
}

fn domain(domain: usize) -> name::Name {
    format!("domain-{domain}").into()
}

/// Returns the failure domain of a replica. The replicas that an entry VM owns are in
/// several failure domains.
fn domain_of(replica: usize) -> usize {
    replica * DOMAINS / REPLICAS
}

fn index(id: &str) -> usize {
    id[1..].parse().expect("id should be that of a replica")
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Simulation {
        let pacer = match &scenario.batch {
            Batch::Paced(builder) => builder.clone(),
            _ => pacer::Builder::new(),
        };
        let entries = scenario.entries;
        Simulation {
            random: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            now_us: 0,
            replicas: (0..REPLICAS).map(|_| Replica::default()).collect(),
            routers: (0..entries)
                .map(|entry| scenario.router_of(entry).build())
                .collect(),
            pacers: (0..entries).map(|_| pacer.clone().build()).collect(),
            health: (0..entries)
                .map(|_| health::Builder::new().build())
                .collect(),
            retry: (0..entries)
                .map(|_| retry::Builder::new().build())
                .collect(),
            online: collections::BTreeMap::new(),
            attempts: collections::BTreeMap::new(),
            resumes: vec![collections::VecDeque::new(); entries],
            streams: collections::BTreeMap::new(),
            messages: collections::BTreeMap::new(),
            next: 0,
            round_robin: [0, 3, 6, 9, 1, 4],
            chats: vec![(0, 0, TURNS); CHATS],
            result: Result::default(),
            scenario,
        }
    }

    fn run(mut self) -> Result {
        let end_us = WARM_UP_US + self.scenario.seconds * 1_000_000;
        let mut arrival_us = 0.0;
        while self.now_us < end_us {
            if self.now_us.is_multiple_of(500_000) {
                self.exchange_state();
                if let Some(events) = self.scenario.chats {
                    self.announce_caches(events);
                }
            }
            self.deliver();
            while arrival_us <= self.now_us as f64 {
                self.arrive(arrival_us as u64);
                let burst = (self.now_us / 1_000_000) % 20 < 4;
                let factor = if burst { self.scenario.burst } else { 1.0 };
                let rate = self.scenario.online_per_s * factor;
                arrival_us -= self.random.random::<f64>().max(1e-12).ln() / rate * 1e6;
            }
            if self.scenario.frozen && self.now_us == WARM_UP_US {
                self.replicas[0].frozen = true;
            }
            (0..REPLICAS).for_each(|replica| self.step(replica));
            if self.now_us.is_multiple_of(10_000) {
                self.tick();
            }
            self.now_us += TICK_US;
        }
        // Requests without a first token count with their age.
        for online in self.online.values() {
            let has_token = online.call.verdict().may_have_run();
            if !has_token && online.arrived_us > WARM_UP_US {
                let is_overdue = online.arrived_us + 5_000_000 < end_us;
                self.result.unanswered += u64::from(is_overdue);
                let age_us = end_us.saturating_sub(online.arrived_us);
                self.result.first_token_ms.push(age_us as f64 / 1e3);
            }
        }
        self.result
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn next_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn send(&mut self, delay_us: u64, message: Message) {
        let key = (self.now_us + delay_us, self.next_id());
        self.messages.insert(key, message);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now_us
        {
            match entry.remove() {
                Message::Start(replica, mut sequence, prefix) => {
                    let state = &mut self.replicas[replica];
                    let cached = state.cache.insert(&prefix);
                    self.result.blocks += prefix.len() as u64;
                    self.result.cached_blocks += cached as u64;
                    let computed = cached as u32 * BLOCK_TOKENS;
                    sequence.prompt_left = sequence.prompt_left.saturating_sub(computed).max(1);
                    state.waiting.push_back(sequence);
                }
                Message::Events(events) => {
                    let now_ms = self.now_ms();
                    for router in &mut self.routers {
                        router.apply_cache_events(&events, now_ms);
                    }
                }
                Message::Cancel(replica, id) => {
                    let replica = &mut self.replicas[replica];
                    replica.waiting.retain(|sequence| sequence.id != id);
                    replica.running.retain(|sequence| sequence.id != id);
                }
                Message::PeerOnline(owner, online) => {
                    let now_ms = self.now_ms();
                    let surplus = self.pacers[owner].set_peer_online(&online, now_ms);
                    self.preempt(owner, &surplus);
                }
            }
        }
    }

    /// Sends announcements with load reports that are up to 500 ms old, and the
    /// counts of a `sync` answer.
    fn exchange_state(&mut self) {
        let now_ms = self.now_ms();
        for replica in 0..REPLICAS {
            let state = &self.replicas[replica];
            let misreporting = self.scenario.misreporting && replica == 1;
            let announcement = backend::Announcement {
                id: id(replica),
                incarnation: 1,
                sequence: self.now_us / 500_000,
                address: id(replica),
                kind: backend::Kind::Engine,
                service: "default".into(),
                failure_domain: domain(domain_of(replica)),
                state: backend::State::Ready,
                loaded: vec![backend::Loaded {
                    model: "m".into(),
                    version: "1".into(),
                    adapters: Vec::new(),
                }],
                capacity: CAPACITY as u32,
                fence: 0,
                load: backend::Load {
                    running: if misreporting {
                        0
                    } else {
                        state.running.len() as u32
                    },
                    waiting: if misreporting {
                        0
                    } else {
                        state.waiting.len() as u32
                    },
                    kv_used: 0.5,
                    step_ms: 25.0,
                    age_ms: 0,
                },
            };
            for entry in 0..self.scenario.entries {
                self.routers[entry].apply_announcement(&announcement, 0, now_ms);
                let snapshot = health::Snapshot {
                    id: id(replica),
                    incarnation: 1,
                    group: "m".into(),
                    capacity: CAPACITY as u32,
                    requests: state.running.len() as f32,
                };
                self.health[entry].update(snapshot, now_ms);
            }
            let snapshot = pacer::Snapshot {
                id: id(replica),
                incarnation: 1,
                capacity: CAPACITY as u32,
                usable: true,
                load: announcement.load,
                load_age_ms: 0,
            };
            self.pacers[replica % self.scenario.entries].update(&snapshot, now_ms);
        }
        for entry in 0..self.scenario.entries {
            let others = |replica: usize| {
                let online = self.replicas[replica].online;
                (0..self.scenario.entries)
                    .filter(|&other| other != entry)
                    .map(|other| online[other])
                    .sum()
            };
            let counts: collections::BTreeMap<name::Name, u32> = (0..REPLICAS)
                .map(|replica| (id(replica), others(replica)))
                .collect();
            self.routers[entry].set_fleet_online(&counts, now_ms);
            let homes = (0..REPLICAS).filter(|replica| replica % self.scenario.entries == entry);
            self.routers[entry].set_home(&homes.map(id).collect());
            let surplus = self.pacers[entry].set_fleet_online(&counts, now_ms);
            self.preempt(entry, &surplus);
        }
    }

    fn arrive(&mut self, arrived_us: u64) {
        let extra = if self.scenario.skew { 2 } else { 0 };
        let entry =
            self.random.random_range(0..self.scenario.entries + extra) % self.scenario.entries;
        let entry = if extra > 0 && entry == 1 && self.random.random_bool(0.5) {
            0
        } else {
            entry
        };
        let prefix = match self.scenario.chats {
            Some(_) => self.next_chat_turn(),
            None => Vec::new(),
        };
        let prompt = match self.scenario.chats {
            Some(_) => {
                prefix.len() as u32 * BLOCK_TOKENS + self.random.random_range(1..BLOCK_TOKENS)
            }
            None => self.random.random_range(50..400),
        };
        let output =
            1 + (-self.random.random::<f64>().max(1e-12).ln() * self.scenario.online_output) as u32;
        let request = self.next_id();
        let now_ms = self.now_ms();
        let hedge_us = if self.scenario.hedge {
            let after_ms = self.retry[entry].hedge_after_ms(&"m".into(), now_ms);
            after_ms.map(|after_ms| arrived_us + after_ms * 1_000)
        } else {
            None
        };
        self.online.insert(
            request,
            Online {
                entry,
                arrived_us,
                prompt,
                prefix,
                output,
                attempts: Vec::new(),
                call: retry::Call::new(true, None),
                hedge_us,
            },
        );
        self.attempt(request);
    }

    /// Returns the prefix of the next turn of a random chat: a system prompt, the
    /// turns so far and the new one.
    fn next_chat_turn(&mut self) -> Vec<Fingerprint> {
        let chat = self.random.random_range(0..CHATS);
        let (mut system, mut number, mut turns) = self.chats[chat];
        if turns >= TURNS {
            system = self.random.random_range(0..SYSTEMS);
            number = self.next_id();
            turns = self.random.random_range(0..TURNS / 2);
        }
        self.chats[chat] = (system, number, turns + 1);
        let shared = (0..SYSTEM_BLOCKS).map(|block| Fingerprint(system, block));
        let own = (0..(turns + 1) * TURN_BLOCKS).map(|block| Fingerprint(SYSTEMS + number, block));
        shared.chain(own).collect()
    }

    /// Sends the changes of the prefix caches as events, with delay and losses.
    fn announce_caches(&mut self, events: Events) {
        for replica in 0..REPLICAS {
            let cache = &mut self.replicas[replica].cache;
            let message = backend::CacheEvents {
                id: id(replica),
                incarnation: 1,
                sequence: cache.sequence,
                stored: mem::take(&mut cache.stored),
                removed: mem::take(&mut cache.removed),
            };
            let count = (message.stored.len() + message.removed.len()) as u64;
            if count == 0 {
                continue;
            }
            cache.sequence += count;
            if !self.random.random_bool(events.loss) {
                self.send(events.lag_us, Message::Events(message));
            }
        }
    }

    fn attempt(&mut self, request: u64) {
        let now_ms = self.now_ms();
        let attempt = self.next_id();
        let online = &self.online[&request];
        let entry = online.entry;
        let prefix = online.prefix.clone();
        let avoid: Vec<name::Name> = online
            .attempts
            .iter()
            .map(|attempt| id(attempt.replica))
            .collect();
        let target = router::Target::Model {
            model: "m",
            adapter: None,
        };
        let wanted = router::Request {
            avoid: &avoid,
            prefix: &prefix,
            ..router::Request::new(target)
        };
        let choice = match self.scenario.pick {
            Pick::Policy => {
                let choice = self.routers[entry].choose(&wanted, now_ms, &mut self.random);
                choice.ok()
            }
            Pick::RoundRobin | Pick::SharedRoundRobin | Pick::Random => None,
        };
        let turn = match self.scenario.pick {
            Pick::SharedRoundRobin => &mut self.round_robin[0],
            _ => &mut self.round_robin[entry],
        };
        *turn += 1;
        let turn = *turn;
        let replica = match (&choice, self.scenario.pick) {
            (Some(choice), _) => index(&choice.id),
            (None, Pick::RoundRobin | Pick::SharedRoundRobin) => turn % REPLICAS,
            (None, _) => self.random.random_range(0..REPLICAS),
        };
        if let Some(choice) = &choice {
            self.routers[entry].begin(choice, &wanted, now_ms);
        }
        let tracked = self.health[entry].begin(&id(replica), now_ms);
        let Some(online) = self.online.get_mut(&request) else {
            return;
        };
        let sequence = Sequence {
            id: attempt,
            batch: false,
            prompt_left: online.prompt,
            output_left: online.output,
            produced: 0,
            in_step: 0,
            has_first_token: false,
        };
        online.attempts.push(Attempt {
            replica,
            id: attempt,
            choice,
            tracked: Some(tracked),
        });
        self.attempts.insert(attempt, request);
        self.change_online(entry, replica, 1);
        let distance_us = self.scenario.distance_us(entry, replica);
        self.send(
            NETWORK_US + distance_us,
            Message::Start(replica, sequence, prefix),
        );
    }

    /// Changes an entry VM's online count at a replica and reports it to the owner.
    fn change_online(&mut self, entry: usize, replica: usize, change: i32) {
        let count = &mut self.replicas[replica].online[entry];
        *count = count.saturating_add_signed(change);
        let count = *count;
        let owner = replica % self.scenario.entries;
        if owner == entry {
            let now_ms = self.now_ms();
            let surplus = self.pacers[owner].set_own_online(&id(replica), count, now_ms);
            self.preempt(owner, &surplus);
            return;
        }
        let online = pacer::Online {
            entry: format!("entry-{entry}").into(),
            incarnation: 1,
            sequence: self.next_id(),
            backend: id(replica),
            online: count,
        };
        self.send(PEER_DELAY_US, Message::PeerOnline(owner, online));
    }

    fn preempt(&mut self, owner: usize, streams: &[u64]) {
        if !matches!(self.scenario.batch, Batch::Paced(_)) {
            return;
        }
        let now_ms = self.now_ms();
        for &stream in streams {
            let Some(replica) = (0..REPLICAS).find(|&replica| {
                let state = &self.replicas[replica];
                let mut sequences = state.running.iter().chain(&state.waiting);
                sequences.any(|sequence| sequence.id == stream)
            }) else {
                continue;
            };
            let state = &self.replicas[replica];
            let mut sequences = state.running.iter().chain(&state.waiting);
            let produced = sequences
                .find(|sequence| sequence.id == stream)
                .map_or(0, |sequence| sequence.produced);
            let (previous, preempted) = self.streams.remove(&stream).unwrap_or((0, 0));
            self.resumes[owner].push_back((previous + produced, preempted + 1));
            self.result.preempted += u64::from(self.now_us > WARM_UP_US);
            self.pacers[owner].stopped(&id(replica), stream, now_ms);
            self.send(NETWORK_US, Message::Cancel(replica, stream));
        }
    }

    fn start_batch(&mut self, owner: usize, replica: usize) {
        let now_ms = self.now_ms();
        let stream = self.next_id();
        let (produced, preempted) = self.resumes[owner].pop_front().unwrap_or((0, 0));
        self.streams.insert(stream, (produced, preempted));
        let paced = pacer::Stream {
            id: stream,
            tokens: self.scenario.item.0 + produced,
            preempted,
            urgent: false,
        };
        self.pacers[owner].started(&id(replica), paced, now_ms);
        if matches!(self.scenario.batch, Batch::Paced(_)) {
            self.routers[owner].batch_sent(&id(replica), self.scenario.item.0 + produced, now_ms);
        }
        let sequence = Sequence {
            id: stream,
            batch: true,
            prompt_left: self.scenario.item.0 + produced,
            output_left: self.scenario.item.1.saturating_sub(produced).max(1),
            produced: 0,
            in_step: 0,
            has_first_token: false,
        };
        self.send(NETWORK_US, Message::Start(replica, sequence, Vec::new()));
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        for owner in 0..self.scenario.entries {
            self.pacers[owner].set_backlog(1_000_000, now_ms);
            let surplus = self.pacers[owner].surplus(now_ms);
            self.preempt(owner, &surplus);
            match self.scenario.batch {
                Batch::None => {}
                Batch::Greedy => self.fill_greedily(owner),
                Batch::Paced(_) => {
                    for grant in self.pacers[owner].grants(now_ms) {
                        (0..grant.streams).for_each(|_| self.start_batch(owner, index(&grant.id)));
                    }
                }
            }
        }
        if self.scenario.health && now_ms.is_multiple_of(50) {
            self.update_health();
        }
        let overdue: Vec<u64> = self
            .online
            .iter()
            .filter(|(_, online)| online.hedge_us.is_some_and(|at_us| at_us <= self.now_us))
            .map(|(&request, _)| request)
            .collect();
        for request in overdue {
            self.hedge(request);
        }
    }

    /// Fills every replica up to its capacity without regard to online load.
    fn fill_greedily(&mut self, owner: usize) {
        let entries = self.scenario.entries;
        for replica in (0..REPLICAS).filter(|replica| replica % entries == owner) {
            let state = &self.replicas[replica];
            let occupied = state.running.len() + state.waiting.len();
            if occupied < CAPACITY {
                (occupied..CAPACITY).for_each(|_| self.start_batch(owner, replica));
            }
        }
    }

    fn update_health(&mut self) {
        let now_ms = self.now_ms();
        for entry in 0..self.scenario.entries {
            for change in self.health[entry].tick(now_ms) {
                match change {
                    health::Change::Ejected { id, .. } => {
                        self.routers[entry].set_health(&id, true, 1.0)
                    }
                    health::Change::Restored { id } => {
                        self.routers[entry].set_health(&id, false, 1.0)
                    }
                    health::Change::Probe { id } => {
                        let is_frozen = self.replicas[index(&id)].frozen;
                        let first_token_ms = (!is_frozen).then_some(40);
                        let restored =
                            self.health[entry].probe_finished(&id, first_token_ms, now_ms);
                        if restored.is_some() {
                            self.routers[entry].set_health(&id, false, 1.0);
                        }
                    }
                }
            }
        }
    }

    fn hedge(&mut self, request: u64) {
        let now_ms = self.now_ms();
        let Some(online) = self.online.get_mut(&request) else {
            return;
        };
        online.hedge_us = None;
        let allowed = self.retry[online.entry].hedge(&"m".into(), &mut online.call, now_ms);
        if allowed.is_ok() {
            self.result.hedges += u64::from(self.now_us > WARM_UP_US);
            self.attempt(request);
        }
    }

    fn step(&mut self, replica: usize) {
        if self.now_us > WARM_UP_US {
            let state = &self.replicas[replica];
            let batch = state
                .running
                .iter()
                .filter(|sequence| sequence.batch)
                .count();
            let online = state.running.len() - batch;
            let seconds = TICK_US as f64 / 1e6;
            self.result.idle_slot_s += (CAPACITY - online.min(CAPACITY)) as f64 * seconds;
            self.result.batch_slot_s += batch as f64 * seconds;
        }
        let state = &mut self.replicas[replica];
        if state.frozen || state.step_end_us.is_some_and(|end_us| end_us > self.now_us) {
            return;
        }
        let mut tokens = Vec::new();
        if state.step_end_us.take().is_some() {
            finish_step(state, &mut tokens);
        }
        start_step(state, self.scenario.costs_us, self.now_us);
        for (id, batch, is_last, is_first) in tokens {
            if batch {
                self.batch_token(replica, id, is_last);
            } else {
                self.online_token(id, is_last, is_first);
            }
        }
    }

    fn batch_token(&mut self, replica: usize, stream: u64, is_last: bool) {
        self.result.batch_tokens += u64::from(self.now_us > WARM_UP_US);
        if is_last {
            let now_ms = self.now_ms();
            self.streams.remove(&stream);
            self.pacers[replica % self.scenario.entries].stopped(&id(replica), stream, now_ms);
        }
    }

    fn online_token(&mut self, attempt: u64, is_last: bool, is_first: bool) {
        let now_ms = self.now_ms();
        let Some(&request) = self.attempts.get(&attempt) else {
            return;
        };
        let Some(online) = self.online.get_mut(&request) else {
            return;
        };
        let entry = online.entry;
        for one in online.attempts.iter_mut().filter(|one| one.id == attempt) {
            if let Some(tracked) = &mut one.tracked {
                self.health[entry].progress(tracked, now_ms);
            }
        }
        if is_first {
            let replica = online.attempts.iter().find(|one| one.id == attempt);
            let distance_us =
                replica.map_or(0, |one| self.scenario.distance_us(entry, one.replica));
            let first_token_us = self.now_us + distance_us - online.arrived_us;
            online.hedge_us = None;
            online.call.progress();
            if online.arrived_us > WARM_UP_US {
                self.result.first_token_ms.push(first_token_us as f64 / 1e3);
            }
            self.retry[entry].observe_first_token(&"m".into(), first_token_us / 1_000, now_ms);
            let attempts = mem::take(&mut online.attempts);
            let (kept, lost) = attempts.into_iter().partition(|one| one.id == attempt);
            online.attempts = kept;
            self.end(entry, lost, health::Outcome::Cancelled);
        }
        if is_last && let Some(online) = self.online.remove(&request) {
            self.retry[entry].succeeded(&"m".into(), now_ms);
            self.end(entry, online.attempts, health::Outcome::Done);
        }
    }

    fn end(&mut self, entry: usize, attempts: Vec<Attempt>, outcome: health::Outcome) {
        let now_ms = self.now_ms();
        for attempt in attempts {
            self.attempts.remove(&attempt.id);
            if let Some(choice) = &attempt.choice {
                self.routers[entry].end(choice, router::Sharing::Any, now_ms);
            }
            if let Some(tracked) = attempt.tracked {
                self.health[entry].end(tracked, outcome, now_ms);
            }
            self.change_online(entry, attempt.replica, -1);
            if outcome == health::Outcome::Cancelled {
                self.send(NETWORK_US, Message::Cancel(attempt.replica, attempt.id));
            }
        }
    }
}

fn finish_step(state: &mut Replica, tokens: &mut Vec<(u64, bool, bool, bool)>) {
    for sequence in &mut state.running {
        if sequence.in_step == 0 {
            continue;
        }
        let computed = sequence.in_step.min(sequence.prompt_left);
        sequence.prompt_left -= computed;
        sequence.in_step = 0;
        if sequence.prompt_left > 0 {
            continue;
        }
        sequence.output_left -= 1;
        sequence.produced += 1;
        let is_first = !mem::replace(&mut sequence.has_first_token, true);
        let is_last = sequence.output_left == 0;
        tokens.push((sequence.id, sequence.batch, is_last, is_first));
    }
    state.running.retain(|sequence| sequence.output_left > 0);
}

fn start_step(state: &mut Replica, costs_us: (u64, u64), now_us: u64) {
    let (per_sequence_us, per_prompt_token_us) = costs_us;
    while state.running.len() < CAPACITY
        && let Some(sequence) = state.waiting.pop_front()
    {
        state.running.push(sequence);
    }
    if state.running.is_empty() {
        return;
    }
    let mut budget = PROMPT_TOKENS_PER_STEP;
    let mut duration_us = STEP_US;
    for sequence in &mut state.running {
        let prompt = sequence.prompt_left.min(budget);
        budget -= prompt;
        if sequence.prompt_left == 0 {
            duration_us += per_sequence_us;
            sequence.in_step = 1;
        } else {
            duration_us += u64::from(prompt) * per_prompt_token_us;
            sequence.in_step = prompt;
        }
    }
    state.step_end_us = Some(now_us + duration_us);
}

/// Measurements of the seed with the median p99, and the range of the p99.
struct Row {
    label: String,
    p50: f64,
    p99: f64,
    p99_range: (f64, f64),
    batch_per_s: f64,
    idle_share: f64,
    preempted_per_s: f64,
    hedges_per_s: f64,
    unanswered: u64,
    cached: f64,
}

fn measure(scenario: &Scenario) -> Row {
    let results = thread::scope(|scope| {
        let runs: Vec<_> = (1..=seeds())
            .map(|seed| scope.spawn(move || Simulation::new(scenario.clone(), seed).run()))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("run should not panic"))
            .collect::<Vec<Result>>()
    });
    let mut rows: Vec<Row> = results
        .into_iter()
        .map(|mut result| {
            result.first_token_ms.sort_by(f64::total_cmp);
            let seconds = scenario.seconds as f64;
            Row {
                label: scenario.label.clone(),
                p50: quantile(&result.first_token_ms, 0.5),
                p99: quantile(&result.first_token_ms, 0.99),
                p99_range: (0.0, 0.0),
                batch_per_s: result.batch_tokens as f64 / seconds,
                idle_share: result.batch_slot_s / result.idle_slot_s.max(1.0),
                preempted_per_s: result.preempted as f64 / seconds,
                hedges_per_s: result.hedges as f64 / seconds,
                unanswered: result.unanswered,
                cached: result.cached_blocks as f64 / result.blocks.max(1) as f64,
            }
        })
        .collect();
    rows.sort_by(|a, b| a.p99.total_cmp(&b.p99));
    let range = (rows[0].p99, rows[rows.len() - 1].p99);
    let mut row = rows.swap_remove(rows.len() / 2);
    row.p99_range = range;
    row
}

/// Returns the number of seeds to run each scenario with.
fn seeds() -> u64 {
    let seeds = env::args().nth(2).and_then(|seeds| seeds.parse().ok());
    seeds.unwrap_or(SEEDS).max(1)
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted
        .get(cmp::min(index, last))
        .copied()
        .unwrap_or(f64::NAN)
}

/// Prints a table of scenarios. Ratios are relative to the first one.
fn table(title: &str, scenarios: &[Scenario]) {
    println!("\n{title}\n");
    println!(
        "| variant | p50 ms | p99 ms | range of p99 | p99 ratio | batch tokens/s | share of idle slots | preempted/s | hedges/s | no answer | cached |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let mut base = None;
    for scenario in scenarios {
        let row = measure(scenario);
        let base = *base.get_or_insert(row.p99);
        println!(
            "| {} | {:.1} | {:.1} | {:.1} to {:.1} | {:.3} | {:.0} | {:.3} | {:.1} | {:.1} | {} | {:.3} |",
            row.label,
            row.p50,
            row.p99,
            row.p99_range.0,
            row.p99_range.1,
            row.p99 / base,
            row.batch_per_s,
            row.idle_share,
            row.preempted_per_s,
            row.hedges_per_s,
            row.unanswered,
            row.cached
        );
    }
}

fn routing(misreporting: bool) -> Vec<Scenario> {
    let rate = 110.0;
    let without_slow_start = || router::Builder::new().slow_start_ms(0);
    let policy = |label: &str, builder: router::Builder| Scenario {
        router: builder,
        misreporting,
        ..Scenario::new(label, rate)
    };
    let baseline = |label: &str, pick: Pick| Scenario {
        pick,
        ..Scenario::new(label, rate)
    };
    let skewed = |label: &str, builder: router::Builder| Scenario {
        skew: true,
        ..policy(label, builder)
    };
    let without_home = || without_slow_start().home_affinity(0.0);
    vec![
        policy("default", without_slow_start()),
        policy(
            "not recent, not home",
            without_home().recent_weight(0.0, 50),
        ),
        policy(
            "the same, four choices",
            without_home().recent_weight(0.0, 50).sample_size(4),
        ),
        policy(
            "the same, best of all",
            without_home().recent_weight(0.0, 50).sample_size(REPLICAS),
        ),
        policy(
            "the same, two choices, report excess ignored",
            without_home()
                .recent_weight(0.0, 50)
                .unexplained_weight(0.0),
        ),
        policy("not home", without_home()),
        policy("not home, four choices", without_home().sample_size(4)),
        policy(
            "not home, best of all",
            without_home().sample_size(REPLICAS),
        ),
        policy(
            "not home, recent 0.25",
            without_home().recent_weight(0.25, 50),
        ),
        policy(
            "not home, recent 100 ms",
            without_home().recent_weight(1.0, 100),
        ),
        policy("home 0.5", without_slow_start().home_affinity(0.5)),
        policy("home 1", without_slow_start().home_affinity(1.0)),
        policy("home 4", without_slow_start().home_affinity(4.0)),
        policy(
            "recent 100 ms",
            without_slow_start().recent_weight(1.0, 100),
        ),
        policy("four choices", without_slow_start().sample_size(4)),
        skewed("default, entry VMs unevenly loaded", without_slow_start()),
        skewed("not home, entry VMs unevenly loaded", without_home()),
        baseline("round robin in each entry VM", Pick::RoundRobin),
        baseline("random", Pick::Random),
        baseline(
            "round robin over all entry VMs (not possible)",
            Pick::SharedRoundRobin,
        ),
    ]
}

fn frozen() -> Vec<Scenario> {
    let variant = |label: &str, frozen: bool, health: bool, hedge: bool| Scenario {
        frozen,
        health,
        hedge,
        ..Scenario::new(label, 70.0)
    };
    vec![
        variant("all healthy", false, true, true),
        variant("frozen, ejection and hedges", true, true, true),
        variant("frozen, ejection", true, true, false),
        variant("frozen, hedges", true, false, true),
        variant("frozen, neither", true, false, false),
    ]
}

/// Varies the engine's costs per sequence and per prompt token.
fn costs() -> Vec<Scenario> {
    let variant = |costs_us: (u64, u64), batch: Batch| {
        let kind = match batch {
            Batch::None => "online alone",
            _ => "paced",
        };
        let label = format!("{kind}, {} and {} us", costs_us.0, costs_us.1);
        Scenario {
            costs_us,
            batch,
            ..Scenario::new(&label, 50.0)
        }
    };
    let all = [(250, 50), (250, 10), (50, 50), (50, 10), (10, 2)];
    let paced = || Batch::Paced(pacer::Builder::new());
    all.into_iter()
        .flat_map(|costs| [variant(costs, Batch::None), variant(costs, paced())])
        .collect()
}

fn pacing(online_per_s: f64, burst: f64) -> Vec<Scenario> {
    let variant = |label: &str, batch: Batch| Scenario {
        burst,
        batch,
        ..Scenario::new(label, online_per_s)
    };
    let paced = |label: &str, builder: pacer::Builder| variant(label, Batch::Paced(builder));
    let default = pacer::Builder::new;
    let ignoring_streams = || {
        router::Builder::new()
            .slow_start_ms(0)
            .recent_batch_weight(0.0)
    };
    vec![
        variant("online alone", Batch::None),
        paced("paced (default)", default()),
        paced("paced, headroom 10 %", default().headroom(0.1)),
        paced("paced, headroom 25 %", default().headroom(0.25)),
        paced("paced, headroom 50 %", default().headroom(0.5)),
        paced("paced, headroom 60 %", default().headroom(0.6)),
        paced("paced, headroom 75 %", default().headroom(0.75)),
        paced("paced, no arrival pause", default().arrival_pause_ms(0)),
        paced("paced, arrival pause 50 ms", default().arrival_pause_ms(50)),
        paced("paced, new streams stay", default().new_stream_ms(0)),
        paced("paced, new up to 60 ms", default().new_stream_ms(60)),
        paced("paced, new up to 120 ms", default().new_stream_ms(120)),
        paced("paced, no hold", default().hold_ms(0)),
        paced("paced, hold 1 s", default().hold_ms(1_000)),
        paced("paced, filled in 100 ms", default().ramp_ms(100)),
        paced("paced, servers take no turns", default().turn_ms(0)),
        paced("paced, turns of 80 ms", default().turn_ms(80)),
        Scenario {
            router: ignoring_streams(),
            ..paced("paced, router ignores streams", default())
        },
        Scenario {
            router: ignoring_streams(),
            ..paced("paced, neither", default().turn_ms(0))
        },
        variant("first come, first served", Batch::Greedy),
    ]
}

/// Short online requests that arrive so often that full arrival pauses are rare.
fn frequent() -> Vec<Scenario> {
    let mut scenarios = pacing(240.0, 1.0);
    scenarios.truncate(2);
    for scenario in &mut scenarios {
        scenario.online_output = 10.0;
    }
    scenarios
}

/// Chat turns with shared prefixes and bounded prefix caches, by prefix affinity.
fn prefixes(events: Option<Events>, batch: &Batch) -> Vec<Scenario> {
    let no_events = Events {
        lag_us: 0,
        loss: 1.0,
    };
    [3.0, 0.0, 0.75, 1.5, 6.0]
        .into_iter()
        .map(|affinity| Scenario {
            chats: Some(events.unwrap_or(no_events)),
            router: router::Builder::new()
                .slow_start_ms(0)
                .prefix_affinity(affinity),
            batch: batch.clone(),
            ..Scenario::new(&format!("affinity {affinity}"), 70.0)
        })
        .collect()
}

/// Failure domains with 1.5 ms one-way latency between them, and 6 entry VMs and 12
/// replicas spread over them.
fn domains(online_per_s: f64) -> Vec<Scenario> {
    let variant = |weight: f32, batch: Batch| {
        let kind = if matches!(batch, Batch::None) {
            "alone"
        } else {
            "paced"
        };
        let label = format!("{kind}, weight {weight}");
        Scenario {
            entries: 6,
            distance_us: 1_500,
            domain_weight: weight,
            batch,
            ..Scenario::new(&label, online_per_s)
        }
    };
    let paced = || Batch::Paced(pacer::Builder::new());
    [0.0, 0.05, 0.2, 1.0]
        .into_iter()
        .flat_map(|weight| [variant(weight, Batch::None), variant(weight, paced())])
        .collect()
}

/// Batch items of several prompt and output lengths.
fn items(burst: f64) -> Vec<Scenario> {
    let mut scenarios = vec![Scenario {
        burst,
        ..Scenario::new("online alone", 50.0)
    }];
    for item in [
        (200, 100),
        (20, 100),
        (20, 30),
        (200, 30),
        (20, 10),
        (60, 10),
        (200, 10),
    ] {
        for (kind, batch) in [
            ("paced", Batch::Paced(pacer::Builder::new())),
            ("first come, first served", Batch::Greedy),
        ] {
            let label = format!("{kind}, {} prompt and {} output tokens", item.0, item.1);
            scenarios.push(Scenario {
                burst,
                batch,
                item,
                ..Scenario::new(&label, 50.0)
            });
        }
    }
    scenarios
}

/// Measures the time of a choice among many replicas. Only this table depends on the
/// machine.
fn choice_cost() {
    println!("\nTime of one choice, this machine, one thread\n");
    println!("| replicas | microseconds |\n|---|---|");
    for replicas in [12, 100, 870] {
        let mut router = router::Builder::new().slow_start_ms(0).build();
        for replica in 0..replicas {
            let announcement = backend::Announcement {
                id: id(replica),
                incarnation: 1,
                sequence: 1,
                address: id(replica),
                kind: backend::Kind::Service,
                service: "s".into(),
                failure_domain: "ljub-a".into(),
                state: backend::State::Ready,
                loaded: Vec::new(),
                capacity: CAPACITY as u32,
                fence: 0,
                load: backend::Load::default(),
            };
            router.apply_announcement(&announcement, 0, 0);
        }
        let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(1);
        let request = router::Request::new(router::Target::Service("s"));
        let rounds = 100_000;
        let start = time::Instant::now();
        for _ in 0..rounds {
            if let Ok(choice) = router.choose(&request, 1, &mut random) {
                router.begin(&choice, &request, 1);
                router.end(&choice, router::Sharing::Any, 1);
            }
        }
        let each_us = start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
        println!("| {replicas} | {each_us:.2} |");
    }
}

fn main() {
    let only = env::args().nth(1);
    let is_selected = |name: &str| only.as_deref().is_none_or(|only| only == name);
    if is_selected("routing") {
        table("Routing, 110 requests/s", &routing(false));
        let misreporting = &routing(true)[..6];
        table("Routing, one replica always reports no load", misreporting);
    }
    if is_selected("frozen") {
        table("One replica freezes, 70 requests/s", &frozen());
    }
    if is_selected("pacing") {
        table("Pacing, 50 requests/s", &pacing(50.0, 1.0));
        table(
            "Pacing, 50 requests/s with bursts of 150",
            &pacing(50.0, 3.0),
        );
    }
    if is_selected("frequent") {
        table("Pacing, 240 requests/s with short answers", &frequent());
    }
    if is_selected("domains") {
        for rate in [70.0, 110.0, 130.0] {
            let title = format!("Failure domains 1.5 ms apart, {rate} requests/s");
            table(&title, &domains(rate));
        }
    }
    if is_selected("prefixes") {
        let paced = Batch::Paced(pacer::Builder::new());
        let event = |lag_us, loss| Some(Events { lag_us, loss });
        for (kind, events) in [
            ("events at once", event(0, 0.0)),
            ("events 2 s late", event(2_000_000, 0.0)),
            ("events 2 s late, one in five lost", event(2_000_000, 0.2)),
            ("no events", None),
        ] {
            let title = format!("Chat turns, 70 requests/s, {kind}");
            table(&title, &prefixes(events, &Batch::None));
            table(&format!("{title}, beside batch"), &prefixes(events, &paced));
        }
    }
    if is_selected("items") {
        table("Batch items, 50 requests/s", &items(1.0));
        table("Batch items, 50 requests/s with bursts of 150", &items(3.0));
    }
    if is_selected("costs") {
        for pair in costs().chunks(2) {
            table("Costs of a sequence and of a prompt token", pair);
        }
    }
    if is_selected("cost") {
        choice_cost();
    }
}
