//! Trials of refused requests, which the control group grants.

use std::collections::HashMap;

use bw_relay::{
    ledger::{self, Ledger},
    suspect::{
        Evidence, Fingerprint, Incarnation, Suspects,
        trial::{Command, End, TRIALS_MAX, Trials, Verdict},
    },
};
use rstest::rstest;

const PAUSE_MS: u64 = 10_000;
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::new("a.example", "/x", body.as_bytes())
}

/// Returns evidence of crashes of the backend servers of these numbers.
fn evidence(content: Fingerprint, servers: std::ops::Range<usize>) -> Evidence {
    let mut suspects = Suspects::default();
    for number in servers {
        suspects.crashed(content, server(number), 0);
    }
    suspects.evidence(content)
}

fn server(number: usize) -> Incarnation {
    Incarnation::new(&format!("server-{number}"), 1)
}

/// The trials of one suspect.
struct Suspect {
    trials: Trials,
    content: Fingerprint,
}

impl Suspect {
    /// Records a suspect with three strikes at time 0.
    fn refused() -> Suspect {
        let content = fingerprint("suspect");
        let mut suspect = Suspect {
            trials: Trials::default(),
            content,
        };
        suspect.strike(0..3, 0);
        suspect
    }

    fn strike(&mut self, servers: std::ops::Range<usize>, now_ms: u64) {
        let evidence = evidence(self.content, servers);
        self.trials.execute(Command::Record { evidence, now_ms });
    }

    fn begin(&mut self, ticket: u64, calm: bool, now_ms: u64) -> Verdict {
        let fingerprint = self.content;
        let begin = Command::Begin {
            fingerprint,
            ticket,
            calm,
            now_ms,
        };
        self.trials.execute(begin).expect("a verdict")
    }

    fn end(&mut self, ticket: u64, end: End, now_ms: u64) {
        let fingerprint = self.content;
        self.trials.execute(Command::End {
            fingerprint,
            ticket,
            end,
            now_ms,
        });
    }
}

fn wait(retry_after_ms: u64) -> Verdict {
    Verdict::Wait { retry_after_ms }
}

/// Guards against a trial for each of many entry VMs that ask at the same time.
#[test]
fn one_trial_runs_at_a_time() {
    let mut suspect = Suspect::refused();
    assert_eq!(suspect.begin(1, true, PAUSE_MS - 1), wait(1));
    assert_eq!(suspect.begin(2, true, PAUSE_MS), Verdict::Granted);
    for ticket in 3..400 {
        assert_eq!(suspect.begin(ticket, true, PAUSE_MS), wait(PAUSE_MS));
    }
    suspect.strike(0..4, PAUSE_MS + 80);
    assert_eq!(
        suspect.begin(400, true, PAUSE_MS + 81),
        wait(2 * PAUSE_MS - 1)
    );
}

/// Guards against a request that crashes a backend server in one trial after the other.
#[test]
fn trials_end_for_good_when_all_have_crashed() {
    let mut suspect = Suspect::refused();
    let mut now_ms = PAUSE_MS;
    for trial in 0..TRIALS_MAX {
        assert_eq!(
            suspect.begin(u64::from(trial), true, now_ms),
            Verdict::Granted
        );
        suspect.strike(0..4 + trial as usize, now_ms);
        now_ms += PAUSE_MS << (trial + 1);
    }
    for at_ms in [now_ms, now_ms + DAY_MS, now_ms + 30 * DAY_MS] {
        assert_eq!(suspect.begin(9, true, at_ms), Verdict::Exhausted);
    }
}

/// Guards against a trial that is forgotten when the entry VM that runs it dies or the
/// grant is lost on its way.
#[test]
fn a_trial_without_a_report_stays_counted() {
    let mut suspect = Suspect::refused();
    let mut now_ms = PAUSE_MS;
    for ticket in 0..u64::from(TRIALS_MAX) {
        assert_eq!(suspect.begin(ticket, true, now_ms), Verdict::Granted);
        now_ms += PAUSE_MS;
    }
    assert_eq!(suspect.begin(9, true, now_ms), Verdict::Exhausted);
}

/// Guards against a harmless request that is refused for good because its trials found
/// backend servers full or unreachable.
#[test]
fn a_trial_that_did_not_run_is_not_counted() {
    let mut suspect = Suspect::refused();
    for ticket in 0..10 {
        assert_eq!(suspect.begin(ticket, true, PAUSE_MS), Verdict::Granted);
        suspect.end(ticket, End::NotRun, PAUSE_MS);
        suspect.end(ticket, End::NotRun, PAUSE_MS);
    }
}

