//! Trials of refused parts of prompts, which the control group grants.

use bw_relay::suspect::{
    Evidence, Fingerprint, Incarnation, Request, Run, Suspects,
    part::Begin,
    trial::{Command, End, Trials, Verdict},
};
use rstest::rstest;

const PAUSE_MS: u64 = 2_000;
const TRIAL_MS: u64 = 2_000;
const RESULT_MS: u64 = 10_000;
const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;

fn part() -> Fingerprint {
    Fingerprint::of_part("part")
}

fn server(number: u64) -> Incarnation {
    Incarnation::new(&format!("server-{number}"), 1)
}

/// A part that was refused for three crashes at time 0, and its trials.
struct Part {
    trials: Trials,
    suspects: Suspects,
    begin: Begin,
}

impl Part {
    fn refused() -> Part {
        let mut part = Part {
            trials: Trials::default(),
            suspects: Suspects::default(),
            begin: Begin {
                fingerprint: part(),
                ticket: 0,
                backend: None,
                is_suspected: false,
                calm_in_ms: 0,
                was_disturbed: false,
                oldest_start_ms: 0,
                now_ms: 0,
            },
        };
        for number in 0..3 {
            part.strike(number, 0);
        }
        part
    }

    fn strike(&mut self, number: u64, now_ms: u64) {
        let request = Request::of_parts(&["part", "own"]);
        let run = Run::sent(now_ms);
        self.suspects
            .request_crashed(&request, server(number), run, now_ms);
        self.record(self.suspects.evidence(part()), now_ms);
    }

    fn record(&mut self, evidence: Evidence, now_ms: u64) {
        self.trials.execute(Command::Record { evidence, now_ms });
    }

    /// Asks for a trial at the backend server of this number.
    fn ask(&mut self, number: u64, now_ms: u64) -> Verdict {
        let begin = Begin {
            ticket: number,
            backend: Some(server(number)),
            now_ms,
            ..self.begin.clone()
        };
        let verdict = self.trials.execute(Command::BeginPart(begin));
        verdict.expect("a verdict")
    }

    fn end(&mut self, ticket: u64, end: End, now_ms: u64) {
        self.trials.execute(Command::End {
            fingerprint: part(),
            ticket,
            end,
            now_ms,
        });
    }
}

fn wait(retry_after_ms: u64) -> Verdict {
    Verdict::Wait { retry_after_ms }
}

/// Guards against a deadly part that crashes more than two backend servers in trials.
#[test]
fn two_trials_that_crash_end_the_trials_of_a_part() {
    let mut part = Part::refused();
    assert_eq!(part.ask(10, PAUSE_MS - 1), wait(1));
    assert_eq!(part.ask(10, PAUSE_MS), Verdict::Granted);
    assert_eq!(part.ask(11, PAUSE_MS + 1), wait(TRIAL_MS - 1));
    part.strike(10, PAUSE_MS + 60);
    assert_eq!(part.ask(11, PAUSE_MS + 60), wait(4 * PAUSE_MS));
    let second_ms = 5 * PAUSE_MS + 60;
    assert_eq!(part.ask(11, second_ms), Verdict::Granted);
    part.strike(11, second_ms + 60);
    for now_ms in [second_ms + MINUTE_MS, 30 * DAY_MS] {
        assert_eq!(part.ask(12, now_ms), Verdict::Exhausted);
    }
}

/// Guards against a part that is refused for good while it is not known yet whether the
/// backend server of its last trial, which fell silent, goes on.
#[test]
fn a_trial_without_a_result_is_awaited() {
    let mut part = Part::refused();
    assert_eq!(part.ask(10, PAUSE_MS), Verdict::Granted);
    part.strike(10, PAUSE_MS);
    let second_ms = 5 * PAUSE_MS;
    assert_eq!(part.ask(11, second_ms), Verdict::Granted);
    for waited_ms in [TRIAL_MS, RESULT_MS - 1] {
        let verdict = part.ask(12, second_ms + waited_ms);
        assert_eq!(verdict, wait(RESULT_MS - waited_ms));
    }
    let mut lost = part.trials.clone();
    let lost_ms = second_ms + RESULT_MS;
    part.end(11, End::Inconclusive, lost_ms);
    assert_eq!(part.ask(12, lost_ms), wait(PAUSE_MS));
    assert_eq!(part.ask(12, lost_ms + PAUSE_MS), Verdict::Granted);
    std::mem::swap(&mut part.trials, &mut lost);
    assert_eq!(part.ask(12, lost_ms), Verdict::Exhausted);
}

