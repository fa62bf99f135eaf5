//! How a snapshot tells that a process of another entry VM is gone.

use std::{collections, sync};

use bw_entry::snapshot::{Absence, Snapshot};
use bw_wire::sync as wire_sync;
use rstest::rstest;

const NOW_MS: u64 = 100_000;
const LONG_AGO_MS: u64 = 10_000;

/// Returns a snapshot that lists processes of `entry-2`.
fn listed(incarnations: &[u64]) -> Snapshot {
    let peers = incarnations.iter().map(|incarnation| wire_sync::Peer {
        entry: "entry-2".into(),
        incarnation: *incarnation,
        failure_domain: "a".into(),
        address: "127.0.0.1:1".into(),
    });
    Snapshot {
        peers: peers.collect(),
        ..Snapshot::default()
    }
}

/// Returns a snapshot in which `entry-2` is no longer listed.
fn absent(incarnation: u64, since_ms: u64) -> Snapshot {
    let absence = Absence {
        incarnation,
        since_ms,
    };
    Snapshot {
        absent: sync::Arc::new(collections::BTreeMap::from([("entry-2".into(), absence)])),
        ..Snapshot::default()
    }
}

/// Guards against a running attempt whose outcome is recorded as unknown because
/// the snapshot only has an earlier process of the entry VM that runs it.
#[rstest]
#[case::earlier_one_listed(listed(&[4]), false)]
#[case::both_listed(listed(&[4, 5]), false)]
#[case::listed(listed(&[5]), false)]
#[case::replaced(listed(&[6]), true)]
#[case::replaced_but_listed(listed(&[5, 6]), false)]
#[case::earlier_one_absent(absent(4, LONG_AGO_MS), false)]
#[case::absent(absent(5, LONG_AGO_MS), true)]
#[case::just_absent(absent(5, NOW_MS - 1), false)]
#[case::never_heard_of(Snapshot::default(), false)]
fn a_process_is_gone_only_if_it_was_known(#[case] snapshot: Snapshot, #[case] gone: bool) {
    assert_eq!(snapshot.is_gone("entry-2", 5, NOW_MS), gone);
}
