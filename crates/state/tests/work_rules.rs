//! Rules of the work machine, one case each.

use std::collections;

use bw_coord::payload;
use bw_state::work::Machine;
use bw_wire::{command, command::work, fingerprint, name::Name, query};

/// A machine with its payloads, a clock and an index.
struct Bench {
    machine: Machine,
    payloads: payload::Memory,
    index: u64,
    now_ms: u64,
}

impl Bench {
    fn new() -> Bench {
        Bench {
            machine: Machine::new(),
            payloads: payload::Memory::new(),
            index: 0,
            now_ms: 1_000_000,
        }
    }

    fn run(&mut self, command: work::Command) -> work::Reply {
        self.index += 1;
        let stamped = command::Stamped {
            now_ms: self.now_ms,
            command,
        };
        let reply = self.machine.apply(self.index, stamped);
        self.payloads.apply(self.machine.effects());
        let completed = self.machine.complete(reply, &mut &self.payloads);
        completed.expect("the payloads are stored")
    }

    fn query(&self, query: &query::Query) -> Option<query::Answer> {
        let answer = self.machine.query(query, &mut &self.payloads);
        answer.expect("the payloads are stored")
    }

    fn restart(&mut self) {
        let snapshot = self.machine.snapshot();
        self.machine = Machine::new();
        self.machine.restore(&snapshot).expect("own snapshot");
        assert_eq!(self.machine.snapshot(), snapshot);
    }

    fn upload(&mut self, file: &str, team: &str, chunks: u32, items: u32) {
        for chunk in 0..chunks {
            let lines = (0..items)
                .map(|item| line(chunk * items + item + 1))
                .collect();
            let command = work::Command::FileChunk {
                file: file.into(),
                chunk,
                lines,
            };
            assert_eq!(self.run(command), work::Reply::Ok);
        }
        assert_eq!(self.run(seal(file, team, chunks)), work::Reply::Ok);
    }

    fn create(&mut self, job: &str, team: &str, file: &str, window_ms: u64) -> work::Reply {
        self.run(work::Command::JobCreate {
            job: job.into(),
            team: team.into(),
            file: file.into(),
            endpoint: URL.to_owned(),
            window_ms,
            metadata: collections::BTreeMap::new(),
        })
    }

    fn take(&mut self, holder: &str, want: u32) -> Vec<work::Lease> {
        self.take_for(holder, want, &[])
    }

    fn take_for(&mut self, holder: &str, want: u32, models: &[&str]) -> Vec<work::Lease> {
        let command = work::Command::Take {
            holder: holder.into(),
            want,
            lease_ms: LEASE_MS,
            models: names(models),
        };
        match self.run(command) {
            work::Reply::Taken { leases } => leases,
            other => panic!("unexpected reply {other:?}"),
        }
    }

    fn record(&mut self, lease: &work::Lease) -> work::Reply {
        let outcomes = lease.lines.iter().map(|line| answer(line.number)).collect();
        self.run(work::Command::Record {
            chunk: lease.chunk.clone(),
            outcomes,
        })
    }

    fn state(&self, job: &str, team: &str) -> query::JobState {
        let query = query::Query::Job {
            job: job.into(),
            team: team.into(),
        };
        match self.query(&query) {
            Some(query::Answer::Job(job)) => job.state,
            other => panic!("unexpected answer {other:?}"),
        }
    }
}

const URL: &str = "/v1/completions";
const LEASE_MS: u64 = 10_000;
const HOUR_MS: u64 = 3_600_000;

fn names(models: &[&str]) -> Vec<Name> {
    models.iter().map(|&model| model.into()).collect()
}

fn line(number: u32) -> work::Line {
    line_for(number, "m")
}

fn line_for(number: u32, model: &str) -> work::Line {
    work::Line {
        number,
        custom_id: Some(format!("item-{number}")),
        content: work::Content::Request {
            url: URL.to_owned(),
            model: model.into(),
            body: "{}".to_owned(),
        },
    }
}

fn answer(number: u32) -> work::Outcome {
    work::Outcome {
        number,
        result: work::Result::Answer {
            status: 200,
            body: format!("\"{number}\""),
        },
    }
}

