// Not one of the cases, as no day and no script can time it. To run it on a scratch copy,
// append this file to crates/coord/tests/failures.rs:
//
//     cargo test -p bw-coord --locked --test failures entries_after_a_snapshot_whose_reset
//
// It fails for the three seeds.

/// Guards against losing acknowledged entries in a restart, if an earlier crash came after
/// a snapshot of the leader was stored and before the record of it was durable.
#[rstest]
fn entries_after_a_snapshot_whose_reset_was_lost_survive_a_restart(#[values(1, 2, 3)] seed: u64) {
    let mut options = Options::new(3, seed);
    // Old segments are kept, so that the restart reads the replaced entries again.
    options.segment_bytes = 1 << 20;
    let mut cluster = Cluster::new(options);
    let old = cluster.await_leader(FIRST);
    cluster.isolate(old, true);
    for _ in 0..400 {
        cluster.write(old, FIRST, 64);
    }
    cluster.run(3 * ELECTION_TIMEOUT_MS);
    for _ in 0..30 {
        let new = cluster.leader(FIRST).expect("elected");
        for _ in 0..6 {
            cluster.write(new, FIRST, 64);
        }
        cluster.run(20);
    }
    let stale = cluster.status(old, FIRST).expect("running");
    cluster.isolate(old, false);
    for _ in 0..2_000 {
        cluster.hold_syncs(old, true);
        cluster.run(1);
        let status = cluster.status(old, FIRST).expect("running");
        if status.snapshot_index > stale.commit {
            break;
        }
        cluster.replicas[&old].disk.finish_sync();
    }
    let installed = cluster.status(old, FIRST).expect("running");
    assert!(installed.snapshot_index > stale.commit, "no snapshot was sent");
    assert!(installed.snapshot_index < stale.last_index);
    cluster.crash(old, Loss::All);
    cluster.hold_syncs(old, false);
    cluster.start(old).expect("healthy disk");
    for _ in 0..1_000 {
        cluster.run(1);
        let status = cluster.status(old, FIRST).expect("running");
        if status.commit > installed.snapshot_index + 2 {
            break;
        }
    }
    cluster.run(5);
    let before = cluster.status(old, FIRST).expect("running");
    assert!(before.commit > installed.snapshot_index);
    cluster.crash(old, Loss::All);
    cluster.start(old).expect("healthy disk");
    let after = cluster.status(old, FIRST).expect("running");
    assert!(
        after.last_index >= before.commit,
        "the log ends at {}, but {} was committed",
        after.last_index,
        before.commit
    );
}
