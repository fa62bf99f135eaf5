//! The comparison of replicas for one request.

use bw_wire::{backend, fingerprint, name, refusal};
use rand::Rng;

use super::{Router, replica::Replica};

/// Draws per wanted sample before all replicas are looked at.
const DRAWS_PER_SAMPLE: usize = 4;

/// Home replicas that are compared beside the drawn ones.
const HOMES: usize = 4;

/// What a request is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target<'a> {
    /// A model, and an adapter that has to be loaded with it.
    Model {
        /// The model.
        model: &'a str,
        /// The adapter, if one is wanted.
        adapter: Option<&'a str>,
    },
    /// A plain service.
    Service(&'a str),
}

/// How far a request shares a replica with others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Sharing {
    /// It shares a replica with any other request.
    #[default]
    Any,
    /// A suspect with one strike: it shares a replica with no other suspect.
    Dispersed,
    /// A suspect with two strikes: it runs on a replica without other work.
    Isolated,
}

/// A request that needs a replica.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// What it is for.
    pub target: Target<'a>,
    /// Cumulative fingerprints of its prompt's blocks, from the first block on.
    pub prefix: &'a [fingerprint::Fingerprint],
    /// Replicas that already failed this request. They are used only if no
    /// other is left.
    pub avoid: &'a [name::Name],
    /// Whether it may share a replica.
    pub sharing: Sharing,
}

impl<'a> Request<'a> {
    /// Creates a request without prefix that may run anywhere.
    pub fn new(target: Target<'a>) -> Request<'a> {
        Request {
            target,
            prefix: &[],
            avoid: &[],
            sharing: Sharing::Any,
        }
    }
}

/// The replica that is to run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The backend server.
    pub id: name::Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// `IP:port` of its HTTP API.
    pub address: name::Name,
    /// Leading prefix blocks that it likely has cached.
    pub cached_blocks: usize,
}

/// Why no replica can be used.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Unavailable {
    /// No replica of the target is known.
    Unknown,
    /// Those that have the model lack the adapter.
    AdapterMissing,
    /// All are leaving.
    Leaving,
    /// All are drained by operators.
    Drained,
    /// All are loading weights.
    Loading,
    /// The last proof of not leaving is too old.
    ProofTooOld,
    /// All are ejected as unhealthy.
    Ejected,
    /// All usable ones run another suspect or other work.
    NoneFree,
    /// All are reserved for isolated runs.
    Reserved,
}

impl Unavailable {
    /// Returns the refusal of the request, which was sent to no replica.
    pub fn refusal(self) -> refusal::Refusal {
        let message = match self {
            Unavailable::Unknown => "no backend server serves this",
            Unavailable::AdapterMissing => "no backend server has the adapter loaded",
            Unavailable::Leaving => "all backend servers are leaving",
            Unavailable::Drained => "all backend servers are drained",
            Unavailable::Loading => "all backend servers are loading",
            Unavailable::ProofTooOld => "no backend server renewed in time",
            Unavailable::Ejected => "all backend servers are ejected as unhealthy",
            Unavailable::NoneFree => "no backend server is free for an isolated run",
            Unavailable::Reserved => "all backend servers are reserved",
        };
        refusal::Refusal::not_run(refusal::Reason::NoBackend, message)
    }
}

struct Scored {
    slot: usize,
    score: f32,
    cached_blocks: usize,
}

pub(super) fn choose<R: Rng>(
    router: &Router,
    request: &Request<'_>,
    now_ms: u64,
    random: &mut R,
) -> Result<Choice, Unavailable> {
    let slots = router.all.get(request.target);
    let mut candidates = draw(router, request, slots, now_ms, random)?;
    add_homes(router, request, &mut candidates, now_ms, random);
    add_holders(router, request, &mut candidates, now_ms);
    let scored: Vec<Scored> = candidates
        .into_iter()
        .map(|slot| score(router, request, slot, now_ms))
        .collect();
    let best = scored
        .iter()
        .map(|scored| scored.score)
        .fold(f32::INFINITY, f32::min);
    let near: Vec<&Scored> = scored
        .iter()
        .filter(|scored| scored.score <= best + router.settings.tie_margin)
        .collect();
    let Some(chosen) = near.get(random.random_range(0..near.len().max(1))) else {
        return Err(Unavailable::Unknown);
    };
    let announcement = &router.replicas[chosen.slot].announcement;
    Ok(Choice {
        id: announcement.id.clone(),
        incarnation: announcement.incarnation,
        address: announcement.address.clone(),
        cached_blocks: chosen.cached_blocks,
    })
}

/// Draws usable replicas at random. An isolated run looks at all of them.
fn draw<R: Rng>(
    router: &Router,
    request: &Request<'_>,
    slots: &[usize],
    now_ms: u64,
    random: &mut R,
) -> Result<Vec<usize>, Unavailable> {
    let wanted = router.settings.sample_size.min(slots.len());
    let mut drawn = Vec::with_capacity(wanted + 2);
    if request.sharing == Sharing::Any && !slots.is_empty() {
        for _ in 0..wanted * DRAWS_PER_SAMPLE {
            let slot = slots[random.random_range(0..slots.len())];
            if !drawn.contains(&slot) && obstacle(router, request, slot, now_ms).is_none() {
                drawn.push(slot);
            }
            if drawn.len() == wanted {
                return Ok(drawn);
            }
        }
    }
    scan(router, request, slots, wanted, now_ms, random)
}