fn seal(file: &str, team: &str, chunks: u32) -> work::Command {
    work::Command::FileSeal {
        file: file.into(),
        team: team.into(),
        filename: "in.jsonl".to_owned(),
        purpose: "batch".to_owned(),
        bytes: 10,
        chunks,
    }
}

fn begin(holder: &str, holder_gone: bool) -> work::Command {
    work::Command::AttemptBegin {
        team: "t".into(),
        key: "invoice-7".into(),
        body: fingerprint::Fingerprint(1, 2),
        holder: holder.into(),
        timeout_ms: 5_000,
        holder_gone,
    }
}

fn end(attempt: u64, outcome: work::AttemptOutcome) -> work::Command {
    work::Command::AttemptEnd {
        team: "t".into(),
        key: "invoice-7".into(),
        attempt,
        outcome,
    }
}

fn done(body: &str) -> work::AttemptOutcome {
    work::AttemptOutcome::Done {
        status: 200,
        content_type: "application/json".to_owned(),
        body: body.to_owned(),
        binary: false,
    }
}

/// Guards against a late worker overwriting the result of its successor.
#[test]
fn record_under_an_old_fence_is_refused() {
    let mut bench = Bench::new();
    bench.upload("f", "t", 1, 3);
    bench.create("j", "t", "f", HOUR_MS);
    let old = bench.take("a", 1).remove(0);
    bench.now_ms += LEASE_MS;
    let new = bench.take("b", 1).remove(0);
    assert!(new.chunk.fence > old.chunk.fence);
    let refused = work::Reply::RecordRefused(work::RecordRefusal::Fenced);
    assert_eq!(bench.record(&old), refused);
    bench.restart();
    let first = bench.record(&new);
    let recorded = |stored, duplicate| work::Reply::Recorded {
        stored,
        duplicate,
        job_done: true,
    };
    assert_eq!(first, recorded(3, 0));
    // A resend after a lost answer counts nothing twice.
    assert_eq!(bench.record(&new), recorded(0, 3));
    assert_eq!(bench.state("j", "t"), query::JobState::Completed);
}

/// Guards against a cancelled job that goes on, and a completed one that turns cancelled.
#[test]
fn the_first_of_cancel_and_completion_decides() {
    let mut bench = Bench::new();
    bench.upload("f", "t", 2, 2);
    for (job, cancel_first) in [("j1", true), ("j2", false)] {
        bench.create(job, "t", "f", HOUR_MS);
        let leases = bench.take("a", 2);
        bench.record(&leases[0]);
        let cancel = work::Command::JobCancel {
            job: job.into(),
            team: "t".into(),
        };
        if cancel_first {
            bench.run(cancel);
            let refused = work::Reply::RecordRefused(work::RecordRefusal::Cancelled);
            assert_eq!(bench.record(&leases[1]), refused);
            assert_eq!(bench.state(job, "t"), query::JobState::Cancelled);
            assert!(bench.take("b", 9).is_empty());
            let renew = work::Command::Renew {
                holder: "a".into(),
                chunks: vec![leases[1].chunk.clone()],
                lease_ms: LEASE_MS,
            };
            let lost = vec![leases[1].chunk.clone()];
            assert_eq!(bench.run(renew), work::Reply::Renewed { lost });
        } else {
            bench.record(&leases[1]);
            bench.run(cancel);
            assert_eq!(bench.state(job, "t"), query::JobState::Completed);
        }
    }
}

/// Guards against a lease that outlives its time, and against a renewal that revives a lost one.
#[test]
fn an_expired_lease_can_be_renewed_until_it_is_taken() {
    let mut bench = Bench::new();
    bench.upload("f", "t", 1, 1);
    bench.create("j", "t", "f", HOUR_MS);
    let lease = bench.take("a", 1).remove(0);
    let renew = |holder: &str| work::Command::Renew {
        holder: holder.into(),
        chunks: vec![lease.chunk.clone()],
        lease_ms: LEASE_MS,
    };
    bench.now_ms += LEASE_MS + 1;
    assert_eq!(bench.run(renew("a")), work::Reply::Renewed { lost: vec![] });
    assert!(bench.take("b", 1).is_empty());
    bench.now_ms += LEASE_MS + 1;
    bench.restart();
    assert_eq!(bench.take("b", 1).len(), 1);
    let lost = vec![lease.chunk.clone()];
    assert_eq!(bench.run(renew("a")), work::Reply::Renewed { lost });
}

