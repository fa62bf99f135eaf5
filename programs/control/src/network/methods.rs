//! The methods of the control port.

use std::sync;

use base64::Engine;
use jsonrpsee::{Extensions, RpcModule, core::RegisterMethodError, types};
use serde::{Deserialize, Serialize, de};

use bw_coord::{ReplicaId, message};
use bw_wire::{command, member, name, rpc};

use crate::{
    metrics,
    network::{
        auth,
        call::{Call, Caller, Failure},
    },
};

/// Consensus messages in one call, encoded by [`message::encode`].
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Batch {
    pub(crate) from: u64,
    pub(crate) messages: Vec<Vec<u8>>,
}

/// The context of the methods.
pub(crate) struct Context {
    pub(crate) caller: Caller,
    /// The number of work groups.
    pub(crate) work_groups: u32,
    /// The token name that may send consensus messages and change members;
    /// absent without tokens.
    pub(crate) replica_name: Option<String>,
}

type Answer<T> = Result<T, types::ErrorObjectOwned>;

/// Builds the methods.
///
/// # Errors
///
/// Fails when two methods have the same name.
pub(crate) fn module(context: Context) -> Result<RpcModule<Context>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_method(rpc::RAFT, |params, context, extensions| {
        raft(&params, context, extensions)
    })?;
    module.register_async_method(rpc::PROPOSE, |params, context, _| async move {
        propose(params, context).await
    })?;
    module.register_async_method(rpc::QUERY, |params, context, _| async move {
        query(params, context).await
    })?;
    module.register_async_method(rpc::SYNC, |params, context, _| async move {
        let request = Box::new(only_param(&params, rpc::SYNC)?);
        answer(
            context
                .caller
                .ask(|reply| Call::Sync { request, reply })
                .await,
        )
    })?;
    module.register_async_method(rpc::IN_FORCE, |params, context, _| async move {
        let revision = only_param(&params, rpc::IN_FORCE)?;
        answer(
            context
                .caller
                .ask(|reply| Call::InForce { revision, reply })
                .await,
        )
    })?;
    module.register_async_method(rpc::MEMBERS, |params, context, extensions| async move {
        members(params, context, extensions).await
    })?;
    module.register_async_method(rpc::BACKUP, |params, context, extensions| async move {
        context.require_operator(&extensions)?;
        let request = only_param(&params, rpc::BACKUP)?;
        let call = |reply| Call::Backup { request, reply };
        answer(context.caller.ask(call).await)
    })?;
    module.register_async_method(rpc::STATUS, |_, context, _| async move {
        metrics::CALLS.with_label_values(&[rpc::STATUS]).inc();
        answer(context.caller.ask(|reply| Call::Status { reply }).await)
    })?;
    Ok(module)
}

/// Accepts consensus messages. Runs in the order of arrival and never waits.
fn raft(params: &types::Params<'_>, context: &Context, extensions: &Extensions) -> Answer<()> {
    context.require_replica(extensions)?;
    let text: String = only_param(params, rpc::RAFT)?;
    let batch = decode(&text).ok_or_else(|| invalid("not a batch of consensus messages"))?;
    let messages = batch.messages.iter().map(|bytes| message::decode(bytes));
    let messages: Result<Vec<message::Envelope>, message::DecodeError> = messages.collect();
    let call = Call::Raft {
        from: ReplicaId(batch.from),
        messages: messages.map_err(|error| invalid(&error.to_string()))?,
    };
    if !context.caller.send(call) {
        metrics::RAFT_DROPPED.with_label_values(&["busy"]).inc();
    }
    Ok(())
}

async fn propose(
    params: types::Params<'static>,
    context: sync::Arc<Context>,
) -> Answer<command::Reply> {
    let rpc::Propose { group, command } = only_param(&params, rpc::PROPOSE)?;
    let belongs = match command {
        command::Command::Config(_) => group == 0,
        command::Command::Work(_) => (1..=context.work_groups).contains(&group),
    };
    if !belongs {
        return Err(invalid("the command does not belong to this group"));
    }
    let command = Box::new(command);
    let call = |reply| Call::Propose {
        group,
        command,
        reply,
    };
    answer(context.caller.ask(call).await)
}

async fn query(
    params: types::Params<'static>,
    context: sync::Arc<Context>,
) -> Answer<bw_wire::query::Answer> {
    let rpc::Query { group, query } = only_param(&params, rpc::QUERY)?;
    if group > context.work_groups {
        return Err(invalid("the group does not exist"));
    }
    let call = |reply| Call::Query {
        group,
        query,
        reply,
    };
    answer(context.caller.ask(call).await)
}

async fn members(
    params: types::Params<'static>,
    context: sync::Arc<Context>,
    extensions: Extensions,
) -> Answer<Vec<member::Member>> {
    context.require_operator(&extensions)?;
    let change = only_param(&params, rpc::MEMBERS)?;
    answer(
        context
            .caller
            .ask(|reply| Call::Members { change, reply })
            .await,
    )
}

impl Context {
    /// Refuses callers other than control replicas, if tokens are configured.
    fn require_replica(&self, extensions: &Extensions) -> Answer<()> {
        let caller = extensions.get::<auth::Identity>();
        match (&self.replica_name, caller) {
            (None, _) => Ok(()),
            (Some(name), Some(identity)) if identity.0.as_str() == name => Ok(()),
            _ => Err(types::ErrorObject::owned(
                rpc::UNAUTHORIZED,
                "only control replicas may call this",
                None::<()>,
            )),
        }
    }

    /// Refuses entry VMs, which never change members and need no backups. All other
    /// callers with a token are accepted.
    fn require_operator(&self, extensions: &Extensions) -> Answer<()> {
        let caller = extensions.get::<auth::Identity>();
        let entry = caller.is_some_and(|identity| identity.0 == name::Name::from("entry"));
        match entry {
            true => Err(types::ErrorObject::owned(
                rpc::UNAUTHORIZED,
                "entry VMs may not call this",
                None::<()>,
            )),
            false => Ok(()),
        }
    }
}

/// Encodes a batch as text.
pub(crate) fn encode(batch: &Batch) -> String {
    let bytes = postcard::to_allocvec(batch).unwrap_or_default();
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn decode(text: &str) -> Option<Batch> {
    let bytes = base64::engine::general_purpose::STANDARD
        .decode(text)
        .ok()?;
    postcard::from_bytes(&bytes).ok()
}

/// Counts a call and decodes its only parameter.
fn only_param<T: de::DeserializeOwned>(params: &types::Params<'_>, method: &str) -> Answer<T> {
    metrics::CALLS.with_label_values(&[method]).inc();
    params.one()
}

fn answer<T>(result: Result<T, Failure>) -> Answer<T> {
    result.map_err(types::ErrorObjectOwned::from)
}

fn invalid(message: &str) -> types::ErrorObjectOwned {
    Failure::Invalid(message.to_owned()).into()
}
