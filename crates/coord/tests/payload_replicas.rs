//! Payloads of replicated groups.

mod common;

use bw_coord::{
    ReplicaId, host, member,
    storage::{self, Disk, Loss},
};
use common::{Cluster, ELECTION_TIMEOUT_MS, FIRST, Options};
use rstest::rstest;

/// Returns the payload segments of the first group.
fn segments(disk: &storage::Memory) -> Vec<storage::File> {
    let files = disk.clone().list().expect("readable").into_iter();
    files
        .filter(|file| file.name.starts_with("payload-00000000-"))
        .collect()
}

/// Isolates a follower and writes until it needs a snapshot. Returns its id.
fn isolate_until_snapshot_needed(cluster: &mut Cluster) -> u64 {
    let leader = cluster.await_leader(FIRST);
    let follower = leader % 3 + 1;
    cluster.isolate(follower, true);
    for _ in 0..80 {
        cluster.write_acked(FIRST, 200);
    }
    follower
}

/// Runs until a replica has applied an entry.
fn await_applied(cluster: &mut Cluster, id: u64, index: u64) {
    for _ in 0..10_000 {
        if cluster.status(id, FIRST).expect("running").applied >= index {
            return;
        }
        cluster.run(1);
    }
    panic!("replica {id} did not apply entry {index}");
}

/// Guards against counting a replica as caught up before it has the payloads and they
/// are durable.
#[rstest]
fn an_installed_snapshot_brings_the_payloads(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = Cluster::new(Options::new(3, seed));
    let follower = isolate_until_snapshot_needed(&mut cluster);
    let stale = cluster.status(follower, FIRST).expect("running");
    cluster.isolate(follower, false);
    await_applied(&mut cluster, follower, stale.applied + 1);
    let fresh = cluster.status(follower, FIRST).expect("running");
    assert!(
        fresh.snapshot_index > stale.last_index,
        "no snapshot was sent"
    );
    cluster.check_payloads(follower, FIRST, true);
    cluster.crash(follower, Loss::All);
    cluster.start(follower).expect("the snapshot is intact");
    cluster.check_payloads(follower, FIRST, true);
    cluster.settle();
}

/// Guards against storing a payload that was corrupted in transit.
#[rstest]
fn a_payload_corrupted_in_transit_is_sent_again(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(Options::new(3, seed));
    let follower = isolate_until_snapshot_needed(&mut cluster);
    let leader = cluster.await_leader(FIRST);
    // A log entry holds the id of its command once, a payload several times.
    let contents = cluster.commands(leader, FIRST).iter();
    let contents = contents.map(|id| common::content(*id, 1));
    cluster.corrupt_patterns = contents.filter(|content| content.len() > 80).collect();
    let stale = cluster.status(follower, FIRST).expect("running");
    cluster.isolate(follower, false);
    await_applied(&mut cluster, follower, stale.applied + 1);
    assert!(cluster.corrupt_patterns.is_empty(), "no snapshot was sent");
    cluster.check_payloads(follower, FIRST, true);
    cluster.settle();
}

/// Guards against a transfer that restarts with each new snapshot of the sender and
/// therefore never completes under load.
#[rstest]
fn a_transfer_ends_although_the_sender_takes_snapshots(#[values(1, 2, 3)] seed: u64) {
    let mut options = Options::new(3, seed);
    options.payloads = common::Payloads {
        live: usize::MAX,
        factor: 10,
    };
    let mut cluster = Cluster::new(options);
    let leader = cluster.await_leader(FIRST);
    let follower = leader % 3 + 1;
    cluster.isolate(follower, true);
    for _ in 0..200 {
        cluster.write(leader, FIRST, 100);
        cluster.run(5);
    }
    let stale = cluster.status(follower, FIRST).expect("running");
    let first = cluster.status(leader, FIRST).expect("running");
    cluster.isolate(follower, false);
    // Large commands make the sender take a snapshot about once a second. The transfer
    // takes several seconds.
    for _ in 0..250 {
        let leader = cluster.leader(FIRST).expect("the other replicas continue");
        cluster.write(leader, FIRST, 2_000);
        cluster.run(80);
        if cluster.status(follower, FIRST).expect("running").applied > stale.applied {
            break;
        }
    }
    let caught_up = cluster.status(follower, FIRST).expect("running");
    assert!(
        caught_up.applied > stale.applied,
        "the transfer does not complete"
    );
    assert!(caught_up.snapshot_index > first.snapshot_index);
    cluster.check_payloads(follower, FIRST, true);
    cluster.crash(follower, Loss::All);
    cluster.start(follower).expect("the snapshot is intact");
    cluster.check_payloads(follower, FIRST, true);
    cluster.settle();
}

