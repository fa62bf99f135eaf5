//! Runs the work machine with its payloads on a disk, as the control program does.

use std::collections;

use bw_coord::{
    GroupId, ReplicaId, host, member,
    storage::{Disk, Error, Loss, Memory},
};
use bw_state::machine::{self, Machine};
use bw_wire::{command, command::work, query};
use rstest::rstest;

const GROUP: GroupId = GroupId(1);
const URL: &str = "/v1/completions";
const CHUNKS: u32 = 4;
const ITEMS: u32 = 50;
/// Size of the text of a line or an answer. A single text is larger than the whole
/// state without texts.
const TEXT_BYTES: usize = 2_000;

struct Edge;

impl host::Types for Edge {
    type Disk = Memory;
    type Machine = Machine;
}

/// A control replica that is the only member of its group.
struct Replica {
    disk: Memory,
    host: host::Host<Edge>,
    now_ms: u64,
    /// The ticket of the last command. A command is acknowledged only after a sync,
    /// so a crash keeps it.
    ticket: u64,
}

impl Replica {
    fn start(disk: Memory, snapshot_log_bytes: u64) -> Result<Replica, Error> {
        let members = vec![member::Member::voter(ReplicaId(1), "", "zone-a")];
        let host = host::Builder::<Edge>::new(ReplicaId(1), members)
            .group(GROUP, Machine::for_group(GROUP.0))
            .snapshot_log_bytes(snapshot_log_bytes)
            .payload_segment_bytes(100_000)
            .open(disk.clone())?;
        let mut replica = Replica {
            disk,
            host,
            now_ms: 0,
            ticket: 0,
        };
        while replica.status().lease_remaining_ms == 0 {
            replica.step(host::Input::Tick, 100)?;
        }
        // The first entry of the term commits the earlier entries.
        replica.step(host::Input::Tick, 100)?;
        Ok(replica)
    }

    fn status(&self) -> host::Status {
        self.host.status(GROUP).expect("known group")
    }

    fn step(&mut self, input: host::Input, ms: u64) -> Result<Vec<host::Output>, Error> {
        self.now_ms += ms;
        let mut outputs = Vec::new();
        let result = self.host.step(vec![input], self.now_ms, &mut |output| {
            outputs.push(output);
        });
        result.map(|()| outputs)
    }

    fn propose(&mut self, command: work::Command) -> Result<work::Reply, Error> {
        self.ticket += 1;
        let stamped = command::Stamped {
            now_ms: 1_000_000,
            command: command::Command::Work(command),
        };
        let propose = host::Input::Propose {
            group: GROUP,
            ticket: self.ticket,
            command: machine::encode(&stamped),
        };
        let outputs = self.step(propose, 20)?;
        let results = outputs.into_iter().filter_map(|output| match output {
            host::Output::Proposed { result, .. } => Some(result),
            _ => None,
        });
        let results: Vec<_> = results.collect();
        let [Ok(bytes)] = results.as_slice() else {
            panic!("no result: {results:?}");
        };
        match machine::decode_reply(bytes) {
            Ok(command::Reply::Work(reply)) => Ok(reply),
            other => panic!("unexpected reply {other:?}"),
        }
    }

    fn run(&mut self, command: work::Command) -> work::Reply {
        self.propose(command).expect("healthy disk")
    }

    fn query(&mut self, query: &query::Query) -> Result<query::Answer, Error> {
        let answer = self
            .host
            .read(GROUP, |machine, payloads| machine.query(query, payloads))?;
        Ok(answer.flatten().expect("a query of the group"))
    }