/// Guards against a clock that jumps back and shortens what was promised.
#[test]
fn time_never_goes_back() {
    let mut bench = Bench::new();
    bench.upload("f", "t", 1, 1);
    bench.create("j", "t", "f", HOUR_MS);
    bench.take("a", 1);
    let before = bench.machine.now_ms();
    bench.now_ms = 5;
    assert!(bench.take("b", 1).is_empty());
    assert_eq!(bench.machine.now_ms(), before);
}

/// Guards against a record that lands after the job's window.
#[test]
fn a_job_past_its_window_expires() {
    let mut bench = Bench::new();
    bench.upload("f", "t", 2, 1);
    bench.create("j", "t", "f", 5_000);
    let leases = bench.take("a", 2);
    bench.record(&leases[0]);
    bench.now_ms += 5_000;
    let refused = work::Reply::RecordRefused(work::RecordRefusal::Expired);
    assert_eq!(bench.record(&leases[1]), refused);
    assert_eq!(bench.state("j", "t"), query::JobState::Expired);
    assert!(bench.take("b", 9).is_empty());
}

/// Guards against one team's large job starving the others, and against
/// weights without effect.
#[test]
fn teams_share_by_weight() {
    let mut bench = Bench::new();
    let mut tuning = work::Tuning::default();
    tuning.weights.insert("big".into(), 3);
    bench.run(work::Command::Tune {
        tuning: Box::new(tuning),
    });
    bench.upload("f-big", "big", 400, 4);
    bench.create("j-big", "big", "f-big", 24 * HOUR_MS);
    // The large job runs alone for a while; this must not count against it or for it.
    bench.take("a", 40);
    bench.upload("f-small", "small", 30, 4);
    bench.create("j-small", "small", "f-small", 24 * HOUR_MS);
    bench.restart();
    let taken = bench.take("a", 40);
    let small = taken
        .iter()
        .filter(|lease| lease.team == Name::from("small"));
    assert_eq!(small.count(), 10);
}

/// Guards against a job that misses its due time behind others, and against
/// urgent jobs that starve the rest.
#[test]
fn urgent_jobs_go_first_but_not_alone() {
    let mut bench = Bench::new();
    bench.upload("f-a", "a", 60, 1);
    bench.upload("f-b", "b", 60, 1);
    bench.create("late", "a", "f-a", 24 * HOUR_MS);
    bench.create("soon", "b", "f-b", 4 * HOUR_MS);
    bench.now_ms += 3 * HOUR_MS;
    let taken = bench.take("x", 40);
    let soon = taken
        .iter()
        .filter(|lease| lease.chunk.job == Name::from("soon"));
    assert_eq!(soon.count(), 30);
}

/// Guards against a short window that passes by fair sharing from its start.
#[test]
fn a_short_window_is_not_urgent_from_the_start() {
    let mut bench = Bench::new();
    bench.upload("f-a", "a", 60, 1);
    bench.upload("f-b", "b", 60, 1);
    bench.create("long", "a", "f-a", 24 * HOUR_MS);
    bench.create("short", "b", "f-b", HOUR_MS / 2);
    let taken = bench.take("x", 40);
    let short = taken.iter().filter(|lease| lease.team == Name::from("b"));
    assert_eq!(short.count(), 20);
}

