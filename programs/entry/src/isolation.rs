//! The permission to run a suspect isolated, which one entry VM has at a time.
//!
//! Each isolated run may crash a backend server, and entry VMs learn of each other's runs
//! only when they end. The work group therefore records the run as an attempt before it
//! begins, like the one of a request that is not repeatable. A run whose entry VM ends
//! without a report counts as one that crashed.

use std::sync;

use bw_wire::{command::work, fingerprint, name, refusal};

use crate::{
    context, filter,
    online::once::{self, Begun},
};

/// The team of the attempts. Callers' teams have names.
const TEAM: &str = "";
/// Isolated runs of one content that may end without a report.
const UNREPORTED_MAX: u32 = 2;

/// The permission for one isolated run. Dropping it allows the next one.
pub(crate) struct Permit {
    context: sync::Arc<context::Context>,
    key: once::Key,
    attempt: u64,
    /// Whether the run may have crashed its backend server.
    is_spent: bool,
}

impl Permit {
    /// Asks the work group for an isolated run that ends within `duration_ms`
    /// milliseconds.
    ///
    /// # Errors
    ///
    /// Refuses a request that runs isolated on another entry VM, one whose isolated runs
    /// ended without a report, and any while the work group does not answer.
    pub(crate) async fn begin(
        context: &sync::Arc<context::Context>,
        fingerprint: fingerprint::Fingerprint,
        run: &name::Name,
        duration_ms: u64,
    ) -> Result<Permit, refusal::Refusal> {
        let until_ms = context.shared.clock.now_ms() + duration_ms;
        for number in 0..UNREPORTED_MAX {
            let key = once::Key {
                team: TEAM.into(),
                key: format!("{fingerprint}/{number}").into(),
                fingerprint,
                request_id: run.clone(),
                unique_id: run.clone(),
                deadline_ms: until_ms,
            };
            match once::begin(context, &key).await {
                Ok(Begun::Run(attempt)) => {
                    return Ok(Permit {
                        context: sync::Arc::clone(context),
                        key,
                        attempt,
                        is_spent: false,
                    });
                }
                Ok(Begun::Recorded(outcome)) => {
                    log::info!(
                        request_id = run.as_str(), fingerprint = fingerprint.to_string().as_str();
                        "an isolated run ended without a report: {outcome:?}"
                    );
                }
                Err(refusal) if refusal.reason == refusal::Reason::KeyInProgress => {
                    return Err(busy());
                }
                Err(_) => return Err(filter::suspect::unconfirmed()),
            }
        }
        Err(refusal::Refusal::not_run(
            refusal::Reason::PoisonousRequest,
            "isolated runs of this request ended without a report",
        ))
    }

    /// Notes that the run may have crashed its backend server. Only a recorded strike or
    /// clearing tells more.
    pub(crate) fn spend(&mut self) {
        self.is_spent = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_spent {
            return;
        }
        let (context, key, attempt) = (
            sync::Arc::clone(&self.context),
            self.key.clone(),
            self.attempt,
        );
        self.context.shared.drain.spawn(async move {
            let outcome = work::AttemptOutcome::NotRun;
            if let Err(refusal) = once::end(&context, &key, attempt, outcome).await {
                let request_id = key.request_id.as_str();
                log::warn!(request_id; "isolated run not reported: {}", refusal.message);
            }
        });
    }
}

fn busy() -> refusal::Refusal {
    refusal::Refusal::not_run(
        refusal::Reason::Overloaded,
        "the request has to run alone, and another entry VM runs it",
    )
}
