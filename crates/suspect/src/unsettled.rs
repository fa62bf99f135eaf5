//! Runs that ended without a complete answer, until it is known whether their backend
//! server went on.
//!
//! A backend server that ends may reset its connections, fall silent, refuse new
//! connections or come back as another incarnation, and a process often drops the
//! connection before it learns of any of these. The run is therefore kept here beyond its
//! connection. It counts against its request once its incarnation has ended, whatever
//! shows that, and no more once a later sign of life of the same incarnation has come.
//!
//! Some signs leave a doubt: a backend server that can't be reached may only be cut off.
//! The strike of such a sign is withdrawn if the incarnation is heard again.
//!
//! A response does not say which incarnation sends it. One to a request that was sent long
//! after the run ended may come from the next incarnation before that one has announced
//! itself, so it counts only once an announcement would have come.

use std::collections::VecDeque;

use super::{Crash, Incarnation};

/// Time for which a run is kept, in milliseconds. A backend server that is used is heard
/// or replaced within seconds.
const RETENTION_MS: u64 = 30_000;
/// Time for which a run with a strike is kept that may be withdrawn, in milliseconds. Cuts
/// of networks and stalls of VMs are mostly shorter.
const STRUCK_RETENTION_MS: u64 = 300_000;
/// Shortest time in which a backend server that has ended is back, in milliseconds. A
/// response to a request that was sent sooner comes from the same incarnation.
const RESTART_MIN_MS: u64 = 1_000;
/// Most runs that are kept; the oldest are dropped.
const RUNS_MAX: usize = 1_000;

/// A run that ended without a complete answer.
#[derive(Clone, Debug)]
pub struct Run<S> {
    /// Whose run it was.
    pub subject: S,
    /// The backend server.
    pub incarnation: Incarnation,
    /// When it was sent, and how long it wrote.
    pub run: super::Run,
    /// When it ended for this process, in monotonic milliseconds.
    pub ended_ms: u64,
    /// Whether it succeeded, if its answer ended with its connection: it is complete
    /// unless the backend server has ended. `None` for all other runs.
    pub succeeded: Option<bool>,
    /// The strike for a sign that leaves a doubt.
    strike: Option<Crash>,
    /// When the first response came that may be that of a later incarnation, in monotonic
    /// milliseconds.
    responded_ms: Option<u64>,
}

impl<S> Run<S> {
    /// Creates a run without a strike.
    pub fn new(
        subject: S,
        incarnation: Incarnation,
        run: super::Run,
        ended_ms: u64,
        succeeded: Option<bool>,
    ) -> Run<S> {
        Run {
            subject,
            incarnation,
            run,
            ended_ms,
            succeeded,
            strike: None,
            responded_ms: None,
        }
    }

    /// Returns the strike to be withdrawn if the incarnation goes on.
    pub fn strike(&self) -> Option<Crash> {
        self.strike
    }

    fn is_kept(&self, now_ms: u64) -> bool {
        let retention_ms = match self.strike {
            Some(_) => STRUCK_RETENTION_MS,
            None => RETENTION_MS,
        };
        now_ms < self.ended_ms + retention_ms
    }
}

/// The runs of one process, the oldest first.
#[derive(Clone, Debug)]
pub struct Runs<S>(VecDeque<Run<S>>);

impl<S> Default for Runs<S> {
    fn default() -> Runs<S> {
        Runs(VecDeque::new())
    }
}

impl<S> Runs<S> {
    /// Adds a run.
    pub fn add(&mut self, run: Run<S>) {
        self.0.push_back(run);
    }

    /// Removes and returns the runs of which nothing will become known any more, as they
    /// ended long ago or there are too many.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Run<S>> {
        let excess = self.0.len().saturating_sub(RUNS_MAX);
        let mut expired: Vec<Run<S>> = self.0.drain(..excess).collect();
        expired.extend(self.take(|run| !run.is_kept(now_ms)));
        expired
    }

    /// Returns the runs that ended at least this time ago, in milliseconds.
    pub fn older_than(&self, age_ms: u64, now_ms: u64) -> impl Iterator<Item = &Run<S>> {
        let runs = self.0.iter();
        runs.filter(move |run| now_ms >= run.ended_ms + age_ms)
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether there are runs of an incarnation without a strike.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        let mut runs = self.0.iter();
        runs.any(|run| run.incarnation == incarnation && run.strike.is_none())
    }

    /// Removes and returns the runs that ended before an incarnation announced itself, at a
    /// monotonic time in milliseconds: it has not ended under them.
    pub fn heard(&mut self, incarnation: Incarnation, at_ms: u64) -> Vec<Run<S>> {
        self.take(|run| run.incarnation == incarnation && run.ended_ms <= at_ms)
    }

    /// Records bytes of a response that came at a monotonic time in milliseconds, to a
    /// request that was sent to an incarnation at another. Removes and returns the runs under
    /// which it has not ended; [`Runs::confirm`] decides on the others.
    pub fn responded(&mut self, incarnation: Incarnation, sent_ms: u64, at_ms: u64) -> Vec<Run<S>> {
        for run in &mut self.0 {
            if run.incarnation == incarnation && run.ended_ms <= at_ms {
                run.responded_ms.get_or_insert(at_ms);
            }
        }
        self.take(|run| {
            // A complete answer that counts late holds back all requests with its parts.
            let is_certain = run.succeeded.is_some() || sent_ms < run.ended_ms + RESTART_MIN_MS;
            run.incarnation == incarnation && run.ended_ms <= at_ms && is_certain
        })
    }

    /// Removes and returns the runs whose backend servers have responded before a time, in
    /// monotonic milliseconds: a later incarnation would have announced itself since.
    pub fn confirm(&mut self, before_ms: u64) -> Vec<Run<S>> {
        self.take(|run| run.responded_ms.is_some_and(|at_ms| at_ms < before_ms))
    }

    /// Forgets the responses that [`Runs::confirm`] waits for, as announcements did not
    /// arrive for a time.
    pub fn forget_responses(&mut self) {
        for run in &mut self.0 {
            run.responded_ms = None;
        }
    }

    /// Removes the runs of an incarnation that has ended. Returns those without a strike.
    pub fn ended(&mut self, incarnation: Incarnation) -> Vec<Run<S>> {
        let mut runs = self.take(|run| run.incarnation == incarnation);
        runs.retain(|run| run.strike.is_none());
        runs
    }

    /// Gives a strike to the runs of an incarnation that has probably ended.
    pub fn presume_ended(
        &mut self,
        incarnation: Incarnation,
        mut strike: impl FnMut(&Run<S>) -> Crash,
    ) {
        for run in &mut self.0 {
            if run.incarnation == incarnation && run.strike.is_none() {
                run.strike = Some(strike(run));
            }
        }
    }

    /// Removes the runs of a request that has since been sent again and answered.
    pub fn answered(&mut self, sent_ms: u64, is_same: impl Fn(&S) -> bool) {
        self.0
            .retain(|run| run.strike.is_some() || run.ended_ms > sent_ms || !is_same(&run.subject));
    }

    fn take(&mut self, is_taken: impl Fn(&Run<S>) -> bool) -> Vec<Run<S>> {
        if !self.0.iter().any(&is_taken) {
            return Vec::new();
        }
        let all = std::mem::take(&mut self.0).into_iter();
        let (taken, kept): (Vec<_>, Vec<_>) = all.partition(is_taken);
        self.0 = kept.into();
        taken
    }
}
