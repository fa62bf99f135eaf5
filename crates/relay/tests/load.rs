//! Encoding of loads in messages between the leader and entry VMs.

use bw_relay::{
    load::{Load, Publisher, Subscriber, Usage},
    message,
};
use proptest::prelude::*;

fn load(id: &str, online: u32) -> Load {
    Load {
        id: id.into(),
        online,
        batch: 0,
        ejected: false,
    }
}

fn usage(id: &str, online: u32) -> Usage {
    Usage {
        id: id.into(),
        online,
        succeeded: 1,
        failed: 0,
    }
}

/// Guards against messages whose size grows with the fleet instead of the changes.
#[test]
fn only_changes_are_published() {
    let mut publisher = Publisher::default();
    let first = publisher.changes(&[load("a", 1), load("b", 2)]);
    assert_eq!(first.expect("new backend servers").names.len(), 2);
    assert_eq!(publisher.changes(&[load("a", 1), load("b", 2)]), None);
    let changes = publisher.changes(&[load("a", 1), load("b", 3)]);
    let changes = changes.expect("a changed load");
    assert!(changes.names.is_empty());
    assert_eq!(changes.loads.len(), 1);
    let frame = message::Frame::Update(message::Update {
        loads: Some(changes),
        ..message::Update::default()
    });
    let bytes = message::encode(&frame).len();
    assert!(bytes <= 20, "{bytes} bytes for one change");
}

/// Guards against a report to a new leader that means other backend servers, as it has
/// the numbers of the former leader.
#[test]
fn numbers_of_a_former_leader_are_discarded() {
    let mut old = Publisher::default();
    old.changes(&[load("a", 0), load("b", 0)]);
    let mut subscriber = Subscriber::default();
    subscriber.apply(&old.snapshot());
    assert_eq!(subscriber.report(&[usage("b", 4)])[0].number, 1);
    let mut new = Publisher::default();
    new.changes(&[load("b", 0)]);
    subscriber.apply(&new.snapshot());
    let report = subscriber.report(&[usage("a", 1), usage("b", 4)]);
    assert_eq!(report.len(), 1, "one without a number is left out");
    assert_eq!(new.name(report[0].number).map(|id| &**id), Some("b"));
    subscriber.clear();
    assert!(subscriber.report(&[usage("b", 4)]).is_empty());
}

proptest! {
    /// Guards against receivers whose loads differ from those of the leader, whether
    /// they were connected from the beginning or begin with a snapshot.
    #[test]
    fn receivers_agree_with_the_leader(
        rounds in prop::collection::vec(prop::collection::vec((0_u8..6, 0_u32..4), 0..6), 1..20),
        joins in 0_usize..20,
    ) {
        let mut publisher = Publisher::default();
        let mut expected = std::collections::BTreeMap::new();
        let (mut early, mut late) = (Subscriber::default(), Subscriber::default());
        let (mut seen_by_early, mut seen_by_late) =
            (std::collections::BTreeMap::new(), std::collections::BTreeMap::new());
        let joins = joins.min(rounds.len() - 1);
        for (index, round) in rounds.iter().enumerate() {
            for (id, online) in round {
                expected.insert(format!("s{id}"), *online);
            }
            let loads: Vec<Load> = expected.iter().map(|(id, online)| load(id, *online)).collect();
            let changes = publisher.changes(&loads);
            if let Some(changes) = &changes {
                for load in early.apply(changes) {
                    seen_by_early.insert(load.id.to_string(), load.online);
                }
            }
            let message = match index.cmp(&joins) {
                std::cmp::Ordering::Less => None,
                std::cmp::Ordering::Equal => Some(publisher.snapshot()),
                std::cmp::Ordering::Greater => changes,
            };
            for load in message.iter().flat_map(|message| late.apply(message)) {
                seen_by_late.insert(load.id.to_string(), load.online);
            }
        }
        prop_assert_eq!(&seen_by_early, &expected);
        prop_assert_eq!(&seen_by_late, &expected);
    }
}
