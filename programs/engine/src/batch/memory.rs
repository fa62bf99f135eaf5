//! KV memory in blocks, with a prefix cache.
//!
//! Each block is either private to a sequence or a cached prefix block. Cached
//! blocks are shared by the sequences that use them; those that no sequence uses
//! stay until their memory is needed and are evicted least recently used first.

use std::collections;

use bw_wire::fingerprint;

/// The KV memory of one engine.
#[derive(Debug)]
pub struct Memory {
    blocks: u32,
    private: u32,
    cached: collections::HashMap<fingerprint::Fingerprint, Cached>,
    /// Cached blocks that no sequence uses, by the order of their last use.
    idle: collections::BTreeMap<u64, fingerprint::Fingerprint>,
    uses: u64,
}

#[derive(Debug)]
struct Cached {
    users: u32,
    last_use: u64,
}

/// Blocks that one sequence holds. They must be given back with
/// [`Memory::release`].
#[derive(Debug)]
pub struct Held {
    shared: Vec<fingerprint::Fingerprint>,
    /// Leading blocks of the prompt that were already looked at for caching.
    seen: usize,
    private: u32,
}

impl Held {
    /// Returns the number of cached blocks that the sequence uses.
    pub fn shared(&self) -> u32 {
        u32::try_from(self.shared.len()).unwrap_or(u32::MAX)
    }
}

impl Memory {
    /// Creates empty memory of a number of blocks.
    pub fn new(blocks: u32) -> Memory {
        Memory {
            blocks,
            private: 0,
            cached: collections::HashMap::new(),
            idle: collections::BTreeMap::new(),
            uses: 0,
        }
    }

    /// Returns the blocks that sequences hold; idle cached blocks do not count.
    pub fn held(&self) -> u32 {
        self.private + len(self.cached.len() - self.idle.len())
    }

    /// Takes `needed` blocks for a sequence, of which the longest cached prefix
    /// of `prefix` is shared. Evicts idle blocks as far as necessary.
    ///
    /// Returns `None`, and changes nothing, when there is not enough memory.
    pub fn reserve(
        &mut self,
        prefix: &[fingerprint::Fingerprint],
        needed: u32,
        removed: &mut dyn FnMut(fingerprint::Fingerprint),
    ) -> Option<Held> {
        let shared: Vec<_> = prefix
            .iter()
            .copied()
            .take_while(|block| self.cached.contains_key(block))
            .collect();
        let private = needed.saturating_sub(len(shared.len()));
        let idle_shared = shared.iter().filter(|block| self.is_idle(block)).count();
        let evictable = len(self.idle.len() - idle_shared);
        if self.free() + evictable < private {
            return None;
        }
        for block in &shared {
            self.use_block(*block);
        }
        while self.free() < private {
            let (_, block) = self.idle.pop_first()?;
            self.cached.remove(&block);
            removed(block);
        }
        self.private += private;
        Some(Held {
            seen: shared.len(),
            shared,
            private,
        })
    }

    /// Moves computed prompt blocks of a sequence from private memory to the cache.
    ///
    /// A block that another sequence stored first stays private, as engines do
    /// not merge blocks afterwards.
    pub fn store(
        &mut self,
        held: &mut Held,
        computed: &[fingerprint::Fingerprint],
        stored: &mut dyn FnMut(fingerprint::Fingerprint),
    ) {
        for block in computed.iter().skip(held.seen) {
            held.seen += 1;
            if held.private == 0 || self.cached.contains_key(block) {
                continue;
            }
            held.private -= 1;
            self.private -= 1;
            self.cached.insert(
                *block,
                Cached {
                    users: 1,
                    last_use: 0,
                },
            );
            held.shared.push(*block);
            stored(*block);
        }
    }

    /// Takes back the blocks of a sequence. Cached ones stay in the cache.
    pub fn release(&mut self, held: Held) {
        self.private -= held.private;
        // The end of a prefix is of no use without its start, so it counts as
        // used before the start and is evicted first.
        for block in held.shared.iter().rev() {
            self.uses += 1;
            let last_use = self.uses;
            if let Some(cached) = self.cached.get_mut(block) {
                cached.users -= 1;
                cached.last_use = last_use;
                if cached.users == 0 {
                    self.idle.insert(last_use, *block);
                }
            }
        }
    }

    fn free(&self) -> u32 {
        self.blocks - self.private - len(self.cached.len())
    }

    fn is_idle(&self, block: &fingerprint::Fingerprint) -> bool {
        self.cached
            .get(block)
            .is_some_and(|cached| cached.users == 0)
    }

    fn use_block(&mut self, block: fingerprint::Fingerprint) {
        if let Some(cached) = self.cached.get_mut(&block) {
            if cached.users == 0 {
                self.idle.remove(&cached.last_use);
            }
            cached.users += 1;
        }
    }
}

fn len(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