/// Uploads a file with one chunk for each string, which holds an item for the
/// model of each of its letters, and creates a job.
fn create_for(bench: &mut Bench, job: &str, team: &str, chunks: &[&str]) {
    let file = format!("f-{job}");
    let mut number = 0;
    for (chunk, models) in (0..).zip(chunks) {
        let line = |model: char| {
            number += 1;
            line_for(number, &model.to_string())
        };
        let command = work::Command::FileChunk {
            file: file.as_str().into(),
            chunk,
            lines: models.chars().map(line).collect(),
        };
        assert_eq!(bench.run(command), work::Reply::Ok);
    }
    bench.run(seal(&file, team, chunks.len() as u32));
    let created = bench.create(job, team, &file, HOUR_MS);
    assert!(matches!(created, work::Reply::Job(_)), "{created:?}");
}

fn numbers(leases: &[work::Lease]) -> Vec<u32> {
    leases.iter().map(|lease| lease.chunk.chunk).collect()
}

/// Guards against chunks that are leased to an entry VM that can run none of
/// their items, and against chunks of several models that only one entry VM gets.
#[test]
fn a_lease_holds_an_open_item_of_a_named_model() {
    let mut bench = Bench::new();
    create_for(&mut bench, "j", "t", &["aa", "bb", "aba", "c"]);
    assert!(bench.take_for("x", 9, &["d"]).is_empty());
    assert!(!bench.machine.can_lease(bench.now_ms, &names(&["d"])));
    let leases = bench.take_for("x", 9, &["b"]);
    assert_eq!(numbers(&leases), [1, 2]);
    assert!(!bench.machine.can_lease(bench.now_ms, &names(&["b"])));

    // The item of `b` is done, so that the rest is nothing for its holder.
    bench.run(work::Command::Record {
        chunk: leases[1].chunk.clone(),
        outcomes: vec![answer(leases[1].lines[1].number)],
    });
    bench.run(work::Command::Release {
        holder: "x".into(),
        chunks: vec![leases[1].chunk.clone()],
    });
    bench.restart();
    assert!(!bench.machine.can_lease(bench.now_ms, &names(&["b", "d"])));
    assert!(bench.take_for("x", 9, &["b"]).is_empty());
    assert_eq!(numbers(&bench.take_for("y", 9, &["a", "d"])), [0, 2]);
    assert!(bench.machine.can_lease(bench.now_ms, &[]));
    assert_eq!(numbers(&bench.take("y", 9)), [3]);
    assert!(!bench.machine.can_lease(bench.now_ms, &[]));
}

/// Guards against a chunk that stays listed for a model whose items the holder
/// of an expired lease has recorded.
#[test]
fn outcomes_after_the_lease_take_a_chunk_out_of_the_index() {
    let mut bench = Bench::new();
    create_for(&mut bench, "j", "t", &["ab"]);
    let lease = bench.take_for("x", 1, &["a"]).remove(0);
    bench.now_ms += LEASE_MS;
    bench.run(work::Command::Record {
        chunk: lease.chunk.clone(),
        outcomes: vec![answer(1)],
    });
    assert!(!bench.machine.can_lease(bench.now_ms, &names(&["a"])));
    assert_eq!(backlog(&bench).models, names(&["b"]));
    bench.run(work::Command::Record {
        chunk: lease.chunk,
        outcomes: vec![answer(2)],
    });
    assert_eq!(backlog(&bench), query::Backlog::default());
    assert!(!bench.machine.can_lease(bench.now_ms, &[]));
}

/// Guards against a waiting list of models that grows with what callers write
/// into their files, and against chunks that are counted once for each model.
#[test]
fn the_backlog_names_the_models_that_wait() {
    let mut bench = Bench::new();
    create_for(&mut bench, "j", "t", &["ab", "b"]);
    let seen = backlog(&bench);
    assert_eq!((seen.chunks, seen.models), (2, names(&["a", "b"])));
    for chunk in 0..2 {
        let lines =
            (0..200).map(|item| line_for(chunk * 200 + item + 1, &format!("{chunk}-{item}")));
        bench.run(work::Command::FileChunk {
            file: "many".into(),
            chunk,
            lines: lines.collect(),
        });
    }
    bench.run(seal("many", "t", 2));
    bench.create("j-many", "t", "many", HOUR_MS);
    let seen = backlog(&bench);
    assert_eq!((seen.chunks, seen.models.len()), (4, query::BACKLOG_MODELS));
}

