//! Recovery of a host from its disk or from backups.

use std::collections::BTreeMap;

use crate::{
    GroupId, ReplicaId,
    host::{Host, Machine, Options, Stats, Types, backup, group},
    member::{self, Member},
    message::SnapshotMeta,
    node, payload,
    snapshot::{self, Stored, Writer},
    storage::{Disk, Error},
    wal,
};

/// Opens a host from the state on its disk, or from backups if the disk is empty or an
/// earlier restore was interrupted.
pub(super) fn open<T: Types>(
    replica: ReplicaId,
    members: Vec<Member>,
    machines: BTreeMap<GroupId, T::Machine>,
    mut backups: BTreeMap<GroupId, backup::Source>,
    options: Options,
    mut disk: T::Disk,
) -> Result<Host<T>, Error> {
    let restores = !backups.is_empty();
    match restores {
        true => backup::begin(&mut disk)?,
        // Groups that were not restored yet would start empty.
        false => backup::check_finished(&mut disk)?,
    }
    let mut snapshots = latest_snapshots(&mut disk)?;
    let (mut wal, mut replays) = wal::Wal::open(&mut disk, replica, options.segment_bytes)?;
    check_groups_known(&machines, snapshots.keys().chain(replays.keys()))?;
    check_groups_known(&machines, backups.keys())?;
    let list = member::List::new(members);
    let mut groups = BTreeMap::new();
    for (id, machine) in machines {
        let replay = replays.remove(&id);
        let (stored, replay) = match backups.remove(&id) {
            Some(mut source) => {
                let segment_bytes = options.payload_segment_bytes;
                let stored = backup::restore(&mut disk, id, &list, segment_bytes, &mut source)?;
                let replay = wal::Replay::new(stored.meta.term);
                wal.push(id, &replay.vote_record());
                (stored, replay)
            }
            None => {
                let stored = match snapshots.remove(&id) {
                    Some(stored) => stored,
                    None if replay.is_none() => initial_snapshot(&mut disk, id, &list)?,
                    None => return Err(incomplete(id, "the snapshot is missing")),
                };
                if replay.is_none() {
                    if stored.meta.index > 0 {
                        return Err(Error::corrupt(&stored.name, 0, "the log is missing"));
                    }
                    wal.push(id, &wal::Replay::default().vote_record());
                }
                (stored, replay.unwrap_or_default())
            }
        };
        let durable = finish_log(&mut wal, id, &stored.meta, replay)?;
        let group = recover(&mut disk, replica, id, options, machine, stored, durable)?;
        groups.insert(id, group);
    }
    if wal.opens_segment() {
        for (id, group) in &groups {
            wal.push(*id, &group.node.vote_record());
        }
    }
    if wal.has_pending() {
        wal.commit(&mut disk)?;
    }
    if restores {
        backup::finish(&mut disk)?;
    }
    Ok(Host {
        replica,
        options,
        disk,
        wal,
        groups,
        now_ms: 0,
        sync_began_ms: 0,
        stopped: false,
        read_error: None,
        next_maintenance_ms: 0,
        last_maintained: None,
        stats: Stats::default(),
    })
}

/// Returns an error about the records of a group, which are not in a single file.
fn incomplete(group: GroupId, reason: &'static str) -> Error {
    Error::corrupt(&format!("write-ahead log of group {group}"), 0, reason)
}

fn check_groups_known<'a, M>(
    machines: &BTreeMap<GroupId, M>,
    mut found: impl Iterator<Item = &'a GroupId>,
) -> Result<(), Error> {
    match found.find(|group| !machines.contains_key(group)) {
        Some(group) => Err(Error::UnknownGroup { group: *group }),
        None => Ok(()),
    }
}

/// Returns the latest snapshot of each group and removes the older ones.
fn latest_snapshots<D: Disk>(disk: &mut D) -> Result<BTreeMap<GroupId, Stored>, Error> {
    let mut latest: BTreeMap<GroupId, Stored> = BTreeMap::new();
    for (group, stored) in snapshot::list(disk)? {
        if let Some(earlier) = latest.insert(group, stored) {
            disk.remove(&earlier.name)?;
        }
    }
    Ok(latest)
}

/// Stores the initial members of a group as a snapshot of the empty log.
fn initial_snapshot<D: Disk>(
    disk: &mut D,
    group: GroupId,
    list: &member::List,
) -> Result<Stored, Error> {
    let meta = SnapshotMeta {
        index: 0,
        term: 0,
        members: list.clone(),
        size: 0,
        crc: crc32fast::hash(&[]),
        state_size: 0,
        payload_bytes: 0,
    };
    Writer::new(group, meta, &[]).complete(disk)
}

/// Returns the durable state of a group. If a snapshot from another replica was stored
/// and a crash came before the log was reset to it, adds the missing records.
fn finish_log(
    wal: &mut wal::Wal,
    id: GroupId,
    snapshot: &SnapshotMeta,
    replay: wal::Replay,
) -> Result<node::Durable, Error> {
    // The term of the snapshot may have been lost with the reset.
    let term = replay.term.max(snapshot.term);
    let vote = replay.vote.filter(|_| term == replay.term);
    let tail = replay
        .after(snapshot.index, snapshot.term)
        .ok_or_else(|| incomplete(id, "entries are missing"))?;
    if tail.reset_missing {
        log::warn!(
            "group {id}: the log was not reset to the stored snapshot of entry {} in term {}, \
             resetting it with {} later entries",
            snapshot.index,
            snapshot.term,
            tail.entries.len()
        );
        wal.push_reset(id, snapshot, &tail.entries);
    }
    Ok(node::Durable {
        term,
        vote,
        snapshot: snapshot.clone(),
        entries: tail.entries,
    })
}

fn recover<D: Disk, M: Machine>(
    disk: &mut D,
    replica: ReplicaId,
    id: GroupId,
    options: Options,
    mut machine: M,
    stored: Stored,
    durable: node::Durable,
) -> Result<group::Group<M>, Error> {
    let data = stored.read_all(disk)?;
    let (state, list) = data
        .split_at_checked(stored.meta.state_size as usize)
        .ok_or_else(|| Error::corrupt(&stored.name, 0, "short snapshot"))?;
    let payloads = payload::Store::open(id, options.payload_segment_bytes, list, disk)?;
    if stored.meta.index > 0 {
        machine
            .restore(state)
            .map_err(|source| Error::Restore { group: id, source })?;
    }
    let node = node::Node::new(replica, id, options, durable);
    Ok(group::Group::new(id, node, machine, payloads, stored))
}
