//! Trials of refused parts of prompts.
//!
//! Many requests and items share a part, so that a refusal without cause holds back work
//! that nothing is wrong with. One run with the part finds out as soon as the fleet is
//! calm. A trial that we stop ourselves shows nothing and costs nothing; one that breaks
//! off among crashes of other backend servers shows little, and the first such is excused.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    Fingerprint, Incarnation, SUSPECTS_MAX,
    trial::{End, RETENTION_MS, TRIALS_MAX, Verdict},
};
use crate::unix_time;

/// Time after the last strike in which no trial begins, in milliseconds. It quadruples with
/// each trial that crashed its backend server.
const PAUSE_MS: u64 = 2_000;
/// Longest time beyond the pause for which a trial waits until the fleet is calm, in
/// milliseconds. A single faulty backend server must not delay it forever. It quadruples
/// with each excused trial.
const CALM_WAIT_MS: u64 = 20_000;
/// Time after which a trial without a result no longer keeps the next one from beginning,
/// in milliseconds. A deadly part crashes its backend server sooner, and a sound one has
/// outlived that time.
const TRIAL_MS: u64 = 2_000;
/// Time after which the result of a trial counts as lost, in milliseconds. Before, a
/// backend server that fell silent may prove to go on, and the process that sent the trial
/// reports it as ended without a result.
const RESULT_MS: u64 = 10_000;
/// Time after which an item that is itself suspected asks again for the last trial of a
/// part, which is left to others, in milliseconds.
const SUSPECTED_RETRY_MS: u64 = 1_000;
/// Most doublings of the pause after trials that ended without a result.
const INCONCLUSIVE_DOUBLINGS_MAX: u32 = 3;
/// Time after a trial that we stopped ourselves, in milliseconds: a backend server at which
/// an item gave way to online requests takes none for as long.
const PREEMPTED_PAUSE_MS: u64 = 200;
/// Most trials that are excused for the crashes of other backend servers. With
/// [`TRIALS_MAX`] it bounds the crashes of a part that is deadly.
const EXCUSED_MAX: u32 = 1;

/// The question for a trial, with what the leader knows.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Begin {
    /// The part.
    pub fingerprint: Fingerprint,
    /// Identifies the trial; chosen at random by the process that asks.
    pub ticket: u64,
    /// The backend server that is to run the trial of an item; `None` for a caller's
    /// request, which is placed later.
    pub backend: Option<Incarnation>,
    /// Whether the item that is to run the trial is itself suspected of crashing backend
    /// servers.
    pub is_suspected: bool,
    /// Time until the fleet is calm if no other backend server crashes, in milliseconds.
    pub calm_in_ms: u64,
    /// Whether other backend servers crashed at about the time of the part's last crash.
    pub was_disturbed: bool,
    /// When the backend server that runs for longest has started, in Unix milliseconds; 0
    /// if it is not known.
    pub oldest_start_ms: u64,
    /// When the leader was asked, in Unix milliseconds.
    pub now_ms: u64,
}

/// A trial that has not ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Open {
    ticket: u64,
    backend: Option<Incarnation>,
    began_ms: u64,
    /// Whether it has outlived the time in which a deadly part crashes its backend server.
    has_lived: bool,
}

impl Open {
    /// Returns whether its result may still come.
    fn is_awaited(&self, now_ms: u64) -> bool {
        !self.has_lived && now_ms < self.began_ms + TRIAL_MS
    }
}

/// The trials of one part. Times are Unix milliseconds of the leader.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
struct Part {
    /// Trials that crashed their backend servers, without those that were excused.
    broken: u32,
    /// Trials that were excused.
    excused: u32,
    /// Whether the last trial that crashed its backend server may still be excused.
    may_excuse: bool,
    open: Vec<Open>,
    /// Trials in a row that ended without a result.
    inconclusive: u32,
    /// When the next trial may begin, if any.
    not_before_ms: u64,
    /// When a trial began last.
    began_ms: u64,
}

impl Part {
    fn begin(&mut self, begin: &Begin, struck_ms: u64) -> Verdict {
        let now_ms = begin.now_ms;
        if std::mem::take(&mut self.may_excuse) && begin.was_disturbed && self.excused < EXCUSED_MAX
        {
            self.excused += 1;
            self.broken = self.broken.saturating_sub(1);
        }
        // A version of the model under which the part is sound may have replaced all
        // backend servers. Their clocks may be ahead of the leader's.
        let is_replaced = begin.oldest_start_ms > struck_ms + unix_time::MAX_SKEW_MS;
        let is_outdated = now_ms >= struck_ms.saturating_add(RETENTION_MS);
        if self.counted(now_ms) >= TRIALS_MAX && (is_replaced || is_outdated) {
            *self = Part::default();
        }
        let counted = self.counted(now_ms);
        if counted >= TRIALS_MAX {
            return match self.result_due_ms(now_ms) {
                Some(due_ms) => Verdict::Wait {
                    retry_after_ms: due_ms - now_ms,
                },
                None => Verdict::Exhausted,
            };
        }
        if begin.is_suspected && counted + 1 >= TRIALS_MAX {
            let retry_after_ms = SUSPECTED_RETRY_MS;
            return Verdict::Wait { retry_after_ms };
        }
        let paused_until_ms = struck_ms + (PAUSE_MS << (2 * counted));
        let due_ms = paused_until_ms
            .max(self.not_before_ms)
            .max(self.place_from_ms(now_ms));
        if now_ms < due_ms {
            let retry_after_ms = due_ms - now_ms;
            return Verdict::Wait { retry_after_ms };
        }
        let calm_by_ms = paused_until_ms + (CALM_WAIT_MS << (2 * self.excused));
        if begin.calm_in_ms > 0 && now_ms < calm_by_ms {
            let retry_after_ms = begin.calm_in_ms.min(calm_by_ms - now_ms);
            return Verdict::Wait { retry_after_ms };
        }
        self.open.push(Open {
            ticket: begin.ticket,
            backend: begin.backend,
            began_ms: now_ms,
            has_lived: false,
        });
        self.began_ms = now_ms;
        Verdict::Granted
    }