/// Guards against teams that share the items of one model unevenly because some
/// also wait for another, and against a restart that changes the order.
#[test]
fn teams_share_each_model() {
    let mut bench = Bench::new();
    create_for(&mut bench, "j-a", "both", &["a"; 60]);
    create_for(&mut bench, "j-b", "both", &["b"; 60]);
    create_for(&mut bench, "j-c", "one", &["b"; 60]);
    let mut restarted = Bench::new();
    restarted
        .machine
        .restore(&bench.machine.snapshot())
        .expect("own snapshot");
    (restarted.index, restarted.now_ms) = (bench.index, bench.now_ms);
    restarted.payloads = bench.payloads.clone();
    let mut taken = Vec::new();
    for round in 0..40 {
        let models: &[&str] = if round % 10 == 9 { &["a"] } else { &["b"] };
        let leases = bench.take_for("x", 2, models);
        restarted.restart();
        assert_eq!(leases, restarted.take_for("x", 2, models));
        taken.extend(leases);
    }
    assert_eq!(taken.len(), 80);
    let one = taken.iter().filter(|lease| lease.team == Name::from("one"));
    // Half of all items, the eight of `a` included.
    assert!(one.count().abs_diff(40) <= 1);
    bench.run(work::Command::Expire);
    assert_eq!(bench.take_for("x", 60, &["a"]).len(), 52);
}

/// Guards against an urgent job that stops the leases of another model.
#[test]
fn urgent_jobs_of_other_models_are_passed_over() {
    let mut bench = Bench::new();
    create_for(&mut bench, "soon", "t", &["a"; 20]);
    bench.now_ms += HOUR_MS - 60_000;
    create_for(&mut bench, "late", "u", &["b"; 20]);
    let taken = bench.take_for("x", 8, &["b"]);
    assert!(
        taken
            .iter()
            .all(|lease| lease.chunk.job == Name::from("late"))
    );
    assert_eq!(taken.len(), 8);
    let taken = bench.take_for("x", 8, &["a", "b"]);
    let soon = taken
        .iter()
        .filter(|lease| lease.chunk.job == Name::from("soon"));
    assert!(soon.count() >= 6);
}

fn backlog(bench: &Bench) -> query::Backlog {
    match bench.query(&query::Query::Backlog) {
        Some(query::Answer::Backlog(backlog)) => backlog,
        other => panic!("unexpected answer {other:?}"),
    }
}

/// Guards against bad lines that run, or that keep a job from ending.
#[test]
fn lines_that_cannot_run_fail_at_once() {
    let mut bench = Bench::new();
    let bad = work::Line {
        number: 1,
        custom_id: None,
        content: work::Content::Bad {
            code: "invalid_json".to_owned(),
            message: "line 1".to_owned(),
        },
    };
    let mut elsewhere = line(2);
    elsewhere.content = work::Content::Request {
        url: "/v1/embeddings".to_owned(),
        model: "m".into(),
        body: "{}".to_owned(),
    };
    bench.run(work::Command::FileChunk {
        file: "f".into(),
        chunk: 0,
        lines: vec![bad, elsewhere, line(3)],
    });
    bench.run(seal("f", "t", 1));
    let work::Reply::Job(job) = bench.create("j", "t", "f", HOUR_MS) else {
        panic!("no job");
    };
    assert_eq!((job.counts.total, job.counts.failed), (3, 2));
    let leases = bench.take("a", 1);
    let numbers: Vec<u32> = leases[0].lines.iter().map(|line| line.number).collect();
    assert_eq!(numbers, [3]);
    bench.record(&leases[0]);
    assert_eq!(bench.state("j", "t"), query::JobState::Completed);
}

