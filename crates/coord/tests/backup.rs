//! Backups, and clusters that are restored from them.

mod common;

use std::{collections::BTreeMap, io};

use bw_coord::{
    GroupId, ReplicaId, host, member, node,
    storage::{self, Disk, Loss, Memory},
};
use common::{Cluster, FIRST, GROUPS, Host, Journal, Options, Types};
use rstest::rstest;

/// Odd, so that chunks end within payloads and within the snapshot metadata.
const CHUNK_BYTES: usize = 37;
const TICK_MS: u64 = 10;

/// Reads the backup of a group from its leader while the cluster runs.
fn backup(cluster: &mut Cluster, group: GroupId) -> Vec<u8> {
    let leader = cluster.await_leader(group);
    let wanted = running(cluster, leader).request_snapshot(group);
    let wanted = wanted.expect("known group");
    while cluster
        .status(leader, group)
        .expect("running")
        .snapshot_index
        < wanted
    {
        cluster.run(TICK_MS);
    }
    let mut bytes = Vec::new();
    loop {
        let offset = bytes.len() as u64;
        let chunk = running(cluster, leader).read_backup(group, offset, CHUNK_BYTES);
        let chunk = chunk.expect("readable").expect("known group");
        if chunk.data.is_empty() {
            assert_eq!(chunk.size, bytes.len() as u64);
            return bytes;
        }
        bytes.extend(chunk.data);
    }
}

fn running(cluster: &mut Cluster, id: u64) -> &mut Host {
    let replica = cluster.replicas.get_mut(&id).expect("known replica");
    replica.host.as_mut().expect("running")
}

fn builder(id: u64, members: &[member::Member]) -> host::Builder<Types> {
    let builder = host::Builder::<Types>::new(ReplicaId(id), members.to_vec())
        .election_timeout_ms(common::ELECTION_TIMEOUT_MS)
        .payload_segment_bytes(1 << 10)
        .seed(id);
    GROUPS.into_iter().fold(builder, |builder, group| {
        builder.group(group, Journal::default())
    })
}

fn open_from_backups(
    id: u64,
    members: &[member::Member],
    backups: &BTreeMap<GroupId, Vec<u8>>,
    disk: Memory,
) -> Result<Host, storage::Error> {
    let builder = backups
        .iter()
        .fold(builder(id, members), |builder, backup| {
            builder.restore(*backup.0, io::Cursor::new(backup.1.clone()))
        });
    builder.open(disk)
}

fn new_members() -> Vec<member::Member> {
    (11..=13)
        .map(|id| member::Member::voter(ReplicaId(id), format!("host-{id}"), "zone-a"))
        .collect()
}

/// Steps hosts and delivers their messages without delay until one of them meets a
/// condition. Returns its id.
fn run_until(
    hosts: &mut BTreeMap<u64, Host>,
    now_ms: &mut u64,
    until: impl Fn(&Host) -> bool,
) -> u64 {
    let mut inboxes: BTreeMap<u64, Vec<host::Input>> = BTreeMap::new();
    for _ in 0..1_000 {
        *now_ms += TICK_MS;
        for (id, host) in hosts.iter_mut() {
            let mut inputs = inboxes.remove(id).unwrap_or_default();
            inputs.push(host::Input::Tick);
            let from = ReplicaId(*id);
            let mut send = |output| {
                if let host::Output::Send { to, message } = output {
                    let message = host::Input::Message { from, message };
                    inboxes.entry(to.0).or_default().push(message);
                }
            };
            host.step(inputs, *now_ms, &mut send)
                .expect("the disk works");
        }
        if let Some((id, _)) = hosts.iter().find(|(_, host)| until(host)) {
            return *id;
        }
    }
    panic!("condition not reached at {now_ms} ms");
}

/// Guards against a backup that lacks commands or payloads, and against a restored
/// cluster that cannot continue or restart.
#[rstest]
fn a_new_cluster_starts_from_a_backup(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(Options::new(3, seed));
    for group in GROUPS {
        cluster.await_leader(group);
        for size in 0..60 {
            cluster.write_acked(group, 8 + size);
        }
    }
    let backups: BTreeMap<GroupId, Vec<u8>> = GROUPS
        .into_iter()
        .map(|group| (group, backup(&mut cluster, group)))
        .collect();
    let leader = cluster.await_leader(FIRST);
    let expected: BTreeMap<GroupId, Vec<u64>> = GROUPS
        .into_iter()
        .map(|group| (group, cluster.commands(leader, group).to_vec()))
        .collect();

    let members = new_members();
    let disks: BTreeMap<u64, Memory> = (11..=13).map(|id| (id, Memory::new())).collect();
    let open = |(id, disk): (&u64, &Memory)| {
        let host = open_from_backups(*id, &members, &backups, disk.clone());
        (*id, host.expect("a valid backup"))
    };
    let mut hosts: BTreeMap<u64, Host> = disks.iter().map(open).collect();
    let mut now_ms = 1;
    check_state(&mut hosts, &expected);
    let leads =
        |host: &Host| host.status(FIRST).map(|status| status.role) == Some(node::Role::Leader);
    let leader = run_until(&mut hosts, &mut now_ms, leads);
    let propose = host::Input::Propose {
        group: FIRST,
        ticket: 1,
        command: 777u64.to_le_bytes().to_vec(),
    };
    let host = hosts.get_mut(&leader).expect("the leader");
    host.step(vec![propose], now_ms, &mut |_| {})
        .expect("the disk works");
    let length = expected[&FIRST].len() + 1;
    let applied = |host: &Host| host.machine(FIRST).expect("known group").commands.len() == length;
    run_until(&mut hosts, &mut now_ms, applied);

    drop(hosts);
    for (id, disk) in &disks {
        disk.crash(storage::Loss::All);
        let error = open_from_backups(*id, &members, &backups, disk.clone()).err();
        assert!(matches!(error, Some(storage::Error::NotEmpty)), "{error:?}");
        builder(*id, &members)
            .open(disk.clone())
            .expect("the disk is intact");
    }
}

