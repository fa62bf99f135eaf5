//! Group membership: replicas ask to join, and the leader decides which members vote.

use std::{rc::Rc, time};

use bw_coord::{ReplicaId, host, member};
use bw_relay::message;
use bw_wire::name::Name;
use tokio::sync::oneshot;

use crate::{
    clock,
    control::{evacuation, hub::Hub, replica},
    metrics,
};

/// Interval at which the leader looks for members to promote or to remove.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Interval at which a replica that stops asks whether its vote is handed over.
const RESIGN_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How long the leader tries to hand over the vote of a replica that stops after its last
/// request, in milliseconds.
const RESIGN_MS: u64 = 500;
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
    match peers(hub).await {
        Some(peers) if member::plan::takes_learner(&peers) => {}
        _ => return message::Reply::Standby,
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

/// Returns the members as this leader sees them, `None` if it does not lead any more.
async fn peers(hub: &Hub) -> Option<Vec<member::plan::Peer>> {
    let (reply, receiver) = oneshot::channel();
    hub.send_call(replica::Call::Peers { reply });
    let mut peers = receiver.await.ok().flatten()?;
    let leaving = evacuation::leaving_addresses(hub);
    let members = hub.members();
    for peer in &mut peers {
        let member = members.iter().find(|member| member.replica == peer.replica);
        peer.leaving = member.is_some_and(|member| leaving.contains(member.address.as_str()));
    }
    Some(peers)
}

/// Lets replicas vote, and removes silent ones, as [`member::plan`] says while this
/// replica leads.
pub(crate) async fn keep_voters(hub: Rc<Hub>) {
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        if !hub.is_leader() {
            continue;
        }
        expire_resignations(&hub);
        let Some(peers) = peers(&hub).await else {
            continue;
        };
        count_members(&peers);
        let Some(change) = member::plan::next(&peers, hub.settings().voters_max()) else {
            continue;
        };
        log_change(&change, &peers);
        if let Err(refusal) = change_members(&hub, change).await {
            log::info!("membership change refused: {refusal}");
        }
    }
}

fn count_members(peers: &[member::plan::Peer]) {
    let counts = [
        ("voter", count(peers, |peer| peer.voter)),
        (
            "silent_voter",
            count(peers, |peer| peer.voter && peer.is_silent()),
        ),
        ("learner", count(peers, |peer| !peer.voter)),
        ("spare", count(peers, member::plan::Peer::is_spare)),
    ];
    for (role, members) in counts {
        let gauge = metrics::MEMBERS.with_label_values(&[role]);
        gauge.set(members as i64);
    }
}

fn count(peers: &[member::plan::Peer], holds: impl Fn(&member::plan::Peer) -> bool) -> usize {
    peers.iter().filter(|peer| holds(peer)).count()
}

/// Logs a change with what decided it.
fn log_change(change: &member::Change, peers: &[member::plan::Peer]) {
    let (member::Change::Remove { replica } | member::Change::Promote { replica }) = change else {
        return;
    };
    let Some(peer) = peers.iter().find(|peer| peer.replica == *replica) else {
        return;
    };
    let voters = count(peers, |peer| peer.voter);
    let spares = count(peers, member::plan::Peer::is_spare);
    let (level, message) = match (change, peer.voter) {
        (member::Change::Promote { .. }, _) => (log::Level::Info, "a replica gets a vote"),
        (_, true) => (log::Level::Warn, "replacing a silent replica"),
        (_, false) => (
            log::Level::Warn,
            "removing a silent replica that does not vote",
        ),
    };
    log::log!(
        level,
        replica = replica.0, silent_ms = peer.silent_ms, voters = voters, spares = spares;
        "{message}"
    );
}

fn expire_resignations(hub: &Hub) {
    let now_ms = clock::monotonic_ms();
    let mut resigning = hub.resigning.borrow_mut();
    resigning.retain(|_, until_ms| now_ms < *until_ms);
}

/// Handles the request of a replica that stops: its vote goes to a spare replica, if
/// there is one. Otherwise the replica keeps it, as it probably comes back.
pub(crate) async fn handle_resign(hub: &Hub, node: Name) -> message::Reply {
    let Some(peers) = peers(hub).await else {
        return message::Reply::NotLeader;
    };
    let address = hub.sessions.borrow().replica_address(&node);
    let members = hub.members();
    let member = members
        .iter()
        .find(|member| address.as_deref() == Some(member.address.as_str()));
    let Some(member) = member.filter(|member| member.voter) else {
        return message::Reply::Done;
    };
    // Once a spare has got a vote, the number of voters is even.
    let is_even = count(&peers, |peer| peer.voter).is_multiple_of(2);
    let has_successor = is_even || peers.iter().any(member::plan::Peer::is_spare);
    if !has_successor {
        return message::Reply::TooFew;
    }
    let until_ms = clock::monotonic_ms() + RESIGN_MS;
    let is_new = hub.resigning.borrow_mut().insert(node.clone(), until_ms);
    if is_new.is_none() {
        log::info!(node = &*node, replica = member.replica.0; "a replica that stops hands its vote over");
    }
    message::Reply::Busy
}

/// Asks the leader to hand over the vote of this replica, which stops. Returns once that
/// is done, there is no other replica for it, or the timeout has passed.
pub(crate) async fn resign(hub: &Hub, timeout: time::Duration) {
    let asking = async {
        loop {
            let node = hub.settings().node.as_str().into();
            let request = message::Request::Resign { node };
            match hub.link().call(request, CALL_TIMEOUT).await {
                message::Reply::Done | message::Reply::TooFew => return,
                _ => tokio::time::sleep(RESIGN_INTERVAL).await,
            }
        }
    };
    if tokio::time::timeout(timeout, asking).await.is_err() {
        log::warn!("stopping while still a voter: no other replica took over the vote in time");
    }
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