/// Guards against a harmless request that is refused for good because callers disconnect
/// during its trials, and against many such runs of one that is not harmless.
#[test]
fn inconclusive_trials_become_rare() {
    let mut suspect = Suspect::refused();
    let mut granted = 0;
    for now_ms in (PAUSE_MS..30 * DAY_MS).step_by(1_000) {
        if suspect.begin(now_ms, true, now_ms) == Verdict::Granted {
            granted += 1;
            suspect.end(now_ms, End::Inconclusive, now_ms);
        }
    }
    assert!((400..=520).contains(&granted), "{granted} in a month");
}

/// Guards against a harmless request that is refused for as long as the stream of its
/// trial lasts.
#[test]
fn another_trial_begins_beside_one_that_streams() {
    let mut suspect = Suspect::refused();
    assert_eq!(suspect.begin(1, true, PAUSE_MS), Verdict::Granted);
    suspect.end(1, End::Streaming, PAUSE_MS + 50);
    assert_eq!(suspect.begin(2, true, PAUSE_MS + 50), Verdict::Granted);
    let third = suspect.begin(3, true, PAUSE_MS + 60);
    assert!(matches!(third, Verdict::Wait { .. }), "{third:?}");
    suspect.end(1, End::Inconclusive, PAUSE_MS + 70);
    suspect.end(2, End::Inconclusive, PAUSE_MS + 70);
    assert_eq!(suspect.begin(4, true, 4 * PAUSE_MS), Verdict::Granted);
}

/// Guards against a trial amid a burst of crashes, and against one that never begins
/// because a single backend server keeps crashing.
#[test]
fn a_trial_waits_for_calm_but_not_forever() {
    let mut suspect = Suspect::refused();
    assert_eq!(suspect.begin(1, false, PAUSE_MS), wait(1_000));
    assert_eq!(suspect.begin(2, false, 2 * PAUSE_MS - 1), wait(1_000));
    assert_eq!(suspect.begin(3, false, 2 * PAUSE_MS), Verdict::Granted);
}

/// Guards against a request that stays recorded although it was answered.
#[test]
fn an_answered_request_is_removed() {
    let mut suspect = Suspect::refused();
    let mut suspects = Suspects::default();
    suspects.merge(&evidence(suspect.content, 0..3), 0);
    let evidence = suspects.finished(suspect.content, 1).expect("cleared");
    let now_ms = 1;
    suspect.trials.execute(Command::Record { evidence, now_ms });
    assert_eq!(suspect.trials.evidence().count(), 0);
}

/// Guards against a content that is refused forever.
#[test]
fn a_record_is_outdated_after_a_month() {
    let mut suspect = Suspect::refused();
    for ticket in 0..u64::from(TRIALS_MAX) {
        let now_ms = PAUSE_MS + ticket * PAUSE_MS;
        assert_eq!(suspect.begin(ticket, true, now_ms), Verdict::Granted);
    }
    assert_eq!(suspect.begin(9, true, 30 * DAY_MS), Verdict::Exhausted);
    assert_eq!(suspect.begin(9, true, 32 * DAY_MS), Verdict::Granted);
}

/// Guards against refused requests that push those with exhausted trials out of the
/// record.
#[test]
fn suspects_with_the_fewest_strikes_are_dropped_first() {
    let mut suspect = Suspect::refused();
    suspect.strike(0..5, 0);
    for number in 0..20_000 {
        let content = fingerprint(&format!("bystander-{number}"));
        let evidence = evidence(content, 0..3);
        let now_ms = 1;
        suspect.trials.execute(Command::Record { evidence, now_ms });
    }
    let count = suspect.trials.evidence().count();
    assert!((9_000..=10_000).contains(&count), "{count}");
    let mut kept = suspect.trials.evidence();
    assert!(kept.any(|evidence| evidence.fingerprint == suspect.content));
}

/// Guards against trials that begin anew after a loss of all processes.
#[test]
fn trials_are_part_of_the_snapshot() {
    let content = fingerprint("suspect");
    let mut before = Ledger::default();
    let record = Command::Record {
        evidence: evidence(content, 0..3),
        now_ms: 0,
    };
    before.execute(ledger::Command::Suspect(record));
    let mut after = Ledger::default();
    let snapshot = bw_coord::host::Machine::snapshot(&before);
    bw_coord::host::Machine::restore(&mut after, &snapshot).expect("a snapshot");
    assert_eq!(after.trials(), before.trials());
    assert_eq!(after.trials().evidence().count(), 1);
}

