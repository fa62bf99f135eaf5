//! Open-loop pacing.
//!
//! Requests are released at their intended times by a thread that sleeps with
//! the precision of the operating system; the timer of the runtime has steps of
//! 1 ms, which would show in the measured latencies.

use std::{thread, time};

use tokio::sync::mpsc;

/// Releases items at their intended times.
pub struct Pacer<T> {
    /// `None` once the thread is told to end.
    released: Option<mpsc::UnboundedReceiver<(time::Instant, T)>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl<T: Send + 'static> Pacer<T> {
    /// Releases items, sorted by time, at their times from a start on.
    pub fn new(start: time::Instant, items: Vec<(time::Duration, T)>) -> Pacer<T> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let thread = thread::spawn(move || {
            for (at, item) in items {
                let intended = start + at;
                thread::sleep(intended.saturating_duration_since(time::Instant::now()));
                if sender.send((intended, item)).is_err() {
                    return;
                }
            }
        });
        Pacer {
            released: Some(receiver),
            thread: Some(thread),
        }
    }

    /// Waits for the next item; `None` after the last one.
    pub async fn next(&mut self) -> Option<(time::Instant, T)> {
        self.released.as_mut()?.recv().await
    }
}

impl<T> Drop for Pacer<T> {
    /// Waits for the thread, at most until the next item is due.
    fn drop(&mut self) {
        self.released = None;
        if let Some(thread) = self.thread.take() {
            // The thread does not panic.
            let _ = thread.join();
        }
    }
}
