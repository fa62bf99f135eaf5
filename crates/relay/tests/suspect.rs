//! Requests that crash backend servers, told from bystanders.

use bw_relay::suspect::{Admission, Fingerprint, Outbox, Strike, Suspects};

const PAUSE_MS: u64 = 10_000;
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::new("a.example", "/x", body.as_bytes())
}

#[test]
fn the_third_crash_refuses_a_request_wherever_it_comes_from() {
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

/// Guards against refusing a request that only was on a crashed backend server.
#[test]
fn a_bystander_is_cleared_when_it_ends_whole() {
    let mut suspects = Suspects::default();
    let bystander = fingerprint("bystander");
    for _ in 0..5 {
        suspects.crashed(bystander, 0);
        assert!(suspects.finished(bystander).is_some());
        assert!(!suspects.is_refused(bystander, 0));
    }
    assert!(suspects.finished(bystander).is_none(), "nothing to tell");
}

#[test]
fn parts_of_the_content_do_not_run_together() {
    let one = Fingerprint::new("a", "/bc", b"d");
    let other = Fingerprint::new("a", "/b", b"cd");
    assert_ne!(one, other);
}

#[test]
fn memory_is_bounded() {
    let mut suspects = Suspects::default();
    for number in 0..20_000 {
        suspects.crashed(fingerprint(&number.to_string()), 0);
    }
    assert_eq!(suspects.all().len(), 10_000);
}

/// Guards against refusing a sound request for ever after a burst of crashes: one
/// that is refused cannot show that it is sound.
#[test]
fn a_sound_request_is_served_again_after_a_burst() {
    let mut suspects = Suspects::default();
    let sound = fingerprint("sound");
    for now_ms in [5_000, 5_400, 5_800] {
        assert_eq!(suspects.admit(sound, now_ms), Admission::Admitted);
        suspects.crashed(sound, now_ms);
    }
    let refused = suspects.admit(sound, 6_000);
    let retry_after_ms = 5_800 + PAUSE_MS - 6_000;
    assert_eq!(refused, Admission::Refused { retry_after_ms });
    assert_eq!(
        suspects.admit(sound, 6_000 + retry_after_ms),
        Admission::Trial
    );
    assert!(!suspects.is_refused(sound, 6_000 + retry_after_ms));
    suspects.finished(sound);
    assert_eq!(
        suspects.admit(sound, 6_001 + retry_after_ms),
        Admission::Admitted
    );
}

/// Guards against a request that crashes backend servers all day: every process
/// sees it again and again, and each crash is told to all.
#[test]
fn crashes_of_one_request_grow_rare() {
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

/// Guards against many callers who try the same content at once.
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

/// Guards against news that crossed with newer ones: they let a suspect run again, or
/// began its pause anew.
#[test]
fn older_news_of_a_suspect_change_nothing() {
    let mut suspects = Suspects::default();
    let fingerprint = fingerprint("suspect");
    for _ in 0..3 {
        suspects.crashed(fingerprint, 0);
    }
    for count in [2, 3] {
        let older = Strike { fingerprint, count };
        assert!(!suspects.merge(older, PAUSE_MS - 1), "{count}");
    }
    assert!(suspects.is_refused(fingerprint, PAUSE_MS - 1));
    assert_eq!(suspects.admit(fingerprint, PAUSE_MS), Admission::Trial);
}

/// Guards against a leader that ignores a strike as older news, because it was not told
/// that the suspect had been cleared before.
#[test]
fn a_suspect_that_was_cleared_and_struck_again_has_only_the_later_strike() {
    let (mut leader, mut entry) = (Suspects::default(), Suspects::default());
    let fingerprint = fingerprint("suspect");
    for _ in 0..2 {
        leader.merge(entry.crashed(fingerprint, 0), 0);
    }
    let mut outbox = Outbox::default();
    outbox.add(entry.finished(fingerprint).expect("news"));
    outbox.add(entry.crashed(fingerprint, 1));
    for strike in outbox.take() {
        leader.merge(strike, 2);
    }
    let count = 1;
    assert_eq!(leader.all(), [Strike { fingerprint, count }]);
    assert!(outbox.take().is_empty());
}
