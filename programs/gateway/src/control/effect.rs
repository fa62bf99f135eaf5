//! What follows from commands of the log outside the replicated state.

use std::sync::Arc;

use bw_relay::ledger;
use bw_wire::name::Name;

/// What an applied command calls for outside the replicated state. It does not
/// depend on whether the caller still waits for the answer.
pub(crate) enum Effect {
    /// A configuration is in force.
    Published(Arc<ledger::Published>),
    /// A job was accepted.
    Accepted(Name, Box<ledger::Job>),
    /// A job was ended.
    Ended(Name),
    /// A VM is to be emptied.
    Evacuated(Name),
    /// A VM is known that can be emptied.
    Met(Name),
}

/// The part of a command that its effect is found by, once it is applied.
pub(super) enum Subject {
    Configuration,
    Submission(Name),
    End(Name),
    Evacuation(Name),
    Meeting(Name),
    /// The command has no effect outside the replicated state.
    None,
}

impl Subject {
    pub(super) fn new(command: &ledger::Command) -> Subject {
        match command {
            ledger::Command::Publish(_) => Subject::Configuration,
            ledger::Command::Submit(job) => Subject::Submission(job.id.clone()),
            ledger::Command::End { job } => Subject::End(job.clone()),
            ledger::Command::Evacuate { node } => Subject::Evacuation(node.clone()),
            ledger::Command::Register { node } => Subject::Meeting(node.clone()),
            ledger::Command::Save { .. }
            | ledger::Command::Record { .. }
            | ledger::Command::Fail { .. }
            | ledger::Command::Announce { .. }
            | ledger::Command::Sweep { .. } => Subject::None,
        }
    }

    /// Returns the effect that follows from the state after the command.
    pub(super) fn effect(self, machine: &ledger::Ledger) -> Option<Effect> {
        match self {
            Subject::Configuration => {
                let published = machine.published()?.clone();
                Some(Effect::Published(Arc::new(published)))
            }
            Subject::Submission(id) => {
                let job = machine.jobs().get(&id)?.clone();
                Some(Effect::Accepted(id, Box::new(job)))
            }
            Subject::End(id) => {
                let job = machine.jobs().get(&id)?;
                job.ended.then_some(Effect::Ended(id))
            }
            Subject::Evacuation(node) => Some(Effect::Evacuated(node)),
            Subject::Meeting(node) => Some(Effect::Met(node)),
            Subject::None => None,
        }
    }
}
