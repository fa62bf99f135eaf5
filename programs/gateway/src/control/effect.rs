//! Side effects of applied commands outside the replicated state.

use std::sync::Arc;

use bw_relay::ledger;
use bw_wire::name::Name;

/// A side effect of an applied command. It takes place whether or not the caller of
/// the command still waits for the reply.
pub(crate) enum Effect {
    /// A configuration came into force.
    Published(Arc<ledger::Published>),
    /// A job was accepted.
    Accepted(Name, Box<ledger::Job>),
    /// A job was ended.
    Ended(Name),
    /// The evacuation of a VM was ordered.
    Evacuated(Name),
    /// A VM that can be evacuated was registered.
    Registered(Name),
}

/// The part of a command that is kept to determine its effect once it is applied.
pub(super) enum Subject {
    Configuration,
    Submission(Name),
    End(Name),
    Evacuation(Name),
    Registration(Name),
    /// The command has no side effect.
    None,
}

impl Subject {
    pub(super) fn new(command: &ledger::Command) -> Subject {
        match command {
            ledger::Command::Publish(_) => Subject::Configuration,
            ledger::Command::Submit(job) => Subject::Submission(job.id.clone()),
            ledger::Command::End { job } => Subject::End(job.clone()),
            ledger::Command::Evacuate { node } => Subject::Evacuation(node.clone()),
            ledger::Command::Register { node } => Subject::Registration(node.clone()),
            ledger::Command::Save { .. }
            | ledger::Command::Record { .. }
            | ledger::Command::Fail { .. }
            | ledger::Command::Announce { .. }
            | ledger::Command::Sweep { .. }
            | ledger::Command::Suspect(_) => Subject::None,
        }
    }

    /// Returns the side effect, given the state after the command.
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
            Subject::Registration(node) => Some(Effect::Registered(node)),
            Subject::None => None,
        }
    }
}
