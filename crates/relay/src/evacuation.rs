//! Emptying VMs that keep a replica, on an operator's order.
//!
//! The VM's disk is gone once it is empty, and that loss does not count among
//! those that the group tolerates. So another replica takes its place first, and
//! an order without a replica to spare is refused.

use bw_wire::name::Name;

/// A VM with a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// Its name.
    pub node: Name,
    /// The role of its replica in the group.
    pub role: Role,
    /// Whether it was ordered to be emptied.
    pub evacuated: bool,
}

/// The role of a replica in the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It has no place.
    Standby,
    /// It catches up.
    Learner,
    /// It votes.
    Voter,
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// There is no such VM.
    Unknown,
    /// Too few replicas would be left.
    TooFew,
    /// The VM is emptied.
    Accepted,
}

/// Decides on the order to empty a VM of a group that needs some replicas.
pub fn decide(vms: &[Vm], node: &str, replicas: usize) -> Verdict {
    let Some(vm) = vms.iter().find(|vm| *vm.node == *node) else {
        return Verdict::Unknown;
    };
    let others = vms.iter().filter(|vm| !vm.evacuated && *vm.node != *node);
    match vm.evacuated || others.count() >= replicas {
        true => Verdict::Accepted,
        false => Verdict::TooFew,
    }
}

/// Returns the VM whose replica leaves the group now: one that was ordered to be
/// emptied, once enough others vote.
pub fn removable(vms: &[Vm], replicas: usize) -> Option<&Vm> {
    let stay = |vm: &&Vm| vm.role == Role::Voter && !vm.evacuated;
    if vms.iter().filter(stay).count() < replicas {
        return None;
    }
    let mut vms = vms.iter();
    vms.find(|vm| vm.evacuated && vm.role != Role::Standby)
}
