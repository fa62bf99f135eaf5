//! Evacuation of VMs that keep a replica, on an operator's order.
//!
//! An evacuated VM loses its disk, and that loss must not count among those that the
//! group tolerates. So another replica joins the group first, and an order is refused
//! if there is no replica to spare.

use bw_wire::name::Name;

/// A VM with a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// The name of the VM, as in its settings.
    pub node: Name,
    /// The role of its replica in the group.
    pub role: Role,
    /// Whether its evacuation was ordered.
    pub evacuated: bool,
}

/// The role of a replica in the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It is not a member of the group.
    Standby,
    /// It is a member that receives the log but does not vote.
    Learner,
    /// It is a member that votes.
    Voter,
}

/// The answer to an order to evacuate a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// There is no such VM.
    Unknown,
    /// Too few replicas would remain.
    TooFew,
    /// The evacuation begins or is under way.
    Accepted,
}

/// Decides on the order to evacuate a VM. The group needs `replicas` replicas besides
/// those on evacuated VMs. A repeated order is accepted again.
pub fn decide(vms: &[Vm], node: &str, replicas: usize) -> Verdict {
    let Some(vm) = vms.iter().find(|vm| *vm.node == *node) else {
        return Verdict::Unknown;
    };
    let remaining = vms.iter().filter(|vm| !vm.evacuated && *vm.node != *node);
    match vm.evacuated || remaining.count() >= replicas {
        true => Verdict::Accepted,
        false => Verdict::TooFew,
    }
}

/// Returns an evacuated VM whose replica can be removed from the group now; `None`
/// until `replicas` others vote.
pub fn removable(vms: &[Vm], replicas: usize) -> Option<&Vm> {
    let remains = |vm: &&Vm| vm.role == Role::Voter && !vm.evacuated;
    if vms.iter().filter(remains).count() < replicas {
        return None;
    }
    let mut vms = vms.iter();
    vms.find(|vm| vm.evacuated && vm.role != Role::Standby)
}
