//! Detection of poison requests, which crash the backend servers that run them.

use bw_suspect::{Evidence, Fingerprint, Incarnation, Suspects};
use proptest::prelude::*;

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::new("a.example", "/x", body.as_bytes())
}

/// Returns the backend server of this number.
fn server(number: usize) -> Incarnation {
    Incarnation::new(&format!("server-{number}"), 1)
}

#[test]
fn strikes_of_all_processes_count_towards_a_refusal() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let poison = fingerprint("poison");
    for number in 0..2 {
        there.merge(&here.crashed(poison, server(number), 0), 0);
    }
    assert!(!here.is_refused(poison));
    here.merge(&there.crashed(poison, server(2), 0), 0);
    assert!(here.is_refused(poison) && there.is_refused(poison));
    assert!(!here.is_refused(fingerprint("other")));
}

/// Guards against refusing a request that merely ran on a backend server that crashed.
#[test]
fn a_complete_answer_clears_a_bystander() {
    let mut suspects = Suspects::default();
    let bystander = fingerprint("bystander");
    for number in 0..5 {
        suspects.crashed(bystander, server(number), 0);
        assert!(suspects.finished(bystander, 0).is_some());
        assert!(!suspects.is_refused(bystander));
    }
    assert!(suspects.finished(bystander, 0).is_none(), "already cleared");
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
        suspects.crashed(fingerprint(&number.to_string()), server(0), 0);
    }
    assert_eq!(suspects.all().len(), 10_000);
}

/// Guards against evidence that arrives after newer one and is taken for new.
#[test]
fn outdated_evidence_is_ignored() {
    let mut suspects = Suspects::default();
    let fingerprint = fingerprint("suspect");
    let evidence = [0, 1, 2].map(|number| suspects.crashed(fingerprint, server(number), 0));
    for outdated in &evidence {
        assert!(!suspects.merge(outdated, 1), "{outdated:?}");
    }
    assert!(suspects.is_refused(fingerprint));
}

/// Guards against a trial in the middle of a burst of crashes that its request does not
/// cause.
#[test]
fn the_fleet_is_calm_once_no_other_request_meets_a_crash() {
    let mut suspects = Suspects::default();
    let [one, other] = ["one", "other"].map(fingerprint);
    suspects.crashed(one, server(0), 0);
    assert!(suspects.is_calm(one, 0) && !suspects.is_calm(other, 0));
    suspects.crashed(other, server(1), 500);
    suspects.crashed(other, server(2), 1_000);
    assert!(!suspects.is_calm(other, 1_999) && suspects.is_calm(other, 2_000));
    assert!(!suspects.is_calm(one, 2_999) && suspects.is_calm(one, 3_000));
}

/// Guards against strikes of before a clearing that come back with an update from a
/// process that did not hear of it.
#[test]
fn a_strike_after_a_clearance_counts_from_one() {
    let (mut leader, mut entry) = (Suspects::default(), Suspects::default());
    let fingerprint = fingerprint("suspect");
    let evidence = [0, 1].map(|number| entry.crashed(fingerprint, server(number), 0));
    let clearing = entry.finished(fingerprint, 0).expect("an update");
    leader.merge(&clearing, 2);
    leader.merge(&entry.crashed(fingerprint, server(2), 1), 2);
    for outdated in &evidence {
        leader.merge(outdated, 3);
    }
    assert_eq!(leader.evidence(fingerprint).strikes(), 1);
    assert_eq!(leader.all(), entry.all());
}

/// Guards against the loss of a strike when two entry VMs see crashes before they hear of
/// each other's.
#[test]
fn crashes_that_two_processes_see_at_once_both_count() {
    let mut processes = vec![Suspects::default(); 3];
    let poison = fingerprint("poison");
    let evidence: Vec<Evidence> = processes
        .iter_mut()
        .enumerate()
        .map(|(number, process)| process.crashed(poison, server(number), 0))
        .collect();
    for process in &mut processes {
        for known in &evidence {
            process.merge(known, 1);
        }
        assert_eq!(process.evidence(poison).strikes(), 3);
        assert!(process.is_refused(poison));
    }
}

/// Guards against a refusal after one crash, when a backend server ran a popular request
/// for callers of several entry VMs.
#[test]
fn a_crash_that_two_processes_see_counts_once() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let popular = fingerprint("popular");
    let evidence = here.crashed(popular, server(0), 0);
    here.crashed(popular, server(0), 1);
    there.crashed(popular, server(0), 3);
    here.merge(&there.evidence(popular), 4);
    there.merge(&evidence, 4);
    assert_eq!(here.evidence(popular).strikes(), 1);
    assert_eq!(there.evidence(popular).strikes(), 1);
    // It has been restarted meanwhile, which no announcement has told yet.
    assert_eq!(here.crashed(popular, server(0), 2_000).strikes(), 2);
}

/// What one of several processes does, by its number.
#[derive(Clone, Debug)]
enum Step {
    /// It sees a crash of the backend server of this number.
    Crash(usize, usize),
    /// It sees a complete answer.
    Finish(usize),
    /// It hears all that another process knows.
    Hear(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3_usize, 0..5_usize).prop_map(|(process, server)| Step::Crash(process, server)),
        1 => (0..3_usize).prop_map(Step::Finish),
        3 => (0..3_usize, 0..3_usize).prop_map(|(to, from)| Step::Hear(to, from)),
    ]
}

proptest! {
    /// Guards against strikes that are lost, or come back, by the order in which messages
    /// arrive, get lost or are repeated.
    #[test]
    fn all_processes_come_to_know_the_same(steps in prop::collection::vec(step(), 0..24)) {
        let suspect = fingerprint("suspect");
        let mut processes = vec![Suspects::default(); 3];
        for (index, step) in steps.into_iter().enumerate() {
            let now_ms = index as u64 * 1_000;
            match step {
                Step::Crash(process, number) => {
                    let before = processes[process].evidence(suspect).strikes();
                    processes[process].crashed(suspect, server(number), now_ms);
                    prop_assert_eq!(processes[process].evidence(suspect).strikes(), before + 1);
                }
                Step::Finish(process) => {
                    processes[process].finished(suspect, now_ms);
                    prop_assert_eq!(processes[process].evidence(suspect).strikes(), 0);
                }
                Step::Hear(to, from) => {
                    let known = processes[from].evidence(suspect);
                    processes[to].merge(&known, now_ms);
                }
            }
        }
        let known: Vec<Evidence> = processes.iter().map(|process| process.evidence(suspect)).collect();
        for process in &mut processes {
            for evidence in known.iter().rev() {
                process.merge(evidence, 100_000);
            }
        }
        prop_assert_eq!(processes[0].all(), processes[1].all());
        prop_assert_eq!(processes[1].all(), processes[2].all());
    }
}