/// Guards against items that are mixed up when the numbers of a chunk have gaps
/// or its lines call several paths.
#[test]
fn lines_with_gaps_keep_their_outcomes() {
    let mut bench = Bench::new();
    let elsewhere = |number| work::Line {
        content: work::Content::Request {
            url: "/v1/embeddings".to_owned(),
            model: "m".into(),
            body: "{}".to_owned(),
        },
        ..line(number)
    };
    let bad = |number| work::Line {
        custom_id: None,
        content: work::Content::Bad {
            code: "invalid_json".to_owned(),
            message: format!("line {number}"),
        },
        ..line(number)
    };
    let lines = vec![
        line(2),
        line(3),
        bad(5),
        line(7),
        elsewhere(8),
        elsewhere(9),
        line(10),
        line(70),
        bad(200),
        line(u32::MAX),
    ];
    bench.run(work::Command::FileChunk {
        file: "f".into(),
        chunk: 0,
        lines,
    });
    bench.run(seal("f", "t", 1));
    bench.create("j", "t", "f", HOUR_MS);
    bench.restart();
    let lease = bench.take("a", 1).remove(0);
    let numbers: Vec<u32> = lease.lines.iter().map(|line| line.number).collect();
    assert_eq!(numbers, [2, 3, 7, 10, 70, u32::MAX]);
    let numbers = [70, 7, 4, 8, 201, 7, u32::MAX];
    let reply = bench.run(work::Command::Record {
        chunk: lease.chunk.clone(),
        outcomes: numbers.into_iter().map(answer).collect(),
    });
    let recorded = work::Reply::Recorded {
        stored: 3,
        duplicate: 2,
        job_done: false,
    };
    assert_eq!(reply, recorded);
    bench.run(work::Command::Release {
        holder: "a".into(),
        chunks: vec![lease.chunk],
    });
    let lease = bench.take("a", 1).remove(0);
    let numbers: Vec<u32> = lease.lines.iter().map(|line| line.number).collect();
    assert_eq!(numbers, [2, 3, 10]);
    bench.record(&lease);
    assert_eq!(bench.state("j", "t"), query::JobState::Completed);
    let results = query::Query::Results {
        job: "j".into(),
        team: "t".into(),
        chunk: 0,
    };
    let Some(query::Answer::Results(items)) = bench.query(&results) else {
        panic!("no results");
    };
    let failed = |item: &query::ItemResult| match &item.outcome.result {
        work::Result::Answer { body, .. } => {
            assert_eq!(*body, format!("\"{}\"", item.outcome.number));
            None
        }
        work::Result::Failed { code, .. } => Some(code.clone()),
    };
    let found: Vec<(u32, Option<String>)> = items
        .iter()
        .map(|item| (item.outcome.number, failed(item)))
        .collect();
    let json = || Some("invalid_json".to_owned());
    let field = || Some("invalid_field".to_owned());
    let expected = [
        (2, None),
        (3, None),
        (5, json()),
        (7, None),
        (8, field()),
        (9, field()),
        (10, None),
        (70, None),
        (200, json()),
        (u32::MAX, None),
    ];
    assert_eq!(found, expected);
    assert_eq!(items[7].custom_id.as_deref(), Some("item-70"));
}

/// Guards against a repeated upload that stores a chunk twice, or replaces it.
#[test]
fn a_repeated_chunk_changes_nothing() {
    let mut bench = Bench::new();
    let chunk = |body: &str| work::Command::FileChunk {
        file: "f".into(),
        chunk: 0,
        lines: vec![work::Line {
            content: work::Content::Request {
                url: URL.to_owned(),
                model: "m".into(),
                body: body.to_owned(),
            },
            ..line(1)
        }],
    };
    assert_eq!(bench.run(chunk("1")), work::Reply::Ok);
    let bytes = bench.machine.bytes();
    assert_eq!(bench.run(chunk("1")), work::Reply::Ok);
    assert!(matches!(bench.run(chunk("2")), work::Reply::Invalid { .. }));
    assert_eq!(bench.machine.bytes(), bytes);
    assert_eq!(bench.payloads.count(), 1);
}

