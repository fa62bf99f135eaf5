//! Scoring and choice of the replica for one request.

use bw_wire::{backend, fingerprint, name, refusal};
use rand::Rng;

use super::{Router, replica::Replica};

/// Random draws per wanted candidate, after which all replicas are scanned.
const DRAWS_PER_SAMPLE: usize = 4;

/// Maximum number of home replicas, see [`Router::set_home`], that are compared in
/// addition to the random sample.
const MAX_HOMES: usize = 4;

/// What a request is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target<'a> {
    /// A model, and an adapter that has to be loaded with it.
    Model {
        /// The name of the model that the replica must have loaded.
        model: &'a str,
        /// The name of the adapter; `None` if the request needs none.
        adapter: Option<&'a str>,
    },
    /// The name of a plain service: one that is not a model engine.
    Service(&'a str),
}

/// Which other requests a request may share a replica with.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Sharing {
    /// Any other request, for a request that is no suspect.
    #[default]
    Any,
    /// Any but other suspects, for a suspect with one strike.
    Dispersed,
    /// None, for a suspect with two strikes: it runs on a replica without other
    /// online requests.
    Isolated,
}

/// A request that needs a replica.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The model or service it is for.
    pub target: Target<'a>,
    /// Fingerprints of its prompt's blocks, each of which covers the prompt up to the
    /// end of the block.
    pub prefix: &'a [fingerprint::Fingerprint],
    /// Replicas that already failed this request. They are used only if no other is
    /// usable.
    pub avoid: &'a [name::Name],
    /// Which other requests it may share a replica with.
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
    /// The id of the backend server to send the request to.
    pub id: name::Name,
    /// Its incarnation when it was chosen. If it has restarted since, the request is
    /// not counted there.
    pub incarnation: u64,
    /// `IP:port` of its HTTP API.
    pub address: name::Name,
    /// Number of leading prefix blocks that it likely has cached.
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
    /// The replicas with the model loaded lack the adapter.
    AdapterMissing,
    /// All are leaving.
    Leaving,
    /// All are drained by operators.
    Drained,
    /// All are loading models.
    Loading,
    /// The last proof that they are not leaving is too old.
    ProofTooOld,
    /// All are ejected as unhealthy.
    Ejected,
    /// All usable ones run another suspect or, for an isolated run, other work.
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
    let slots = router.full_index.get(request.target);
    let mut candidates = sample(router, request, slots, now_ms, random)?;
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
    let tied: Vec<&Scored> = scored
        .iter()
        .filter(|scored| scored.score <= best + router.settings.tie_margin)
        .collect();
    let Some(chosen) = tied.get(random.random_range(0..tied.len().max(1))) else {
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

/// Samples usable replicas at random. An isolated run considers all of them.
fn sample<R: Rng>(
    router: &Router,
    request: &Request<'_>,
    slots: &[usize],
    now_ms: u64,
    random: &mut R,
) -> Result<Vec<usize>, Unavailable> {
    let sample_size = router.settings.sample_size.min(slots.len());
    let mut sampled = Vec::with_capacity(sample_size + 2);
    if request.sharing == Sharing::Any && !slots.is_empty() {
        for _ in 0..sample_size * DRAWS_PER_SAMPLE {
            let slot = slots[random.random_range(0..slots.len())];
            if !sampled.contains(&slot) && exclusion(router, request, slot, now_ms).is_none() {
                sampled.push(slot);
            }
            if sampled.len() == sample_size {
                return Ok(sampled);
            }
        }
    }
    scan(router, request, slots, sample_size, now_ms, random)
}

/// Scans all replicas and samples from those that are usable. Replicas to avoid are
/// used if there are no others.
fn scan<R: Rng>(
    router: &Router,
    request: &Request<'_>,
    slots: &[usize],
    sample_size: usize,
    now_ms: u64,
    random: &mut R,
) -> Result<Vec<usize>, Unavailable> {
    let mut usable = Vec::new();
    let mut avoided = Vec::new();
    let mut reason = Unavailable::Unknown;
    for &slot in slots {
        match exclusion(router, request, slot, now_ms) {
            None => usable.push(slot),
            Some(Exclusion::Avoided) => avoided.push(slot),
            Some(Exclusion::Unavailable(other)) => reason = reason.max(other),
        }
    }
    if usable.is_empty() {
        usable = avoided;
    }
    if usable.is_empty() {
        return Err(reason);
    }
    while usable.len() > sample_size && request.sharing != Sharing::Isolated {
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
    let homes = router.home_index.get(request.target);
    if homes.is_empty()
        || router.settings.home_affinity == 0.0
        || request.sharing == Sharing::Isolated
    {
        return;
    }
    let start = random.random_range(0..homes.len());
    let rotated = homes[start..].iter().chain(&homes[..start]);
    for &slot in rotated.take(MAX_HOMES) {
        if !candidates.contains(&slot) && exclusion(router, request, slot, now_ms).is_none() {
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
        let is_serving = router.replicas.get(slot).is_some_and(|replica| {
            router.slots.get(&replica.announcement.id) == Some(&slot)
                && serves(replica, request.target)
        });
        if is_serving
            && !candidates.contains(&slot)
            && exclusion(router, request, slot, now_ms).is_none()
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

enum Exclusion {
    Avoided,
    Unavailable(Unavailable),
}

fn exclusion(
    router: &Router,
    request: &Request<'_>,
    slot: usize,
    now_ms: u64,
) -> Option<Exclusion> {
    let replica = &router.replicas[slot];
    if let Some(reason) = replica.unavailable_reason(&router.settings, now_ms) {
        return Some(Exclusion::Unavailable(reason));
    }
    if lacks_adapter(replica, request.target) {
        return Some(Exclusion::Unavailable(Unavailable::AdapterMissing));
    }
    let free = match request.sharing {
        Sharing::Any => true,
        Sharing::Dispersed => replica.suspects == 0,
        Sharing::Isolated => replica.online == 0,
    };
    if !free {
        return Some(Exclusion::Unavailable(Unavailable::NoneFree));
    }
    request
        .avoid
        .contains(&replica.announcement.id)
        .then_some(Exclusion::Avoided)
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
    let recent = settings.recent_weight * replica.recent_load(settings, now_ms);
    let mut bonus = 0.0;
    if let Some(last) = cached_blocks.checked_sub(1) {
        let share = cached_blocks as f32 / request.prefix.len() as f32;
        let confidence = router.cache.confidence(&request.prefix[last], holder);
        bonus += settings.prefix_affinity * share * confidence;
    }
    if router.home_ids.contains(&replica.announcement.id) {
        bonus += settings.home_affinity;
    }
    // The bonus for a cached prefix and for a home replica shrinks with the load and
    // is 0 at full capacity.
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
