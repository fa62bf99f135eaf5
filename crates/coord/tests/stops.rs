//! Replicas that stop after each single write, sync, rename and removal of an
//! operation, by the end of the process or by a loss of power.
//!
//! Each of them starts again, acknowledges more, and stops and starts once more. What
//! was acknowledged must then still be there, although it relies on this replica.

mod common;

use bw_coord::{
    ReplicaId, host, member, node,
    storage::{Disk, Loss, Memory},
};
use common::{Cluster, ELECTION_TIMEOUT_MS, FIRST, GROUPS, Journal, Options};
use rstest::rstest;

/// How the disk of the replica that stops ends its syncs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Syncs {
    /// Within the step that starts them.
    Immediate,
    /// In a later step.
    Slow,
}

impl Syncs {
    /// Runs a cluster in which one replica has such a disk.
    fn run(self, cluster: &mut Cluster, replica: u64, duration_ms: u64) {
        if self == Syncs::Immediate {
            return cluster.run(duration_ms);
        }
        for _ in 0..duration_ms {
            cluster.hold_syncs(replica, true);
            cluster.run(1);
            cluster.replicas[&replica].disk.finish_sync();
        }
        cluster.hold_syncs(replica, false);
    }
}

/// Stops a replica after each number of changes of its disk in an operation, until the
/// operation needs no more of them. Returns how often it stopped.
fn stop_at_each_change(
    options: &Options,
    loss: Loss,
    prepare: impl Fn(&mut Cluster) -> u64,
    operation: impl Fn(&mut Cluster, u64),
) -> u64 {
    for changes in 0.. {
        println!("stop after {changes} changes");
        let mut cluster = Cluster::new(options.clone());
        let replica = prepare(&mut cluster);
        cluster.replicas[&replica].disk.stop_after(changes);
        operation(&mut cluster, replica);
        if is_running(&cluster, replica) {
            return changes;
        }
        cluster.crash(replica, loss);
        cluster
            .start(replica)
            .unwrap_or_else(|error| panic!("stopped after {changes} changes: {error}"));
        check_relied_upon(&mut cluster, replica, loss);
    }
    0
}

fn is_running(cluster: &Cluster, replica: u64) -> bool {
    cluster.replicas[&replica].host.is_some()
}

/// Lets a replica acknowledge entries that no majority holds without it, restarts it
/// and checks that they are still there.
fn check_relied_upon(cluster: &mut Cluster, replica: u64, loss: Loss) {
    cluster.await_voter(replica);
    let leader = cluster.await_leader(FIRST);
    let status = cluster.status(leader, FIRST).expect("running");
    let voters: Vec<u64> = status
        .members
        .iter()
        .filter(|member| member.voter)
        .map(|member| member.replica.0)
        .collect();
    let spare = voters.len() - (voters.len() / 2 + 1);
    let others: Vec<u64> = voters.into_iter().filter(|id| *id != replica).collect();
    let absent: Vec<u64> = others
        .iter()
        .copied()
        .filter(|id| *id != leader)
        .take(spare)
        .collect();
    let gone: Vec<u64> = others
        .iter()
        .copied()
        .filter(|id| !absent.contains(id))
        .take(1)
        .collect();
    for id in &absent {
        cluster.crash(*id, Loss::All);
    }
    for group in GROUPS {
        for _ in 0..3 {
            cluster.write_acked(group, 40);
        }
    }
    for id in gone.iter().chain([&replica]) {
        cluster.crash(*id, loss);
    }
    for id in absent.iter().chain([&replica]) {
        cluster.start(*id).expect("a sound disk");
    }
    cluster.settle();
    for id in gone {
        cluster.start(id).expect("a sound disk");
    }
    cluster.settle();
}

