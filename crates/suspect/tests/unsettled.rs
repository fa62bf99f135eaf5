//! Runs that ended without a complete answer, under all orders of the signs that follow.

use bw_suspect::{
    Fingerprint, Incarnation, Request, Run, Suspects,
    unsettled::{self, Runs},
};
use rstest::rstest;

const CONTENT: Fingerprint = Fingerprint(7);
/// Time after a response by which a later start would be known.
const CONFIRMATION_MS: u64 = 2_500;

fn incarnation(start: u64) -> Incarnation {
    Incarnation::new("backend", start)
}

/// A process that drops its runs before it learns what became of their backend server.
#[derive(Default)]
struct Process {
    runs: Runs<&'static str>,
    suspects: Suspects,
}

impl Process {
    /// Drops the run of a request that was sent one second before.
    fn drop_run(&mut self, start: u64, now_ms: u64, succeeded: Option<bool>) {
        let sent = Run::sent(now_ms - 1_000);
        let run = unsettled::Run::new("request", incarnation(start), sent, now_ms, succeeded);
        self.runs.add(run);
    }

    fn request() -> Request {
        Request::new(CONTENT, &["lead", "own"])
    }

    fn ended(&mut self, start: u64) {
        for run in self.runs.ended(incarnation(start)) {
            let (request, lost) = (Process::request(), run.incarnation);
            self.suspects
                .request_lost(&request, lost, run.run, run.ended_ms);
        }
    }

    fn lost(&mut self, start: u64) {
        let suspects = &mut self.suspects;
        self.runs.presume_ended(incarnation(start), |run| {
            let (request, lost) = (Process::request(), run.incarnation);
            let (crash, _) = suspects.request_lost(&request, lost, run.run, run.ended_ms);
            crash
        });
    }

    fn alive(&mut self, start: u64, at_ms: u64) {
        let runs = self.runs.heard(incarnation(start), at_ms);
        self.settle(runs, at_ms);
    }

    fn responded(&mut self, start: u64, sent_ms: u64, at_ms: u64) {
        let runs = self.runs.responded(incarnation(start), sent_ms, at_ms);
        self.settle(runs, at_ms);
    }

    fn confirm(&mut self, now_ms: u64) {
        let runs = self.runs.confirm(now_ms - CONFIRMATION_MS);
        self.settle(runs, now_ms);
    }

    fn settle(&mut self, runs: Vec<unsettled::Run<&'static str>>, now_ms: u64) {
        for run in runs {
            if let Some(crash) = run.strike() {
                self.suspects.withdraw(&Process::request(), crash, now_ms);
            }
        }
    }

    fn broke(&mut self, start: u64, now_ms: u64) {
        let run = Run::sent(now_ms - 100);
        let request = Process::request();
        self.suspects
            .request_crashed(&request, incarnation(start), run, now_ms);
    }

    fn strikes(&self) -> usize {
        self.suspects.strikes(CONTENT)
    }
}

/// Guards against the end of one backend server that counts more than once, or not at all,
/// by the way in which it is noticed. `e` has ended, `l` is probably lost, `a` a sign of
/// life after the run, `o` one from before its end, `b` another run with the same content
/// breaks.
#[rstest]
#[case("", 0)]
#[case("e", 1)]
#[case("l", 1)]
#[case("le", 1)]
#[case("el", 1)]
#[case("ll", 1)]
#[case("a", 0)]
#[case("ae", 0)]
#[case("al", 0)]
#[case("la", 0)]
#[case("lae", 0)]
#[case("lea", 1)]
#[case("ea", 1)]
#[case("oe", 1)]
#[case("ol", 1)]
#[case("lo", 1)]
#[case("be", 1)]
#[case("lb", 1)]
#[case("eb", 1)]
fn an_end_counts_once(#[case] signs: &str, #[case] strikes: usize) {
    let mut process = Process::default();
    process.drop_run(1, 10_000, None);
    for (sign, now_ms) in signs.chars().zip((10_010..).step_by(1_000)) {
        match sign {
            'e' => process.ended(1),
            'l' => process.lost(1),
            'a' => process.alive(1, now_ms),
            'o' => process.alive(1, 9_999),
            _ => process.broke(1, now_ms),
        }
    }
    assert_eq!(process.strikes(), strikes);
}