/// Guards against a replica that starts empty, as the first member of a new cluster,
/// after a restore that stopped at any write.
#[rstest]
fn an_interrupted_restore_is_repeated(
    #[values(Loss::Nothing, Loss::All, Loss::Torn { keep: 9 })] loss: Loss,
) {
    let mut cluster = Cluster::new(Options::new(3, 6));
    let backups = GROUPS.map(|group| {
        cluster.await_leader(group);
        for size in 0..40 {
            cluster.write_acked(group, 8 + size);
        }
        (group, backup(&mut cluster, group))
    });
    let backups = BTreeMap::from(backups);
    let members = new_members();
    for changes in 0.. {
        let disk = Memory::new();
        disk.stop_after(changes);
        let finished = open_from_backups(11, &members, &backups, disk.clone()).is_ok();
        disk.crash(loss);
        // As the control program decides.
        let mut host = match host::awaits_restore(&mut disk.clone()).expect("readable") {
            true => {
                if !disk.clone().list().expect("readable").is_empty() {
                    let error = builder(11, &members).open(disk.clone()).err();
                    let unfinished = matches!(error, Some(storage::Error::UnfinishedRestore));
                    assert!(unfinished, "after {changes} changes: {error:?}");
                }
                open_from_backups(11, &members, &backups, disk)
            }
            false => builder(11, &members).open(disk),
        }
        .unwrap_or_else(|error| panic!("after {changes} changes: {error}"));
        for group in GROUPS {
            let commands = &host.machine(group).expect("known group").commands;
            assert_eq!(commands.len(), 40, "after {changes} changes");
        }
        host.step(vec![host::Input::Tick], 1, &mut |_| {})
            .expect("the disk works");
        if finished {
            assert!(changes > 10, "only {changes} changes");
            return;
        }
    }
}

fn check_state(hosts: &mut BTreeMap<u64, Host>, expected: &BTreeMap<GroupId, Vec<u64>>) {
    for host in hosts.values_mut() {
        for (group, commands) in expected {
            let read = host.read(*group, |machine, payloads| {
                assert_eq!(machine.commands, *commands);
                machine.check_payloads(true, payloads)
            });
            read.expect("payloads are intact").expect("known group");
        }
    }
}

/// Guards against restoring a corrupt or incomplete backup.
#[rstest]
#[case::cut_at_the_start(|bytes: &mut Vec<u8>| bytes.truncate(5))]
#[case::cut_at_the_end(|bytes: &mut Vec<u8>| bytes.truncate(bytes.len() - 1))]
#[case::longer(|bytes: &mut Vec<u8>| bytes.push(0))]
#[case::no_backup(|bytes: &mut Vec<u8>| *bytes = vec![0xff; 100])]
#[case::changed_at_the_start(|bytes: &mut Vec<u8>| bytes[9] ^= 1)]
#[case::changed_in_the_state(|bytes: &mut Vec<u8>| { let middle = bytes.len() / 2; bytes[middle] ^= 1 })]
#[case::changed_at_the_end(|bytes: &mut Vec<u8>| { let last = bytes.len() - 1; bytes[last] ^= 1 })]
fn a_damaged_backup_is_refused(#[case] damage: fn(&mut Vec<u8>)) {
    let mut cluster = Cluster::new(Options::new(3, 5));
    cluster.await_leader(FIRST);
    for size in 0..40 {
        cluster.write_acked(FIRST, 8 + size);
    }
    let mut bytes = backup(&mut cluster, FIRST);
    damage(&mut bytes);
    let backups = BTreeMap::from([(FIRST, bytes)]);
    let error = open_from_backups(11, &new_members(), &backups, Memory::new()).err();
    let corrupt = matches!(error, Some(storage::Error::Corrupt { .. }));
    assert!(corrupt, "{error:?}");
}