/// Returns a former leader that was cut off and holds entries that were never committed.
/// The others have taken snapshots of later entries and dropped what they cover.
fn cut_off_leader(cluster: &mut Cluster) -> u64 {
    let former = cluster.await_leader(FIRST);
    cluster.isolate(former, true);
    for _ in 0..200 {
        cluster.write(former, FIRST, 64);
    }
    cluster.run(3 * ELECTION_TIMEOUT_MS);
    for _ in 0..20 {
        let leader = cluster.leader(FIRST).expect("elected");
        for _ in 0..6 {
            cluster.write(leader, FIRST, 64);
        }
        cluster.run(20);
    }
    former
}

/// Lets a replica that was cut off install the snapshot of the leader.
fn rejoin(cluster: &mut Cluster, replica: u64, syncs: Syncs) {
    let status = cluster.status(replica, FIRST).expect("running");
    cluster.isolate(replica, false);
    for _ in 0..1_000 {
        syncs.run(cluster, replica, 1);
        let now = cluster.status(replica, FIRST);
        if now.is_none_or(|now| now.snapshot_index > status.commit) {
            break;
        }
    }
    syncs.run(cluster, replica, 10);
}

/// Guards against losing acknowledged entries after a replica stopped while it replaced
/// its log, which ends in entries that were never committed, by a snapshot.
#[rstest]
fn replica_stops_while_it_installs_a_snapshot(
    #[values(Loss::Nothing, Loss::All, Loss::Torn { keep: 9 }, Loss::Zeroed { keep: 0 })]
    loss: Loss,
    #[values(Syncs::Immediate, Syncs::Slow)] syncs: Syncs,
    // With small segments the uncommitted entries are spread over several ones, of which
    // the snapshot covers the first.
    #[values(1 << 10, 1 << 20)] segment_bytes: u64,
) {
    let options = Options {
        segment_bytes,
        ..Options::new(3, 1)
    };
    let operation = |cluster: &mut Cluster, former| rejoin(cluster, former, syncs);
    let stops = stop_at_each_change(&options, loss, cut_off_leader, operation);
    assert!(stops > 10, "only {stops} changes");
}

/// Guards against losing acknowledged entries after a replica that stopped while it
/// installed a snapshot stopped once more while it opened its log.
#[rstest]
fn replica_stops_while_it_opens_its_log(
    #[values(Loss::Nothing, Loss::All, Loss::Torn { keep: 9 })] loss: Loss,
) {
    let options = Options {
        segment_bytes: 1 << 20,
        ..Options::new(3, 1)
    };
    let mut twice = 0;
    for changes in 0.. {
        for changes_at_start in 0.. {
            println!("stop after {changes} changes, and {changes_at_start} at the start");
            let mut cluster = Cluster::new(options.clone());
            let replica = cut_off_leader(&mut cluster);
            cluster.replicas[&replica].disk.stop_after(changes);
            rejoin(&mut cluster, replica, Syncs::Immediate);
            if is_running(&cluster, replica) {
                assert!(twice > 10, "only {twice} changes");
                return;
            }
            cluster.crash(replica, loss);
            cluster.replicas[&replica].disk.stop_after(changes_at_start);
            let opened = cluster.start(replica).is_ok();
            // It also stops if a later step is the first that changes the disk.
            cluster.crash(replica, loss);
            cluster.start(replica).expect("a sound disk");
            check_relied_upon(&mut cluster, replica, loss);
            if opened {
                break;
            }
            twice += 1;
        }
    }
}

