//! The ledger: idempotent submissions, stable positions of results, ends of items and
//! jobs, and snapshots.

use std::collections::BTreeMap;

use bw_coord::{host::Machine, payload, storage};
use bw_relay::{
    ledger::{Applied, Command, End, Ledger, NewItem, NewJob, Output, Published},
    route,
};

/// The id, end and output of a result.
type Listed = (String, End, Vec<u8>);

/// A ledger with its payloads in memory.
#[derive(Default)]
struct Store {
    ledger: Ledger,
    payloads: BTreeMap<payload::Key, Vec<u8>>,
}

impl payload::Source for Source<'_> {
    fn get(&mut self, key: payload::Key) -> Result<Vec<u8>, storage::Error> {
        Ok(self.0.get(&key).expect("stored payload").clone())
    }
}

struct Source<'a>(&'a BTreeMap<payload::Key, Vec<u8>>);

impl Store {
    fn execute(&mut self, command: Command) -> Applied {
        let applied = self.ledger.execute(command);
        for effect in self.ledger.effects() {
            match effect {
                payload::Effect::Put { key, content } => {
                    assert!(
                        self.payloads.insert(key, content).is_none(),
                        "a payload key is used once"
                    );
                }
                payload::Effect::Remove { key } => {
                    assert!(
                        self.payloads.remove(&key).is_some(),
                        "only stored payloads are removed"
                    );
                }
            }
        }
        applied
    }

    fn page(&self, job: &str, after: usize, bytes: usize) -> Option<(u32, Vec<Listed>)> {
        let mut source = Source(&self.payloads);
        let page = self
            .ledger
            .page(job, after, bytes, &mut source)
            .expect("readable")?;
        let results = page.results.into_iter();
        let results = results.map(|result| (result.id.to_string(), result.end, result.output));
        Some((page.total, results.collect()))
    }

    fn record(&mut self, item: u32, end: End, output: &str) -> Applied {
        self.execute(Command::Record {
            job: "job".into(),
            item,
            end,
            output: events(0, &[output]),
        })
    }

    fn save(&mut self, after: u64, data: &[&str]) -> Applied {
        self.execute(Command::Save {
            job: "job".into(),
            item: 0,
            output: events(after, data),
        })
    }
}

fn events(after: u64, data: &[&str]) -> Output {
    let data = data.iter().map(|data| (*data).to_owned());
    Output {
        after,
        data: data.collect(),
    }
}

fn job(items: &[&str]) -> Command {
    let items = items.iter().map(|id| NewItem {
        id: (*id).into(),
        path: "/p/x".into(),
        headers: vec![("model".into(), "m".into())],
        body: id.as_bytes().to_vec(),
        tokens: 10,
    });
    Command::Submit(Box::new(NewJob {
        id: "job".into(),
        route: route::Key {
            host: "a.example".into(),
            prefix: "/p/".into(),
        },
        submitted_ms: 1_000,
        complete_ms: 18_000,
        give_up_ms: 60_000,
        attempts: 3,
        items: items.collect(),
    }))
}

fn publish(version: u64) -> Command {
    Command::Publish(Box::new(Published {
        config: route::Config {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            limits: route::Limits {
                header_bytes: 1,
                body_bytes: 1,
                header_ms: 1,
                idle_ms: 1,
            },
        },
        document: version.to_string().into_bytes(),
    }))
}

#[test]
fn the_highest_version_is_in_force() {
    let mut store = Store::default();
    assert_eq!(store.execute(publish(7)), Applied::Done);
    assert_eq!(store.execute(publish(5)), Applied::Superseded);
    assert_eq!(store.execute(publish(7)), Applied::Superseded);
    let published = store.ledger.published().expect("published");
    assert_eq!(published.document, b"7");
}

#[test]
fn a_repeated_submission_changes_nothing() {
    let mut store = Store::default();
    store.execute(job(&["a", "b"]));
    store.record(0, End::Completed, "out");
    assert_eq!(store.execute(job(&["a", "b"])), Applied::Done);
    assert_eq!(store.page("job", 0, 100).map(|page| page.1.len()), Some(1));
}

#[test]
fn a_result_keeps_its_position_and_content() {
    let mut store = Store::default();
    store.execute(job(&["a", "b", "c"]));
    store.record(2, End::Completed, "of c");
    store.record(0, End::GivenUp, "");
    assert_eq!(store.record(2, End::Completed, "late"), Applied::Superseded);
    assert_eq!(store.record(2, End::GivenUp, ""), Applied::Superseded);
    let listed = vec![
        ("c".to_owned(), End::Completed, b"of c".to_vec()),
        ("a".to_owned(), End::GivenUp, Vec::new()),
    ];
    assert_eq!(store.page("job", 0, 100), Some((3, listed)));
}

#[test]
fn a_page_is_limited_in_size_but_has_at_least_one_result() {
    let mut store = Store::default();
    store.execute(job(&["a", "b", "c"]));
    for item in 0..3 {
        store.record(item, End::Completed, "0123456789");
    }
    let count = |after, bytes| store.page("job", after, bytes).map(|page| page.1.len());
    assert_eq!(count(0, 1), Some(1));
    assert_eq!(count(0, 20), Some(2));
    assert_eq!(count(2, 20), Some(1));
    assert_eq!(count(3, 20), Some(0));
    assert_eq!(store.page("other", 0, 1), None);
}