/// Guards against a sound part whose trials are used up by crashes elsewhere, by runs that
/// we stopped ourselves, or by trials that found no backend server (incident LOST).
#[rstest]
#[case::crash_elsewhere(None)]
#[case::preempted(Some(End::Preempted))]
#[case::not_run(Some(End::NotRun))]
#[case::inconclusive(Some(End::Inconclusive))]
fn a_trial_that_crashed_nothing_does_not_count(#[case] end: Option<End>) {
    let mut part = Part::refused();
    let mut now_ms = PAUSE_MS;
    for ticket in 10..40 {
        assert_eq!(part.ask(ticket, now_ms), Verdict::Granted, "at {now_ms}");
        match end {
            Some(end) => part.end(ticket, end, now_ms + 50),
            None => {
                part.end(ticket, End::Streaming, now_ms + 500);
                part.strike(100 + ticket, now_ms + 600);
                part.end(ticket, End::Preempted, now_ms + 700);
            }
        }
        now_ms += 20_000;
    }
}

/// Guards against a preemption that delays the trials of a part, however often it comes.
#[test]
fn preemptions_do_not_lengthen_the_wait_for_a_trial() {
    let mut part = Part::refused();
    let mut now_ms = PAUSE_MS;
    for ticket in 10..100 {
        assert_eq!(part.ask(ticket, now_ms), Verdict::Granted);
        part.end(ticket, End::Preempted, now_ms + 50);
        now_ms += 250;
    }
}

/// Guards against a new leader that waits for, or counts, the trial of the one before.
#[test]
fn a_trial_of_a_lost_leader_is_not_counted_if_its_backend_server_runs() {
    let mut part = Part::refused();
    for ticket in 10..20 {
        let now_ms = PAUSE_MS + ticket * 100;
        assert_eq!(part.ask(ticket, now_ms), Verdict::Granted);
        part.trials.execute(Command::Abandoned {
            running: vec![server(ticket)],
            now_ms: now_ms + 50,
        });
    }
}

/// Guards against trials of a deadly part without end, as their leaders are lost with the
/// backend servers that they crash.
#[test]
fn a_trial_of_a_lost_leader_counts_if_its_backend_server_is_gone() {
    let mut part = Part::refused();
    assert_eq!(part.ask(10, PAUSE_MS), Verdict::Granted);
    let abandoned = Command::Abandoned {
        running: vec![server(1)],
        now_ms: PAUSE_MS + 1_000,
    };
    part.trials.execute(abandoned);
    let again_ms = 4 * PAUSE_MS + TRIAL_MS;
    assert_eq!(part.ask(11, again_ms), Verdict::Granted);
    part.strike(11, again_ms + 60);
    assert_eq!(part.ask(12, again_ms + MINUTE_MS), Verdict::Exhausted);
}

/// Guards against a wait that lasts longer as the clock of a new leader is behind.
#[test]
fn a_clock_that_is_behind_does_not_lengthen_the_wait() {
    let mut part = Part::refused();
    part.strike(3, 10_000);
    part.trials.execute(Command::Abandoned {
        running: Vec::new(),
        now_ms: 1_000,
    });
    assert_eq!(part.ask(10, 1_000 + PAUSE_MS), Verdict::Granted);
}

/// Guards against a part that stays refused after a release under which it is sound.
#[test]
fn trials_begin_anew_once_all_backend_servers_were_replaced() {
    let mut part = Part::refused();
    part.ask(10, PAUSE_MS);
    part.strike(10, PAUSE_MS);
    part.ask(11, 5 * PAUSE_MS);
    part.strike(11, 5 * PAUSE_MS);
    part.begin.oldest_start_ms = 5 * PAUSE_MS;
    assert_eq!(part.ask(12, MINUTE_MS), Verdict::Exhausted);
    part.begin.oldest_start_ms = MINUTE_MS;
    assert_eq!(part.ask(12, 2 * MINUTE_MS), Verdict::Granted);
}

