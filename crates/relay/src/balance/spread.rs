//! Spreads requests over backend servers while those of other entry VMs are unknown.
//!
//! All entry VMs see the same loads, which lag by the delay of the exchange. Under
//! high load one slot becomes free every few milliseconds. If each entry VM sent its
//! next request there, ten of them would meet at one backend server and wait longer
//! than a latency objective. So the best positions are considered, as many as requests
//! are placed during the lag, and one of them is drawn at random.

/// A backend server to which a request may be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Requests that it runs concurrently.
    pub(super) slots: u32,
    /// Online requests in flight there, of all entry VMs.
    pub(super) online: u32,
    /// Batch items that run there.
    pub(super) batch: u32,
    /// Most online requests that may be there, running or queued.
    pub(super) limit: u32,
    /// Whether it is in the failure domain of the entry VM.
    pub(super) is_local: bool,
}

/// Returns the ranks of the positions that a candidate has left, each in a slot or in
/// the queue; lower ranks are better. Free slots come first, then slots that batch items
/// give back, then the queue. Within each of these, positions at the backend server with
/// the fewest requests come first.
fn ranks(candidate: &Candidate, max_slots: u32) -> impl Iterator<Item = usize> {
    let Candidate {
        slots,
        online,
        batch,
        limit,
        ..
    } = *candidate;
    let taken = (online + batch).min(slots);
    let free = taken..slots;
    let preemptible = (online.min(slots)..taken).map(move |position| max_slots + position);
    let queued = (online.max(slots)..limit).map(move |position| 2 * max_slots + position - slots);
    let ranks = free.chain(preemptible).chain(queued);
    ranks.map(|rank| rank as usize)
}

/// The positions of all candidates, by rank.
pub(super) struct Spread<'a> {
    candidates: &'a [Candidate],
    max_slots: u32,
    /// The number of positions of each rank.
    positions: Vec<u32>,
}

impl<'a> Spread<'a> {
    pub(super) fn new(candidates: &'a [Candidate]) -> Spread<'a> {
        let max_slots = candidates.iter().map(|candidate| candidate.slots).max();
        let max_slots = max_slots.unwrap_or(0);
        let mut positions = Vec::new();
        for candidate in candidates {
            for rank in ranks(candidate, max_slots) {
                if rank >= positions.len() {
                    positions.resize(rank + 1, 0);
                }
                positions[rank] += 1;
            }
        }
        Spread {
            candidates,
            max_slots,
            positions,
        }
    }

    /// Returns the number of positions of all ranks.
    pub(super) fn total(&self) -> u64 {
        self.positions.iter().map(|count| u64::from(*count)).sum()
    }

    /// Draws one of the `requests` best positions and returns the index of a candidate
    /// that has a position of its rank. Returns `None` if there are fewer positions and
    /// the draw fell beyond them. The first random number selects the rank, the second
    /// one the candidate.
    pub(super) fn draw(&self, requests: u64, random: [u64; 2]) -> Option<usize> {
        let mut position = random[0] % requests.max(1);
        let rank = self.positions.iter().position(|count| {
            let count = u64::from(*count);
            let found = position < count;
            position = position.saturating_sub(count);
            found
        })?;
        let has_rank =
            |candidate: &Candidate| ranks(candidate, self.max_slots).any(|it| it == rank);
        let all: Vec<usize> = (0..self.candidates.len())
            .filter(|index| has_rank(&self.candidates[*index]))
            .collect();
        let is_local = |index: &usize| self.candidates[*index].is_local;
        let local: Vec<usize> = all.iter().copied().filter(is_local).collect();
        // Each failure domain receives its share of the requests. The own one is preferred
        // while its positions of this rank suffice for that share.
        let locals = self.candidates.iter().filter(|it| it.is_local).count() as u64;
        let suffice = local.len() as u64 * self.candidates.len() as u64 >= requests * locals;
        let chosen = match suffice && !local.is_empty() {
            true => local,
            false => all,
        };
        chosen
            .get(random[1] as usize % chosen.len().max(1))
            .copied()
    }
}
