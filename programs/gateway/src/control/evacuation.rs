//! Evacuation of VMs, ordered by operators.

use std::{collections::BTreeSet, rc::Rc};

use bw_coord::member;
use bw_relay::{evacuation, ledger, message};
use bw_wire::name::Name;

use crate::{
    clock,
    control::{hub, hub::Hub, members, replica},
};

/// Time within which replicas find a new leader or come back after a restart, in
/// milliseconds. A restart takes one to two seconds.
const SETTLE_MS: u64 = 4_000;

/// Returns the connected VMs that have a replica.
fn vms(hub: &Hub) -> Vec<evacuation::Vm> {
    let members = hub.members();
    let evacuated = hub.evacuated.borrow();
    let resigning = hub.resigning.borrow();
    let sessions = hub.sessions.borrow();
    let own_node: Name = hub.settings().node.as_str().into();
    let address: Name = hub.settings().internal_address().to_string().into();
    // The leader has a session with itself.
    let others = sessions.replicas().filter(|(node, _)| *node != own_node);
    let known = others.chain([(own_node.clone(), address)]);
    known
        .map(|(node, address)| {
            let member = members.iter().find(|member| *member.address == *address);
            evacuation::Vm {
                role: match member {
                    None => evacuation::Role::Standby,
                    Some(member) if member.voter => evacuation::Role::Voter,
                    Some(_) => evacuation::Role::Learner,
                },
                evacuated: evacuated.contains(&node) || resigning.contains_key(&node),
                node,
            }
        })
        .collect()
}

/// Returns the addresses of the members that are about to be removed from their VMs.
pub(crate) fn leaving_addresses(hub: &Hub) -> BTreeSet<Name> {
    let leaving = vms(hub).into_iter().filter(|vm| vm.evacuated);
    let own: Name = hub.settings().internal_address().to_string().into();
    let sessions = hub.sessions.borrow();
    let addresses = leaving.filter_map(|vm| match *vm.node == *hub.settings().node {
        true => Some(own.clone()),
        false => sessions.replica_address(&vm.node),
    });
    addresses.collect()
}

/// Returns the number of voters, those on VMs that are left included.
fn voters(hub: &Hub) -> usize {
    hub.members().iter().filter(|member| member.voter).count()
}

/// Returns the number of voters on VMs that are left.
fn leaving_voters(vms: &[evacuation::Vm]) -> usize {
    let leaves = |vm: &&evacuation::Vm| vm.evacuated && vm.role == evacuation::Role::Voter;
    vms.iter().filter(leaves).count()
}

/// Returns whether the VM of every member is connected.
fn all_members_connected(hub: &Hub) -> bool {
    let own_address = hub.settings().internal_address().to_string();
    let sessions = hub.sessions.borrow();
    let connected = |member: &member::Member| {
        let mut replicas = sessions.replicas();
        member.address == own_address || replicas.any(|(_, address)| *address == *member.address)
    };
    hub.members().iter().all(connected)
}

/// Returns whether replicas may be disconnected only briefly, so that decisions
/// which depend on their number have to wait.
fn is_unsettled(hub: &Hub) -> bool {
    let lost_ms = hub.sessions.borrow().replica_lost_ms();
    let changed_ms = hub.leading_since_ms().max(lost_ms.unwrap_or(0));
    clock::monotonic_ms() < changed_ms + SETTLE_MS
}

/// Handles the order to evacuate a VM.
pub(crate) async fn order(hub: &Hub, node: Name) -> message::Reply {
    let vms = vms(hub);
    // A worker VM keeps no data, so it is empty at once. An accepted order is not
    // refused when it is repeated.
    let accepted =
        hub.sessions.borrow().has_worker(&node) || hub.evacuated.borrow().contains(&node);
    let verdict = match accepted {
        true => evacuation::Verdict::Accepted,
        false => {
            let required = member::plan::required_voters(voters(hub), 0);
            evacuation::decide(&vms, &node, required)
        }
    };
    log::info!(node = &*node, known = vms.len(), verdict = format!("{verdict:?}").as_str(); "evacuation of a VM ordered");
    match verdict {
        evacuation::Verdict::Unknown | evacuation::Verdict::TooFew if is_unsettled(hub) => {
            message::Reply::NotLeader
        }
        // The VM exists but is disconnected.
        evacuation::Verdict::Unknown if hub.is_known_vm(&node) => message::Reply::NotLeader,
        evacuation::Verdict::Unknown => message::Reply::Unknown,
        evacuation::Verdict::TooFew => message::Reply::TooFew,
        evacuation::Verdict::Accepted => {
            match hub.propose(ledger::Command::Evacuate { node }).await {
                Ok(_) => message::Reply::Done,
                Err(error) => hub::refusal(Some(error)),
            }
        }
    }
}

/// Returns whether an evacuated VM is empty.
pub(crate) async fn state(hub: &Hub, node: Name) -> message::Reply {
    match hub.read(replica::Read::Evacuated(node.clone())).await {
        Ok(replica::Answer::Evacuated(true)) => {
            let vms = vms(hub);
            let empty = match vms.iter().find(|vm| vm.node == node) {
                Some(vm) => vm.role == evacuation::Role::Standby,
                // The address of a disconnected VM is unknown. If every member is
                // connected, it is not a member.
                None => hub.sessions.borrow().has_worker(&node) || all_members_connected(hub),
            };
            match empty {
                true => message::Reply::Empty,
                false => message::Reply::Emptying,
            }
        }
        Ok(_) => message::Reply::Unknown,
        Err(error) => hub::refusal(Some(error)),
    }
}

/// Carries out the orders: removes a replica once another has replaced it. A leader
/// that has to be removed transfers its leadership first.
pub(crate) async fn run(hub: Rc<Hub>) {
    loop {
        tokio::time::sleep(members::JOIN_INTERVAL).await;
        let is_idle = hub.evacuated.borrow().is_empty() && hub.resigning.borrow().is_empty();
        if !hub.is_leader() || is_idle {
            continue;
        }
        let vms = vms(&hub);
        let required = member::plan::required_voters(voters(&hub), leaving_voters(&vms));
        let Some(vm) = evacuation::removable(&vms, required) else {
            continue;
        };
        log::info!(node = &*vm.node; "a replica leaves the VM that is evacuated");
        if *vm.node == *hub.settings().node {
            hub.send_call(replica::Call::Transfer);
            continue;
        }
        let address = hub.sessions.borrow().replica_address(&vm.node);
        let members = hub.members();
        let member = members
            .iter()
            .find(|member| address.as_deref() == Some(member.address.as_str()));
        if let Some(member) = member {
            let replica = member.replica;
            let removed = members::change_members(&hub, member::Change::Remove { replica }).await;
            if let Err(refusal) = removed {
                log::info!(node = &*vm.node; "replica not removed yet: {refusal}");
            }
        }
    }
}