#[test]
fn bodies_are_readable_until_an_item_is_listed_or_its_job_has_ended() {
    let mut store = Store::default();
    store.execute(job(&["a", "b"]));
    assert!(store.ledger.body("job", "a").is_some());
    store.record(0, End::Completed, "out");
    assert!(store.ledger.body("job", "a").is_none());
    store.execute(Command::End { job: "job".into() });
    assert!(store.ledger.body("job", "b").is_none());
    assert_eq!(store.record(1, End::Completed, "late"), Applied::Superseded);
    assert_eq!(store.page("job", 0, 100).map(|page| page.1.len()), Some(1));
}

#[test]
fn a_sweep_keeps_open_jobs_and_removes_payloads_of_closed_ones() {
    let mut store = Store::default();
    store.execute(job(&["a"]));
    store.execute(Command::Sweep { before_ms: 5_000 });
    assert!(store.page("job", 0, 1).is_some(), "an open job stays");
    store.record(0, End::Completed, "out");
    store.execute(Command::Sweep { before_ms: 1_000 });
    assert!(store.page("job", 0, 1).is_some(), "a young job stays");
    store.execute(Command::Sweep { before_ms: 5_000 });
    assert_eq!(store.page("job", 0, 1), None);
    assert!(store.payloads.is_empty());
}

/// Guards against a submission time by the clock of an entry VM, which differs from the
/// clock by which the leader gives items up.
#[test]
fn the_leader_sets_the_submission_time() {
    let mut store = Store::default();
    let Command::Submit(job) = job(&["a"]) else {
        panic!("a submission");
    };
    store.execute(Command::submit(*job, 7_000));
    assert_eq!(store.ledger.jobs()["job"].submitted_ms, 7_000);
}

/// Guards against status 404 for a job within its retention time, as the clock of the
/// leader that sweeps is ahead of the clock by which the job was dated.
#[test]
fn a_closed_job_is_retained_despite_clock_skew() {
    const RETENTION_MS: u64 = 120_000;
    let mut store = Store::default();
    store.execute(job(&["a"]));
    store.record(0, End::Completed, "out");
    let retained_ms = 1_000 + RETENTION_MS - 1;
    for ahead_ms in [0, 3_000, 9_000] {
        store.execute(Command::sweep(retained_ms + ahead_ms, RETENTION_MS));
        assert!(store.page("job", 0, 1).is_some(), "{ahead_ms} ms ahead");
    }
    store.execute(Command::sweep(retained_ms + 20_000, RETENTION_MS));
    assert_eq!(store.page("job", 0, 1), None);
}

/// Guards against a replica that cannot read a snapshot of a version whose ledger did
/// not register VMs yet.
#[test]
fn a_snapshot_of_an_older_version_is_restored() {
    let mut store = Store::default();
    store.execute(Command::Evacuate { node: "a".into() });
    let older = postcard::to_stdvec(&store.ledger).expect("plain data");
    store.execute(Command::Register { node: "b".into() });
    let mut restored = Ledger::default();
    restored.restore(&older).expect("an older snapshot");
    assert!(restored.is_evacuated("a") && restored.registered().is_empty());
    restored
        .restore(&store.ledger.snapshot())
        .expect("a snapshot");
    assert!(restored.is_evacuated("a") && restored.registered().contains("b"));
}

#[test]
fn a_snapshot_restores_the_same_state() {
    let mut store = Store::default();
    store.execute(publish(3));
    store.execute(job(&["a", "b"]));
    store.record(1, End::Completed, "out");
    let mut restored = Ledger::default();
    restored
        .restore(&store.ledger.snapshot())
        .expect("a snapshot");
    assert_eq!(restored.snapshot(), store.ledger.snapshot());
    assert!(restored.body("job", "a").is_some());
}

/// Guards against missing or repeated events in an output after a command whose outcome
/// its leader did not learn, so that the next leader stored the events again.
#[test]
fn events_that_are_stored_twice_occur_once_in_the_output() {
    let mut store = Store::default();
    store.execute(job(&["a"]));
    store.save(0, &["1", "2"]);
    store.save(0, &["1", "2", "3"]);
    store.save(0, &["1"]);
    assert_eq!(store.ledger.jobs()["job"].items[0].saved, 3);
    let rest = Command::Record {
        job: "job".into(),
        item: 0,
        end: End::Completed,
        output: events(2, &["3", "4"]),
    };
    assert_eq!(store.execute(rest), Applied::Done);
    let listed = vec![("a".to_owned(), End::Completed, b"1\n2\n3\n4".to_vec())];
    assert_eq!(store.page("job", 0, 100), Some((1, listed)));
    assert_eq!(store.save(4, &["5"]), Applied::Superseded);
}

#[test]
fn stored_output_of_an_item_that_is_given_up_is_removed() {
    let mut store = Store::default();
    store.execute(job(&["a"]));
    store.save(0, &["1", "2"]);
    store.record(0, End::GivenUp, "");
    assert!(store.payloads.is_empty());
}

/// Guards against an item that fails in every run and runs more often than its route
/// allows, because each leader counts its failures from 0.
#[test]
fn a_new_leader_continues_the_count_of_failures() {
    let mut store = Store::default();
    store.execute(job(&["a"]));
    let fail = || Command::Fail {
        job: "job".into(),
        item: 0,
    };
    assert_eq!(store.execute(fail()), Applied::Done);
    assert_eq!(store.execute(fail()), Applied::Done);
    // The next leader starts from the snapshot.
    let mut next = Ledger::default();
    next.restore(&store.ledger.snapshot())
        .expect("a snapshot of its own");
    assert_eq!(next.jobs()["job"].items[0].failures, 2);
    store.record(0, End::GivenUp, "");
    assert_eq!(store.execute(fail()), Applied::Superseded);
}
