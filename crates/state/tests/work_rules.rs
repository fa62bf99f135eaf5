//! Rules of the work machine, one test each.

use std::collections;

use bw_coord::payload;
use bw_state::work::Machine;
use bw_wire::{command, command::work, fingerprint, name::Name, query};

/// A machine with its payloads, the clock and the index of the last command.
struct Fixture {
    machine: Machine,
    payloads: payload::Memory,
    index: u64,
    now_ms: u64,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture {
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

/// Guards against a holder of an old lease that overwrites the results of the next
/// holder.
#[test]
fn record_under_an_old_fence_is_refused() {
    let mut fixture = Fixture::new();
    fixture.upload("f", "t", 1, 3);
    fixture.create("j", "t", "f", HOUR_MS);
    let old = fixture.take("a", 1).remove(0);
    fixture.now_ms += LEASE_MS;
    let new = fixture.take("b", 1).remove(0);
    assert!(new.chunk.fence > old.chunk.fence);
    let refused = work::Reply::RecordRefused(work::RecordRefusal::Fenced);
    assert_eq!(fixture.record(&old), refused);
    fixture.restart();
    let first = fixture.record(&new);
    let recorded = |stored, duplicate| work::Reply::Recorded {
        stored,
        duplicate,
        job_done: true,
    };
    assert_eq!(first, recorded(3, 0));
    // A retry after a lost answer stores nothing twice.
    assert_eq!(fixture.record(&new), recorded(0, 3));
    assert_eq!(fixture.state("j", "t"), query::JobState::Completed);
}

/// Guards against a cancelled job that continues, and a completed one that becomes
/// cancelled.
#[test]
fn the_first_of_cancel_and_completion_decides() {
    let mut fixture = Fixture::new();
    fixture.upload("f", "t", 2, 2);
    for (job, cancel_first) in [("j1", true), ("j2", false)] {
        fixture.create(job, "t", "f", HOUR_MS);
        let leases = fixture.take("a", 2);
        fixture.record(&leases[0]);
        let cancel = work::Command::JobCancel {
            job: job.into(),
            team: "t".into(),
        };
        if cancel_first {
            fixture.run(cancel);
            let refused = work::Reply::RecordRefused(work::RecordRefusal::Cancelled);
            assert_eq!(fixture.record(&leases[1]), refused);
            assert_eq!(fixture.state(job, "t"), query::JobState::Cancelled);
            assert!(fixture.take("b", 9).is_empty());
            let renew = work::Command::Renew {
                holder: "a".into(),
                chunks: vec![leases[1].chunk.clone()],
                lease_ms: LEASE_MS,
            };
            let lost = vec![leases[1].chunk.clone()];
            assert_eq!(fixture.run(renew), work::Reply::Renewed { lost });
        } else {
            fixture.record(&leases[1]);
            fixture.run(cancel);
            assert_eq!(fixture.state(job, "t"), query::JobState::Completed);
        }
    }
}

/// Guards against a lease that outlives its end, and against a renewal that revives a
/// lease after another holder got the chunk.
#[test]
fn an_expired_lease_can_be_renewed_until_it_is_taken() {
    let mut fixture = Fixture::new();
    fixture.upload("f", "t", 1, 1);
    fixture.create("j", "t", "f", HOUR_MS);
    let lease = fixture.take("a", 1).remove(0);
    let renew = |holder: &str| work::Command::Renew {
        holder: holder.into(),
        chunks: vec![lease.chunk.clone()],
        lease_ms: LEASE_MS,
    };
    fixture.now_ms += LEASE_MS + 1;
    assert_eq!(
        fixture.run(renew("a")),
        work::Reply::Renewed { lost: vec![] }
    );
    assert!(fixture.take("b", 1).is_empty());
    fixture.now_ms += LEASE_MS + 1;
    fixture.restart();
    assert_eq!(fixture.take("b", 1).len(), 1);
    let lost = vec![lease.chunk.clone()];
    assert_eq!(fixture.run(renew("a")), work::Reply::Renewed { lost });
}

/// Guards against a clock that jumps back and so changes the end of leases.
#[test]
fn time_never_goes_back() {
    let mut fixture = Fixture::new();
    fixture.upload("f", "t", 1, 1);
    fixture.create("j", "t", "f", HOUR_MS);
    fixture.take("a", 1);
    let before = fixture.machine.now_ms();
    fixture.now_ms = 5;
    assert!(fixture.take("b", 1).is_empty());
    assert_eq!(fixture.machine.now_ms(), before);
}

/// Guards against an outcome that is stored after the end of the job's window.
#[test]
fn a_job_past_its_window_expires() {
    let mut fixture = Fixture::new();
    fixture.upload("f", "t", 2, 1);
    fixture.create("j", "t", "f", 5_000);
    let leases = fixture.take("a", 2);
    fixture.record(&leases[0]);
    fixture.now_ms += 5_000;
    let refused = work::Reply::RecordRefused(work::RecordRefusal::Expired);
    assert_eq!(fixture.record(&leases[1]), refused);
    assert_eq!(fixture.state("j", "t"), query::JobState::Expired);
    assert!(fixture.take("b", 9).is_empty());
}

/// Guards against one team's large job starving the others, and against
/// weights without effect.
#[test]
fn teams_share_by_weight() {
    let mut fixture = Fixture::new();
    let mut tuning = work::Tuning::default();
    tuning.weights.insert("big".into(), 3);
    fixture.run(work::Command::Tune {
        tuning: Box::new(tuning),
    });
    fixture.upload("f-big", "big", 400, 4);
    fixture.create("j-big", "big", "f-big", 24 * HOUR_MS);
    // The large job runs alone for a while. This must count neither for nor against it.
    fixture.take("a", 40);
    fixture.upload("f-small", "small", 30, 4);
    fixture.create("j-small", "small", "f-small", 24 * HOUR_MS);
    fixture.restart();
    let taken = fixture.take("a", 40);
    let small = taken
        .iter()
        .filter(|lease| lease.team == Name::from("small"));
    assert_eq!(small.count(), 10);
}

/// Guards against a job that misses its due time because others go first, and against
/// urgent jobs that starve the rest.
#[test]
fn urgent_jobs_go_first_but_not_alone() {
    let mut fixture = Fixture::new();
    fixture.upload("f-a", "a", 60, 1);
    fixture.upload("f-b", "b", 60, 1);
    fixture.create("late", "a", "f-a", 24 * HOUR_MS);
    fixture.create("soon", "b", "f-b", 4 * HOUR_MS);
    fixture.now_ms += 3 * HOUR_MS;
    let taken = fixture.take("x", 40);
    let soon = taken
        .iter()
        .filter(|lease| lease.chunk.job == Name::from("soon"));
    assert_eq!(soon.count(), 30);
}

/// Guards against a job with a short window that bypasses fair sharing from its start.
#[test]
fn a_short_window_is_not_urgent_from_the_start() {
    let mut fixture = Fixture::new();
    fixture.upload("f-a", "a", 60, 1);
    fixture.upload("f-b", "b", 60, 1);
    fixture.create("long", "a", "f-a", 24 * HOUR_MS);
    fixture.create("short", "b", "f-b", HOUR_MS / 2);
    let taken = fixture.take("x", 40);
    let short = taken.iter().filter(|lease| lease.team == Name::from("b"));
    assert_eq!(short.count(), 20);
}

/// Uploads a file with one chunk for each string and one item for each letter, which
/// names the model, and creates a job.
fn create_for(fixture: &mut Fixture, job: &str, team: &str, chunks: &[&str]) {
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
        assert_eq!(fixture.run(command), work::Reply::Ok);
    }
    fixture.run(seal(&file, team, chunks.len() as u32));
    let created = fixture.create(job, team, &file, HOUR_MS);
    assert!(matches!(created, work::Reply::Job(_)), "{created:?}");
}

fn numbers(leases: &[work::Lease]) -> Vec<u32> {
    leases.iter().map(|lease| lease.chunk.chunk).collect()
}

/// Guards against chunks that are leased to an entry VM that can run none of their
/// items, and against chunks of several models that only one entry VM can lease.
#[test]
fn a_lease_holds_an_open_item_of_a_named_model() {
    let mut fixture = Fixture::new();
    create_for(&mut fixture, "j", "t", &["aa", "bb", "aba", "c"]);
    assert!(fixture.take_for("x", 9, &["d"]).is_empty());
    assert!(!fixture.machine.can_lease(fixture.now_ms, &names(&["d"])));
    let leases = fixture.take_for("x", 9, &["b"]);
    assert_eq!(numbers(&leases), [1, 2]);
    assert!(!fixture.machine.can_lease(fixture.now_ms, &names(&["b"])));

    // The item of `b` is done. The holder, which asks for `b` only, cannot run the rest.
    fixture.run(work::Command::Record {
        chunk: leases[1].chunk.clone(),
        outcomes: vec![answer(leases[1].lines[1].number)],
    });
    fixture.run(work::Command::Release {
        holder: "x".into(),
        chunks: vec![leases[1].chunk.clone()],
    });
    fixture.restart();
    assert!(
        !fixture
            .machine
            .can_lease(fixture.now_ms, &names(&["b", "d"]))
    );
    assert!(fixture.take_for("x", 9, &["b"]).is_empty());
    assert_eq!(numbers(&fixture.take_for("y", 9, &["a", "d"])), [0, 2]);
    assert!(fixture.machine.can_lease(fixture.now_ms, &[]));
    assert_eq!(numbers(&fixture.take("y", 9)), [3]);
    assert!(!fixture.machine.can_lease(fixture.now_ms, &[]));
}

/// Guards against a chunk that stays listed for a model after the holder of an expired
/// lease has recorded all of its items.
#[test]
fn outcomes_after_the_lease_take_a_chunk_out_of_the_index() {
    let mut fixture = Fixture::new();
    create_for(&mut fixture, "j", "t", &["ab"]);
    let lease = fixture.take_for("x", 1, &["a"]).remove(0);
    fixture.now_ms += LEASE_MS;
    fixture.run(work::Command::Record {
        chunk: lease.chunk.clone(),
        outcomes: vec![answer(1)],
    });
    assert!(!fixture.machine.can_lease(fixture.now_ms, &names(&["a"])));
    assert_eq!(backlog(&fixture).models, names(&["b"]));
    fixture.run(work::Command::Record {
        chunk: lease.chunk,
        outcomes: vec![answer(2)],
    });
    assert_eq!(backlog(&fixture), query::Backlog::default());
    assert!(!fixture.machine.can_lease(fixture.now_ms, &[]));
}

/// Guards against a backlog whose size grows with the model names in the files of
/// callers, and against chunks that are counted once for each model.
#[test]
fn the_backlog_names_the_models_that_wait() {
    let mut fixture = Fixture::new();
    create_for(&mut fixture, "j", "t", &["ab", "b"]);
    let seen = backlog(&fixture);
    assert_eq!((seen.chunks, seen.models), (2, names(&["a", "b"])));
    for chunk in 0..2 {
        let lines =
            (0..200).map(|item| line_for(chunk * 200 + item + 1, &format!("{chunk}-{item}")));
        fixture.run(work::Command::FileChunk {
            file: "many".into(),
            chunk,
            lines: lines.collect(),
        });
    }
    fixture.run(seal("many", "t", 2));
    fixture.create("j-many", "t", "many", HOUR_MS);
    let seen = backlog(&fixture);
    assert_eq!((seen.chunks, seen.models.len()), (4, query::BACKLOG_MODELS));
}

/// Guards against teams that share the items of one model unevenly because some of
/// them also wait for another, and against a restart that changes the order.
#[test]
fn teams_share_each_model() {
    let mut fixture = Fixture::new();
    create_for(&mut fixture, "j-a", "both", &["a"; 60]);
    create_for(&mut fixture, "j-b", "both", &["b"; 60]);
    create_for(&mut fixture, "j-c", "one", &["b"; 60]);
    let mut restarted = Fixture::new();
    restarted
        .machine
        .restore(&fixture.machine.snapshot())
        .expect("own snapshot");
    (restarted.index, restarted.now_ms) = (fixture.index, fixture.now_ms);
    restarted.payloads = fixture.payloads.clone();
    let mut taken = Vec::new();
    for round in 0..40 {
        let models: &[&str] = if round % 10 == 9 { &["a"] } else { &["b"] };
        let leases = fixture.take_for("x", 2, models);
        restarted.restart();
        assert_eq!(leases, restarted.take_for("x", 2, models));
        taken.extend(leases);
    }
    assert_eq!(taken.len(), 80);
    let one = taken.iter().filter(|lease| lease.team == Name::from("one"));
    // Half of all items, the eight of `a` included.
    assert!(one.count().abs_diff(40) <= 1);
    fixture.run(work::Command::Expire);
    assert_eq!(fixture.take_for("x", 60, &["a"]).len(), 52);
}

/// Guards against an urgent job that blocks the leases of another model.
#[test]
fn urgent_jobs_of_other_models_are_skipped() {
    let mut fixture = Fixture::new();
    create_for(&mut fixture, "soon", "t", &["a"; 20]);
    fixture.now_ms += HOUR_MS - 60_000;
    create_for(&mut fixture, "late", "u", &["b"; 20]);
    let taken = fixture.take_for("x", 8, &["b"]);
    assert!(
        taken
            .iter()
            .all(|lease| lease.chunk.job == Name::from("late"))
    );
    assert_eq!(taken.len(), 8);
    let taken = fixture.take_for("x", 8, &["a", "b"]);
    let soon = taken
        .iter()
        .filter(|lease| lease.chunk.job == Name::from("soon"));
    assert!(soon.count() >= 6);
}

fn backlog(fixture: &Fixture) -> query::Backlog {
    match fixture.query(&query::Query::Backlog) {
        Some(query::Answer::Backlog(backlog)) => backlog,
        other => panic!("unexpected answer {other:?}"),
    }
}

/// Guards against malformed lines that run, or that keep a job from ending.
#[test]
fn lines_that_cannot_run_fail_at_once() {
    let mut fixture = Fixture::new();
    let bad = work::Line {
        number: 1,
        custom_id: None,
        content: work::Content::Bad {
            code: "invalid_json".to_owned(),
            message: "line 1".to_owned(),
        },
    };
    let mut other_path = line(2);
    other_path.content = work::Content::Request {
        url: "/v1/embeddings".to_owned(),
        model: "m".into(),
        body: "{}".to_owned(),
    };
    fixture.run(work::Command::FileChunk {
        file: "f".into(),
        chunk: 0,
        lines: vec![bad, other_path, line(3)],
    });
    fixture.run(seal("f", "t", 1));
    let work::Reply::Job(job) = fixture.create("j", "t", "f", HOUR_MS) else {
        panic!("no job");
    };
    assert_eq!((job.counts.total, job.counts.failed), (3, 2));
    let leases = fixture.take("a", 1);
    let numbers: Vec<u32> = leases[0].lines.iter().map(|line| line.number).collect();
    assert_eq!(numbers, [3]);
    fixture.record(&leases[0]);
    assert_eq!(fixture.state("j", "t"), query::JobState::Completed);
}

/// Guards against items that are mixed up when the line numbers of a chunk have gaps
/// or its lines name several paths.
#[test]
fn lines_with_gaps_keep_their_outcomes() {
    let mut fixture = Fixture::new();
    let other_path = |number| work::Line {
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
        other_path(8),
        other_path(9),
        line(10),
        line(70),
        bad(200),
        line(u32::MAX),
    ];
    fixture.run(work::Command::FileChunk {
        file: "f".into(),
        chunk: 0,
        lines,
    });
    fixture.run(seal("f", "t", 1));
    fixture.create("j", "t", "f", HOUR_MS);
    fixture.restart();
    let lease = fixture.take("a", 1).remove(0);
    let numbers: Vec<u32> = lease.lines.iter().map(|line| line.number).collect();
    assert_eq!(numbers, [2, 3, 7, 10, 70, u32::MAX]);
    let numbers = [70, 7, 4, 8, 201, 7, u32::MAX];
    let reply = fixture.run(work::Command::Record {
        chunk: lease.chunk.clone(),
        outcomes: numbers.into_iter().map(answer).collect(),
    });
    let recorded = work::Reply::Recorded {
        stored: 3,
        duplicate: 2,
        job_done: false,
    };
    assert_eq!(reply, recorded);
    fixture.run(work::Command::Release {
        holder: "a".into(),
        chunks: vec![lease.chunk],
    });
    let lease = fixture.take("a", 1).remove(0);
    let numbers: Vec<u32> = lease.lines.iter().map(|line| line.number).collect();
    assert_eq!(numbers, [2, 3, 10]);
    fixture.record(&lease);
    assert_eq!(fixture.state("j", "t"), query::JobState::Completed);
    let results = query::Query::Results {
        job: "j".into(),
        team: "t".into(),
        chunk: 0,
    };
    let Some(query::Answer::Results(items)) = fixture.query(&results) else {
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
    let mut fixture = Fixture::new();
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
    assert_eq!(fixture.run(chunk("1")), work::Reply::Ok);
    let bytes = fixture.machine.bytes();
    assert_eq!(fixture.run(chunk("1")), work::Reply::Ok);
    assert!(matches!(
        fixture.run(chunk("2")),
        work::Reply::Invalid { .. }
    ));
    assert_eq!(fixture.machine.bytes(), bytes);
    assert_eq!(fixture.payloads.count(), 1);
}

/// Guards against claims and attempts that fill the memory, which the limit of stored
/// bytes on the disk does not bound.
#[test]
fn claims_and_attempts_have_their_own_limit() {
    let mut fixture = Fixture::new();
    let mut tuning = work::Tuning::default();
    tuning.retention.max_state_bytes = 1_000;
    fixture.run(work::Command::Tune {
        tuning: Box::new(tuning),
    });
    fixture.upload("f", "t", 1, 20);
    let claim = |key: &str| work::Command::Claim {
        team: "t".into(),
        key: key.into(),
        body: fingerprint::Fingerprint(1, 2),
        value: "j".into(),
    };
    let claimed = fixture.run(claim("k"));
    assert!(!matches!(claimed, work::Reply::Full));
    assert_eq!(fixture.run(claim(&"k".repeat(1_000))), work::Reply::Full);
    fixture.upload("g", "t", 1, 20);
}

/// Guards against a second run of a request that is not repeatable.
#[test]
fn an_unknown_attempt_stays_unknown() {
    let mut fixture = Fixture::new();
    let unknown = work::Reply::Known {
        outcome: work::AttemptOutcome::Unknown,
    };
    assert_eq!(
        fixture.run(begin("e1/1/r1", false)),
        work::Reply::Begin { attempt: 1 }
    );
    assert_eq!(
        fixture.run(begin("e1/1/r1", false)),
        work::Reply::Begin { attempt: 1 }
    );
    let in_progress = work::Reply::InProgress {
        holder: "e1/1/r1".into(),
    };
    assert_eq!(fixture.run(begin("e2/1/r9", false)), in_progress);
    fixture.now_ms += 5_000;
    fixture.restart();
    assert_eq!(fixture.run(begin("e2/1/r9", false)), unknown);
    assert_eq!(fixture.run(end(1, done("paid"))), unknown);
    assert_eq!(fixture.run(begin("e1/1/r1", false)), unknown);
}

/// Guards against an attempt whose first outcome is lost or replaced, and against a
/// new attempt that is refused although the first is known not to have run.
#[test]
fn attempts_end_with_the_first_outcome() {
    let mut fixture = Fixture::new();
    fixture.run(begin("e1/1/r1", false));
    assert_eq!(
        fixture.run(end(1, work::AttemptOutcome::NotRun)),
        work::Reply::Ok
    );
    assert_eq!(
        fixture.run(begin("e2/1/r2", false)),
        work::Reply::Begin { attempt: 2 }
    );
    // The outcome of the first attempt arrives again.
    assert!(matches!(
        fixture.run(end(1, work::AttemptOutcome::NotRun)),
        work::Reply::Invalid { .. }
    ));
    assert_eq!(fixture.run(end(2, done("paid"))), work::Reply::Ok);
    assert_eq!(fixture.run(end(2, done("paid"))), work::Reply::Ok);
    let known = work::Reply::Known {
        outcome: done("paid"),
    };
    assert_eq!(fixture.run(end(2, work::AttemptOutcome::NotRun)), known);
    assert_eq!(fixture.run(begin("e3/1/r3", true)), known);
}

/// Guards against a crash that is counted twice.
#[test]
fn a_crash_counts_once() {
    let mut fixture = Fixture::new();
    let strike = |backend: &str, isolated| work::Command::Strike {
        fingerprint: fingerprint::Fingerprint(7, 7),
        backend: backend.into(),
        isolated,
    };
    let strikes = |reply| match reply {
        work::Reply::Suspect(suspect) => (suspect.strikes, suspect.isolated),
        other => panic!("unexpected reply {other:?}"),
    };
    assert_eq!(strikes(fixture.run(strike("b1/1", false))), (1, 0));
    assert_eq!(strikes(fixture.run(strike("b1/1", false))), (1, 0));
    assert_eq!(strikes(fixture.run(strike("b1/2", false))), (2, 0));
    fixture.restart();
    assert_eq!(strikes(fixture.run(strike("b2/1", true))), (3, 1));
}

/// Guards against an idempotency key with two jobs or two request bodies.
#[test]
fn a_key_keeps_its_first_value() {
    let mut fixture = Fixture::new();
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
    assert_eq!(fixture.run(claim("j1", 1)), claimed(true));
    assert_eq!(fixture.run(claim("j1", 1)), claimed(true));
    assert_eq!(fixture.run(claim("j2", 1)), claimed(false));
    assert_eq!(fixture.run(claim("j2", 2)), work::Reply::KeyConflict);
}

/// Guards against state that grows without bound, and against results that are dropped
/// before their retention is over.
#[test]
fn expired_data_is_dropped() {
    let mut fixture = Fixture::new();
    fixture.upload("f", "t", 1, 2);
    fixture.run(work::Command::FileChunk {
        file: "unsealed".into(),
        chunk: 0,
        lines: vec![line(1)],
    });
    fixture.create("j", "t", "f", HOUR_MS);
    let lease = fixture.take("a", 1).remove(0);
    fixture.record(&lease);
    fixture.run(begin("e1/1/r1", false));
    let delete = || work::Command::FileDelete {
        file: "f".into(),
        team: "t".into(),
    };
    assert_eq!(fixture.run(delete()), work::Reply::Ok);
    assert_eq!(fixture.run(delete()), work::Reply::Ok);
    let retention = work::Retention::default();
    fixture.now_ms += retention.job_ms - 1;
    fixture.run(work::Command::Expire);
    let results = query::Query::Results {
        job: "j".into(),
        team: "t".into(),
        chunk: 0,
    };
    match fixture.query(&results) {
        Some(query::Answer::Results(items)) => {
            assert_eq!(items[1].custom_id.as_deref(), Some("item-2"));
        }
        other => panic!("unexpected answer {other:?}"),
    }
    fixture.now_ms += retention.job_ms + retention.attempt_ms;
    fixture.run(work::Command::Expire);
    assert_eq!(fixture.query(&results), Some(query::Answer::NotFound));
    fixture.now_ms += HOUR_MS;
    fixture.run(work::Command::Expire);
    assert_eq!(fixture.machine.bytes(), 0);
    assert_eq!(fixture.payloads.count(), 0);
    // Only the tuning and counters are left.
    assert!(fixture.machine.snapshot().len() < 128);
}

/// Guards against the deletion of a file in use, and against a full store that accepts
/// new data or blocks accepted work.
#[test]
fn files_in_use_stay_and_a_full_store_refuses() {
    let mut fixture = Fixture::new();
    fixture.upload("f", "t", 1, 2);
    fixture.create("j", "t", "f", HOUR_MS);
    let delete = work::Command::FileDelete {
        file: "f".into(),
        team: "t".into(),
    };
    assert!(matches!(fixture.run(delete), work::Reply::Invalid { .. }));
    let mut tuning = work::Tuning::default();
    tuning.retention.max_bytes = fixture.machine.bytes();
    fixture.run(work::Command::Tune {
        tuning: Box::new(tuning),
    });
    let chunk = |file: &str| work::Command::FileChunk {
        file: file.into(),
        chunk: 0,
        lines: vec![line(1)],
    };
    assert_eq!(fixture.run(chunk("g")), work::Reply::Full);
    assert_eq!(fixture.run(begin("h", false)), work::Reply::Full);
    assert_eq!(fixture.take("a", 1).len(), 1);
}

/// Guards against reading another team's data.
#[test]
fn other_teams_see_nothing() {
    let mut fixture = Fixture::new();
    fixture.upload("f", "t", 1, 1);
    fixture.create("j", "t", "f", HOUR_MS);
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
        assert_eq!(fixture.query(&query), Some(query::Answer::NotFound));
    }
    let cancel = work::Command::JobCancel {
        job: "j".into(),
        team: other,
    };
    assert_eq!(fixture.run(cancel), work::Reply::NotFound);
    assert_eq!(fixture.create("j", "other", "f", 1), work::Reply::NotFound);
    assert_eq!(fixture.create("k", "other", "f", 1), work::Reply::NotFound);
}
