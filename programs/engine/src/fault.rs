//! Faults that can be switched on by settings and at run time.

use bw_base::settings;
use serde::{Deserialize, Serialize};

/// The switched-on faults. The default is none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// A request whose text contains this marker ends the process.
    pub crash_marker: Option<String>,
    /// Connections are accepted and nothing is answered, except under `/debug`.
    /// Running sequences stand still.
    pub freeze: bool,
    /// Announcements stop too while frozen, as when the whole process hangs.
    pub freeze_announcements: bool,
    /// Multiplies the duration of steps and of plain service calls.
    pub slow_factor: f64,
    /// The connection breaks after this number of tokens of an answer.
    pub cut_after_tokens: Option<u32>,
    /// The answer carries another request's id and text.
    pub crossed_answer: bool,
    /// The answer starts this much later, in milliseconds.
    pub late_answer_ms: u64,
    /// The whole answer is sent twice.
    pub duplicate_answer: bool,
    /// A stream sends the token with this index twice.
    pub duplicate_token: Option<u32>,
    /// A stream ends without its finish reason and end mark.
    pub omit_end: bool,
    /// Orders with an old fencing number are obeyed.
    pub ignore_fencing: bool,
    /// New work is refused with 503 and verdict `not_run`.
    pub refuse: bool,
    /// The faults that concern one answer (cut, crossed, late, duplicate,
    /// omitted end) hit this many requests, then no more; absent means all.
    pub requests: Option<u64>,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            crash_marker: None,
            freeze: false,
            freeze_announcements: false,
            slow_factor: 1.0,
            cut_after_tokens: None,
            crossed_answer: false,
            late_answer_ms: 0,
            duplicate_answer: false,
            duplicate_token: None,
            omit_end: false,
            ignore_fencing: false,
            refuse: false,
            requests: None,
        }
    }
}

impl settings::Check for Faults {
    fn check(&self, report: &mut settings::Report) {
        let valid = self.slow_factor.is_finite() && (0.01..=10_000.0).contains(&self.slow_factor);
        report.require(
            valid,
            "faults.slow_factor",
            self.slow_factor,
            "must be from 0.01 to 10000",
        );
        let empty = self.crash_marker.as_deref() == Some("");
        report.require(
            !empty,
            "faults.crash_marker",
            "",
            "must not be empty; leave it out to switch it off",
        );
        report.require(
            self.late_answer_ms <= 3_600_000,
            "faults.late_answer_ms",
            self.late_answer_ms,
            "must be at most 3600000",
        );
    }
}

/// The faults that concern one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Answer {
    /// See [`Faults::cut_after_tokens`].
    pub cut_after_tokens: Option<u32>,
    /// See [`Faults::crossed_answer`].
    pub crossed: bool,
    /// See [`Faults::late_answer_ms`].
    pub late_ms: u64,
    /// See [`Faults::duplicate_answer`].
    pub duplicate: bool,
    /// See [`Faults::duplicate_token`].
    pub duplicate_token: Option<u32>,
    /// See [`Faults::omit_end`].
    pub omit_end: bool,
}

impl Faults {
    /// Returns the faults of the next answer and counts it.
    pub fn next_answer(&mut self) -> Answer {
        let mut answer = Answer {
            cut_after_tokens: self.cut_after_tokens,
            crossed: self.crossed_answer,
            late_ms: self.late_answer_ms,
            duplicate: self.duplicate_answer,
            duplicate_token: self.duplicate_token,
            omit_end: self.omit_end,
        };
        match &mut self.requests {
            Some(0) => answer = Answer::default(),
            Some(left) if answer != Answer::default() => *left -= 1,
            _ => {}
        }
        answer
    }

    /// Returns whether a request's text contains the crash marker.
    pub fn crashes(&self, text: &str) -> bool {
        self.crash_marker
            .as_ref()
            .is_some_and(|marker| text.contains(marker.as_str()))
    }
}
