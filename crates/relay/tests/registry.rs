//! The registry under announcements that are late, out of order or of another start.

use bw_relay::registry::{Admission, Announcement, Deferred, Invalid, Outcome, Registry, State};
use bw_wire::name::Name;
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

const NOW_MS: u64 = 10_000_000;

fn is_desk(service: &Name) -> bool {
    **service == *"desk"
}

/// Guards against an announcement that is taken for that of a backend server although its
/// service is not configured or its start is unknown, whichever id or address it names.
#[rstest]
#[case::of_a_configured_service("desk", 10, Admission::Admitted)]
#[case::of_another_service("elsewhere", 10, Admission::Deferred)]
#[case::without_a_start("desk", 0, Admission::Refused(Invalid::Start))]
#[case::from_the_future("desk", 2 * NOW_MS, Admission::Refused(Invalid::Start))]
fn only_announcements_of_configured_services_are_admitted(
    #[values("x", "new")] id: &str,
    #[values("10.0.0.9:8080", "10.0.0.7:80")] address: &str,
    #[values(State::Ready, State::Leaving)] state: State,
    #[case] service: &str,
    #[case] started_ms: u64,
    #[case] expected: Admission,
) {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 10, 4, State::Ready), 0);
    let announcement = Announcement {
        service: service.into(),
        address: address.into(),
        ..announcement(id, started_ms, 5, state)
    };
    assert_eq!(registry.admit(&announcement, is_desk, NOW_MS), expected);
}

/// Guards against a backend server that counts as silent, or whose leave is not heard,
/// while its service is not configured for a time.
#[test]
fn a_known_backend_server_is_heard_without_its_service() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 10, 4, State::Ready), 0);
    for next in [State::Ready, State::Leaving] {
        let renewed = announcement("x", 10, 5, next);
        let admission = registry.admit(&renewed, |_| false, NOW_MS);
        assert_eq!(admission, Admission::Admitted);
    }
}

/// Guards against an announcement without a start, stored by a former version or sent by
/// one, that takes an address over.
#[test]
fn an_announcement_without_a_start_takes_no_address_over() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 10, 4, State::Ready), 0);
    for next in [State::Ready, State::Leaving] {
        let outcome = registry.announce(announcement("agent", 0, 1, next), 1);
        assert_eq!(outcome, Outcome::Stale);
    }
    assert_eq!(state(&registry, "x"), State::Ready);
}

/// Guards against a deferred announcement that is applied although its backend server has
/// left or is silent, or that a later announcement has replaced.
#[test]
fn deferred_announcements_are_taken_once_their_service_is_configured() {
    let mut deferred = Deferred::default();
    assert!(deferred.add(announcement("x", 10, 4, State::Ready), 0));
    assert!(!deferred.add(announcement("x", 10, 6, State::Ready), 1_000));
    assert!(!deferred.add(announcement("x", 10, 5, State::Ready), 2_000));
    deferred.add(announcement("left", 10, 1, State::Ready), 1_000);
    deferred.remove("left");
    deferred.add(announcement("silent", 10, 1, State::Ready), 0);
    deferred.expire(6_000, 5_000);
    assert!(deferred.take(|_| false).is_empty());
    let taken = deferred.take(is_desk);
    let taken: Vec<(&str, u64)> = taken.iter().map(|one| (&*one.id, one.sequence)).collect();
    assert_eq!(taken, [("x", 6)]);
    assert!(deferred.take(is_desk).is_empty());
}