/// Guards against dropping acknowledged entries of a replica that ran a version without
/// the reset at the start: its log holds the entries that a snapshot replaced and those
/// that were acknowledged after a restart with that snapshot.
#[test]
fn entries_acknowledged_before_an_upgrade_are_kept() {
    let disk = Memory::new();
    for line in include_str!("fixtures/reset_missing.txt").lines() {
        let (name, hex) = line.split_once(' ').expect("a name and a content");
        let digits = hex.as_bytes().chunks(2).map(|digits| {
            let digits = std::str::from_utf8(digits).expect("two digits");
            u8::from_str_radix(digits, 16).expect("two digits")
        });
        let mut disk = disk.clone();
        disk.append(name, &digits.collect::<Vec<u8>>())
            .expect("room");
        disk.sync(name).expect("healthy disk");
    }
    let members =
        (1..=3).map(|id| member::Member::voter(ReplicaId(id), format!("host-{id}"), "zone-a"));
    let members: Vec<member::Member> = members.collect();
    for start in 1..=2 {
        let builder = host::Builder::<common::Types>::new(ReplicaId(2), members.clone());
        let builder = GROUPS.into_iter().fold(builder, |builder, group| {
            builder.group(group, Journal::default())
        });
        let host = builder.open(disk.clone()).expect("a sound disk");
        let status = host.status(FIRST).expect("known group");
        assert_eq!(status.snapshot_index, 14);
        // The former version had acknowledged entry 17.
        assert_eq!(status.last_index, 17, "start {start}");
    }
}

/// Guards against losing acknowledged entries after a replica stopped while it took a
/// snapshot of its own, removed what the snapshot covers or compacted its payloads.
#[rstest]
fn replica_stops_while_it_takes_snapshots(
    #[values(Loss::Nothing, Loss::All, Loss::Torn { keep: 9 })] loss: Loss,
    #[values(Syncs::Immediate, Syncs::Slow)] syncs: Syncs,
    #[values(node::Role::Leader, node::Role::Follower)] role: node::Role,
) {
    let options = Options {
        snapshot_log_bytes: 1 << 10,
        segment_bytes: 512,
        ..Options::new(3, 2)
    };
    let stops = stop_at_each_change(
        &options,
        loss,
        |cluster| {
            let leader = cluster.await_leader(FIRST);
            for _ in 0..30 {
                cluster.write(leader, FIRST, 64);
                cluster.run(10);
            }
            let others = cluster.replicas.keys().copied();
            match role {
                node::Role::Leader => leader,
                _ => others.filter(|id| *id != leader).max().expect("a follower"),
            }
        },
        |cluster, replica| {
            let before = cluster
                .status(replica, FIRST)
                .expect("running")
                .snapshot_index;
            for _ in 0..40 {
                if let Some(leader) = cluster.leader(FIRST) {
                    cluster.write(leader, FIRST, 64);
                }
                syncs.run(cluster, replica, 10);
                let status = cluster.status(replica, FIRST);
                if status.is_none_or(|status| status.snapshot_index > before) {
                    break;
                }
            }
            // Segments are removed and compacted in the steps after the snapshot.
            syncs.run(cluster, replica, 50);
        },
    );
    assert!(stops > 10, "only {stops} changes");
}

/// Which replica stops during a change of members.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Changed {
    Leader,
    Added,
    Remaining,
}

/// Guards against losing acknowledged entries after a replica stopped while a replica
/// joined, became a voter and took the place of another one.
#[rstest]
fn replica_stops_while_members_change(
    #[values(Loss::Nothing, Loss::All, Loss::Torn { keep: 9 })] loss: Loss,
    #[values(Changed::Leader, Changed::Added, Changed::Remaining)] changed: Changed,
) {
    const ADDED: u64 = 4;
    let stops = stop_at_each_change(
        &Options::new(3, 3),
        loss,
        |cluster| {
            let leader = cluster.await_leader(FIRST);
            for _ in 0..30 {
                cluster.write(leader, FIRST, 64);
                cluster.run(10);
            }
            cluster.create(ADDED, Vec::new());
            let others = cluster.replicas.keys().copied();
            match changed {
                Changed::Leader => leader,
                Changed::Added => ADDED,
                Changed::Remaining => others
                    .filter(|id| *id != leader && *id != ADDED)
                    .max()
                    .expect("a follower"),
            }
        },
        |cluster, replica| {
            let learner = cluster.learner(ADDED, 0);
            cluster.change_all(&learner);
            for _ in 0..40 {
                cluster.run(20);
                if !is_running(cluster, replica) {
                    return;
                }
            }
        },
    );
    assert!(stops > 5, "only {stops} changes");
}