    /// Returns when the next result is due or lost that can let another trial begin.
    fn result_due_ms(&self, now_ms: u64) -> Option<u64> {
        let open = self.open.iter().filter(|open| !open.has_lived);
        let due = open.map(|open| open.began_ms + RESULT_MS);
        let due = due.filter(|due_ms| now_ms < *due_ms);
        due.min().filter(|_| self.broken < TRIALS_MAX)
    }

    /// Returns the number of trials that crashed their backend servers, or whose results
    /// are overdue or lost.
    fn counted(&self, now_ms: u64) -> u32 {
        let open = self.open.iter();
        let lost = open.filter(|open| !open.has_lived && !open.is_awaited(now_ms));
        self.broken + lost.count() as u32
    }

    /// Returns when another trial may begin beside the open ones. One runs at a time at
    /// first, and each that lives lets two more begin, so that a part that holds many
    /// items back and is sound lets all of them run within a few steps.
    fn place_from_ms(&self, now_ms: u64) -> u64 {
        let lived = self.open.iter().filter(|open| open.has_lived).count();
        let awaited = self.open.iter().filter(|open| open.is_awaited(now_ms));
        match awaited.clone().count() + lived > 2 * lived {
            true => awaited
                .map(|open| open.began_ms + TRIAL_MS)
                .min()
                .unwrap_or(0),
            false => 0,
        }
    }

    fn end(&mut self, ticket: u64, end: End, now_ms: u64) {
        let Some(index) = self.open.iter().position(|open| open.ticket == ticket) else {
            return;
        };
        let pause_ms = match end {
            End::Streaming => {
                self.open[index].has_lived = true;
                return;
            }
            End::NotRun => 0,
            End::Preempted => PREEMPTED_PAUSE_MS,
            End::Inconclusive => {
                let doublings = self.inconclusive.min(INCONCLUSIVE_DOUBLINGS_MAX);
                self.inconclusive += 1;
                PAUSE_MS << doublings
            }
        };
        self.open.remove(index);
        self.not_before_ms = now_ms + pause_ms;
    }
}

/// The trials of all parts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Parts(BTreeMap<Fingerprint, Part>);

impl Parts {
    /// Decides whether a trial may begin. `struck_ms` is the time of the last strike, and
    /// `former` the number of trials that a former version counted.
    pub(super) fn begin(&mut self, begin: &Begin, struck_ms: u64, former: u32) -> Verdict {
        if !self.0.contains_key(&begin.fingerprint) && self.0.len() >= SUSPECTS_MAX {
            self.evict();
        }
        let part = self.0.entry(begin.fingerprint).or_insert_with(|| Part {
            // Chance or a preemption may have ended them, so one more is left.
            broken: former.min(TRIALS_MAX - 1),
            ..Part::default()
        });
        part.begin(begin, struck_ms)
    }

    /// Ends a trial if it is one of a part.
    pub(super) fn end(&mut self, fingerprint: Fingerprint, ticket: u64, end: End, now_ms: u64) {
        if let Some(part) = self.0.get_mut(&fingerprint) {
            part.end(ticket, end, now_ms);
        }
    }

    /// Notes strikes for the crashes of these backend servers. A trial that ran at one of
    /// them, or at one that is not known, caused it.
    pub(super) fn struck(&mut self, fingerprint: Fingerprint, crashed: &[Incarnation]) {
        let Some(part) = self.0.get_mut(&fingerprint) else {
            return;
        };
        let open = part.open.len();
        part.open.retain(|open| {
            let is_elsewhere = |backend: Incarnation| !crashed.contains(&backend);
            open.backend.is_some_and(is_elsewhere)
        });
        let broken = open - part.open.len();
        part.broken += broken as u32;
        part.may_excuse |= broken > 0;
    }

    /// Notes that a run has shown that a part is sound.
    pub(super) fn cleared(&mut self, fingerprint: Fingerprint) {
        self.0.remove(&fingerprint);
    }

    /// Ends the trials that former leaders ran at backend servers which have not crashed
    /// since. The clock of the new leader may be behind, so no time is later than its own.
    pub(super) fn abandoned(&mut self, running: &[Incarnation], now_ms: u64) {
        let is_running = |open: &Open| {
            open.backend
                .is_some_and(|backend| running.contains(&backend))
        };
        for part in self.0.values_mut() {
            let tickets = part.open.iter().filter(|open| is_running(open));
            let tickets: Vec<u64> = tickets.map(|open| open.ticket).collect();
            for ticket in tickets {
                part.end(ticket, End::NotRun, now_ms);
            }
            for open in &mut part.open {
                open.began_ms = open.began_ms.min(now_ms);
            }
            part.not_before_ms = part.not_before_ms.min(now_ms);
            part.began_ms = part.began_ms.min(now_ms);
        }
    }

    /// Removes the part whose last trial began first.
    fn evict(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, part)| part.began_ms);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.0.remove(&fingerprint);
        }
    }
}
