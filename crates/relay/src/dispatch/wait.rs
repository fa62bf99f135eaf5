//! Why items wait.

use std::collections::{BTreeMap, BinaryHeap};

use bw_wire::name::Name;

use super::{Dispatcher, Item, Job, Key, Server, State};
use crate::{route, suspect};

/// Why an item does not run now.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// A new leader does not know yet what the backend servers run.
    NewLeader,
    /// A part of its prompt is in crashes of backend servers and is refused.
    RefusedPart,
    /// Its last run broke off, failed or did not begin a short time ago.
    Pause,
    /// Its runs broke off without an event, and it waits for a trial.
    Trial,
    /// No backend server runs its service.
    NoBackend,
    /// No backend server of its service has a free slot.
    NoSlot,
    /// Backend servers with free slots take no items for a moment, as a run was preempted
    /// or failed there.
    BackendPause,
    /// It starts in one of the next steps, after items that are more urgent.
    Turn,
}

/// An item that waits, and why.
#[derive(Clone, Debug)]
pub struct Wait {
    /// The job of the item and its index in the job.
    pub key: Key,
    /// The id of the item, which is its request id.
    pub id: Name,
    /// Unix time since which it waits: the end of its last run or its acceptance.
    pub since_ms: u64,
    /// Why it does not run now.
    pub reason: Reason,
    /// Unix time at which the reason ends or is looked at again, if that is known.
    pub until_ms: Option<u64>,
    /// The part that is refused.
    pub part: Option<suspect::Fingerprint>,
    /// Runs in a row that broke off without an event. From some of them on the item itself
    /// is suspected of crashing backend servers.
    pub breaks: u32,
}

/// The slots that items of one service can use.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    backends: usize,
    /// Free slots where items may start.
    open: u32,
    /// Free slots of backend servers that take no items for a moment.
    paused: u32,
}

/// The items that wait for one reason.
#[derive(Clone, Copy, Debug, Default)]
pub struct Group {
    /// The number of items.
    pub items: usize,
    /// Unix time since which the first of them waits.
    pub since_ms: u64,
}

/// The items that wait, and the room for them.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// The number of items that wait.
    pub items: usize,
    /// The items by the reason why they wait.
    pub groups: BTreeMap<Reason, Group>,
    /// Those that have waited for longest, at most as many as were asked for.
    pub longest: Vec<Wait>,
    /// Free slots, wherever they are.
    pub free_slots: u32,
}

impl Dispatcher {
    /// Returns the items that wait now by their reasons, with at most `longest_max` of
    /// those that have waited for longest.
    pub fn queue(
        &self,
        servers: &[Server],
        routes: &route::Table,
        longest_max: usize,
        now_ms: u64,
    ) -> Queue {
        let mut queue = Queue::default();
        for server in servers {
            queue.free_slots += self.free_slots(server);
        }
        let mut longest = BinaryHeap::new();
        for (_, id) in &self.order {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            // All items of a job have the same route, and mostly the same path.
            let room = self.room(job, servers, routes);
            for (index, item) in &job.items {
                if !matches!(item.state, State::Waiting) {
                    continue;
                }
                let (reason, _) = self.wait_reason(item, room, now_ms);
                let since_ms = item.waiting.since_ms;
                let group = queue
                    .groups
                    .entry(reason)
                    .or_insert(Group { items: 0, since_ms });
                group.items += 1;
                group.since_ms = group.since_ms.min(since_ms);
                queue.items += 1;
                longest.push((since_ms, id, *index));
                if longest.len() > longest_max {
                    longest.pop();
                }
            }
        }
        let longest = longest.into_sorted_vec().into_iter();
        let waits = longest.filter_map(|(_, id, index)| {
            let job = self.jobs.get(id)?;
            let item = job.items.get(&index)?;
            let room = self.room(job, servers, routes);
            let (reason, until_ms) = self.wait_reason(item, room, now_ms);
            Some(Wait {
                key: Key {
                    job: id.clone(),
                    item: index,
                },
                id: item.id.clone(),
                since_ms: item.waiting.since_ms,
                reason,
                until_ms,
                part: self.holds.get(&item.request).map(|hold| hold.part),
                breaks: item.waiting.breaks,
            })
        });
        queue.longest = waits.collect();
        queue
    }

    fn wait_reason(&self, item: &Item, room: Room, now_ms: u64) -> (Reason, Option<u64>) {
        if now_ms < self.no_starts_before_ms {
            return (Reason::NewLeader, Some(self.no_starts_before_ms));
        }
        if let Some(hold) = self.holds.get(&item.request) {
            return (Reason::RefusedPart, Some(hold.until_ms));
        }
        let waiting = &item.waiting;
        if now_ms < waiting.not_before_ms {
            return (Reason::Pause, Some(waiting.not_before_ms));
        }
        let reason = match room {
            Room { backends: 0, .. } => Reason::NoBackend,
            Room {
                open: 0, paused: 0, ..
            } => Reason::NoSlot,
            Room { open: 0, .. } => Reason::BackendPause,
            _ if self.has_suspect_breaks(waiting.breaks) => Reason::Trial,
            _ => Reason::Turn,
        };
        (reason, None)
    }

    fn room(&self, job: &Job, servers: &[Server], routes: &route::Table) -> Room {
        let mut room = Room::default();
        let Some(route) = routes.get(&job.route) else {
            return room;
        };
        for server in servers
            .iter()
            .filter(|server| route.allows(&server.service))
        {
            room.backends += 1;
            match self.paused.contains_key(&server.id) {
                true => room.paused += self.free_slots(server),
                false => room.open += self.free_slots(server),
            }
        }
        room
    }

    /// Returns the slots of a backend server that neither online requests nor items use.
    pub(super) fn free_slots(&self, server: &Server) -> u32 {
        let used = server.online + self.options.reserve + self.running(&server.id);
        server.slots.saturating_sub(used)
    }
}