    fn upload(&mut self) {
        for chunk in 0..CHUNKS {
            let reply = self.run(work::Command::FileChunk {
                file: "f".into(),
                chunk,
                lines: lines(chunk),
            });
            assert_eq!(reply, work::Reply::Ok);
        }
        let reply = self.run(work::Command::FileSeal {
            file: "f".into(),
            team: "t".into(),
            filename: String::new(),
            purpose: String::new(),
            bytes: 0,
            chunks: CHUNKS,
        });
        assert_eq!(reply, work::Reply::Ok);
        let reply = self.run(work::Command::JobCreate {
            job: "j".into(),
            team: "t".into(),
            file: "f".into(),
            endpoint: URL.to_owned(),
            window_ms: 3_600_000,
            metadata: collections::BTreeMap::new(),
        });
        assert!(matches!(reply, work::Reply::Job(_)));
    }

    fn take(&mut self) -> Vec<work::Lease> {
        let take = work::Command::Take {
            holder: "h".into(),
            want: CHUNKS,
            lease_ms: 1_000,
            models: Vec::new(),
        };
        match self.run(take) {
            work::Reply::Taken { leases } => leases,
            other => panic!("unexpected reply {other:?}"),
        }
    }

    fn record(&mut self, chunk: &work::ChunkRef, numbers: &[u32]) -> work::Reply {
        self.run(work::Command::Record {
            chunk: chunk.clone(),
            outcomes: numbers.iter().map(|number| outcome(*number)).collect(),
        })
    }
}

fn lines(chunk: u32) -> Vec<work::Line> {
    let numbers = chunk * ITEMS + 1..=(chunk + 1) * ITEMS;
    let lines = numbers.map(|number| work::Line {
        number,
        custom_id: Some(format!("item-{number}")),
        content: work::Content::Request {
            url: URL.to_owned(),
            model: "m".into(),
            body: format!("{number:0>TEXT_BYTES$}"),
        },
    });
    lines.collect()
}

fn outcome(number: u32) -> work::Outcome {
    work::Outcome {
        number,
        result: work::Result::Answer {
            status: 200,
            body: format!("{number:y>TEXT_BYTES$}"),
        },
    }
}

fn results_of(chunk: u32) -> query::Query {
    query::Query::Results {
        job: "j".into(),
        team: "t".into(),
        chunk,
    }
}

fn lines_of(chunk: u32) -> query::Query {
    query::Query::FileChunk {
        file: "f".into(),
        team: "t".into(),
        chunk,
    }
}

/// Guards against lines and results that are lost, mixed up or duplicated after a
/// crash, whether they are in the snapshot or in the log after it.
#[rstest]
fn lines_and_results_survive_restarts(
    #[values(1 << 30, 300_000, 10_000)] snapshot_log_bytes: u64,
    #[values(Loss::All, Loss::Torn { keep: 700 }, Loss::Nothing)] loss: Loss,
) {
    let disk = Memory::new();
    let start = || Replica::start(disk.clone(), snapshot_log_bytes).expect("healthy disk");
    let mut replica = start();
    replica.upload();
    let leases = replica.take();
    assert_eq!(leases.len(), CHUNKS as usize);
    for lease in &leases {
        assert_eq!(lease.lines, lines(lease.chunk.chunk));
        let first = lease.chunk.chunk * ITEMS + 1;
        replica.record(&lease.chunk, &[first + 3, first, first + 3]);
        replica.record(&lease.chunk, &[first, first + 7]);
    }
    for _ in 0..2 {
        drop(replica);
        disk.crash(loss);
        replica = start();
        for lease in &leases {
            let chunk = lease.chunk.chunk;
            let stored = replica.query(&lines_of(chunk)).expect("readable");
            assert_eq!(stored, query::Answer::Lines(lines(chunk)));
            let first = chunk * ITEMS + 1;
            let expected = [first, first + 3, first + 7].map(|number| query::ItemResult {
                custom_id: Some(format!("item-{number}")),
                outcome: outcome(number),
            });
            let stored = replica.query(&results_of(chunk)).expect("readable");
            assert_eq!(stored, query::Answer::Results(expected.to_vec()));
        }
    }
    let release = work::Command::Release {
        holder: "h".into(),
        chunks: vec![leases[0].chunk.clone()],
    };
    replica.run(release);
    let again = replica.take();
    let open: Vec<u32> = again[0].lines.iter().map(|line| line.number).collect();
    let done = [1, 4, 8];
    let expected = (1..=ITEMS).filter(|number| !done.contains(number));
    assert_eq!(open, expected.collect::<Vec<u32>>());
}

