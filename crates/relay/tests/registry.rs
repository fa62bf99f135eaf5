//! The registry under announcements that are late, out of order or of another start.

use bw_relay::registry::{Announcement, Outcome, Registry, State};
use rstest::rstest;

fn announcement(id: &str, started_ms: u64, sequence: u64, state: State) -> Announcement {
    Announcement {
        id: id.into(),
        service: "desk".into(),
        address: "10.0.0.9:8080".into(),
        failure_domain: "a".into(),
        slots: 8,
        state,
        started_ms,
        sequence,
    }
}

fn state(registry: &Registry, id: &str) -> State {
    registry.get(id).expect("known").announcement.state
}

#[rstest]
#[case::older_sequence(10, 3, State::Ready, Outcome::Stale)]
#[case::ready_after_leaving(10, 9, State::Ready, Outcome::Stale)]
#[case::earlier_start(9, 99, State::Ready, Outcome::Stale)]
#[case::same_again(10, 6, State::Leaving, Outcome::Renewed)]
#[case::new_start(11, 1, State::Ready, Outcome::Changed)]
fn only_a_restart_follows_leaving(
    #[case] started_ms: u64,
    #[case] sequence: u64,
    #[case] next: State,
    #[case] expected: Outcome,
) {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 10, 4, State::Ready), 0);
    registry.announce(announcement("x", 10, 5, State::Leaving), 1);
    let outcome = registry.announce(announcement("x", started_ms, sequence, next), 2);
    assert_eq!(outcome, expected);
    let still_leaving = expected != Outcome::Changed;
    assert_eq!(state(&registry, "x") == State::Leaving, still_leaving);
}

/// Guards against new work for a backend server that leaves: the leader that reports it
/// missed its last announcements and sends an older sequence number.
#[test]
fn leaving_takes_precedence_over_the_sequence() {
    let mut entry = Registry::default();
    entry.announce(announcement("x", 10, 17, State::Ready), 0);
    let outcome = entry.announce(announcement("x", 10, 9, State::Leaving), 1);
    assert_eq!(outcome, Outcome::Changed);
    assert_eq!(state(&entry, "x"), State::Leaving);
    let late = entry.announce(announcement("x", 10, 18, State::Ready), 2);
    assert_eq!(late, Outcome::Stale);
}

#[test]
fn a_new_start_takes_the_address_over() {
    let mut registry = Registry::default();
    registry.announce(announcement("old", 10, 1, State::Ready), 0);
    registry.announce(announcement("new", 20, 1, State::Ready), 1);
    assert_eq!(state(&registry, "old"), State::Leaving);
    assert_eq!(state(&registry, "new"), State::Ready);
}

/// Guards against an announcement that a network partition delayed: it arrives after
/// its sender crashed and another backend server started at the address.
#[test]
fn a_delayed_announcement_does_not_take_the_address_back() {
    let mut registry = Registry::default();
    registry.announce(announcement("new", 20, 1, State::Ready), 0);
    let outcome = registry.announce(announcement("old", 10, 7, State::Ready), 1);
    assert_eq!(outcome, Outcome::Stale);
    assert_eq!(state(&registry, "new"), State::Ready);
}

#[test]
fn silence_is_marked_once_and_ends_with_an_announcement() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 10, 1, State::Ready), 1_000);
    assert!(registry.expire(6_000, 5_000).is_empty());
    assert_eq!(registry.expire(6_001, 5_000).len(), 1);
    assert!(registry.expire(7_000, 5_000).is_empty());
    let outcome = registry.announce(announcement("x", 10, 2, State::Ready), 8_000);
    assert_eq!(outcome, Outcome::Changed);
    assert_eq!(state(&registry, "x"), State::Ready);
}

/// Guards against a new leader that is frozen before it looks for silent backend servers
/// for the first time, and then marks all of them as silent.
#[test]
fn entries_survive_a_freeze_right_after_the_start_of_a_leader() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 10, 1, State::Ready), 0);
    registry.refresh(1_000);
    assert!(registry.expire(9_000, 5_000).is_empty());
    assert_eq!(state(&registry, "x"), State::Ready);
}

/// Guards against a leader that was frozen and marks all backend servers as silent, as
/// it received no announcements meanwhile.
#[test]
fn a_freeze_of_the_own_process_marks_nothing_as_silent() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 10, 1, State::Ready), 1_000);
    let times = (1_000..=2_000).chain(10_000..=15_000).step_by(20);
    for now_ms in times {
        assert!(registry.expire(now_ms, 5_000).is_empty(), "{now_ms}");
    }
    assert_eq!(registry.expire(15_020, 5_000).len(), 1);
}

/// Guards against new work for a backend server whose announcement arrives after the
/// report that it leaves, or that only other processes know.
#[test]
fn leaving_counts_for_an_unknown_backend_server() {
    let (mut leader, mut entry) = (Registry::default(), Registry::default());
    entry.announce(announcement("x", 10, 1, State::Ready), 0);
    leader.leave("y", 20, 0);
    let left = leader.leave("x", 10, 0).expect("a change");
    assert_eq!(entry.announce(left.clone(), 1), Outcome::Changed);
    for registry in [&mut leader, &mut entry] {
        let late = registry.announce(announcement("x", 10, 2, State::Ready), 2);
        assert_eq!(late, Outcome::Stale);
        assert_eq!(state(registry, "x"), State::Leaving);
    }
    let mut next = Registry::default();
    next.leave("y", 20, 0);
    assert_eq!(next.announce(left, 3), Outcome::Changed);
}

#[test]
fn leaving_does_not_count_for_a_later_start() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 20, 1, State::Ready), 0);
    assert!(
        registry.leave("x", 10, 1).is_none(),
        "an earlier start left"
    );
    assert!(registry.leave("x", 20, 1).is_some());
    assert_eq!(state(&registry, "x"), State::Leaving);
}
