//! Failing backend servers, judged by the results of many entry VMs.

use bw_relay::health::{Health, Options};
use bw_wire::name::Name;
use rstest::rstest;

/// Adds a result of each entry VM, 10 ms apart, and returns whether the backend
/// server is held after the last one.
fn play(health: &mut Health, results: &[(&str, u32, u32)], start_ms: u64) -> bool {
    let id = Name::from("s");
    let mut now_ms = start_ms;
    for (entry, succeeded, failed) in results {
        health.record(&id, &(*entry).into(), *succeeded, *failed, now_ms);
        now_ms += 10;
    }
    health.is_ejected("s", now_ms)
}

#[rstest]
#[case::answers_all_with_errors(&[("a", 0, 1), ("b", 0, 1), ("c", 0, 1)], true)]
#[case::fails_two_in_five(&[("a", 3, 2), ("b", 3, 2)], true)]
#[case::spoils_a_few(&[("a", 30, 1), ("b", 30, 1), ("c", 30, 1)], false)]
#[case::too_few(&[("a", 0, 1), ("b", 0, 1)], false)]
#[case::one_entry_with_a_bad_link(&[("a", 0, 5), ("a", 0, 5), ("b", 9, 0)], false)]
fn a_backend_server_is_judged_by_all_entry_vms(
    #[case] results: &[(&str, u32, u32)],
    #[case] held: bool,
) {
    let mut health = Health::new(Options::default());
    // A success before the first failure leaves no record.
    assert_eq!(play(&mut health, results, 1_000), held);
}

#[test]
fn a_backend_server_that_fails_on_is_held_for_longer() {
    let mut health = Health::new(Options::default());
    let failures = [("a", 0, 2), ("b", 0, 2)];
    let mut now_ms = 1_000;
    let mut holds = Vec::new();
    for _ in 0..5 {
        assert!(play(&mut health, &failures, now_ms));
        let began = now_ms;
        while health.is_ejected("s", now_ms) || now_ms == began {
            now_ms += 10;
        }
        holds.push(now_ms - began);
    }
    assert!(holds.windows(2).all(|pair| pair[0] <= pair[1]), "{holds:?}");
    assert!(holds[0] < 1_100 && holds[4] > 2_900, "{holds:?}");
    assert!(play(&mut health, &failures, now_ms + 60_000));
    assert!(
        !health.is_ejected("s", now_ms + 62_000),
        "a later failure is a new matter"
    );
}
