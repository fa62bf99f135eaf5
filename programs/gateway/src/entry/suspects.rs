//! The entry VM's part in the detection of poison requests.

use std::{cell::RefCell, collections::BTreeSet};

use bw_relay::{message, suspect};

use crate::{clock, link, metrics};

/// The suspects that this VM knows, and what the leader has yet to be told of them.
#[derive(Default)]
pub(crate) struct Suspects {
    known: RefCell<suspect::Suspects>,
    /// Suspects of which the leader may not have all evidence.
    unreported: RefCell<BTreeSet<suspect::Fingerprint>>,
}

impl Suspects {
    /// Decides whether a request may run.
    pub(crate) fn admit(&self, fingerprint: suspect::Fingerprint) -> suspect::Admission {
        let now_ms = clock::monotonic_ms();
        self.known.borrow_mut().admit(fingerprint, now_ms)
    }

    /// Returns whether a request that was admitted must not be sent again.
    pub(crate) fn is_refused(&self, fingerprint: suspect::Fingerprint) -> bool {
        let known = self.known.borrow();
        known.is_refused(fingerprint, clock::monotonic_ms())
    }

    /// Adds a strike against a request whose connection the backend server broke, as
    /// one does that crashes.
    pub(crate) fn note_crash(
        &self,
        link: &link::Link,
        id: &str,
        fingerprint: suspect::Fingerprint,
        (backend, started_ms): (&str, u64),
    ) {
        let incarnation = suspect::Incarnation::new(backend, started_ms);
        let now_ms = clock::monotonic_ms();
        let mut known = self.known.borrow_mut();
        let evidence = known.crashed(fingerprint, incarnation, now_ms);
        drop(known);
        log::warn!(
            request = id, backend = backend, fingerprint = fingerprint.0, strikes = evidence.strikes();
            "request is suspected of crashing backend servers"
        );
        metrics::SUSPECTS.with_label_values(&["strike"]).inc();
        self.report(link, fingerprint);
    }

    /// Clears the suspicion against a request that completed.
    pub(crate) fn note_completed(&self, link: &link::Link, fingerprint: suspect::Fingerprint) {
        let now_ms = clock::monotonic_ms();
        if self
            .known
            .borrow_mut()
            .finished(fingerprint, now_ms)
            .is_none()
        {
            return;
        }
        log::info!(fingerprint = fingerprint.0; "suspected request completed, suspicion cleared");
        metrics::SUSPECTS.with_label_values(&["cleared"]).inc();
        self.report(link, fingerprint);
    }

    /// Merges what the leader knows. `is_first` tells whether this is all that a new
    /// leader knows; it is then told whatever it lacks.
    pub(crate) fn apply_update(
        &self,
        link: &link::Link,
        suspects: &[suspect::Evidence],
        is_first: bool,
    ) {
        let now_ms = clock::monotonic_ms();
        let mut known = self.known.borrow_mut();
        for evidence in suspects {
            known.merge(evidence, now_ms);
        }
        if is_first {
            let told: BTreeSet<_> = suspects.iter().collect();
            let all = known.all();
            let more = all.iter().filter(|evidence| !told.contains(evidence));
            let more = more.map(|evidence| evidence.fingerprint);
            self.unreported.borrow_mut().extend(more);
        }
        drop(known);
        self.flush(link);
    }

    /// Tells the leader what it may lack, as far as the connection takes it.
    pub(crate) fn flush(&self, link: &link::Link) {
        let mut unreported = self.unreported.borrow_mut();
        while let Some(fingerprint) = unreported.pop_first() {
            let evidence = self.known.borrow().evidence(fingerprint);
            if !link.notify(&message::Frame::Suspect(evidence)) {
                unreported.insert(fingerprint);
                return;
            }
        }
    }

    fn report(&self, link: &link::Link, fingerprint: suspect::Fingerprint) {
        self.unreported.borrow_mut().insert(fingerprint);
        self.flush(link);
    }
}