/// Guards against a state and a snapshot that contain the texts of lines and results.
#[rstest]
fn the_state_contains_no_texts() {
    let mut replica = Replica::start(Memory::new(), 1 << 30).expect("healthy disk");
    replica.upload();
    for lease in replica.take() {
        let numbers: Vec<u32> = lease.lines.iter().map(|line| line.number).collect();
        replica.record(&lease.chunk, &numbers);
    }
    let Some(Machine::Work(machine)) = replica.host.machine(GROUP) else {
        panic!("no work machine");
    };
    let texts = u64::from(2 * CHUNKS * ITEMS) * TEXT_BYTES as u64;
    assert!(machine.bytes() > texts);
    assert!(machine.snapshot().len() < TEXT_BYTES);
    let store = replica.host.payloads(GROUP).expect("known group");
    assert!(store.live_bytes() > texts);
    assert_eq!(store.count(), 2 * CHUNKS as usize);
}

/// Guards against a replica that goes on after it has read a damaged payload.
#[rstest]
#[case::query(false)]
#[case::reply(true)]
fn a_damaged_payload_stops_the_replica(#[case] take: bool) {
    let mut replica = Replica::start(Memory::new(), 1 << 30).expect("healthy disk");
    replica.upload();
    let files = replica.disk.list().expect("readable");
    let segments = files
        .iter()
        .filter(|file| file.name.starts_with("payload-"));
    for segment in segments {
        replica.disk.corrupt(&segment.name, 1_000);
    }
    let error = match take {
        true => replica
            .propose(work::Command::Take {
                holder: "h".into(),
                want: CHUNKS,
                lease_ms: 1_000,
                models: Vec::new(),
            })
            .expect_err("the damage is found"),
        false => {
            let error = replica
                .query(&lines_of(0))
                .expect_err("the damage is found");
            assert!(replica.step(host::Input::Tick, 20).is_err());
            error
        }
    };
    assert!(matches!(error, Error::Corrupt { .. }), "{error}");
    let stopped = replica.step(host::Input::Tick, 20);
    assert!(matches!(stopped, Err(Error::Stopped)));
}

/// Guards against payloads that stay on the disk after their job and file are dropped.
#[rstest]
fn payloads_are_dropped_with_their_job_and_file() {
    let mut replica = Replica::start(Memory::new(), 10_000).expect("healthy disk");
    replica.upload();
    for lease in replica.take() {
        let numbers: Vec<u32> = lease.lines.iter().map(|line| line.number).collect();
        replica.record(&lease.chunk, &numbers);
    }
    let delete = work::Command::FileDelete {
        file: "f".into(),
        team: "t".into(),
    };
    assert_eq!(replica.run(delete), work::Reply::Ok);
    let mut tuning = work::Tuning::default();
    tuning.retention.job_ms = 0;
    replica.run(work::Command::Tune {
        tuning: Box::new(tuning),
    });
    replica.run(work::Command::Expire);
    let store = replica.host.payloads(GROUP).expect("known group");
    assert_eq!(store.count(), 0);
    for index in 0..200 {
        // Enough commands for a snapshot that no longer refers to the segments.
        replica.run(work::Command::Claim {
            team: "t".into(),
            key: format!("key-{index}").into(),
            body: bw_wire::fingerprint::Fingerprint(0, 0),
            value: "value".into(),
        });
    }
    let store = replica.host.payloads(GROUP).expect("known group");
    assert_eq!(store.disk_bytes(), 0);
}