/// The entry VMs of a fleet, with the group that grants trials.
struct Fleet {
    entries: Vec<Suspects>,
    trials: Trials,
    /// Until when each entry VM does not ask for a trial, by its number and the content.
    waits: HashMap<(usize, Fingerprint), u64>,
    tickets: u64,
    crashes: usize,
}

impl Fleet {
    fn new(entries: usize) -> Fleet {
        Fleet {
            entries: vec![Suspects::default(); entries],
            trials: Trials::default(),
            waits: HashMap::new(),
            tickets: 0,
            crashes: 0,
        }
    }

    /// Returns the entry VMs that send a request that callers send to all of them at once,
    /// before any of them hears of the others' runs.
    fn senders(&mut self, content: Fingerprint, now_ms: u64) -> Vec<usize> {
        let entries = 0..self.entries.len();
        entries
            .filter(|entry| self.admits(*entry, content, now_ms))
            .collect()
    }

    fn admits(&mut self, entry: usize, content: Fingerprint, now_ms: u64) -> bool {
        if !self.entries[entry].is_refused(content) {
            return true;
        }
        let until_ms = self.waits.get(&(entry, content)).copied().unwrap_or(0);
        if now_ms < until_ms {
            return false;
        }
        self.tickets += 1;
        let verdict = self.trials.execute(Command::Begin {
            fingerprint: content,
            ticket: self.tickets,
            calm: true,
            now_ms,
        });
        let wait_ms = match verdict {
            Some(Verdict::Granted) => return true,
            Some(Verdict::Wait { retry_after_ms }) => retry_after_ms,
            Some(Verdict::Exhausted) | None => DAY_MS,
        };
        self.waits.insert((entry, content), now_ms + wait_ms);
        false
    }

    /// Crashes one backend server for each sender, of which the fleet hears.
    fn crash(&mut self, content: Fingerprint, senders: &[usize], now_ms: u64) {
        for entry in senders {
            self.crashes += 1;
            let crash = server(self.crashes);
            let evidence = self.entries[*entry].crashed(content, crash, now_ms);
            for other in &mut self.entries {
                other.merge(&evidence, now_ms);
            }
            self.trials.execute(Command::Record { evidence, now_ms });
        }
    }
}

/// Guards against a bound on crashes that holds only because a day is short or the fleet
/// small: a poison request is sent to all entry VMs for a month.
#[rstest]
#[case::small(6)]
#[case::large(400)]
fn a_poison_request_runs_five_times_in_a_month(#[case] entries: usize) {
    let mut fleet = Fleet::new(entries);
    let poison = fingerprint("poison");
    let mut last_ms = 0;
    for now_ms in (0..60_000)
        .step_by(500)
        .chain((60_000..30 * DAY_MS).step_by(600_000))
    {
        let mut senders = fleet.senders(poison, now_ms);
        if fleet.crashes < 3 {
            // Callers send it one after the other before it is refused.
            senders.truncate(1);
        }
        if !senders.is_empty() {
            last_ms = now_ms;
        }
        fleet.crash(poison, &senders, now_ms);
    }
    assert_eq!(fleet.crashes, 5);
    assert!(last_ms < 60_000, "last sent at {last_ms} ms");
}

/// Guards against sound requests that stay refused after a burst of crashes, at whichever
/// entry VM their callers return.
#[rstest]
#[case::small(6)]
#[case::large(400)]
fn sound_requests_are_served_after_a_burst_of_crashes(#[case] entries: usize) {
    let mut fleet = Fleet::new(entries);
    let sound: Vec<Fingerprint> = (0..50)
        .map(|number| fingerprint(&format!("sound-{number}")))
        .collect();
    for content in &sound {
        for now_ms in [0, 400, 800] {
            fleet.crash(*content, &[0], now_ms);
        }
    }
    for content in &sound {
        let senders = fleet.senders(*content, 1_000);
        assert!(senders.is_empty(), "{senders:?}");
    }
    for content in &sound {
        let senders = fleet.senders(*content, 800 + PAUSE_MS);
        assert_eq!(senders.len(), 1, "one trial");
        let cleared = fleet.entries[senders[0]].finished(*content, 900 + PAUSE_MS);
        for entry in &mut fleet.entries {
            entry.merge(cleared.as_ref().expect("cleared"), 900 + PAUSE_MS);
        }
        let senders = fleet.senders(*content, 900 + PAUSE_MS);
        assert_eq!(senders.len(), entries, "served by all");
    }
}
