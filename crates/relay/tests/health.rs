//! Ejection of backend servers by the results that entry VMs report.

use bw_relay::health::{Health, Options};
use bw_wire::name::Name;
use rstest::rstest;

/// Reports results of entry VMs, 10 ms apart, and returns whether the backend server
/// is ejected after the last report.
fn report(health: &mut Health, results: &[(&str, u32, u32)], start_ms: u64) -> bool {
    let id = Name::from("s");
    let mut now_ms = start_ms;
    for (entry, succeeded, failed) in results {
        health.record(&id, &(*entry).into(), *succeeded, *failed, now_ms);
        now_ms += 10;
    }
    health.is_ejected("s", now_ms)
}

#[rstest]
#[case::fails_all(&[("a", 0, 1), ("b", 0, 1), ("c", 0, 1)], true)]
#[case::fails_two_in_five(&[("a", 3, 2), ("b", 3, 2)], true)]
#[case::fails_a_few(&[("a", 30, 1), ("b", 30, 1), ("c", 30, 1)], false)]
#[case::too_few_failures(&[("a", 0, 1), ("b", 0, 1)], false)]
#[case::failures_at_one_entry_vm(&[("a", 0, 5), ("a", 0, 5), ("b", 9, 0)], false)]
fn a_backend_server_is_ejected_for_failures_at_several_entry_vms(
    #[case] results: &[(&str, u32, u32)],
    #[case] ejected: bool,
) {
    let mut health = Health::new(Options::default());
    assert_eq!(report(&mut health, results, 1_000), ejected);
}

#[test]
fn ejections_grow_while_a_backend_server_keeps_failing() {
    let mut health = Health::new(Options::default());
    let failures = [("a", 0, 2), ("b", 0, 2)];
    let mut now_ms = 1_000;
    let mut ejections = Vec::new();
    for _ in 0..5 {
        assert!(report(&mut health, &failures, now_ms));
        let began = now_ms;
        while health.is_ejected("s", now_ms) || now_ms == began {
            now_ms += 10;
        }
        ejections.push(now_ms - began);
    }
    assert!(
        ejections.windows(2).all(|pair| pair[0] <= pair[1]),
        "{ejections:?}"
    );
    assert!(
        ejections[0] < 1_100 && ejections[4] > 2_900,
        "{ejections:?}"
    );
    assert!(report(&mut health, &failures, now_ms + 60_000));
    assert!(
        !health.is_ejected("s", now_ms + 62_000),
        "a much later failure begins with the shortest ejection"
    );
}
