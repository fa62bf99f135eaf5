//! Group membership: replicas ask to join, and the leader decides.

use std::{rc::Rc, time};

use bw_coord::{ReplicaId, host, member};
use bw_relay::message;
use bw_wire::name::Name;
use tokio::sync::oneshot;

use crate::{
    clock,
    control::{evacuation, hub::Hub, replica},
};

/// Silence after which a member may be replaced by a replica that asks to join, in
/// milliseconds. A restart takes one to two seconds.
const SILENT_AFTER_MS: u64 = 3_000;
/// Interval at which a replica that is not a member asks to join.
pub(crate) const JOIN_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Timeout of such a call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// Asks the leader for membership whenever this replica is not a member.
pub(crate) async fn join(hub: Rc<Hub>) {
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        let Some(replica) = hub.own_replica().filter(|_| !hub.is_leader()) else {
            continue;
        };
        // A member that follows a leader has not been removed.
        if hub.is_member() && hub.has_leader() {
            continue;
        }
        let request = message::Request::Join {
            node: hub.settings().node.as_str().into(),
            replica: replica.0,
            address: hub.settings().internal_address().to_string().into(),
            failure_domain: hub.settings().failure_domain.as_str().into(),
        };
        let reply = hub.link().call(request, CALL_TIMEOUT).await;
        if reply == message::Reply::Removed {
            log::warn!(replica = replica.0; "removed from the members, starting anew");
            hub.forget_replica();
            hub.send_call(replica::Call::Reset);
        }
    }
}

/// A replica that asks to join.
pub(crate) struct Applicant {
    /// The name of its VM.
    pub(crate) node: Name,
    pub(crate) id: ReplicaId,
    /// Its internal address.
    pub(crate) address: Name,
    pub(crate) failure_domain: Name,
}

/// Decides on a replica that asks to join.
pub(crate) async fn handle_join(hub: &Hub, applicant: Applicant) -> message::Reply {
    let Applicant {
        node,
        id,
        address,
        failure_domain,
    } = applicant;
    let members = hub.members();
    if members.iter().any(|member| member.replica == id) {
        return message::Reply::Member;
    }
    // A new id at the address of a member means that the member lost its disk.
    if let Some(old) = members.iter().find(|member| *member.address == *address) {
        log::warn!(replica = old.replica.0, address = &*address; "removing a replica that lost its disk");
        return reply_to_change(
            change_members(
                hub,
                member::Change::Remove {
                    replica: old.replica,
                },
            )
            .await,
        );
    }
    if hub.evacuated.borrow().contains(&node) {
        return message::Reply::Standby;
    }
    // Members on evacuated VMs stay until others have replaced them, so they do not
    // count towards the limit.
    if members.len() >= hub.settings().replicas() + evacuation::leaving_members(hub) {
        let Some(silent) = longest_silent(hub, &members) else {
            return message::Reply::Standby;
        };
        log::warn!(replica = silent.0, by = id.0; "replacing a silent replica");
        return reply_to_change(
            change_members(hub, member::Change::Remove { replica: silent }).await,
        );
    }
    log::info!(replica = id.0, address = &*address; "adding a replica");
    let member = member::Member::learner(id, &*address, &*failure_domain);
    match change_members(hub, member::Change::Add(member)).await {
        Ok(()) => message::Reply::Member,
        Err(host::Refusal::InvalidChange {
            reason: member::Invalid::ReplicaIdUsed,
        }) => message::Reply::Removed,
        Err(_) => message::Reply::Standby,
    }
}

fn longest_silent(hub: &Hub, members: &[member::Member]) -> Option<ReplicaId> {
    let now_ms = clock::monotonic_ms();
    let others = members
        .iter()
        .filter(|member| Some(member.replica) != hub.own_replica());
    let silent = others.map(|member| (hub.last_heard_ms(member.replica), member.replica));
    let silent = silent.filter(|(heard, _)| now_ms > heard + SILENT_AFTER_MS);
    silent.min().map(|(_, replica)| replica)
}

fn reply_to_change(result: Result<(), host::Refusal>) -> message::Reply {
    if let Err(refusal) = result {
        log::info!("membership change refused: {refusal}");
    }
    // The replica asks again, and the removed member has then left room for it.
    message::Reply::Standby
}

pub(crate) async fn change_members(hub: &Hub, change: member::Change) -> Result<(), host::Refusal> {
    let (reply, result) = oneshot::channel();
    hub.send_call(replica::Call::Change { change, reply });
    result.await.unwrap_or(Err(host::Refusal::Stopped))
}
