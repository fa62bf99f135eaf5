//! Detection of poison requests, which crash the backend servers that run them.

use bw_relay::suspect::{Admission, Fingerprint, Outbox, Strike, Suspects};

const PAUSE_MS: u64 = 10_000;
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::new("a.example", "/x", body.as_bytes())
}

#[test]
fn strikes_of_all_processes_count_towards_a_refusal() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let poison = fingerprint("poison");
    for _ in 0..2 {
        there.merge(here.crashed(poison, 0), 0);
    }
    assert!(!here.is_refused(poison, 0));
    here.merge(there.crashed(poison, 0), 0);
    assert!(here.is_refused(poison, 0) && there.is_refused(poison, 0));
    assert!(!here.is_refused(fingerprint("other"), 0));
}

/// Guards against refusing a request that merely ran on a backend server that crashed.
#[test]
fn a_complete_answer_clears_a_bystander() {
    let mut suspects = Suspects::default();
    let bystander = fingerprint("bystander");
    for _ in 0..5 {
        suspects.crashed(bystander, 0);
        assert!(suspects.finished(bystander).is_some());
        assert!(!suspects.is_refused(bystander, 0));
    }
    assert!(suspects.finished(bystander).is_none(), "already cleared");
}

#[test]
fn parts_of_the_content_are_hashed_separately() {
    let one = Fingerprint::new("a", "/bc", b"d");
    let other = Fingerprint::new("a", "/b", b"cd");
    assert_ne!(one, other);
}

#[test]
fn the_number_of_suspects_is_bounded() {
    let mut suspects = Suspects::default();
    for number in 0..20_000 {
        suspects.crashed(fingerprint(&number.to_string()), 0);
    }
    assert_eq!(suspects.all().len(), 10_000);
}

/// Guards against refusing a harmless request for ever after a burst of crashes: while
/// it is refused, it gets no answer that could clear it.
#[test]
fn a_harmless_request_is_served_again_after_a_burst() {
    let mut suspects = Suspects::default();
    let harmless = fingerprint("sound");
    for now_ms in [5_000, 5_400, 5_800] {
        assert_eq!(suspects.admit(harmless, now_ms), Admission::Admitted);
        suspects.crashed(harmless, now_ms);
    }
    let refused = suspects.admit(harmless, 6_000);
    let retry_after_ms = 5_800 + PAUSE_MS - 6_000;
    assert_eq!(refused, Admission::Refused { retry_after_ms });
    assert_eq!(
        suspects.admit(harmless, 6_000 + retry_after_ms),
        Admission::Trial
    );
    assert!(!suspects.is_refused(harmless, 6_000 + retry_after_ms));
    suspects.finished(harmless);
    assert_eq!(
        suspects.admit(harmless, 6_001 + retry_after_ms),
        Admission::Admitted
    );
}

/// Guards against a request that crashes backend servers all day, as callers keep
/// sending it through every process.
#[test]
fn crashes_by_one_request_become_rare() {
    let mut processes = vec![Suspects::default(); 8];
    let poison = fingerprint("poison");
    let mut crashes = Vec::new();
    for now_ms in (0..DAY_MS).step_by(1_000) {
        for index in 0..processes.len() {
            let admission = processes[index].admit(poison, now_ms);
            if matches!(admission, Admission::Refused { .. }) {
                continue;
            }
            crashes.push(now_ms);
            let strike = processes[index].crashed(poison, now_ms);
            for process in &mut processes {
                process.merge(strike, now_ms);
            }
        }
    }
    let within = |limit_ms| crashes.iter().filter(|at| **at < limit_ms).count();
    assert_eq!(within(PAUSE_MS), 3);
    assert!(within(60_000) <= 5, "{}", within(60_000));
    assert!(within(600_000) <= 9, "{}", within(600_000));
    assert!(crashes.len() <= 32, "{}", crashes.len());
}

/// Guards against a trial for each of many callers that send the same content at once.
#[test]
fn one_trial_runs_at_a_time() {
    let mut suspects = Suspects::default();
    let suspect = fingerprint("suspect");
    for _ in 0..3 {
        suspects.crashed(suspect, 0);
    }
    assert_eq!(suspects.admit(suspect, PAUSE_MS), Admission::Trial);
    let second = suspects.admit(suspect, PAUSE_MS + 1);
    assert!(matches!(second, Admission::Refused { .. }), "{second:?}");
    suspects.crashed(suspect, PAUSE_MS + 2);
    assert!(suspects.is_refused(suspect, PAUSE_MS + 2));
    let later = suspects.admit(suspect, 2 * PAUSE_MS + 2);
    assert!(matches!(later, Admission::Refused { .. }), "{later:?}");
}

/// Guards against updates that arrive after newer ones and let a suspect run again or
/// restart its pause.
#[test]
fn outdated_updates_are_ignored() {
    let mut suspects = Suspects::default();
    let fingerprint = fingerprint("suspect");
    for _ in 0..3 {
        suspects.crashed(fingerprint, 0);
    }
    for count in [2, 3] {
        let outdated = Strike { fingerprint, count };
        assert!(!suspects.merge(outdated, PAUSE_MS - 1), "{count}");
    }
    assert!(suspects.is_refused(fingerprint, PAUSE_MS - 1));
    assert_eq!(suspects.admit(fingerprint, PAUSE_MS), Admission::Trial);
}

/// Guards against a leader that ignores a strike as outdated because it did not learn
/// that the suspect had been cleared before.
#[test]
fn a_strike_after_a_clearance_counts_from_one() {
    let (mut leader, mut entry) = (Suspects::default(), Suspects::default());
    let fingerprint = fingerprint("suspect");
    for _ in 0..2 {
        leader.merge(entry.crashed(fingerprint, 0), 0);
    }
    let mut outbox = Outbox::default();
    outbox.add(entry.finished(fingerprint).expect("an update"));
    outbox.add(entry.crashed(fingerprint, 1));
    for strike in outbox.take() {
        leader.merge(strike, 2);
    }
    let count = 1;
    assert_eq!(leader.all(), [Strike { fingerprint, count }]);
    assert!(outbox.take().is_empty());
}
