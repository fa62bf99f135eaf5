//! Membership: replicas ask to join, the leader decides.

use std::{rc::Rc, time};

use bw_coord::{ReplicaId, host, member};
use bw_relay::message;
use bw_wire::name::Name;
use tokio::sync::oneshot;

use crate::{
    clock,
    control::{evacuation, hub::Hub, replica},
};

/// Silence after which a member may be replaced by a replica that waits, in
/// milliseconds. A restart takes one to two seconds.
const SILENT_MS: u64 = 3_000;
/// How often a replica that is no member asks to join.
pub(crate) const JOIN: time::Duration = time::Duration::from_millis(500);
/// Time limit of such a call.
const CALL: time::Duration = time::Duration::from_millis(2_000);

/// Asks the leader for membership while this replica has no place.
pub(crate) async fn join(hub: Rc<Hub>) {
    loop {
        tokio::time::sleep(JOIN).await;
        let Some(replica) = hub.own_replica().filter(|_| !hub.leads()) else {
            continue;
        };
        // A member that hears from a leader has its place.
        if hub.is_member() && hub.follows() {
            continue;
        }
        let request = message::Request::Join {
            node: hub.settings().node.as_str().into(),
            replica: replica.0,
            address: hub.settings().internal_address().to_string().into(),
            failure_domain: hub.settings().failure_domain.as_str().into(),
        };
        let reply = hub.link().call(request, CALL).await;
        if reply == message::Reply::Removed {
            log::warn!(replica = replica.0; "removed from the members, starting anew");
            hub.forget_replica();
            hub.tell(replica::Call::Reset);
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
pub(crate) async fn decide(hub: &Hub, applicant: Applicant) -> message::Reply {
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
    // A replica under another id at the same address has lost its disk.
    if let Some(old) = members.iter().find(|member| *member.address == *address) {
        log::warn!(replica = old.replica.0, address = &*address; "removing a replica that lost its disk");
        return answer(
            change(
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
    // Those that leave stay until others have taken their place.
    if members.len() >= hub.settings().replicas() + evacuation::leaving(hub) {
        let Some(silent) = silent(hub, &members) else {
            return message::Reply::Standby;
        };
        log::warn!(replica = silent.0, by = id.0; "replacing a silent replica");
        return answer(change(hub, member::Change::Remove { replica: silent }).await);
    }
    log::info!(replica = id.0, address = &*address; "adding a replica");
    let member = member::Member::learner(id, &*address, &*failure_domain);
    match change(hub, member::Change::Add(member)).await {
        Ok(()) => message::Reply::Member,
        Err(host::Refusal::InvalidChange {
            reason: member::Invalid::ReplicaIdUsed,
        }) => message::Reply::Removed,
        Err(_) => message::Reply::Standby,
    }
}

fn silent(hub: &Hub, members: &[member::Member]) -> Option<ReplicaId> {
    let now_ms = clock::monotonic_ms();
    let others = members
        .iter()
        .filter(|member| Some(member.replica) != hub.own_replica());
    let silent = others.map(|member| (hub.heard_ms(member.replica), member.replica));
    let silent = silent.filter(|(heard, _)| now_ms > heard + SILENT_MS);
    silent.min().map(|(_, replica)| replica)
}

fn answer(result: Result<(), host::Refusal>) -> message::Reply {
    if let Err(refusal) = result {
        log::info!("change of the members refused: {refusal}");
    }
    // The replica asks again and then finds a place.
    message::Reply::Standby
}

pub(crate) async fn change(hub: &Hub, change: member::Change) -> Result<(), host::Refusal> {
    let (reply, answer) = oneshot::channel();
    hub.tell(replica::Call::Change { change, reply });
    answer.await.unwrap_or(Err(host::Refusal::Stopped))
}
