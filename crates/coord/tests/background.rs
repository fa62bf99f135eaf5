//! Slow syncs on the background thread.

use std::{
    sync::{Arc, Condvar, Mutex, mpsc},
    thread, time,
};

use bw_coord::storage::{self, Disk, Flusher};

/// Time limit for each wait in a test.
const LIMIT: time::Duration = time::Duration::from_secs(30);

/// Blocks syncs until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0.0.lock().expect("lock") = true;
        self.0.1.notify_all();
    }

    fn wait(&self) {
        let mut open = self.0.0.lock().expect("lock");
        while !*open {
            open = self.0.1.wait(open).expect("lock");
        }
    }
}

/// A directory whose prepared syncs wait for a gate and then return a result.
struct GatedDirectory {
    directory: storage::Directory,
    gate: Gate,
    result: Result<(), storage::Error>,
}

impl Flusher for GatedDirectory {
    fn prepare_sync(&mut self, name: &str) -> Result<storage::Flush, storage::Error> {
        let flush = self.directory.prepare_sync(name)?;
        let (gate, result) = (self.gate.clone(), self.result.clone());
        Ok(storage::Flush::new(move || {
            gate.wait();
            flush.run().and(result)
        }))
    }
}

impl Disk for GatedDirectory {
    fn append(&mut self, name: &str, data: &[u8]) -> Result<(), storage::Error> {
        self.directory.append(name, data)
    }

    fn sync(&mut self, name: &str) -> Result<(), storage::Error> {
        self.directory.sync(name)
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>, storage::Error> {
        self.directory.read(name, offset, length)
    }

    fn remove(&mut self, name: &str) -> Result<(), storage::Error> {
        self.directory.remove(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), storage::Error> {
        self.directory.rename(from, to)
    }

    fn list(&mut self) -> Result<Vec<storage::File>, storage::Error> {
        self.directory.list()
    }
}

/// Opens a disk and starts a sync that does not end before the gate is opened.
fn start_gated_sync(
    path: &std::path::Path,
    gate: &Gate,
    result: Result<(), storage::Error>,
) -> storage::Background {
    let gated = GatedDirectory {
        directory: storage::Directory::open(path).expect("directory"),
        gate: gate.clone(),
        result,
    };
    let mut disk = storage::Background::new(Box::new(gated)).expect("the sync thread starts");
    disk.append("log", b"one").expect("appended");
    assert_eq!(disk.start_sync("log").ok(), Some(false));
    disk
}

/// Guards against blocking the caller during a slow sync, and against reporting it as
/// finished too early.
#[test]
fn long_sync_is_left_running_until_it_has_finished() {
    let temp_dir = tempfile::tempdir().expect("temporary directory");
    let gate = Gate::default();
    let mut disk = start_gated_sync(temp_dir.path(), &gate, Ok(()));
    assert_eq!(disk.poll_sync().ok(), Some(false));
    disk.append("other", b"two").expect("appended");
    disk.sync("other").expect("synced during the running sync");
    assert_eq!(disk.poll_sync().ok(), Some(false));
    gate.open();
    let began = time::Instant::now();
    while !disk.poll_sync().expect("healthy disk") {
        assert!(began.elapsed() < LIMIT, "the sync does not finish");
        thread::sleep(time::Duration::from_millis(1));
    }
}

/// Guards against treating data as durable whose sync failed on the background thread.
#[test]
fn failed_sync_is_reported_to_the_waiting_caller() {
    let temp_dir = tempfile::tempdir().expect("temporary directory");
    let gate = Gate::default();
    let full = storage::Error::Full {
        file: "log".to_owned(),
    };
    let mut disk = start_gated_sync(temp_dir.path(), &gate, Err(full));
    gate.open();
    let result = disk.wait_sync();
    assert!(matches!(result, Err(storage::Error::Full { .. })));
}

/// Guards against a sync that is still running when the directory is opened again.
#[test]
fn dropped_disk_waits_for_its_sync() {
    let temp_dir = tempfile::tempdir().expect("temporary directory");
    let gate = Gate::default();
    let disk = start_gated_sync(temp_dir.path(), &gate, Ok(()));
    let (ended, end) = mpsc::channel();
    let dropping = thread::spawn(move || {
        drop(disk);
        ended.send(()).expect("the test waits");
    });
    let early = end.recv_timeout(time::Duration::from_millis(100));
    assert!(early.is_err(), "the sync is still running");
    assert!(storage::Directory::open(temp_dir.path()).is_err());
    gate.open();
    end.recv_timeout(LIMIT).expect("the thread has ended");
    dropping.join().expect("no panic");
    storage::Directory::open(temp_dir.path()).expect("unlocked");
}