/// Guards against sending payloads that the lagging replica has from its own log.
#[rstest]
fn stored_payloads_are_not_sent_again(#[values(1, 2, 3)] seed: u64) {
    let mut options = Options::new(3, seed);
    options.payloads.live = usize::MAX;
    let mut cluster = Cluster::new(options);
    for _ in 0..40 {
        cluster.write_acked(FIRST, 100);
    }
    let follower = isolate_until_snapshot_needed(&mut cluster);
    let stale = cluster.status(follower, FIRST).expect("running");
    let contents = cluster.commands(follower, FIRST).iter();
    let contents = contents.map(|id| common::content(*id, 1));
    let contents: Vec<Vec<u8>> = contents.filter(|content| content.len() > 80).collect();
    assert!(contents.len() > 10);
    cluster.corrupt_patterns = contents.clone();
    cluster.isolate(follower, false);
    await_applied(&mut cluster, follower, stale.applied + 1);
    let fresh = cluster.status(follower, FIRST).expect("running");
    assert!(
        fresh.snapshot_index > stale.last_index,
        "no snapshot was sent"
    );
    assert_eq!(
        cluster.corrupt_patterns, contents,
        "a stored payload was sent"
    );
    cluster.check_payloads(follower, FIRST, true);
    cluster.settle();
}

/// Guards against sending a corrupt payload: the replica that holds it stops, and the
/// others continue.
#[rstest]
fn a_sender_with_a_corrupt_payload_stops(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(Options::new(3, seed));
    let follower = isolate_until_snapshot_needed(&mut cluster);
    let leader = cluster.await_leader(FIRST);
    let disk = cluster.replicas[&leader].disk.clone();
    cluster.unchecked.insert(leader);
    for file in segments(&disk) {
        for offset in 0..file.size {
            disk.corrupt(&file.name, offset as usize);
        }
    }
    cluster.isolate(follower, false);
    cluster.run(4 * ELECTION_TIMEOUT_MS);
    let error = cluster.replicas[&leader].error.as_ref();
    let error = error.expect("the replica stopped").to_string();
    assert!(error.contains("wrong checksum of a payload"), "{error}");
    assert!(cluster.replicas[&follower].host.is_some());
    cluster.lose_disk(leader);
    cluster.settle();
}

/// Guards against starting without payloads that the snapshot refers to.
#[rstest]
fn a_missing_payload_segment_stops_the_replica() {
    let mut cluster = Cluster::new(Options::new(3, 5));
    for _ in 0..80 {
        cluster.write_acked(FIRST, 200);
    }
    cluster.crash(1, Loss::Nothing);
    let mut disk = cluster.replicas[&1].disk.clone();
    for file in segments(&disk) {
        disk.remove(&file.name).expect("removable");
    }
    let error = cluster
        .start(1)
        .expect_err("the missing segment is detected");
    assert!(matches!(error, storage::Error::Corrupt { .. }), "{error}");
}

/// Guards against a replica that continues after a read found corruption.
#[rstest]
fn a_failed_read_stops_the_host() {
    let members = vec![member::Member::voter(ReplicaId(1), "", "zone-a")];
    let disk = storage::Memory::new();
    let mut host = host::Builder::<common::Types>::new(ReplicaId(1), members)
        .group(FIRST, common::Journal::default())
        .open(disk.clone())
        .expect("an empty disk opens");
    let mut now = 0;
    while host.status(FIRST).expect("known group").lease_remaining_ms == 0 {
        now += 100;
        host.step(vec![host::Input::Tick], now, &mut |_| {})
            .expect("healthy disk");
    }
    let propose = host::Input::Propose {
        group: FIRST,
        ticket: 1,
        command: 7_u64.to_le_bytes().to_vec(),
    };
    host.step(vec![propose], now + 1, &mut |_| {})
        .expect("healthy disk");
    let read = host.read(FIRST, |machine, source| {
        machine.check_payloads(true, source)
    });
    assert!(read.is_ok());
    let segment = segments(&disk).pop().expect("a payload is stored");
    disk.corrupt(&segment.name, 0);
    let read = host.read(FIRST, |machine, source| {
        machine.check_payloads(true, source)
    });
    assert!(matches!(read, Err(storage::Error::Corrupt { .. })));
    let step = host.step(vec![host::Input::Tick], now + 2, &mut |_| {});
    assert!(matches!(step, Err(storage::Error::Corrupt { .. })));
}
