//! A directory whose long syncs run beside the control thread.

use std::{io, mem, sync::mpsc, thread, time};

use bw_coord::storage::{self, Disk};

/// How long the control thread waits for a sync before it goes on without it.
/// Disks usually sync in 5 ms; heartbeats are sent every 30 ms.
const PATIENCE: time::Duration = time::Duration::from_millis(20);
/// A sync that takes longer is logged: ten times what the disks usually take.
const SLOW_SYNC: time::Duration = time::Duration::from_millis(50);

/// A directory of the file system with a thread for syncs of the log.
#[derive(Debug)]
pub(crate) struct Background {
    directory: storage::Directory,
    syncs: mpsc::Sender<storage::Flush>,
    results: mpsc::Receiver<Result<(), storage::Error>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Background {
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub(crate) fn new(directory: storage::Directory) -> io::Result<Background> {
        let (syncs, started) = mpsc::channel();
        let (finished, results) = mpsc::channel();
        let thread = thread::Builder::new().name("sync".to_owned());
        let thread = thread.spawn(move || run_syncs(&started, &finished))?;
        Ok(Background {
            directory,
            syncs,
            results,
            thread: Some(thread),
        })
    }
}

impl Drop for Background {
    /// Waits for the thread, so that no sync runs when the folder is used again.
    fn drop(&mut self) {
        let (closed, _) = mpsc::channel();
        drop(mem::replace(&mut self.syncs, closed));
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread for syncs panicked");
        }
    }
}

fn run_syncs(
    started: &mpsc::Receiver<storage::Flush>,
    finished: &mpsc::Sender<Result<(), storage::Error>>,
) {
    for flush in started {
        let result = timed(|| flush.run());
        // The receiver is gone only if the thread is about to end, too.
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
    fn append(&mut self, name: &str, data: &[u8]) -> Result<(), storage::Error> {
        self.directory.append(name, data)
    }

    fn sync(&mut self, name: &str) -> Result<(), storage::Error> {
        timed(|| self.directory.sync(name))
    }

    fn start_sync(&mut self, name: &str) -> Result<bool, storage::Error> {
        let flush = self.directory.prepare_sync(name)?;
        self.syncs
            .send(flush)
            .map_err(|_| storage::Error::Stopped)?;
        match self.results.recv_timeout(PATIENCE) {
            Ok(result) => result.map(|()| true),
            Err(mpsc::RecvTimeoutError::Timeout) => Ok(false),
            Err(mpsc::RecvTimeoutError::Disconnected) => Err(storage::Error::Stopped),
        }
    }

    fn poll_sync(&mut self) -> Result<bool, storage::Error> {
        match self.results.try_recv() {
            Ok(result) => result.map(|()| true),
            Err(mpsc::TryRecvError::Empty) => Ok(false),
            Err(mpsc::TryRecvError::Disconnected) => Err(storage::Error::Stopped),
        }
    }

    fn wait_sync(&mut self) -> Result<(), storage::Error> {
        self.results.recv().unwrap_or(Err(storage::Error::Stopped))
    }

    fn close(&mut self, name: &str) {
        self.directory.close(name);
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