/// Guards against a burst of crashes that uses up the trials of a sound part, and against
/// more than one excuse for a deadly one.
#[test]
fn one_trial_that_broke_among_others_is_excused() {
    let mut part = Part::refused();
    let mut granted = 0;
    for number in 10..20 {
        let now_ms = number * 10 * MINUTE_MS;
        part.begin.was_disturbed = number > 10;
        match part.ask(number, now_ms) {
            Verdict::Granted => {
                granted += 1;
                part.strike(number, now_ms + 60);
            }
            verdict => assert_eq!(verdict, Verdict::Exhausted),
        }
    }
    assert_eq!(granted, 3);
}

/// Guards against a trial amid a burst of crashes, and against one that never begins as
/// a single backend server keeps crashing.
#[test]
fn a_trial_of_a_part_waits_for_calm_but_not_forever() {
    let mut part = Part::refused();
    part.begin.calm_in_ms = 700;
    assert_eq!(part.ask(10, PAUSE_MS), wait(700));
    assert_eq!(part.ask(10, PAUSE_MS + 19_900), wait(100));
    assert_eq!(part.ask(10, PAUSE_MS + 20_000), Verdict::Granted);
}

/// Guards against an item that crashes backend servers by itself and uses up the trials of
/// a part that sound items share.
#[test]
fn a_suspected_item_leaves_the_last_trial_to_others() {
    let mut part = Part::refused();
    part.begin.is_suspected = true;
    assert_eq!(part.ask(10, PAUSE_MS), Verdict::Granted);
    part.strike(10, PAUSE_MS + 60);
    for minute in 1..10 {
        let verdict = part.ask(11, minute * MINUTE_MS);
        assert!(matches!(verdict, Verdict::Wait { .. }), "{verdict:?}");
    }
    part.begin.is_suspected = false;
    assert_eq!(part.ask(12, 10 * MINUTE_MS), Verdict::Granted);
}

/// Guards against items of a sound part that run one after the other while its strikes are
/// older than the trial.
#[test]
fn each_trial_that_lives_lets_two_more_begin() {
    let mut part = Part::refused();
    assert_eq!(part.ask(10, PAUSE_MS), Verdict::Granted);
    let mut open: Vec<u64> = vec![10];
    let mut granted = Vec::new();
    for round in 1..4 {
        let now_ms = PAUSE_MS + round * 500;
        for ticket in open.drain(..) {
            part.end(ticket, End::Streaming, now_ms);
        }
        for ticket in (100 * round)..(100 * round + 50) {
            if part.ask(ticket, now_ms) == Verdict::Granted {
                open.push(ticket);
            }
        }
        granted.push(open.len());
    }
    assert_eq!(granted, [2, 4, 8]);
}

/// Guards against trials that begin anew after a loss of all programs, and against a part
/// that stays refused as a former version counted trials that we stopped ourselves.
#[test]
fn the_trials_of_parts_are_part_of_the_snapshot() {
    use bw_relay::ledger::{self, Ledger};
    let mut before = Ledger::default();
    let mut part = Part::refused();
    let evidence = part.suspects.evidence(self::part());
    let record = Command::Record {
        evidence,
        now_ms: 0,
    };
    before.execute(ledger::Command::Suspect(record));
    let begin = Begin {
        now_ms: PAUSE_MS,
        ..part.begin.clone()
    };
    before.execute(ledger::Command::Suspect(Command::BeginPart(begin)));
    let mut after = Ledger::default();
    let snapshot = bw_coord::host::Machine::snapshot(&before);
    bw_coord::host::Machine::restore(&mut after, &snapshot).expect("a snapshot");
    assert_eq!(after.trials(), before.trials());
    for now_ms in [PAUSE_MS, 2 * PAUSE_MS] {
        part.trials.execute(Command::Begin {
            fingerprint: self::part(),
            ticket: now_ms,
            calm: true,
            now_ms: 10 * now_ms,
        });
    }
    assert_eq!(part.ask(10, MINUTE_MS), Verdict::Granted);
    part.strike(10, MINUTE_MS + 60);
    assert_eq!(part.ask(11, 2 * MINUTE_MS), Verdict::Exhausted);
}