/// Looks at all replicas and draws from those that are usable. Replicas to
/// avoid are used if there are no others.
fn scan<R: Rng>(
    router: &Router,
    request: &Request<'_>,
    slots: &[usize],
    wanted: usize,
    now_ms: u64,
    random: &mut R,
) -> Result<Vec<usize>, Unavailable> {
    let mut usable = Vec::new();
    let mut avoided = Vec::new();
    let mut reason = Unavailable::Unknown;
    for &slot in slots {
        match obstacle(router, request, slot, now_ms) {
            None => usable.push(slot),
            Some(Obstacle::Avoided) => avoided.push(slot),
            Some(Obstacle::Unavailable(other)) => reason = reason.max(other),
        }
    }
    if usable.is_empty() {
        usable = avoided;
    }
    if usable.is_empty() {
        return Err(reason);
    }
    while usable.len() > wanted && request.sharing != Sharing::Isolated {
        usable.swap_remove(random.random_range(0..usable.len()));
    }
    Ok(usable)
}

fn add_homes<R: Rng>(
    router: &Router,
    request: &Request<'_>,
    candidates: &mut Vec<usize>,
    now_ms: u64,
    random: &mut R,
) {
    let homes = router.homes.get(request.target);
    if homes.is_empty()
        || router.settings.home_affinity == 0.0
        || request.sharing == Sharing::Isolated
    {
        return;
    }
    let start = random.random_range(0..homes.len());
    let turned = homes[start..].iter().chain(&homes[..start]);
    for &slot in turned.take(HOMES) {
        if !candidates.contains(&slot) && obstacle(router, request, slot, now_ms).is_none() {
            candidates.push(slot);
        }
    }
}

fn add_holders(router: &Router, request: &Request<'_>, candidates: &mut Vec<usize>, now_ms: u64) {
    if router.settings.prefix_affinity == 0.0 || request.sharing == Sharing::Isolated {
        return;
    }
    for slot in router.cache.holders(request.prefix) {
        let slot = slot as usize;
        let is_known = router.replicas.get(slot).is_some_and(|replica| {
            router.slots.get(&replica.announcement.id) == Some(&slot)
                && serves(replica, request.target)
        });
        if is_known
            && !candidates.contains(&slot)
            && obstacle(router, request, slot, now_ms).is_none()
        {
            candidates.push(slot);
        }
    }
}

fn serves(replica: &Replica, target: Target<'_>) -> bool {
    match target {
        Target::Model { model, .. } => replica
            .announcement
            .loaded
            .iter()
            .any(|loaded| loaded.model.as_str() == model),
        Target::Service(service) => {
            replica.announcement.kind == backend::Kind::Service
                && replica.announcement.service.as_str() == service
        }
    }
}

enum Obstacle {
    Avoided,
    Unavailable(Unavailable),
}

fn obstacle(router: &Router, request: &Request<'_>, slot: usize, now_ms: u64) -> Option<Obstacle> {
    let replica = &router.replicas[slot];
    if let Some(reason) = replica.obstacle(&router.settings, now_ms) {
        return Some(Obstacle::Unavailable(reason));
    }
    if lacks_adapter(replica, request.target) {
        return Some(Obstacle::Unavailable(Unavailable::AdapterMissing));
    }
    let free = match request.sharing {
        Sharing::Any => true,
        Sharing::Dispersed => replica.suspects == 0,
        Sharing::Isolated => replica.online == 0,
    };
    if !free {
        return Some(Obstacle::Unavailable(Unavailable::NoneFree));
    }
    request
        .avoid
        .contains(&replica.announcement.id)
        .then_some(Obstacle::Avoided)
}

fn lacks_adapter(replica: &Replica, target: Target<'_>) -> bool {
    let Target::Model {
        model,
        adapter: Some(adapter),
    } = target
    else {
        return false;
    };
    !replica.announcement.loaded.iter().any(|loaded| {
        loaded.model.as_str() == model
            && loaded
                .adapters
                .iter()
                .any(|known| known.as_str() == adapter)
    })
}

fn score(router: &Router, request: &Request<'_>, slot: usize, now_ms: u64) -> Scored {
    let settings = &router.settings;
    let replica = &router.replicas[slot];
    let holder = replica.holder(slot);
    let cached_blocks = router.cache.match_length(request.prefix, holder);
    let load = replica.load(settings, now_ms);
    let recent = settings.recent_weight * replica.recent(settings, now_ms);
    let mut bonus = 0.0;
    if let Some(last) = cached_blocks.checked_sub(1) {
        let share = cached_blocks as f32 / request.prefix.len() as f32;
        let confidence = router.cache.confidence(&request.prefix[last], holder);
        bonus += settings.prefix_affinity * share * confidence;
    }
    if router.home.contains(&replica.announcement.id) {
        bonus += settings.home_affinity;
    }
    // The fuller a replica, the less its cache and its being home count; at its
    // capacity they count nothing.
    let free = (1.0 - load).max(0.0);
    let mut score = load + recent - bonus * free;
    let is_remote = settings
        .domain
        .as_ref()
        .is_some_and(|domain| *domain != replica.announcement.failure_domain);
    if is_remote {
        score += settings.domain_weight;
    }
    Scored {
        slot,
        score,
        cached_blocks,
    }
}