/// Guards against claims and attempts that fill the memory, which the limit of
/// the disk does not protect.
#[test]
fn claims_and_attempts_have_their_own_limit() {
    let mut bench = Bench::new();
    let mut tuning = work::Tuning::default();
    tuning.retention.max_state_bytes = 1_000;
    bench.run(work::Command::Tune {
        tuning: Box::new(tuning),
    });
    bench.upload("f", "t", 1, 20);
    let claim = |key: &str| work::Command::Claim {
        team: "t".into(),
        key: key.into(),
        body: fingerprint::Fingerprint(1, 2),
        value: "j".into(),
    };
    let claimed = bench.run(claim("k"));
    assert!(!matches!(claimed, work::Reply::Full));
    assert_eq!(bench.run(claim(&"k".repeat(1_000))), work::Reply::Full);
    bench.upload("g", "t", 1, 20);
}

/// Guards against a second run of a request that is not repeatable.
#[test]
fn an_unknown_attempt_stays_unknown() {
    let mut bench = Bench::new();
    let unknown = work::Reply::Known {
        outcome: work::AttemptOutcome::Unknown,
    };
    assert_eq!(
        bench.run(begin("e1/1/r1", false)),
        work::Reply::Begin { attempt: 1 }
    );
    assert_eq!(
        bench.run(begin("e1/1/r1", false)),
        work::Reply::Begin { attempt: 1 }
    );
    let in_progress = work::Reply::InProgress {
        holder: "e1/1/r1".into(),
    };
    assert_eq!(bench.run(begin("e2/1/r9", false)), in_progress);
    bench.now_ms += 5_000;
    bench.restart();
    assert_eq!(bench.run(begin("e2/1/r9", false)), unknown);
    assert_eq!(bench.run(end(1, done("paid"))), unknown);
    assert_eq!(bench.run(begin("e1/1/r1", false)), unknown);
}

/// Guards against a lost answer, and against a new attempt that is refused
/// although the first provably did not run.
#[test]
fn attempts_end_with_the_first_outcome() {
    let mut bench = Bench::new();
    bench.run(begin("e1/1/r1", false));
    assert_eq!(
        bench.run(end(1, work::AttemptOutcome::NotRun)),
        work::Reply::Ok
    );
    assert_eq!(
        bench.run(begin("e2/1/r2", false)),
        work::Reply::Begin { attempt: 2 }
    );
    // The end of the first attempt arrives again.
    assert!(matches!(
        bench.run(end(1, work::AttemptOutcome::NotRun)),
        work::Reply::Invalid { .. }
    ));
    assert_eq!(bench.run(end(2, done("paid"))), work::Reply::Ok);
    assert_eq!(bench.run(end(2, done("paid"))), work::Reply::Ok);
    let known = work::Reply::Known {
        outcome: done("paid"),
    };
    assert_eq!(bench.run(end(2, work::AttemptOutcome::NotRun)), known);
    assert_eq!(bench.run(begin("e3/1/r3", true)), known);
}

/// Guards against a crash that counts twice.
#[test]
fn a_crash_strikes_once() {
    let mut bench = Bench::new();
    let strike = |backend: &str, isolated| work::Command::Strike {
        fingerprint: fingerprint::Fingerprint(7, 7),
        backend: backend.into(),
        isolated,
    };
    let strikes = |reply| match reply {
        work::Reply::Suspect(suspect) => (suspect.strikes, suspect.isolated),
        other => panic!("unexpected reply {other:?}"),
    };
    assert_eq!(strikes(bench.run(strike("b1/1", false))), (1, 0));
    assert_eq!(strikes(bench.run(strike("b1/1", false))), (1, 0));
    assert_eq!(strikes(bench.run(strike("b1/2", false))), (2, 0));
    bench.restart();
    assert_eq!(strikes(bench.run(strike("b2/1", true))), (3, 1));
}

/// Guards against two jobs for one key, and one key for two bodies.
#[test]
fn a_key_keeps_its_first_value() {
    let mut bench = Bench::new();
    let claim = |value: &str, body| work::Command::Claim {
        team: "t".into(),
        key: "k".into(),
        body: fingerprint::Fingerprint(body, 0),
        value: value.into(),
    };
    let claimed = |fresh| work::Reply::Claimed {
        value: "j1".into(),
        fresh,
    };
    assert_eq!(bench.run(claim("j1", 1)), claimed(true));
    assert_eq!(bench.run(claim("j1", 1)), claimed(true));
    assert_eq!(bench.run(claim("j2", 1)), claimed(false));
    assert_eq!(bench.run(claim("j2", 2)), work::Reply::KeyConflict);
}

