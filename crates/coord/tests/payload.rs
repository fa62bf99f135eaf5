//! The payload store on an in-memory disk.

use std::collections::BTreeMap;

use bw_coord::{
    GroupId,
    payload::{Key, Store},
    storage::{Disk, Error, Loss, Memory},
};
use rand::{Rng, SeedableRng};

const GROUP: GroupId = GroupId(3);
const SEGMENT_BYTES: u32 = 1_000;

fn store() -> Store {
    Store::new(GROUP, SEGMENT_BYTES)
}

fn reopen(list: &[u8], disk: &mut Memory) -> Result<Store, Error> {
    Store::open(GROUP, SEGMENT_BYTES, list, disk)
}

fn content(key: u64, length: usize) -> Vec<u8> {
    (0..length).map(|byte| (key + byte as u64) as u8).collect()
}

fn put(store: &mut Store, disk: &mut Memory, key: u64, length: usize) {
    let content = content(key, length);
    store
        .put(disk, Key(key), &content)
        .expect("the disk has room");
}

/// Writes a snapshot and returns its list.
fn snapshot(store: &mut Store, disk: &mut Memory) -> Vec<u8> {
    let list = store.start_snapshot();
    while !store.sync(disk).expect("the disk syncs") {}
    store.finish_snapshot();
    list
}

fn run_maintenance(store: &mut Store, disk: &mut Memory) {
    for _ in 0..1_000 {
        store.maintain(disk).expect("the disk works");
    }
}

fn segments(disk: &mut Memory) -> usize {
    let files = disk.list().expect("the disk lists");
    let payloads = files
        .iter()
        .filter(|file| file.name.starts_with("payload-"));
    payloads.count()
}

/// Guards against contents that are mixed up or cut off at segment boundaries.
#[test]
fn reads_back_what_was_stored() {
    let mut disk = Memory::new();
    let mut store = store();
    for key in 0..100 {
        put(&mut store, &mut disk, key, key as usize * 7 % 400);
    }
    for key in 0..100 {
        let read = store.get(&mut disk, Key(key)).expect("readable");
        assert_eq!(read, Some(content(key, key as usize * 7 % 400)));
    }
    assert_eq!(store.get(&mut disk, Key(100)).expect("readable"), None);
    assert_eq!(store.count(), 100);
    assert!(segments(&mut disk) > 10);
}

/// Guards against a replay of the log that stores payloads twice, and against a key
/// whose content changes unnoticed.
#[test]
fn a_key_keeps_its_content() {
    let mut disk = Memory::new();
    let mut store = store();
    put(&mut store, &mut disk, 1, 100);
    put(&mut store, &mut disk, 1, 100);
    assert_eq!(disk.used(), 100);
    let other = store.put(&mut disk, Key(1), &content(2, 100));
    assert!(matches!(other, Err(Error::Corrupt { .. })));
}

/// Guards against a snapshot that becomes valid before its payloads are durable, and
/// against keeping data that no snapshot lists.
#[test]
fn a_snapshot_survives_the_loss_of_unsynced_bytes() {
    let mut disk = Memory::new();
    let mut store = store();
    for key in 0..30 {
        put(&mut store, &mut disk, key, 150);
    }
    let list = snapshot(&mut store, &mut disk);
    for key in 30..60 {
        put(&mut store, &mut disk, key, 150);
    }
    for loss in [Loss::Torn { keep: 10 }, Loss::All] {
        disk.crash(loss);
        let mut store = reopen(&list, &mut disk).expect("the list is valid");
        assert_eq!(store.count(), 30);
        assert_eq!(disk.used(), 30 * 150);
        for key in 0..30 {
            let read = store.get(&mut disk, Key(key)).expect("readable");
            assert_eq!(read, Some(content(key, 150)));
        }
        // The replay of the log stores the later payloads again.
        put(&mut store, &mut disk, 30, 150);
        let read = store.get(&mut disk, Key(30)).expect("readable");
        assert_eq!(read, Some(content(30, 150)));
    }
}

/// Guards against starting although payloads are missing.
#[test]
fn a_missing_or_short_segment_is_corrupt() {
    let mut disk = Memory::new();
    let mut store = store();
    put(&mut store, &mut disk, 1, 100);
    let list = store.start_snapshot();
    disk.crash(Loss::Torn { keep: 99 });
    let opened = reopen(&list, &mut disk);
    assert!(matches!(opened, Err(Error::Corrupt { .. })));
    disk.wipe();
    let opened = reopen(&list, &mut disk);
    assert!(matches!(opened, Err(Error::Corrupt { .. })));
    let opened = reopen(&list[1..], &mut disk);
    assert!(matches!(opened, Err(Error::Corrupt { .. })));
}

/// Guards against returning or copying a corrupt payload.
#[test]
fn corruption_is_found_by_reads_and_compaction() {
    let mut disk = Memory::new();
    let mut store = store();
    for key in 0..10 {
        put(&mut store, &mut disk, key, 100);
    }
    let file = disk.list().expect("the disk lists").remove(0);
    assert!(disk.corrupt(&file.name, 950));
    let read = store.get(&mut disk, Key(9));
    assert!(matches!(read, Err(Error::Corrupt { .. })));
    assert!(store.get(&mut disk, Key(8)).expect("readable").is_some());
    for key in 0..9 {
        store.remove(Key(key));
    }
    let copied = store.maintain(&mut disk);
    assert!(matches!(copied, Err(Error::Corrupt { .. })));
}

