//! The encoding of renewals and counts.

use bw_wire::{
    backend,
    renewal::{Counts, Malformed, Renewal, Renewals, Report, Reports},
};

/// Guards against rounding an age down, which would make a proof appear newer than it
/// is.
#[test]
fn ages_round_up() {
    for age_ms in [0, 1, 99, 100, 101, 2_901, 2_999, 3_000, 30_000] {
        let decoded = Renewal::new(1, 1, age_ms, None).age_ms();
        assert!((age_ms..age_ms + 100).contains(&decoded), "{age_ms}");
    }
}

/// Guards against slots, sequence numbers or loads that change in encoding and
/// decoding.
#[test]
fn renewals_and_counts_round_trip() {
    let load = backend::Load {
        running: 300,
        waiting: 2,
        kv_used: 0.42,
        step_ms: 23.4,
        age_ms: 150,
    };
    let renewals = vec![
        Renewal::new(900, 86_400, 1_234, Some(load)),
        Renewal::new(0, 0, 0, None),
        Renewal::new(7, 1, 99_999_999, None),
    ];
    let decoded = Renewals::new(renewals.clone())
        .unpack()
        .expect("well-formed");
    assert_eq!(decoded, [renewals[1], renewals[2], renewals[0]]);
    let decoded_load = decoded[2].load().expect("a load");
    assert_eq!((decoded_load.running, decoded_load.waiting), (300, 2));
    assert!((decoded_load.kv_used - 0.42).abs() < 0.01);
    assert!((decoded_load.step_ms - 23.4).abs() < 0.1);
    assert_eq!(decoded_load.age_ms, 200);
    let counts = Counts::new(vec![(5, 1), (0, u32::MAX), (3, 0)]);
    assert_eq!(counts.unpack(), Ok(vec![(0, u32::MAX), (5, 1)]));
    assert_eq!(Counts::default().unpack(), Ok(Vec::new()));
}

/// Guards against an encoding that is no smaller than JSON arrays.
#[test]
fn the_encoding_is_less_than_two_thirds_of_json() {
    let load = backend::Load {
        running: 24,
        waiting: 3,
        kv_used: 0.7,
        step_ms: 31.5,
        age_ms: 40,
    };
    let renewals: Vec<Renewal> = (0..435)
        .map(|slot| Renewal::new(slot * 2, 3_600, 700, Some(load)))
        .collect();
    let packed = serde_json::to_vec(&Renewals::new(renewals)).expect("encoded");
    let arrays: Vec<_> = (0..435)
        .map(|slot| (slot * 2, 3_600, 7, 24, 3, 178, 315, 1))
        .collect();
    let arrays = serde_json::to_vec(&arrays).expect("encoded");
    assert!(
        packed.len() * 3 < arrays.len() * 2,
        "{} of {}",
        packed.len(),
        arrays.len()
    );
}

/// Guards against a panic or a wrong slot from malformed text.
#[test]
fn malformed_text_is_an_error() {
    for text in ["!", "AQ", "////"] {
        let packed: Renewals = serde_json::from_value(text.into()).expect("text");
        assert_eq!(packed.unpack(), Err(Malformed), "{text}");
        let counts: Counts = serde_json::from_value(text.into()).expect("text");
        assert_eq!(counts.unpack(), Err(Malformed), "{text}");
        let reports: Reports = serde_json::from_value(text.into()).expect("text");
        assert_eq!(reports.unpack(), Err(Malformed), "{text}");
    }
}

/// Guards against a report whose time changes in encoding and decoding. The time is
/// exact, as an age that is rounded twice would make proofs expire too early.
#[test]
fn reports_round_trip() {
    let reports = vec![
        Report::new(900, 86_400, -3_999, None),
        Report::new(0, 0, 0, None),
        Report::new(7, u64::MAX, i64::MAX, None),
        Report::new(8, 1, i64::MIN, None),
    ];
    let packed = Reports::new(reports.clone());
    assert!(!packed.is_empty());
    let mut sorted = reports;
    sorted.sort_by_key(|report| report.slot);
    assert_eq!(packed.unpack(), Ok(sorted));
}