/// Guards against memory that grows for good, and against results that vanish
/// while they are still to be read.
#[test]
fn expired_things_are_dropped() {
    let mut bench = Bench::new();
    bench.upload("f", "t", 1, 2);
    bench.run(work::Command::FileChunk {
        file: "unsealed".into(),
        chunk: 0,
        lines: vec![line(1)],
    });
    bench.create("j", "t", "f", HOUR_MS);
    let lease = bench.take("a", 1).remove(0);
    bench.record(&lease);
    bench.run(begin("e1/1/r1", false));
    let delete = || work::Command::FileDelete {
        file: "f".into(),
        team: "t".into(),
    };
    assert_eq!(bench.run(delete()), work::Reply::Ok);
    assert_eq!(bench.run(delete()), work::Reply::Ok);
    let retention = work::Retention::default();
    bench.now_ms += retention.job_ms - 1;
    bench.run(work::Command::Expire);
    let results = query::Query::Results {
        job: "j".into(),
        team: "t".into(),
        chunk: 0,
    };
    match bench.query(&results) {
        Some(query::Answer::Results(items)) => {
            assert_eq!(items[1].custom_id.as_deref(), Some("item-2"));
        }
        other => panic!("unexpected answer {other:?}"),
    }
    bench.now_ms += retention.job_ms + retention.attempt_ms;
    bench.run(work::Command::Expire);
    assert_eq!(bench.query(&results), Some(query::Answer::NotFound));
    bench.now_ms += HOUR_MS;
    bench.run(work::Command::Expire);
    assert_eq!(bench.machine.bytes(), 0);
    assert_eq!(bench.payloads.count(), 0);
    // Only the tuning is left, next to counters.
    assert!(bench.machine.snapshot().len() < 128);
}

/// Guards against a file that is cut off during deletion or by a full store.
#[test]
fn files_in_use_stay_and_a_full_store_refuses() {
    let mut bench = Bench::new();
    bench.upload("f", "t", 1, 2);
    bench.create("j", "t", "f", HOUR_MS);
    let delete = work::Command::FileDelete {
        file: "f".into(),
        team: "t".into(),
    };
    assert!(matches!(bench.run(delete), work::Reply::Invalid { .. }));
    let mut tuning = work::Tuning::default();
    tuning.retention.max_bytes = bench.machine.bytes();
    bench.run(work::Command::Tune {
        tuning: Box::new(tuning),
    });
    let chunk = |file: &str| work::Command::FileChunk {
        file: file.into(),
        chunk: 0,
        lines: vec![line(1)],
    };
    assert_eq!(bench.run(chunk("g")), work::Reply::Full);
    assert_eq!(bench.run(begin("h", false)), work::Reply::Full);
    assert_eq!(bench.take("a", 1).len(), 1);
}

/// Guards against reading another team's data.
#[test]
fn other_teams_see_nothing() {
    let mut bench = Bench::new();
    bench.upload("f", "t", 1, 1);
    bench.create("j", "t", "f", HOUR_MS);
    let other = Name::from("other");
    let queries = [
        query::Query::File {
            file: "f".into(),
            team: other.clone(),
        },
        query::Query::FileChunk {
            file: "f".into(),
            team: other.clone(),
            chunk: 0,
        },
        query::Query::Job {
            job: "j".into(),
            team: other.clone(),
        },
        query::Query::Results {
            job: "j".into(),
            team: other.clone(),
            chunk: 0,
        },
    ];
    for query in queries {
        assert_eq!(bench.query(&query), Some(query::Answer::NotFound));
    }
    let cancel = work::Command::JobCancel {
        job: "j".into(),
        team: other,
    };
    assert_eq!(bench.run(cancel), work::Reply::NotFound);
    assert_eq!(bench.create("j", "other", "f", 1), work::Reply::NotFound);
    assert_eq!(bench.create("k", "other", "f", 1), work::Reply::NotFound);
}