/// Guards against ignoring a full disk or a failed sync.
#[test]
fn disk_errors_are_reported() {
    let mut disk = Memory::new();
    let mut store = store();
    disk.set_capacity(Some(150));
    put(&mut store, &mut disk, 1, 100);
    let full = store.put(&mut disk, Key(2), &content(2, 100));
    assert!(matches!(full, Err(Error::Full { .. })));
    disk.fail_syncs(1);
    store.start_snapshot();
    assert!(matches!(store.sync(&mut disk), Err(Error::Io { .. })));
}

/// Guards against removing segments while the durable snapshot still refers to them,
/// and against keeping dead segments.
#[test]
fn dead_segments_are_removed_once_no_snapshot_needs_them() {
    let mut disk = Memory::new();
    let mut store = store();
    for key in 0..20 {
        put(&mut store, &mut disk, key, 100);
    }
    let list = snapshot(&mut store, &mut disk);
    for key in 0..20 {
        store.remove(Key(key));
    }
    run_maintenance(&mut store, &mut disk);
    assert_eq!(segments(&mut disk), 2);
    let reopened = reopen(&list, &mut disk).expect("the list is valid");
    assert!(reopened.get(&mut disk, Key(5)).expect("readable").is_some());
    // A snapshot in progress does not replace the durable one yet.
    store.start_snapshot();
    run_maintenance(&mut store, &mut disk);
    assert_eq!(segments(&mut disk), 2);
    store.finish_snapshot();
    run_maintenance(&mut store, &mut disk);
    assert_eq!(segments(&mut disk), 0);
    assert_eq!(store.disk_bytes(), 0);
}

/// Guards against removing segments while a snapshot that refers to them is being
/// written.
#[test]
fn an_unfinished_snapshot_keeps_its_segments() {
    let mut disk = Memory::new();
    let mut store = store();
    for key in 0..20 {
        put(&mut store, &mut disk, key, 100);
    }
    let list = store.start_snapshot();
    for key in 0..20 {
        store.remove(Key(key));
    }
    run_maintenance(&mut store, &mut disk);
    while !store.sync(&mut disk).expect("the disk syncs") {}
    store.finish_snapshot();
    run_maintenance(&mut store, &mut disk);
    let reopened = reopen(&list, &mut disk).expect("the list is valid");
    assert_eq!(reopened.count(), 20);
}

/// Guards against a disk that fills with dead payloads, and against a compaction that
/// copies everything in one step.
#[test]
fn sparse_segments_are_compacted_in_small_steps() {
    let mut disk = Memory::new();
    let mut store = Store::new(GROUP, 8 << 20);
    let length = 64 << 10;
    for key in 0..512 {
        put(&mut store, &mut disk, key, length);
    }
    snapshot(&mut store, &mut disk);
    for key in (0..512).filter(|key| key % 3 > 0) {
        store.remove(Key(key));
    }
    let live = store.live_bytes();
    let mut steps = 0;
    loop {
        let before = disk.used();
        store.maintain(&mut disk).expect("the disk works");
        let copied = disk.used() - before;
        if copied == 0 {
            break;
        }
        assert!(copied <= (1 << 20) + length as u64);
        steps += 1;
    }
    assert!(steps >= 8);
    snapshot(&mut store, &mut disk);
    run_maintenance(&mut store, &mut disk);
    assert_eq!(disk.used(), live);
    for key in (0..512).step_by(3) {
        let read = store.get(&mut disk, Key(key)).expect("readable");
        assert_eq!(read, Some(content(key, length)));
    }
}

/// Guards against sequences of changes, snapshots, compactions and crashes that lose a
/// payload or restore a removed one.
#[test]
fn random_histories_match_a_map() {
    for seed in 0..40 {
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let mut disk = Memory::new();
        let mut store = store();
        let mut live: BTreeMap<u64, usize> = BTreeMap::new();
        let mut saved = (Vec::new(), BTreeMap::new());
        let mut next = 0;
        for _ in 0..1_000 {
            match rng.random_range(0..100) {
                0..45 => {
                    let length = rng.random_range(0..300);
                    put(&mut store, &mut disk, next, length);
                    live.insert(next, length);
                    next += 1;
                }
                45..85 => {
                    let keys: Vec<u64> = live.keys().copied().collect();
                    if !keys.is_empty() {
                        let key = keys[rng.random_range(0..keys.len())];
                        store.remove(Key(key));
                        live.remove(&key);
                    }
                }
                85..95 => store.maintain(&mut disk).expect("the disk works"),
                95..98 => saved = (snapshot(&mut store, &mut disk), live.clone()),
                _ => {
                    disk.crash(Loss::Torn {
                        keep: rng.random_range(0..500),
                    });
                    store = reopen(&saved.0, &mut disk)
                        .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
                    live = saved.1.clone();
                }
            }
            assert_eq!(store.count(), live.len(), "seed {seed}");
        }
        for (key, length) in &live {
            let read = store.get(&mut disk, Key(*key));
            let read = read.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
            assert_eq!(read, Some(content(*key, *length)), "seed {seed}");
        }
    }
}