/// Guards against strikes of other starts of a backend server, and against runs that are
/// forgotten before a restart is announced.
#[test]
fn each_start_counts_by_itself() {
    let mut process = Process::default();
    for start in 1..=4 {
        process.drop_run(start, 10_000 * start, None);
    }
    process.alive(2, 20_500);
    process.ended(1);
    process.ended(2);
    process.lost(3);
    assert_eq!(process.strikes(), 2);
    process.ended(4);
    assert_eq!(process.strikes(), 3);
}

/// Guards against a sound request that is held to account for a run which was sent again
/// and answered.
#[test]
fn a_later_answer_settles_earlier_runs() {
    let mut process = Process::default();
    process.drop_run(1, 10_000, None);
    process.drop_run(2, 12_000, None);
    process
        .runs
        .answered(11_000, |subject| *subject == "request");
    process.ended(1);
    process.ended(2);
    assert_eq!(process.strikes(), 1);
}

/// Guards against memory that grows with each caller who leaves.
#[test]
fn old_runs_are_dropped() {
    let mut process = Process::default();
    for number in 0..3_000 {
        process.drop_run(1, 10_000 + number, None);
    }
    assert_eq!(process.runs.expire(13_000).len(), 2_000);
    assert_eq!(process.runs.expire(100_000).len(), 1_000);
    assert!(process.runs.is_empty());
}

/// Guards against a backend server that starts again, responds and only then announces its
/// start: the response is taken for one of the start before, whose end then counts against
/// nobody. `l` the former start is probably lost, `e` it is known to have ended, `q` a
/// response to a request that was sent right after the run, `r` one to a request that was
/// sent later, `c` the time has come by which a later start would be known, `f` announcements
/// did not arrive.
#[rstest]
#[case::end_is_known_later("re", 1)]
#[case::end_is_known_later_after_a_strike("lre", 1)]
#[case::it_goes_on("rc", 0)]
#[case::it_goes_on_after_a_strike("lrc", 0)]
#[case::it_goes_on_and_ends_later("rce", 0)]
#[case::it_is_too_early_to_say("lr", 1)]
#[case::it_cannot_have_started_again_so_soon("qe", 0)]
#[case::it_cannot_have_started_again_so_soon_after_a_strike("lqe", 0)]
#[case::nothing_is_heard("lrfc", 1)]
#[case::it_responds_again("lrfrc", 0)]
fn a_response_does_not_say_which_start_sends_it(#[case] signs: &str, #[case] strikes: usize) {
    let mut process = Process::default();
    process.drop_run(1, 10_000, None);
    let mut now_ms = 12_010;
    for sign in signs.chars() {
        match sign {
            'e' => process.ended(1),
            'l' => process.lost(1),
            'q' => process.responded(1, 10_900, now_ms),
            'r' => process.responded(1, now_ms, now_ms),
            'f' => process.runs.forget_responses(),
            _ => {
                now_ms += CONFIRMATION_MS;
                process.confirm(now_ms);
            }
        }
        now_ms += 2_000;
    }
    assert_eq!(process.strikes(), strikes);
}

/// Guards against a complete answer without a length that clears its parts seconds late,
/// while all requests with them are refused: the next response settles it.
#[test]
fn a_complete_answer_counts_with_the_next_response() {
    let mut process = Process::default();
    process.drop_run(1, 10_000, Some(true));
    let settled = process.runs.responded(incarnation(1), 15_000, 15_000);
    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].succeeded, Some(true));
}
