//! A directory that logs slow syncs.

use std::time;

use bw_coord::storage;

/// A sync that takes longer is logged: ten times what the disks usually take.
const SLOW_SYNC: time::Duration = time::Duration::from_millis(50);

/// A directory of the file system whose syncs are timed.
#[derive(Debug)]
pub(crate) struct Timed(pub(crate) storage::Directory);

impl storage::Disk for Timed {
    fn append(&mut self, name: &str, data: &[u8]) -> Result<(), storage::Error> {
        self.0.append(name, data)
    }

    fn sync(&mut self, name: &str) -> Result<(), storage::Error> {
        let began = time::Instant::now();
        let result = self.0.sync(name);
        let took = began.elapsed();
        if took > SLOW_SYNC {
            log::warn!(file = name, sync_ms = took.as_millis() as u64; "a sync was slow");
        }
        result
    }

    fn close(&mut self, name: &str) {
        self.0.close(name);
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>, storage::Error> {
        self.0.read(name, offset, length)
    }

    fn remove(&mut self, name: &str) -> Result<(), storage::Error> {
        self.0.remove(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), storage::Error> {
        self.0.rename(from, to)
    }

    fn list(&mut self) -> Result<Vec<storage::File>, storage::Error> {
        self.0.list()
    }
}
