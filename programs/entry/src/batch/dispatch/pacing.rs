//! Input of the pacer, and cancellation of the streams that it preempts.

use std::{collections, sync::atomic};

use bw_policy::{pacer, router};
use bw_wire::{backend, name, peer};

use super::Dispatcher;

impl Dispatcher {
    /// Passes another entry VM's online count to the pacer.
    pub(super) fn handle_peer_message(&mut self, message: peer::Message) {
        let peer::Message::Online {
            entry,
            incarnation,
            sequence,
            backend,
            online,
        } = message
        else {
            return;
        };
        let now_ms = self.now_ms();
        let online = pacer::Online {
            entry,
            incarnation,
            sequence,
            backend,
            online,
        };
        let surplus = self.pacer.set_peer_online(&online, now_ms);
        self.preempt(&surplus);
    }

    /// Passes changed online counts, of this entry VM and of the others, to the pacer.
    pub(super) fn update_online(&mut self, now_ms: u64) {
        if self.owned.is_empty() {
            return;
        }
        let online = self.context.shared.table.online();
        let mut surplus = Vec::new();
        for id in self.owned.keys() {
            let count = online.get(id).copied().unwrap_or(0);
            if self.online.get(id).copied().unwrap_or(0) != count {
                surplus.extend(self.pacer.set_own_online(id, count, now_ms));
            }
        }
        self.online = online;
        let owned = &self.owned;
        let (fleet_ms, fleet) = self.context.shared.table.with(|state, _| {
            let fleet: collections::BTreeMap<name::Name, u32> = owned
                .keys()
                .map(|id| (id.clone(), state.router.fleet_online_on(id).0))
                .collect();
            let any = owned.keys().next();
            (
                any.map_or(0, |id| state.router.fleet_online_on(id).1),
                fleet,
            )
        });
        if fleet_ms != self.fleet_ms {
            self.fleet_ms = fleet_ms;
            surplus.extend(self.pacer.set_fleet_online(&fleet, now_ms));
        }
        self.preempt(&surplus);
    }

    /// Updates the owned backend servers and their snapshots in the pacer.
    pub(super) fn update_pacer(&mut self, now_ms: u64) {
        let shared = &self.context.shared;
        let snapshot = shared.snapshot.load();
        let own = &shared.settings.name;
        let ids: collections::BTreeSet<name::Name> = snapshot
            .owners
            .iter()
            .filter(|(_, owner)| *owner == own)
            .map(|(id, _)| id.clone())
            .collect();
        let live = snapshot.peers.iter().map(|peer| peer.entry.clone());
        self.pacer.retain_peers(&live.collect(), now_ms);
        let mut snapshots = Vec::new();
        self.owned = shared.table.with(|state, now_ms| {
            let router = &mut state.router;
            router.set_home(&ids);
            let mut owned = collections::BTreeMap::new();
            for id in &ids {
                let Some(announcement) = router.announcement(id) else {
                    continue;
                };
                if announcement.kind == backend::Kind::Engine {
                    snapshots.push(snapshot_of(router, announcement, now_ms));
                    owned.insert(id.clone(), announcement.clone());
                }
            }
            owned
        });
        let usable = snapshots.iter().filter(|snapshot| snapshot.usable);
        self.usable = usable.map(|snapshot| snapshot.id.clone()).collect();
        for snapshot in &snapshots {
            self.pacer.update(snapshot, now_ms);
        }
        let kept = self.owned.keys().cloned().collect();
        let orphans = self.pacer.retain(&kept);
        self.preempt(&orphans);
        let tokens: Vec<(name::Name, u64, u32)> = self
            .running
            .iter()
            .map(|(&stream, running)| {
                let generated = running.tokens.load(atomic::Ordering::Relaxed);
                let tokens = running.prompt_tokens + generated;
                (running.backend.clone(), stream, tokens)
            })
            .collect();
        for (backend, stream, tokens) in tokens {
            self.pacer.progressed(&backend, stream, tokens);
        }
        let surplus = self.pacer.surplus(now_ms);
        self.preempt(&surplus);
    }

    /// Cancels streams. Their items are requeued with the text generated so far.
    fn preempt(&mut self, streams: &[u64]) {
        for stream in streams {
            if let Some(running) = self.running.get(stream) {
                running.cancel.cancel();
            }
        }
    }
}

fn snapshot_of(
    router: &router::Router,
    announcement: &backend::Announcement,
    now_ms: u64,
) -> pacer::Snapshot {
    let id = &announcement.id;
    let heard_ms = router.heard_ms(id).unwrap_or(0);
    pacer::Snapshot {
        id: id.clone(),
        incarnation: announcement.incarnation,
        capacity: announcement.capacity,
        usable: router.is_usable(id, now_ms),
        load: announcement.load,
        load_age_ms: now_ms.saturating_sub(heard_ms),
    }
}
