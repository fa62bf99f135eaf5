//! A disk whose slow syncs run on a background thread.

use std::{mem, sync::mpsc, thread, time};

use crate::storage::{Disk, Error, File, Flush, Flusher};

/// How long a step waits for a sync before it continues without it. Disks usually
/// sync in 5 ms, and the programs' election timeouts are 100 ms or more.
const SYNC_WAIT: time::Duration = time::Duration::from_millis(20);
/// A sync that takes longer is logged: ten times what the disks usually take.
const SLOW_SYNC: time::Duration = time::Duration::from_millis(50);

/// A disk that runs syncs of the write-ahead log on a background thread, so that
/// a slow one does not block the host.
///
/// One thread serves all groups of a host, because they share one log and only one
/// sync of it runs at a time. Other files are synced on the caller's thread.
pub struct Background {
    disk: Box<dyn Flusher>,
    syncs: mpsc::Sender<Flush>,
    results: mpsc::Receiver<Result<(), Error>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Background {
    /// Wraps a disk and starts the sync thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn new(disk: Box<dyn Flusher>) -> Result<Background, Error> {
        let (syncs, started) = mpsc::channel();
        let (finished, results) = mpsc::channel();
        let thread = thread::Builder::new().name("sync".to_owned());
        let thread = thread
            .spawn(move || run_syncs(&started, &finished))
            .map_err(|error| Error::io("start", "the sync thread", error))?;
        Ok(Background {
            disk,
            syncs,
            results,
            thread: Some(thread),
        })
    }
}

impl Drop for Background {
    /// Waits for the thread, so that no sync is running when the files are opened again.
    fn drop(&mut self) {
        let (closed, _) = mpsc::channel();
        drop(mem::replace(&mut self.syncs, closed));
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the sync thread panicked");
        }
    }
}

fn run_syncs(started: &mpsc::Receiver<Flush>, finished: &mpsc::Sender<Result<(), Error>>) {
    for flush in started {
        let result = timed(|| flush.run());
        // The receiver is dropped only when this thread is being stopped.
        if finished.send(result).is_err() {
            return;
        }
    }
}

fn timed<T>(sync: impl FnOnce() -> T) -> T {
    let began = time::Instant::now();
    let result = sync();
    let took = began.elapsed();
    if took > SLOW_SYNC {
        log::warn!(sync_ms = took.as_millis() as u64; "a sync was slow");
    }
    result
}

impl Disk for Background {
    fn append(&mut self, name: &str, data: &[u8]) -> Result<(), Error> {
        self.disk.append(name, data)
    }

    fn sync(&mut self, name: &str) -> Result<(), Error> {
        timed(|| self.disk.sync(name))
    }

    fn start_sync(&mut self, name: &str) -> Result<bool, Error> {
        let flush = self.disk.prepare_sync(name)?;
        self.syncs.send(flush).map_err(|_| Error::Stopped)?;
        match self.results.recv_timeout(SYNC_WAIT) {
            Ok(result) => result.map(|()| true),
            Err(mpsc::RecvTimeoutError::Timeout) => Ok(false),
            Err(mpsc::RecvTimeoutError::Disconnected) => Err(Error::Stopped),
        }
    }

    fn poll_sync(&mut self) -> Result<bool, Error> {
        match self.results.try_recv() {
            Ok(result) => result.map(|()| true),
            Err(mpsc::TryRecvError::Empty) => Ok(false),
            Err(mpsc::TryRecvError::Disconnected) => Err(Error::Stopped),
        }
    }

    fn wait_sync(&mut self) -> Result<(), Error> {
        self.results.recv().unwrap_or(Err(Error::Stopped))
    }

    fn close(&mut self, name: &str) {
        self.disk.close(name);
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>, Error> {
        self.disk.read(name, offset, length)
    }

    fn remove(&mut self, name: &str) -> Result<(), Error> {
        self.disk.remove(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), Error> {
        self.disk.rename(from, to)
    }

    fn list(&mut self) -> Result<Vec<File>, Error> {
        self.disk.list()
    }
}
